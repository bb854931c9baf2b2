/**
 * Confidence threshold below which an answer of a small model is discarded and the request escalated to the largest
 * model. At peak load the large model cannot serve all uncertain requests in time, so the threshold falls with the load
 * of the engines and only the least confident answers are escalated.
 */

/** Threshold, on a scale of 0 to 100, while the engines have spare capacity. */
export const IDLE_CONFIDENCE = 48
/** Threshold while the engines are fully loaded; hardly any answer of a small model below it is good. */
export const BUSY_CONFIDENCE = 28
/** Loads of a backend server, in units of one request to the largest model, between which the threshold falls linearly. */
const IDLE_LOAD = 6
const BUSY_LOAD = 16

export function escalationConfidence (meanLoad: number): number {
  const busyFraction = Math.min(1, Math.max(0, (meanLoad - IDLE_LOAD) / (BUSY_LOAD - IDLE_LOAD)))
  return IDLE_CONFIDENCE + busyFraction * (BUSY_CONFIDENCE - IDLE_CONFIDENCE)
}
