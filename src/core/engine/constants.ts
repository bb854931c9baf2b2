/** Limits of the clients for backend servers. */

/** Time to establish a TCP connection, milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000

/** Time from the request to the first byte of the answer after which a backend server counts as frozen. */
export const FIRST_BYTE_TIMEOUT_MS = 10_000

/** Longest pause within an answer; the target between tokens is 28 ms, so a pause of 5 s is a fault. */
export const IDLE_TIMEOUT_MS = 5000

/** Longest line of an event stream; engines send one token a line, which is below 1 KB. */
export const MAX_LINE_BYTES = 65_536

/** Longest body of a service answer. */
export const MAX_SERVICE_ANSWER_BYTES = 1_048_576

/** Longest error body that is read for its message. */
export const MAX_ERROR_BYTES = 4096

export const CANCEL_TIMEOUT_MS = 1000

/** Header by which a backend server names the run of its process. */
export const INSTANCE_HEADER = 'x-engine-instance'
