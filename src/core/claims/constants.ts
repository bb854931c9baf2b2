/** Limits, timeouts and intervals of claims. */

/** Maximum size of an answer that is stored for resends; an object in the store holds at most 1 MB. */
export const MAX_STORED_ANSWER_BYTES = 262_144

/** Maximum rounds of reading and writing a claim that other VMs change concurrently. */
export const MAX_ACQUIRE_ROUNDS = 4

export const STORE_TIMEOUT_MS = 2000

export const RECONCILE_PERIOD_MS = 1000

/** Age at which an unconfirmed write is no longer reconciled; its claim stays `dispatched`, which is safe. */
export const RECONCILE_MAX_AGE_MS = 600_000

export const MAX_PENDING_CLAIMS = 10_000

/** Time for which finished claims are kept to answer resends. */
export const FINISHED_CLAIM_RETENTION_MS = 86_400_000

export const CLEANUP_PERIOD_MS = 3_600_000
