/** Exponential backoff with jitter between calls to the object API. */
import type { Clock } from '../clock/index.ts'
import { MAX_FLUSH_BACKOFF_MS, MIN_FLUSH_BACKOFF_MS } from './constants.ts'

export interface Backoff {
  canAttempt(): boolean
  /** Whether the last attempt failed. */
  isFailing(): boolean
  recordSuccess(): void
  recordFailure(): void
}

export function createBackoff ({ clock, random }: { clock: Clock, random: () => number }): Backoff {
  let delayMs = 0
  let nextAttemptMs = -Infinity
  return {
    canAttempt: () => clock.now() >= nextAttemptMs,
    isFailing: () => delayMs > 0,
    recordSuccess () {
      delayMs = 0
      nextAttemptMs = -Infinity
    },
    recordFailure () {
      delayMs = Math.min(Math.max(MIN_FLUSH_BACKOFF_MS, delayMs * 2), MAX_FLUSH_BACKOFF_MS)
      nextAttemptMs = clock.now() + delayMs * (0.5 + random() / 2)
    }
  }
}
