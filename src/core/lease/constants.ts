/** Durations and periods of the leader lease. */

export const DEFAULT_TTL_MS = 6000
/** Margin for the drift between the monotonic clocks of the holder and an observer during one TTL. */
export const DEFAULT_MARGIN_MS = 500
/** Renewals per TTL; also the default number of reads per TTL of a VM that tries to lead. */
export const RENEWALS_PER_TTL = 3
/** Reads per TTL of a VM that does not try to lead. 340 VMs then cause 113 reads per second; 2,000 are allowed. */
export const STAND_BY_READS_PER_TTL = 2
/** A failed renewal is retried after the TTL divided by this number. */
export const RETRIES_PER_TTL = 12
/** The lease of another data centre is handed back after its VMs have been available for this many TTLs. */
export const HAND_BACK_AFTER_TTLS = 2
/** Calls to the object API time out after the TTL divided by this number, so that a lost renewal leaves time for another one. */
export const CALL_TIMEOUTS_PER_TTL = 6
/** Number of own writes whose send times are kept, to recognize a write that takes effect late. */
export const MAX_REMEMBERED_WRITES = 16
