/** Periods of the feeds. */

/** Pause after a failed call, doubled up to the longest one and spread by a random half. */
export const FIRST_RETRY_MS = 100
export const LONGEST_RETRY_MS = 800
