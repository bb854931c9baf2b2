/** Limits of decision traces. */

export const MAX_TRACES = 5000
/** Maximum number of steps per trace; beyond it, each new step replaces the last one. */
export const MAX_STEPS = 64
/** Maximum length of a step's text, in characters. */
export const MAX_TEXT_LENGTH = 500
/** Timeout of the request that asks another VM for a trace. */
export const FIND_TIMEOUT_MS = 1000
