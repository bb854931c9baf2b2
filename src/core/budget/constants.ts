/** Constants of spending limits. */

/** Chunks shrink to this share of what remains, so that one VM does not hold the rest of the limit unused. */
export const REMAINING_SHARE = 1 / 16
/** The next chunk is reserved when less than this share of a chunk is left. */
export const REFILL_BELOW_SHARE = 0.5
/** Attempts at one conditional update before the reservation counts as unavailable. */
export const MAX_UPDATE_ATTEMPTS = 30
/** Longest delay before the first repeated attempt; it doubles with each conflict. */
export const CONFLICT_JITTER_MS = 4
export const MAX_CONFLICT_JITTER_MS = 250
/** An exhausted limit is not read again within this time. */
export const EXHAUSTED_RECHECK_MS = 1000
/** Time to wait before the next attempt while the object API fails. */
export const OUTAGE_RETRY_MS = 1000
/**
 * A VM without traffic of a team holds this share of the limit, so that it can serve the team in an outage. Beyond the
 * number of holders VMs reserve with their first request only, which bounds what idle VMs hold to a tenth of the limit.
 */
export const IDLE_CHUNK_SHARE = 0.005
export const MAX_IDLE_HOLDERS = 20
export const IDLE_CHECK_MS = 5000
