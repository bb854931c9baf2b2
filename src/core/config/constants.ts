/** Limits, timeouts and intervals of configuration distribution. */

/** Number of buckets in the digest; a repair transfers only the buckets that differ. */
export const DIGEST_BUCKETS = 64
/** Number of VMs per data centre that watch the object API; the second one provides redundancy when the first fails. */
export const WATCHERS_PER_DATA_CENTRE = 2
export const PUSH_TIMEOUT_MS = 1000
export const PULL_TIMEOUT_MS = 1500
/** Maximum number of full configurations that a starting VM fetches concurrently; one takes 461 KB at 1,980 objects. */
export const MAX_CONCURRENT_FULL_PULLS = 2
/** Base delay before a retry of a failed load or watch; it doubles with each failure and is jittered. */
export const INITIAL_RETRY_DELAY_MS = 200
export const MAX_RETRY_DELAY_MS = 2000
/** Delay before an ended watch is reopened, so that an interrupted watch does not cause a burst of calls. */
export const WATCH_REOPEN_DELAY_MS = 100
/** Interval at which VMs are asked whether a revision is in force on them. */
export const IN_FORCE_POLL_MS = 100
/** Maximum attempts of a change that is valid for any revision of the object, such as taking a data centre out of service. */
export const MAX_INTENT_ATTEMPTS = 4
