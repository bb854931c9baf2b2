/** Limits and timeouts of the links between VMs. */

/** Largest message between VMs, both sent and accepted. */
export const MAX_MESSAGE_BYTES = 8 * 1024 * 1024
/** Bytes a connection may send before it has authenticated itself; a handshake takes under 1 KB. */
export const MAX_HANDSHAKE_BYTES = 4096
/** Bytes that may wait for a slow peer; two of the largest messages. */
export const MAX_BUFFERED_BYTES = 2 * MAX_MESSAGE_BYTES
/** Time for connecting and both handshakes. */
export const HANDSHAKE_TIMEOUT_MS = 2000
/** Incoming connections that may be in the handshake at one time. */
export const MAX_HANDSHAKES = 128
/** Incoming connections in all; a region has about 50 VMs, each with at most two connections to this one. */
export const MAX_CONNECTIONS = 1024
/** Requests that may wait for an answer on one connection. */
export const MAX_PENDING_REQUESTS = 20_000
/** Requests of one peer that may run in handlers at one time. */
export const MAX_RUNNING_HANDLERS = 20_000
/** Messages that may wait while a connection is being made. */
export const MAX_WAITING_FOR_DIAL = 1000
export const REQUEST_TIMEOUT_MS = 1000
/** A connection that leaves requests unanswered and sends nothing for this long is replaced. */
export const SILENCE_TIMEOUT_MS = 3000
/** A connection without messages for this long is closed; round-robin pings reach each of 64 members every 32 s. */
export const IDLE_TIMEOUT_MS = 120_000
export const NONCE_BYTES = 32
/** Shortest time between two attempts to replace a connection that uses an older key. */
export const RENEW_PERIOD_MS = 5000
