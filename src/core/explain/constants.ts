/** Bounds of the decision traces. */

export const MAX_TRACES = 5000
/** A request with more steps than this keeps its first ones; the last place is taken by the latest step. */
export const MAX_STEPS = 64
export const MAX_TEXT_LENGTH = 500
/** Time to wait for the traces of other VMs. */
export const FIND_TIMEOUT_MS = 1000
