/** Periods of the feeds. */

/** Pause after a failed call, doubled up to the longest one and spread by a random half. */
export const FIRST_RETRY_MS = 100
export const LONGEST_RETRY_MS = 800
/** Time without an answer after which the store counts as lost; several times a slow answer of 300 ms. */
export const LOST_AFTER_MS = 1500
