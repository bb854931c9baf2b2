/**
 * Confidence threshold below which an answer of a small model is discarded and the request escalated to the largest
 * model. At peak load the large model cannot serve all uncertain requests in time, so the threshold falls with the load
 * of the engines and only the least confident answers are escalated. It also falls as the retries that escalations need
 * run out, so that an uncertain answer does not take the retry that a hopeless one needs a moment later.
 */

/** Threshold, on a scale of 0 to 100, while the engines have spare capacity. */
export const IDLE_CONFIDENCE = 48
/** Threshold while the engines are fully loaded; hardly any answer of a small model below it is good. */
export const BUSY_CONFIDENCE = 28
/** Loads of a backend server, in units of one request to the largest model, between which the threshold falls linearly. */
const IDLE_LOAD = 6
const BUSY_LOAD = 16
/**
 * The same loads as shares of an engine's slots. They apply where they are smaller: with 64 slots prompts limit an engine
 * long before its slots do, with 16 or 24 slots requests wait for a slot first.
 */
const IDLE_SLOT_SHARE = 0.3
const BUSY_SLOT_SHARE = 0.6
/** Slots of an engine whose configuration specifies none. */
export const DEFAULT_SLOTS = 64
/** Lowest part of the threshold that remains while any retry is left. */
const MIN_THRESHOLD_SHARE = 0.2

/** How busy the engines are, from 0 while they have spare capacity to 1 while they are fully loaded. */
export function busyFraction (meanLoad: number, slots = DEFAULT_SLOTS): number {
  const idleLoad = Math.min(IDLE_LOAD, IDLE_SLOT_SHARE * slots)
  const busyLoad = Math.min(BUSY_LOAD, BUSY_SLOT_SHARE * slots)
  return Math.min(1, Math.max(0, (meanLoad - idleLoad) / (busyLoad - idleLoad)))
}

/** `shortage` is 0 while retries are plentiful and 1 once none is left. */
export function escalationConfidence (meanLoad: number, slots = DEFAULT_SLOTS, shortage = 0): number {
  const threshold = IDLE_CONFIDENCE + busyFraction(meanLoad, slots) * (BUSY_CONFIDENCE - IDLE_CONFIDENCE)
  return threshold * Math.max(MIN_THRESHOLD_SHARE, 1 - shortage)
}
