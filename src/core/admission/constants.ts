/** Fixed periods, timeouts and sizes of admission. Times are in milliseconds. */

/** Period of health probes to backend servers that are cold, ramping up or unreachable. */
export const COLD_PROBE_PERIOD_MS = 250
/** Period of health probes to all others; probing these every 250 ms as well would exceed a leader's control budget. */
export const WARM_PROBE_PERIOD_MS = 2000
export const PROBE_TIMEOUT_MS = 500
/** One lost probe may be a network fault; two in a row mark a backend server unreachable. */
export const PROBE_FAILURES_UNTIL_UNREACHABLE = 2
/** Minimum time between two steps of the ramp from `coldAllowance` to `slots`. */
export const RAMP_STEP_MS = 100

/** How long a request waits for a configuration revision that the leader does not have yet. */
export const CONFIG_WAIT_MS = 500
/** `retryAfterMs` of refusals for which no better time is known. */
export const DEFAULT_RETRY_AFTER_MS = 250

/** How long ids of released permits are kept, so that a late registration does not add a released permit again. */
export const RELEASED_ID_RETENTION_MS = 60_000
/** How long a backend server is preferred for requests identical to one that was sent to it. */
export const FINGERPRINT_RETENTION_MS = 600_000
export const MAX_FINGERPRINTS = 10_000
/** Maximum number of prefix hashes kept per backend server. */
export const MAX_PREFIXES_PER_BACKEND_SERVER = 20_000

/** Window over which the retry budget compares retries with first attempts. */
export const RETRY_WINDOW_MS = 10_000
/**
 * Retries that are always allowed per window: about the number of requests that one backend server runs. They exceed a
 * tenth of the first attempts, the default retry budget, only below 100 first attempts per window.
 */
export const MIN_RETRIES_PER_WINDOW = 10

/** Period at which changed summaries are sent. */
export const SUMMARY_PERIOD_MS = 250
/** Period at which unchanged summaries are sent. */
export const SUMMARY_IDLE_PERIOD_MS = 2000
/** Period at which unacknowledged permit reports are sent again. */
export const REPORT_RESEND_PERIOD_MS = 250
/** How long the entry VM waits for an answer beyond the queue time that it allowed. */
export const ANSWER_GRACE_MS = 1000
/** How long an answer is awaited in the background beyond the queue time, so that a late permit can be released. */
export const LATE_ANSWER_TIMEOUT_MS = 30_000
/** Older summaries are not used to choose a data centre; three idle periods, so that one lost message is tolerated. */
export const SUMMARY_MAX_AGE_MS = 6000
