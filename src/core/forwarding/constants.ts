/** Timeouts and limits of forwarding. */

/** Timeout for connecting to a backend server. A round trip takes a few milliseconds; a lost packet is retransmitted after a second. */
export const CONNECT_TIMEOUT_MS = 400
/** Timeout of the connection for an attempt that replaces a running one, which goes on meanwhile. */
export const REPLACEMENT_CONNECT_TIMEOUT_MS = 100
/**
 * Time after which a replacement counts as taken if its backend server has not refused it. A refusal takes one round trip;
 * two backend servers may work on the same request for 400 ms, which this leaves time to cancel one of them.
 */
export const REFUSAL_WAIT_MS = 200
/** Time from the checks of a request to its sending after which they must be repeated: the process was paused, as a connection takes less. */
export const MAX_SEND_DELAY_MS = 500
/** Connections that may fail for one request before any byte is sent; they do not count as attempts. */
export const MAX_CONNECT_ATTEMPTS = 4
/** Period at which a request waits for the decision whether this VM is cut off; a report of the others comes every 250 ms. */
export const DOUBT_CHECK_PERIOD_MS = 50
/** Status with which a backend server refuses a request that is meant for another one, or for a model that it does not have. */
export const MISDIRECTED_STATUS = 421
/**
 * Answers of a wrong backend server (421) for one request that do not count as attempts. Each marks its entry as outdated, so
 * only a VM whose entries are mostly outdated reaches this number, and such a request must not visit all of them.
 */
export const MAX_MISDIRECTED_SENDS = 8
/** Timeout of the connection that shows whether a backend server has crashed. A refusal takes one round trip; a retry waits for it. */
export const CRASH_CHECK_TIMEOUT_MS = 100
/** Largest response that is buffered until it is complete. A small VM could not hold many larger ones at the same time. */
export const MAX_BUFFERED_RESPONSE_BYTES = 4 * 1024 * 1024
/** Largest event of a stream; a larger one cannot be told from bytes without end. */
export const MAX_EVENT_BYTES = 1024 * 1024
/** Statuses that promise a caller that its request was not run and never will be. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Interim responses (1xx) after which a backend server that sends no final one has failed. */
export const MAX_INTERIM_RESPONSES = 100
/** Most header fields of a response; they are kept as strings, which take more memory than their bytes. */
export const MAX_HEADER_FIELDS = 256
/** Most bytes of comments before the first event that are kept for the caller; further ones say nothing more. */
export const MAX_EARLY_COMMENT_BYTES = 16 * 1024
/** Minimum time that must be left before the deadline for an attempt to start. */
export const MIN_ATTEMPT_MS = 30
/** Gap between events, as a multiple of the route's maximum gap, after which a stream is resumed at another backend server. */
export const STALL_FACTOR = 2
/** Timeout of requests without one from the caller; the route's timeout applies if it is shorter. */
export const DEFAULT_TIMEOUT_MS = 60_000
/** Retry-After of a request that was refused or failed, in seconds, and the maximum random addend that spreads the retries. */
export const RETRY_AFTER_S = 0.4
export const RETRY_AFTER_JITTER_S = 0.6
/** Time that a request with a key waits for a newer confirmation of the configuration before it is refused. */
export const CONFIRMATION_WAIT_MS = 500
/** Requests of one connection that may wait behind the one that is handled; each may hold a complete body. */
export const MAX_WAITING_REQUESTS = 16
/** Added to the configured idle timeout, so that a connection is not closed at the moment when a caller reuses it. */
export const IDLE_TIMEOUT_MARGIN_MS = 2000
/** Timeout for the first event, as a multiple of the target latency, after which a resumable stream is started at another backend server. */
export const FIRST_EVENT_TIMEOUT_FACTOR = 1.2
/** Timeout for the response to an idempotent request, as a multiple of the target latency, after which it is sent to another backend server. */
export const RESPONSE_TIMEOUT_FACTOR = 3
/** Replaces STALL_FACTOR while nothing arrives from the stream's backend server, on this or any other connection. */
export const SILENT_SERVER_STALL_FACTOR = 0.75
/** Period of the checks for stalled streams and late responses. */
export const STALL_CHECK_PERIOD_MS = 150
/**
 * Share of the retry allowance that may be used to get a response from a larger model. The rest is for requests that
 * would otherwise fail, for example when backend servers crash under load.
 */
export const ESCALATION_SHARE = 0.75
