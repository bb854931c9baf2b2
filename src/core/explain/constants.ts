/** Limits of decision traces. */

export const MAX_TRACES = 5000
/** Maximum steps per trace; once the limit is reached, a new step replaces the last one. */
export const MAX_STEPS = 64
export const MAX_TEXT_LENGTH = 500
/** Timeout of a request for a trace to another VM. */
export const FIND_TIMEOUT_MS = 1000
