/** Timeouts and limits of the clients for backend servers. */

/** Time to establish a TCP connection, milliseconds. */
export const CONNECT_TIMEOUT_MS = 1000

/** A backend server that sends no response headers within this time is treated as frozen. */
export const FIRST_BYTE_TIMEOUT_MS = 10_000

/** Maximum pause within a response; the target interval between tokens is 28 ms, so a pause of 5 s is a fault. */
export const IDLE_TIMEOUT_MS = 5000

/** Maximum length of a line in an event stream; engines send one token per line, which is below 1 KB. */
export const MAX_LINE_BYTES = 65_536

/** Maximum body size of a service response. */
export const MAX_SERVICE_RESPONSE_BYTES = 1_048_576

/** Maximum size of a health response and of an error body read for its message. */
export const MAX_ERROR_BYTES = 4096

export const CANCEL_TIMEOUT_MS = 1000

/** Header in which a backend server sends its instance id, which changes with every start of its process. */
export const INSTANCE_HEADER = 'x-engine-instance'
