/**
 * When an answer of a small model is dropped for one of the largest. The load it answers: an hour in which the large
 * model cannot answer all doubtful requests in time. The more the engines have to do, the surer a doubt must be, so
 * that the large model's time goes to the requests that need it most.
 */

/** Confidence, of 100, below which answers are dropped while the engines have time. */
export const IDLE_CONFIDENCE = 48
/** The same while they are full; below it, hardly an answer of a small model is good. */
export const BUSY_CONFIDENCE = 28
/** Loads of a backend server, in requests to the largest model, between which the limit falls. */
const IDLE_LOAD = 6
const BUSY_LOAD = 16

export function escalationConfidence (meanLoad: number): number {
  const busy = Math.min(1, Math.max(0, (meanLoad - IDLE_LOAD) / (BUSY_LOAD - IDLE_LOAD)))
  return IDLE_CONFIDENCE + busy * (BUSY_CONFIDENCE - IDLE_CONFIDENCE)
}
