/** Limits and header names of the gateway. */

export const HEADERS = {
  requestId: 'x-request-id',
  version: 'x-lacewingstage-version',
  session: 'x-lacewingstage-session',
  movedFrom: 'x-lacewingstage-moved-from',
  sessionId: 'x-session-id',
  requestClass: 'x-request-class',
  deadline: 'x-deadline-ms',
  priority: 'x-priority',
  idempotencyKey: 'idempotency-key',
  instance: 'x-engine-instance'
} as const

/** Maximum number of attempts to send one request to a backend server, including the first. */
export const MAX_ATTEMPTS = 4

/**
 * Minimum time to acquire a permit for resuming an interrupted answer. The deadline, which applies to the start of the
 * answer, is extended if less time is left.
 */
export const RESUME_WAIT_MS = 10_000

/** Maximum number of permit requests for one attempt. Version and data centre may be chosen again for each. */
export const MAX_CHOICES = 4

/** Maximum length of an answer that a caller may request. */
export const MAX_OUTPUT_TOKENS = 65_536
export const DEFAULT_OUTPUT_TOKENS = 1024

/** Average number of characters per token, for estimates made before the engine reports the token count. */
export const CHARACTERS_PER_TOKEN = 4

/** Maximum amount of text, in characters, buffered for a caller before reading from the engine is paused. */
export const RELAY_WINDOW_CHARACTERS = 65_536

/** A caller that reads nothing for this time is disconnected, so that it does not occupy a permit. */
export const STALLED_CALLER_TIMEOUT_MS = 30_000

/**
 * A request with an Idempotency-Key keeps running for this time after its caller disconnected, so that a resend can
 * join it.
 */
export const REJOIN_GRACE_MS = 10_000

/** Maximum total size of the finished answers kept for replay, in characters of text. */
export const MAX_REPLAY_CHARACTERS = 16_777_216
export const MAX_REPLAYED_ANSWERS = 10_000
export const REPLAY_MAX_AGE_MS = 900_000

/** Maximum number of running and recent requests with an Idempotency-Key for which a VM stores the owner. */
export const MAX_TRACKED_OWNERS = 20_000

/** Long-poll time: how long the owner of an answer waits for new parts before it responds to another VM. */
export const JOIN_LONG_POLL_MS = 400
export const JOIN_TIMEOUT_MS = 2000

/** Approximate maximum number of characters in one long-poll response. */
export const MAX_JOIN_READ_CHARACTERS = 65_536

/** Retry-After for refusals that do not specify one. */
export const DEFAULT_RETRY_AFTER_MS = 1000

export const MAX_IDEMPOTENCY_KEY_LENGTH = 255
