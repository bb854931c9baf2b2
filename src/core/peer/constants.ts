/** Limits and timeouts of peer connections. */

/** Maximum size of a sent or received message. */
export const MAX_MESSAGE_BYTES = 8 * 1024 * 1024
/** Bytes accepted from a connection before it is authenticated; a handshake takes less than 1 KB. */
export const MAX_HANDSHAKE_BYTES = 4096
/** Bytes buffered for a slow peer: two messages of maximum size. */
export const MAX_BUFFERED_BYTES = 2 * MAX_MESSAGE_BYTES
/** Time limit of an outgoing connection with all its handshakes, and of each handshake of an incoming connection. */
export const HANDSHAKE_TIMEOUT_MS = 2000
/** Incoming connections that may be in the handshake at the same time. */
export const MAX_CONCURRENT_HANDSHAKES = 128
/** Total incoming connections; a region has about 50 VMs, each with at most two connections to this VM. */
export const MAX_CONNECTIONS = 1024
/** Pending requests on one connection. */
export const MAX_PENDING_REQUESTS = 20_000
/** Requests and notifications of one connection that may run in handlers at the same time. */
export const MAX_RUNNING_HANDLERS = 20_000
/** Messages to one VM that may wait while a connection is being established. */
export const MAX_MESSAGES_AWAITING_CONNECTION = 1000
export const REQUEST_TIMEOUT_MS = 1000
/** A connection that sends nothing for this long while requests are unanswered is closed when a request times out. */
export const SILENCE_TIMEOUT_MS = 3000
/** A connection without messages for this long is closed. Round-robin pings reach each of 64 members every 32 s. */
export const IDLE_TIMEOUT_MS = 120_000
export const NONCE_BYTES = 32
/** Minimum time between two attempts to replace a connection that uses an older key. */
export const KEY_RENEWAL_PERIOD_MS = 5000
