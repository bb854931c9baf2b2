/** Retry delays of the feeds. */

/** Delay after a failed call; doubled after each failure up to the maximum, with random jitter of plus or minus half. */
export const MIN_RETRY_DELAY_MS = 100
export const MAX_RETRY_DELAY_MS = 800
/**
 * Maximum mean time between the turns of the feeds of a VM to call a store that does not answer. A turn may fall to a kind
 * whose calls still fail; two turns then take no longer than one retry of a feed.
 */
export const MAX_TURN_DELAY_MS = 400
