/** Limits of claims. */

/** Largest answer that is stored for resends; objects of the store hold at most 1 MB. */
export const MAX_STORED_ANSWER_BYTES = 262_144

/** Times a claim is read again after another VM changed it at the same moment. */
export const MAX_ROUNDS = 4

export const STORE_TIMEOUT_MS = 2000

export const RECONCILE_PERIOD_MS = 1000

/** A write that has not landed by then is given up; its claim stays `dispatched`, which is safe. */
export const RECONCILE_MAX_AGE_MS = 600_000

export const MAX_UNRECONCILED = 10_000

/** Finished claims are kept this long for resends. */
export const FINISHED_MAX_AGE_MS = 86_400_000

export const CLEAN_PERIOD_MS = 3_600_000
