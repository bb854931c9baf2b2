/**
 * Queue of requests that wait for capacity on a backend server of their service. It absorbs bursts that briefly reach
 * the limits for cold backend servers or connections. The most urgent request is placed first, and the oldest among
 * equally urgent ones. Where teams share capacity fairly, the team with the lowest usage comes first, and a team that
 * must not start a request does not hold up the others. Each request has a timeout after which it is no longer placed, so
 * that it can be refused.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { ServiceId, TeamId } from '../ids/index.ts'

export interface CapacityQueue {
  /**
   * Resolves to the first value that `tryPlace` returns, or to `undefined` after `timeoutMs` or once `isCancelled`
   * returns true. With a timeout of 0, the request is only placed if that is possible now: in order, or
   * because the first ones cannot be placed.
   */
  wait<Placement>(service: ServiceId, options: WaitOptions<Placement>): Promise<Placement | undefined>
  /** Tries to place the waiting requests of a service again. */
  wake(service: ServiceId): void
  size(service: ServiceId): number
  /** Number of requests that wait in front of one with this turn; of its team only, if teams share capacity fairly. */
  ahead(service: ServiceId, place: { turn: number, team?: TeamId | undefined }): number
  /**
   * Number of requests of all teams that are placed before one with this turn, with the present usage. Those of teams that
   * must not start a request do not count, unless its own team must not either.
   */
  aheadInOrder(service: ServiceId, place: { turn: number, team: TeamId }): number
}

export interface WaitOptions<Placement> {
  /** Requests with lower values are placed first, such as the most urgent ones; the oldest first among equal ones. */
  turn: number
  /** Ignored unless teams share capacity fairly. */
  team?: TeamId | undefined
  timeoutMs: number
  tryPlace(): Placement | undefined
  isCancelled(): boolean
}

/** How teams share capacity. */
export interface TeamSharing {
  usage(service: ServiceId, team: TeamId): number
  mayStart(service: ServiceId, team: TeamId): boolean
}

interface Waiter { turn: number, attempt(): boolean }
/** Waiting requests by team, in the order in which they are placed; one list for all teams if these do not share. */
type ServiceQueue = Map<TeamId | undefined, Waiter[]>

/** Interval of the check for capacity that becomes available with time alone, as on cold backend servers. */
const RECHECK_MS = 60
/**
 * Requests that may fail to be placed before the rest waits for the next change. One could be permitted fewer backend
 * servers than the others, for example by its session; trying all of them would take much of a small VM.
 */
const MAX_FAILED_ATTEMPTS = 4

/** Time between two checks from which on the process was paused; a busy VM is late by some tens of milliseconds. */
const PAUSE_MS = 10 * RECHECK_MS

/** `onPause` is called after the process was paused while requests waited. */
export function createCapacityQueue (clock: Clock, sharing?: TeamSharing, onPause = () => {}): CapacityQueue {
  const queues = new Map<ServiceId, ServiceQueue>()
  let lastCheckMs = -Infinity
  let cancelRecheck: TimerCancel | undefined

  const listKey = (team: TeamId | undefined) => sharing && team

  function wake (service: ServiceId): void {
    const queue = queues.get(service)
    if (!queue) return
    if (sharing) placeFairly(service, queue, sharing)
    else for (const waiters of queue.values()) while (waiters[0]?.attempt()) waiters.shift()
    for (const [key, waiters] of queue) if (waiters.length === 0) queue.delete(key)
    if (queue.size === 0) queues.delete(service)
  }

  /** Places one request at a time, because each changes the usage of its team. */
  function placeFairly (service: ServiceId, queue: ServiceQueue, { usage, mayStart }: TeamSharing): void {
    const failed = new Set<Waiter>()
    const next = () => {
      let best: { waiters: Waiter[], waiter: Waiter, usage: number } | undefined
      for (const [team, waiters] of queue) {
        const waiter = waiters.find(candidate => !failed.has(candidate))
        if (!waiter || !mayStart(service, team!)) continue
        const teamUsage = usage(service, team!)
        if (!best || teamUsage < best.usage || (teamUsage === best.usage && waiter.turn < best.waiter.turn)) best = { waiters, waiter, usage: teamUsage }
      }
      return best
    }
    for (let found = next(); found && failed.size < MAX_FAILED_ATTEMPTS; found = next()) {
      if (found.waiter.attempt()) found.waiters.splice(found.waiters.indexOf(found.waiter), 1)
      else failed.add(found.waiter)
    }
  }

  function countAhead (service: ServiceId, { turn, team }: { turn: number, team?: TeamId | undefined }): number {
    return queues.get(service)?.get(listKey(team))?.filter(other => other.turn <= turn).length ?? 0
  }

  function recheck (): void {
    const now = clock.now()
    if (now - lastCheckMs > PAUSE_MS) onPause()
    lastCheckMs = now
    for (const service of [...queues.keys()]) wake(service)
    if (queues.size > 0) return
    cancelRecheck?.()
    cancelRecheck = undefined
  }

  return {
    wait (service, { turn, team, timeoutMs, tryPlace, isCancelled }) {
      const queue: ServiceQueue = queues.get(service) ?? new Map()
      queues.set(service, queue)
      const waiters = queue.get(listKey(team)) ?? []
      queue.set(listKey(team), waiters)
      if (!cancelRecheck) {
        lastCheckMs = clock.now()
        cancelRecheck = clock.every(RECHECK_MS, recheck)
      }
      return new Promise(resolve => {
        const waiter: Waiter = { turn, attempt }
        const cancelTimeout = clock.after(timeoutMs, () => {
          const index = waiters.indexOf(waiter)
          if (index !== -1) waiters.splice(index, 1)
          resolve(undefined)
        })
        function attempt (): boolean {
          const placement = isCancelled() ? undefined : tryPlace()
          if (placement === undefined && !isCancelled()) return false
          cancelTimeout()
          resolve(placement)
          return true
        }
        const index = waiters.findIndex(other => other.turn > turn)
        waiters.splice(index === -1 ? waiters.length : index, 0, waiter)
        if (sharing) wake(service)
        if (timeoutMs > 0 || !waiters.includes(waiter)) return
        waiters.splice(waiters.indexOf(waiter), 1)
        if (sharing?.mayStart(service, team!) && attempt()) return
        cancelTimeout()
        resolve(undefined)
      })
    },
    wake,
    size: service => [...queues.get(service)?.values() ?? []].reduce((sum, { length }) => sum + length, 0),
    ahead: countAhead,
    aheadInOrder (service, { turn, team }) {
      const ahead = countAhead(service, { turn, team })
      if (!sharing) return ahead
      const usage = sharing.usage(service, team) + ahead
      // Teams that must not start one only compete with each other.
      const mayStart = sharing.mayStart(service, team)
      const others = [...queues.get(service) ?? []].filter(([other]) => other !== team && (!mayStart || sharing.mayStart(service, other!)))
      // A team is placed before another one until it has as many requests in flight.
      return others.reduce((sum, [other, { length }]) => sum + Math.min(length, Math.max(0, Math.ceil(usage - sharing.usage(service, other!)))), ahead)
    }
  }
}
