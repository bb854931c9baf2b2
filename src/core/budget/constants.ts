/** Constants of spending limits. */

/** Chunks shrink to this share of the remaining limit, so that one VM does not hold the rest of the limit unused. */
export const REMAINING_SHARE = 1 / 16
/** The next chunk is reserved when less than this share of a chunk is left. */
export const REFILL_BELOW_SHARE = 0.5
/** Attempts at one conditional update before the reservation fails with `budget_unavailable`. */
export const MAX_UPDATE_ATTEMPTS = 30
/** Maximum delay before the first retry; it doubles with each retry up to MAX_CONFLICT_JITTER_MS. */
export const CONFLICT_JITTER_MS = 4
export const MAX_CONFLICT_JITTER_MS = 250
/** After the limit was found exhausted, the object is not read again for this long. */
export const EXHAUSTED_RECHECK_MS = 1000
/** Delay before the next attempt while the object API fails. */
export const OUTAGE_RETRY_MS = 1000
/**
 * A VM without traffic of a team reserves this share of the limit, so that it can serve the team during an outage of
 * the object API. When MAX_IDLE_HOLDERS VMs hold a chunk, further VMs reserve only with their first request. This
 * limits idle chunks to a tenth of the limit.
 */
export const IDLE_CHUNK_SHARE = 0.005
export const MAX_IDLE_HOLDERS = 20
export const IDLE_CHECK_PERIOD_MS = 5000
