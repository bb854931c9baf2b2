/**
 * Time after which a refused caller is told to return: when capacity is expected for it, but within a third of the time
 * that it has left, beyond which callers do not wait. Part of it is random, so that callers refused together do not return
 * together.
 */
import { MAX_RETRY_SHARE, RETRY_JITTER } from './constants.ts'

export interface RetryAfterInput {
  /** Time until capacity is expected. */
  expectedMs: number
  /** Time left for the request. */
  remainingMs: number
  minMs: number
  random: () => number
}

export function retryAfterMs ({ expectedMs, remainingMs, minMs, random }: RetryAfterInput): number {
  const longestMs = Math.max(0, remainingMs) * MAX_RETRY_SHARE
  const earliestMs = Math.min(Math.max(minMs, expectedMs), longestMs * (1 - RETRY_JITTER))
  const latestMs = earliestMs / (1 - RETRY_JITTER)
  return earliestMs + random() * (latestMs - earliestMs)
}
