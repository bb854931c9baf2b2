/** Limits and intervals of the budget. */

/**
 * Maximum share of the remaining limit in one chunk, unless a request needs more, so that no VM holds all that is left
 * without using it.
 */
export const REMAINING_SHARE = 1 / 16
/** The next chunk is reserved when less than this share of a full-size chunk is left. */
export const REFILL_BELOW_SHARE = 0.5
/** Maximum attempts of a conditional update; after them the reservation fails with `budget_unavailable`. */
export const MAX_UPDATE_ATTEMPTS = 30
/** Maximum delay before the first retry; it doubles with each retry up to MAX_CONFLICT_JITTER_MS. */
export const CONFLICT_JITTER_MS = 4
export const MAX_CONFLICT_JITTER_MS = 250
/** Delay before the object is read again after the limit was found exhausted. */
export const EXHAUSTED_RECHECK_MS = 1000
/** Delay before the next attempt while the object API fails. */
export const OUTAGE_RETRY_MS = 1000
/**
 * A VM that has served no request of a team reserves this share of the limit, so that it can serve the team during an
 * outage of the object API. When MAX_IDLE_HOLDERS VMs hold a chunk, further VMs reserve only with their first request.
 * This limits idle chunks to a tenth of the limit.
 */
export const IDLE_CHUNK_SHARE = 0.005
export const MAX_IDLE_HOLDERS = 20
export const IDLE_CHECK_PERIOD_MS = 5000
