/** Log lines for the start and the end of a time in which the VM refuses requests or connections for lack of a resource. */
import type { Clock } from '../clock/index.ts'
import type { Log } from '../logging/index.ts'
import { REFUSAL_END_MS } from './constants.ts'

export interface RefusalLog {
  record(): void
  /** Whether something has been refused recently. */
  isRefusing(): boolean
  /** Writes the line for the end if nothing has been refused for a while; called periodically. */
  check(): void
}

export function createRefusalLog ({ resource, state, clock, log }: { resource: 'memory' | 'connections', state: () => object, clock: Pick<Clock, 'now'>, log: Log }): RefusalLog {
  let lastMs: number | undefined
  let startMs = 0
  let refused = 0

  return {
    record () {
      if (lastMs === undefined) {
        startMs = clock.now()
        refused = 0
        log.warn('VM starts refusing', { resource, ...state() })
      }
      refused++
      lastMs = clock.now()
    },
    isRefusing: () => lastMs !== undefined,
    check () {
      if (lastMs === undefined || clock.now() - lastMs < REFUSAL_END_MS) return
      log.info('VM stops refusing', { resource, refused, afterMs: Math.round(lastMs - startMs), ...state() })
      lastMs = undefined
    }
  }
}
