/** Fixed times and sizes of admission. Times are in milliseconds. */

/** Period of health probes to backend servers that are cold, ramping up or unreachable. */
export const COLD_PROBE_PERIOD_MS = 250
/** Period of health probes to the others; probing all of them every 250 ms would exceed a leader's control budget. */
export const WARM_PROBE_PERIOD_MS = 2000
export const PROBE_TIMEOUT_MS = 500
/** One lost probe may be the network; two in a row make a backend server unreachable. */
export const PROBE_FAILURES_UNTIL_UNREACHABLE = 2
/** Shortest time between two steps of the ramp from `coldAllowance` to `slots`. */
export const RAMP_STEP_MS = 100

/** How long a request waits for a configuration revision that the leader does not have yet. */
export const CONFIG_WAIT_MS = 500
/** Retry time of refusals whose end the leader cannot compute. */
export const DEFAULT_RETRY_AFTER_MS = 250

/** Ids of released permits and abandoned calls are remembered this long, so that late messages do not revive them. */
export const RELEASED_MEMORY_MS = 60_000
/** A backend server keeps being preferred for identical requests this long. */
export const FINGERPRINT_MEMORY_MS = 600_000
export const MAX_FINGERPRINTS = 10_000
/** Prefix hashes remembered per backend server. */
export const MAX_PREFIXES_PER_BACKEND_SERVER = 20_000

/** Window over which retries are compared with grants. */
export const RETRY_WINDOW_MS = 10_000
/** About the requests that one backend server runs; more than a tenth only below 100 requests per window. */
export const MIN_RETRIES_PER_WINDOW = 10

export const SUMMARY_PERIOD_MS = 250
/** Summaries that did not change are sent at this period. */
export const SUMMARY_IDLE_PERIOD_MS = 2000
export const RELEASE_RESEND_MS = 250
/** How long the entry VM waits for an answer beyond the queue time it allowed. */
export const ANSWER_SLACK_MS = 1000
/** How long a late answer is awaited in the background so that its permit can be released. */
export const LATE_ANSWER_MS = 30_000
/** Older summaries are not used to choose a data centre; three idle periods, so that one lost message does no harm. */
export const SUMMARY_STALE_MS = 6000
