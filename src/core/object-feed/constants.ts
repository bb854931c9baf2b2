/** Retry delays of the feeds. */

/** Delay after a failed call; doubled after each failure up to the maximum, with random jitter of plus or minus half. */
export const MIN_RETRY_DELAY_MS = 100
export const MAX_RETRY_DELAY_MS = 800
