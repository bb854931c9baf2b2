/** Durations of the leader lease. */

export const DEFAULT_TTL_MS = 6000
/** Covers the drift between the monotonic clocks of holder and observer during one ttl. */
export const DEFAULT_MARGIN_MS = 500
/** Renewals and observations per ttl. */
export const RENEWALS_PER_TTL = 3
/** Reads of a VM that does not try to lead; 340 VMs then cause 113 reads a second, where 2,000 are allowed. */
export const STAND_BY_READS_PER_TTL = 2
/** A failed renewal is tried again after this part of the ttl. */
export const RETRIES_PER_TTL = 12
/** The lease of another data centre is handed back when its own VMs were available for this many ttl. */
export const HAND_BACK_TTLS = 2
/** Calls to the object API time out after this part of the ttl, so that a lost renewal leaves time for another one. */
export const CALLS_PER_TTL = 6
/** Own writes that are remembered to recognise one that takes effect late. */
export const MAX_ATTEMPTS_KEPT = 16
