/**
 * How long to wait for a first event before the request is sent to another backend server. It serves routes whose latency
 * target is near or above their time limit, where a multiple of the target leaves no time for another answer. Another
 * attempt takes a retry, so a server is given up only well after the typical time and while the other one can still finish.
 */
import type { ExpectedTimes } from './index.ts'
import { LATE_FACTOR, REPEAT_FACTOR, REPEAT_SHARE } from './constants.ts'

export interface FirstEventWait extends Partial<ExpectedTimes> {
  /** Time left for the answer when the request is sent. */
  remainingMs: number
}

/** Latest time at which another attempt is worth its retry, Infinity if it never is. */
export function latestFirstEventMs ({ remainingMs, firstMs = 0, wholeMs = 0 }: FirstEventWait): number {
  const latestMs = remainingMs - Math.max(remainingMs * REPEAT_SHARE, wholeMs * REPEAT_FACTOR)
  return latestMs >= firstMs * LATE_FACTOR ? latestMs : Infinity
}
