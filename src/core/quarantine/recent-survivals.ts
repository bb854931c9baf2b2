/** Remembers for a short time which parts of requests got a response, in bounded memory. */
import type { Clock } from '../clock/index.ts'
import { MAX_RECENT_SURVIVALS, SOUND_AFTER_SURVIVAL_MS } from './constants.ts'

export interface RecentSurvivals {
  /** Records a response that a backend server began at `begunMs` on the monotonic clock. */
  record(parts: readonly string[], begunMs: number): void
  /** When the latest recent response to a part was begun, if there is one. */
  begunMs(part: string): number | undefined
}

export function createRecentSurvivals (clock: Clock): RecentSurvivals {
  /** In the order in which they were recorded. */
  const recent = new Map<string, { begunMs: number, recordedMs: number }>()

  const isExpired = ({ recordedMs }: { recordedMs: number }) => clock.now() - recordedMs > 2 * SOUND_AFTER_SURVIVAL_MS

  function evict (): void {
    for (const [part, survival] of recent) {
      if (recent.size <= MAX_RECENT_SURVIVALS && !isExpired(survival)) return
      recent.delete(part)
    }
  }

  return {
    record (parts, begunMs) {
      for (const part of parts) {
        const latestMs = Math.max(begunMs, recent.get(part)?.begunMs ?? -Infinity)
        recent.delete(part)
        recent.set(part, { begunMs: latestMs, recordedMs: clock.now() })
      }
      evict()
    },
    begunMs: part => recent.get(part)?.begunMs
  }
}
