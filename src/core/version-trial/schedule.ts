/** When a trial may move to its next state at the earliest, if the evidence permits it. */
import { COMPLETION_DEADLINE, COMPLETION_TARGET, MIN_TAKEOVER_MS, SECOND_STAGE_START, TAKEOVER_MARGIN_MS } from './constants.ts'

export interface TrialTimes {
  /** Monotonic times at which this VM received the order and the takeover state. */
  receivedAtMs: number
  takeoverSinceMs: number | undefined
  durationMs: number
  /** Longest pause between two requests of one session. */
  sessionMs: number
}

/** Monotonic time at which the takeover may begin: early enough for all sessions to move before the end. */
function takeoverDueMs ({ receivedAtMs, durationMs, sessionMs }: TrialTimes): number {
  return receivedAtMs + Math.max(SECOND_STAGE_START * durationMs, COMPLETION_TARGET * durationMs - sessionMs - TAKEOVER_MARGIN_MS)
}

/** Monotonic time at which the takeover counts as complete: when all sessions have moved, or at the completion deadline. */
function completionDueMs (times: TrialTimes, takeoverSinceMs: number): number {
  const deadlineMs = times.receivedAtMs + COMPLETION_DEADLINE * times.durationMs
  return Math.min(takeoverSinceMs + times.sessionMs + TAKEOVER_MARGIN_MS, Math.max(deadlineMs, takeoverSinceMs + MIN_TAKEOVER_MS))
}

export function nextStateDueMs (times: TrialTimes): number {
  return times.takeoverSinceMs === undefined ? takeoverDueMs(times) : completionDueMs(times, times.takeoverSinceMs)
}
