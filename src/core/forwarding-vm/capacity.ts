/**
 * Reserves capacity at a backend server for one attempt of a request, and waits for it if there is none: in the queue, or,
 * where other VMs hold the rate limits, by asking them again. It answers bursts that reach the limits for a second.
 */
import type { Backend, BackendPool, RequestLoad, Reservation } from '../backend-pool/index.ts'
import type { CapacityLoans } from '../capacity-loan/index.ts'
import type { Clock } from '../clock/index.ts'
import type { ForwardedRequest } from '../forwarding/forward.ts'
import type { RequestProgress } from '../forwarding/request-progress.ts'
import type { Replacement } from '../forwarding/replacement.ts'
import { urgencyOf } from '../forwarding/route-table.ts'
import type { CapacityQueue } from '../placement/capacity-queue.ts'
import { requestLoad } from '../placement/index.ts'
import type { Assignment, Assignments } from './assignment.ts'
import type { FairCapacity } from './fair-capacity.ts'
import { CAPACITY_WAIT_SHARE, LOAN_RETRY_MS, MAX_CAPACITY_WAIT_MS, MAX_LOANS_REFUSED } from './constants.ts'

export interface CapacityOptions {
  pool: Pick<BackendPool, 'eligible' | 'isLent' | 'rateWaitMs' | 'reserve'>
  assignments: Pick<Assignments, 'prepare' | 'modelWeight'>
  loans: Pick<CapacityLoans, 'borrow'>
  queue: CapacityQueue
  clock: Clock
  random: () => number
  /** Admits requests where teams share capacity fairly; by default they do not. */
  fairCapacity?: FairCapacity | undefined
}

export interface Capacity {
  /** Resolves with `undefined` if no backend server has room within a part of the time left, in milliseconds. Never rejects. */
  reserve(forwarded: ForwardedRequest, progress: RequestProgress, remainingMs: number): Promise<Reservation | undefined>
  /** Reserves capacity for an attempt that replaces a running one; resolves with `undefined` if no backend server has room now. Never rejects. */
  reserveReplacement(forwarded: ForwardedRequest, progress: RequestProgress, replacement: Replacement): Promise<Reservation | undefined>
}

export function createCapacity ({ pool, assignments, loans, queue, clock, random, fairCapacity }: CapacityOptions): Capacity {
  /** Condition for backend servers to which this VM may send a request now; used at once, as it reads the clock only here. */
  function hasOwnShare (): (backend: Backend) => boolean {
    const nowMs = clock.now()
    return backend => pool.rateWaitMs(backend, nowMs) === 0
  }

  /**
   * Borrows a request where this VM has none of its own. Goes on to the next backend server if no request is left for one,
   * and starts again after a short pause until `untilMs`.
   */
  async function borrow (assignment: Assignment, load: RequestLoad, progress: RequestProgress, { untilMs, slotMs, excluded = [] }: { untilMs: number, slotMs?: number | undefined, excluded?: Iterable<Backend> }): Promise<Reservation | undefined> {
    for (;;) {
      const refused = new Set<Backend>(excluded)
      const maxRefused = refused.size + MAX_LOANS_REFUSED
      while (refused.size < maxRefused) {
        const hasShare = hasOwnShare()
        const backend = assignment.choose(candidate => !refused.has(candidate) && (pool.isLent(candidate) || hasShare(candidate)))
        if (!backend) break
        if (hasShare(backend)) return pool.reserve(backend, load)
        const loan = await loans.borrow(backend, slotMs)
        if (progress.isFinished) {
          loan?.end('unused')
          return undefined
        }
        // The backend server may have left or filled up meanwhile, and this process may have been paused.
        if (loan?.isValid() && assignment.permits(backend)) return pool.reserve(backend, load, { isLent: true, onEnd: () => loan.end('used') })
        loan?.end('unused')
        refused.add(backend)
      }
      if (clock.now() >= untilMs) return undefined
      await clock.sleep(LOAN_RETRY_MS * (0.5 + random()))
      if (progress.isFinished) return undefined
    }
  }

  return {
    async reserve (forwarded, progress, remainingMs) {
      const { request, service, route, team } = forwarded
      const assignment = assignments.prepare(forwarded, progress)
      const load = requestLoad(request.promptTokens, assignments.modelWeight(service, progress.model))
      const tryReserve = () => {
        const backend = assignment.choose(hasOwnShare())
        return backend && pool.reserve(backend, load)
      }
      if (fairCapacity) {
        return await fairCapacity.reserve(forwarded, progress, remainingMs, {
          isLent: () => pool.eligible(service).some(pool.isLent),
          tryReserve,
          borrow: () => borrow(assignment, load, progress, { untilMs: clock.now(), slotMs: remainingMs }),
          rateWaitMs () {
            const nowMs = clock.now()
            return Math.min(...pool.eligible(service).map(backend => pool.rateWaitMs(backend, nowMs)))
          }
        })
      }
      const timeoutMs = Math.min(MAX_CAPACITY_WAIT_MS, remainingMs * CAPACITY_WAIT_SHARE)
      if (pool.eligible(service).some(pool.isLent)) return await borrow(assignment, load, progress, { untilMs: clock.now() + timeoutMs, slotMs: remainingMs })
      const reserved = queue.size(service) === 0 ? tryReserve() : undefined
      // Waiting can succeed if the rate limits permit a request in that time, even if all backend servers are full now.
      const mayGainCapacity = () => pool.eligible(service).some(backend => pool.rateWaitMs(backend) <= timeoutMs)
      if (reserved || !mayGainCapacity()) return reserved
      return await queue.wait(service, { turn: urgencyOf(route, team), timeoutMs, tryPlace: tryReserve, isCancelled: () => progress.isFinished })
    },
    async reserveReplacement (forwarded, progress, { excluded, hasFailed, model }) {
      const { request, service } = forwarded
      const assignment = assignments.prepare(forwarded, { triedBackends: progress.triedBackends, hasFailed, model })
      const load = requestLoad(request.promptTokens, assignments.modelWeight(service, model))
      const reserveNow = () => {
        const hasShare = hasOwnShare()
        const backend = assignment.choose(candidate => !excluded.has(candidate) && hasShare(candidate))
        return backend && pool.reserve(backend, load)
      }
      const isLent = pool.eligible(service).some(pool.isLent)
      const reservation = isLent ? await borrow(assignment, load, progress, { untilMs: clock.now(), excluded }) : reserveNow()
      return reservation && fairCapacity ? fairCapacity.track(forwarded, reservation) : reservation
    }
  }
}
