/** Limits and timeouts of the peer links and their connections. */

/** Maximum size of a message, both sent and received. */
export const MAX_MESSAGE_BYTES = 8 * 1024 * 1024
/** Bytes accepted from a connection before it is authenticated; a handshake takes less than 1 KB. */
export const MAX_HANDSHAKE_BYTES = 4096
/** Maximum bytes buffered for a slow peer: two messages of maximum size. */
export const MAX_BUFFERED_BYTES = 2 * MAX_MESSAGE_BYTES
/** Time limit for an outgoing connection to complete all its handshakes, and for each handshake of an incoming connection. */
export const HANDSHAKE_TIMEOUT_MS = 2000
/** Maximum incoming connections that may be in the handshake at the same time. */
export const MAX_CONCURRENT_HANDSHAKES = 128
/** Maximum incoming connections in total; a region has about 50 VMs, each with at most two connections to this VM. */
export const MAX_CONNECTIONS = 1024
/** Maximum requests on one connection that may wait for an answer at the same time. */
export const MAX_PENDING_REQUESTS = 20_000
/** Maximum requests and notifications of one connection that may run in handlers at the same time. */
export const MAX_RUNNING_HANDLERS = 20_000
/** Maximum messages to one VM that may wait while a connection is being established. */
export const MAX_MESSAGES_AWAITING_CONNECTION = 1000
export const REQUEST_TIMEOUT_MS = 1000
/** When a request times out, its connection is closed if the peer has sent nothing for this long since the first unanswered request. */
export const SILENCE_TIMEOUT_MS = 3000
/** A connection without messages for this long is closed. Round-robin pings reach each of 64 members every 32 s. */
export const IDLE_TIMEOUT_MS = 120_000
export const NONCE_BYTES = 32
/** Minimum time between two attempts to replace a connection that uses an older key. */
export const MIN_KEY_RENEWAL_INTERVAL_MS = 5000
