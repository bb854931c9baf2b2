/** Intervals, timeouts and limits of configuration distribution. */

/** Number of buckets in the digest; a repair transfers only the buckets that differ. */
export const DIGEST_BUCKETS = 64
/** Number of VMs per data centre that watch the object API; the second one provides redundancy when the first fails. */
export const WATCHERS_PER_DATA_CENTRE = 2
export const PUSH_TIMEOUT_MS = 1000
export const PULL_TIMEOUT_MS = 1500
/** Full configurations that a starting VM fetches concurrently; one is 461 KB at 1,980 objects. */
export const MAX_CONCURRENT_FULL_PULLS = 2
/** Initial delay before a failed load or watch is retried; it doubles with each failure and is jittered. */
export const INITIAL_RETRY_DELAY_MS = 200
export const MAX_RETRY_DELAY_MS = 2000
/** Delay before an ended watch is reopened, so that an interrupted watch does not cause a burst of calls. */
export const WATCH_REOPEN_DELAY_MS = 100
export const IN_FORCE_POLL_MS = 100
/** Attempts at a change that applies to any revision of the object, such as taking a data centre out of service. */
export const MAX_INTENT_ATTEMPTS = 4
