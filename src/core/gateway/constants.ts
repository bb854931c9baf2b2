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

/** Sends of one request to backend servers, the first one included. */
export const MAX_ATTEMPTS = 4

/** Longest wait for a permit that resumes an answer after its deadline for the start has passed. */
export const RESUME_WAIT_MS = 10_000

/** Choices of version and data centre for one send before the request is refused. */
export const MAX_CHOICES = 4

/** Longest answer a caller may ask for. */
export const MAX_OUTPUT_TOKENS = 65_536
export const DEFAULT_OUTPUT_TOKENS = 1024

/** Characters of a token on average, for estimates before the engine has counted. */
export const CHARACTERS_PER_TOKEN = 4

/** Text that may wait for a caller before the engine is held back. */
export const RELAY_WINDOW_CHARACTERS = 65_536

/** A caller that takes nothing for this time is disconnected, so that it does not hold a permit. */
export const STALLED_CALLER_MS = 30_000

/** A run with an Idempotency-Key goes on this long without a caller, so that a resend can join it. */
export const REJOIN_GRACE_MS = 10_000

/** Memory for finished answers that resends may replay, in characters of text. */
export const REPLAY_CHARACTERS = 16_777_216
export const MAX_REPLAYED_ANSWERS = 10_000
export const REPLAY_MAX_AGE_MS = 900_000

/** Running and recent keyed requests that a VM remembers the owner of. */
export const MAX_KNOWN_OWNERS = 20_000

/** How long the owner of an answer waits for news before it answers a poll of another VM. */
export const JOIN_POLL_MS = 400
export const JOIN_TIMEOUT_MS = 2000

/** Characters sent in one answer to a poll. */
export const JOIN_BATCH_CHARACTERS = 65_536

/** Retry-After when a refusal does not name one. */
export const DEFAULT_RETRY_AFTER_MS = 1000

export const MAX_IDEMPOTENCY_KEY_LENGTH = 255
