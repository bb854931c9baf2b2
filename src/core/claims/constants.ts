/** Limits, timeouts and periods of claims. */

/** Maximum size of an answer that is stored for resends; the object API limits an object to 1 MB. */
export const MAX_STORED_ANSWER_BYTES = 262_144

/** Maximum number of attempts to read and write a claim that other VMs change concurrently. */
export const MAX_ACQUIRE_ROUNDS = 4

export const OBJECT_API_TIMEOUT_MS = 2000

export const RECONCILE_PERIOD_MS = 1000

/** Age at which the reconciler drops an unconfirmed write; its claim stays `dispatched`, which prevents a second run. */
export const RECONCILE_MAX_AGE_MS = 600_000

export const MAX_PENDING_CLAIMS = 10_000

/** Time for which a resend receives the stored answer of a finished claim. */
export const FINISHED_CLAIM_RETENTION_MS = 86_400_000

export const CLEANUP_PERIOD_MS = 3_600_000
