/** Limits and intervals of billing. */

/** A batch of 1,000 records takes less than half of the 1 MB that the object API allows per value. */
export const MAX_BATCH_RECORDS = 1000
/** Maximum number of witnesses tried for a record; after them the VM writes it to the object API directly. */
export const MAX_WITNESS_ATTEMPTS = 2
/** A witness whose request failed is skipped for this long, so that not every record waits for its timeout. */
export const WITNESS_COOLDOWN_MS = 1000
/** Time to wait for the object API if no witness accepted a record; after it billing reports `billing_unavailable`. */
export const ACKNOWLEDGE_TIMEOUT_MS = 2000
/** Minimum and maximum delay between flush attempts while the object API fails. */
export const MIN_FLUSH_BACKOFF_MS = 250
export const MAX_FLUSH_BACKOFF_MS = 5000
/** A witness flushes a batch that it has held this long, because the message that releases it may have been lost. */
export const WITNESS_HOLD_MS = 30_000
/**
 * A record may arrive before membership lists its origin, or the current boot of its origin. Only after this time does
 * such an origin count as gone.
 */
export const UNKNOWN_ORIGIN_GRACE_MS = 2000
