/** Constants of billing. */

/** A batch of 1,000 records is less than half of the object API's limit of 1 MB per value. */
export const MAX_BATCH_RECORDS = 1000
/** Witnesses tried for one record before the VM falls back to writing it to the object API directly. */
export const MAX_WITNESS_ATTEMPTS = 2
/** A witness whose request failed is skipped for this long, so that not every record waits for its timeout. */
export const WITNESS_COOLDOWN_MS = 1000
/** If neither a witness nor the object API accepts a record within this time, billing reports `billing_unavailable`. */
export const ACKNOWLEDGE_TIMEOUT_MS = 2000
/** Range of the backoff between flush attempts while the object API fails. */
export const MIN_FLUSH_BACKOFF_MS = 250
export const MAX_FLUSH_BACKOFF_MS = 5000
/** A witness flushes a batch that it held this long without a drop message, because the message may be lost. */
export const WITNESS_HOLD_MS = 30_000
/** A record may arrive before membership lists its origin; an unlisted origin counts as gone only after this time. */
export const UNKNOWN_ORIGIN_GRACE_MS = 2000
