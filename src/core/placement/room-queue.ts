/**
 * Requests that wait until a backend server of their service has room. The load it answers: bursts that meet the
 * bounds for cold backend servers or connections for a moment. The most urgent request is placed first, the oldest
 * among equals. Nobody waits longer than the room can take to appear; who cannot be placed by then is refused.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { ServiceId } from '../ids/index.ts'

export interface RoomQueue {
  /** Waits until `place` returns a value, at most `timeoutMs`; `undefined` after that or when `isGone` tells so. */
  wait<Place>(service: ServiceId, ticket: Ticket<Place>): Promise<Place | undefined>
  /** Tries the waiting requests of a service again. */
  wake(service: ServiceId): void
  size(service: ServiceId): number
}

export interface Ticket<Place> {
  /** 0 is first. */
  urgency: number
  timeoutMs: number
  place(): Place | undefined
  isGone(): boolean
}

interface Waiting { urgency: number, number: number, attempt(): boolean }

/** Room that appears by time alone, as for cold backend servers, is found by this period. */
const RECHECK_MS = 60

export function createRoomQueue (clock: Clock): RoomQueue {
  const queues = new Map<ServiceId, Waiting[]>()
  let issued = 0
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
    wait (service, { urgency, timeoutMs, place, isGone }) {
      const queue = queues.get(service) ?? []
      queues.set(service, queue)
      cancelRecheck ??= clock.every(RECHECK_MS, recheck)
      return new Promise(resolve => {
        const entry: Waiting = { urgency, number: issued++, attempt }
        const cancelTimeout = clock.after(timeoutMs, () => {
          const at = queue.indexOf(entry)
          if (at !== -1) queue.splice(at, 1)
          resolve(undefined)
        })
        function attempt (): boolean {
          const found = isGone() ? undefined : place()
          if (found === undefined && !isGone()) return false
          cancelTimeout()
          resolve(found)
          return true
        }
        const at = queue.findIndex(other => other.urgency > urgency)
        queue.splice(at === -1 ? queue.length : at, 0, entry)
      })
    },
    wake,
    size: service => queues.get(service)?.length ?? 0
  }
}
