/** Constants of billing. */

/** A batch of 1,000 records stays under half of the object API's limit of 1 MB a value. */
export const MAX_BATCH_RECORDS = 1000
/** Witnesses tried for one record before it is written to the object API directly. */
export const MAX_WITNESS_TRIES = 2
/** A witness that did not answer is passed over for this long, so that not every record waits for its timeout. */
export const WITNESS_COOL_DOWN_MS = 1000
/** A record that neither a witness nor the object API took within this time is reported as unavailable. */
export const ACKNOWLEDGE_TIMEOUT_MS = 2000
/** Delays between attempts to flush while the object API fails. */
export const MIN_FLUSH_BACKOFF_MS = 250
export const MAX_FLUSH_BACKOFF_MS = 5000
/** A witness looks up a batch that was held this long without a drop message, because the message may be lost. */
export const WITNESS_HOLD_MS = 30_000
/** A record may arrive before membership knows its sender; only later does an unknown sender count as gone. */
export const UNKNOWN_ORIGIN_MS = 2000
