/** Exponential delay with jitter between attempts to reach the object API. */
import type { Clock } from '../clock/index.ts'
import { MAX_FLUSH_BACKOFF_MS, MIN_FLUSH_BACKOFF_MS } from './constants.ts'

export interface Backoff {
  mayTry(): boolean
  /** Whether the last attempt failed. */
  failing(): boolean
  succeeded(): void
  failed(): void
}

export function createBackoff ({ clock, random }: { clock: Clock, random: () => number }): Backoff {
  let delayMs = 0
  let notBefore = -Infinity
  return {
    mayTry: () => clock.now() >= notBefore,
    failing: () => delayMs > 0,
    succeeded () {
      delayMs = 0
      notBefore = -Infinity
    },
    failed () {
      delayMs = Math.min(Math.max(MIN_FLUSH_BACKOFF_MS, delayMs * 2), MAX_FLUSH_BACKOFF_MS)
      notBefore = clock.now() + delayMs * (0.5 + random() / 2)
    }
  }
}
