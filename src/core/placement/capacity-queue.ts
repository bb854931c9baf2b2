/**
 * Queue of requests that wait for capacity on a backend server of their service. It absorbs bursts that briefly reach
 * the limits for cold backend servers or connections. The most urgent request is placed first, and the oldest among
 * equally urgent ones. Each request has a timeout after which it is no longer placed, so that it can be refused.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { ServiceId } from '../ids/index.ts'

export interface CapacityQueue {
  /**
   * Resolves to the first value that `tryPlace` returns, or to `undefined` after `timeoutMs` or once `isCancelled`
   * returns true.
   */
  wait<Placement>(service: ServiceId, options: WaitOptions<Placement>): Promise<Placement | undefined>
  /** Tries to place the waiting requests of a service again. */
  wake(service: ServiceId): void
  size(service: ServiceId): number
}

export interface WaitOptions<Placement> {
  /** Lower values are placed first; 0 is the most urgent. */
  urgency: number
  timeoutMs: number
  tryPlace(): Placement | undefined
  isCancelled(): boolean
}

interface Waiter { urgency: number, sequence: number, attempt(): boolean }

/** Interval of the check for capacity that becomes available with time alone, as on cold backend servers. */
const RECHECK_MS = 60

export function createCapacityQueue (clock: Clock): CapacityQueue {
  const queues = new Map<ServiceId, Waiter[]>()
  let nextSequence = 0
  let cancelRecheck: TimerCancel | undefined

  function wake (service: ServiceId): void {
    const queue = queues.get(service)
    while (queue?.[0]?.attempt()) queue.shift()
    if (queue?.length === 0) queues.delete(service)
  }

  function recheck (): void {
    for (const service of [...queues.keys()]) wake(service)
    if (queues.size > 0) return
    cancelRecheck?.()
    cancelRecheck = undefined
  }

  return {
    wait (service, { urgency, timeoutMs, tryPlace, isCancelled }) {
      const queue = queues.get(service) ?? []
      queues.set(service, queue)
      cancelRecheck ??= clock.every(RECHECK_MS, recheck)
      return new Promise(resolve => {
        const waiter: Waiter = { urgency, sequence: nextSequence++, attempt }
        const cancelTimeout = clock.after(timeoutMs, () => {
          const index = queue.indexOf(waiter)
          if (index !== -1) queue.splice(index, 1)
          resolve(undefined)
        })
        function attempt (): boolean {
          const placement = isCancelled() ? undefined : tryPlace()
          if (placement === undefined && !isCancelled()) return false
          cancelTimeout()
          resolve(placement)
          return true
        }
        const index = queue.findIndex(other => other.urgency > urgency)
        queue.splice(index === -1 ? queue.length : index, 0, waiter)
      })
    },
    wake,
    size: service => queues.get(service)?.length ?? 0
  }
}
