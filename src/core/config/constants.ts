/** Durations and sizes of the distribution of configuration. */

/** Buckets of the digest; a repair transfers only the buckets that differ. */
export const DIGEST_BUCKETS = 64
/** VMs of a data centre that watch the object API; the second one covers for the first when it fails. */
export const WATCHERS_PER_DATA_CENTRE = 2
export const PUSH_TIMEOUT_MS = 1000
export const PULL_TIMEOUT_MS = 1500
/** Whole configurations that a starting VM fetches at one time; one has 461 KB at 1,980 objects. */
export const FULL_PULLS = 2
/** First delay before a failed load or watch is tried again; doubled each time and jittered. */
export const RETRY_MS = 200
export const MAX_RETRY_MS = 2000
/** Delay before an ended watch is opened again, so that a cut watch does not cause a burst. */
export const REOPEN_MS = 100
export const IN_FORCE_POLL_MS = 100
/** Tries of a change whose intent does not depend on the version, such as taking a data centre out of service. */
export const INTENT_TRIES = 4
