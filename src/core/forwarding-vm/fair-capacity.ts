/**
 * Admits requests to a service whose teams share its capacity fairly. It answers overload, a part of the backend servers
 * gone and rate limits that other VMs hold: a request is placed at once, waits in the queue of its team, or is refused
 * when it is clear that it cannot start in its time.
 */
import type { Reservation } from '../backend-pool/index.ts'
import type { Clock } from '../clock/index.ts'
import { retryAfterMs } from '../fair-share/retry-after.ts'
import { ANONYMOUS_TEAM, type FairShares } from '../fair-share/index.ts'
import { turnOf } from '../fair-share/turn.ts'
import { isHopeless, type WaitEstimate, type WaitEstimates } from '../fair-share/wait-estimate.ts'
import { MAX_CONCURRENT_LOANS } from '../fair-share/constants.ts'
import { RETRY_AFTER_S } from '../forwarding/constants.ts'
import type { ForwardedRequest } from '../forwarding/forward.ts'
import type { RequestProgress } from '../forwarding/request-progress.ts'
import { urgencyOf } from '../forwarding/route-table.ts'
import type { ServiceId, TeamId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { CapacityQueue } from '../placement/capacity-queue.ts'
import { CAPACITY_WAIT_SHARE, LOAN_RETRY_MS, MAX_CAPACITY_WAIT_MS, MIN_WAIT_MS, TARGET_WAIT_SHARE } from './constants.ts'

export interface FairCapacityOptions {
  shares: FairShares
  waits: WaitEstimates
  queue: CapacityQueue
  /** Tokens that an engine of the service holds; `undefined` if it has none. */
  tokenCapacity(service: ServiceId): number | undefined
  clock: Clock
  metrics: Metrics
  random: () => number
}

/** How one attempt gets capacity. */
export interface CapacitySource {
  /** Whether other VMs hold a rate limit of the service. */
  isLent(): boolean
  /** Reserves capacity that this VM may use now. */
  tryReserve(): Reservation | undefined
  /** Asks other VMs once. */
  borrow(): Promise<Reservation | undefined>
  /** Shortest time until the rate limits of this VM permit a request. */
  rateWaitMs(): number
}

/** A queue placement that permits to ask other VMs for a loan. */
const LOAN_TURN = Symbol('loan turn')

export function createFairCapacity ({ shares, waits, queue, tokenCapacity, clock, metrics, random }: FairCapacityOptions) {
  /** Requests that ask for loans now, by service. */
  const askingLoans = new Map<ServiceId, number>()
  /** Monotonic time until which no further loans are asked for, by service, because none was left. */
  const loansPausedUntilMs = new Map<ServiceId, number>()

  const teamOf = ({ team }: ForwardedRequest): TeamId => team?.id ?? ANONYMOUS_TEAM
  const count = (forwarded: ForwardedRequest, result: string, by?: number) => metrics.count('fair_shares', `${forwarded.service}/${teamOf(forwarded)}/${result}`, by)

  function turn ({ request, route, team, receivedMs }: ForwardedRequest): number {
    return turnOf({ receivedMs, urgency: urgencyOf(route, team), routeTimeoutMs: route.timeoutMs, timeoutMs: request.timeoutMs })
  }

  function expectedWait (forwarded: ForwardedRequest): WaitEstimate {
    const { service } = forwarded
    const team = teamOf(forwarded)
    const place = { turn: turn(forwarded), team }
    if (queue.size(service) === 0) waits.recordIdle(service)
    if (queue.ahead(service, { turn: Infinity, team }) === 0) waits.recordIdle(service, team)
    return waits.estimate(service, team, { ahead: queue.ahead(service, place), aheadInOrder: queue.aheadInOrder(service, place) })
  }

  /** Counts the request as its team's usage until it has ended. */
  function track (forwarded: ForwardedRequest, reservation: Reservation): Reservation {
    const end = shares.usage.start(forwarded.service, teamOf(forwarded))
    return {
      ...reservation,
      release () { end(); reservation.release() },
      cancel () { end(); reservation.cancel() }
    }
  }

  function takeLoanTurn (service: ServiceId): typeof LOAN_TURN | undefined {
    const asking = askingLoans.get(service) ?? 0
    if (asking >= MAX_CONCURRENT_LOANS || (loansPausedUntilMs.get(service) ?? -Infinity) > clock.now()) return undefined
    askingLoans.set(service, asking + 1)
    return LOAN_TURN
  }

  function endLoanTurn (service: ServiceId, isBorrowed: boolean): void {
    askingLoans.set(service, askingLoans.get(service)! - 1)
    if (isBorrowed) return queue.wake(service)
    // The next turn goes to the team with the lowest usage again, so a team with many requests does not ask more often.
    const pauseMs = LOAN_RETRY_MS * (0.5 + random()) / MAX_CONCURRENT_LOANS
    loansPausedUntilMs.set(service, clock.now() + pauseMs)
    clock.after(pauseMs, () => queue.wake(service))
  }

  /** Places the request when its turn comes; resolves with `undefined` when its time is over. */
  async function place (forwarded: ForwardedRequest, progress: RequestProgress, source: CapacitySource, untilMs: number): Promise<Reservation | undefined> {
    const { service } = forwarded
    for (;;) {
      const placed = await queue.wait(service, {
        turn: turn(forwarded),
        team: teamOf(forwarded),
        timeoutMs: Math.max(0, untilMs - clock.now()),
        tryPlace () {
          if (source.isLent()) return takeLoanTurn(service)
          const reservation = source.tryReserve()
          return reservation && track(forwarded, reservation)
        },
        isCancelled: () => progress.isFinished
      })
      if (placed !== LOAN_TURN) return placed
      let reservation: Reservation | undefined
      try {
        reservation = await source.borrow()
        if (reservation) reservation = track(forwarded, reservation)
      } finally {
        endLoanTurn(service, reservation !== undefined)
      }
      if (reservation || progress.isFinished || clock.now() >= untilMs) return reservation
    }
  }

  function refuse (forwarded: ForwardedRequest, progress: RequestProgress, result: string, refusal: NonNullable<RequestProgress['capacityRefusal']>): undefined {
    count(forwarded, result)
    progress.capacityRefusal = refusal
  }

  return {
    track,
    /** Resolves with `undefined` if the request is refused, with the reason in its progress. Never rejects. */
    async reserve (forwarded: ForwardedRequest, progress: RequestProgress, remainingMs: number, source: CapacitySource): Promise<Reservation | undefined> {
      const { request, route, service } = forwarded
      const team = teamOf(forwarded)
      progress.capacityRefusal = undefined
      const tokens = request.promptTokens + request.maxOutputTokens
      if (tokens > (tokenCapacity(service) ?? Infinity) && progress.attempts === 0) {
        return refuse(forwarded, progress, 'refused_tokens', { reason: 'tokens exceed the memory of every backend server', error: 'permit_refused' })
      }
      const longestMs = Math.max(MAX_CAPACITY_WAIT_MS, route.targetLatencyMs * TARGET_WAIT_SHARE)
      const timeoutMs = Math.min(longestMs, remainingMs * CAPACITY_WAIT_SHARE)
      const sinceMs = clock.now()
      const estimate = expectedWait(forwarded)
      const { expectedMs } = estimate
      // A request that was sent before is not refused for an estimate, because its work would be lost.
      if (progress.attempts === 0 && isHopeless({ ...estimate, timeoutMs })) {
        // Those ahead may wait for something that this request does not need, so it is refused only if it cannot start now.
        const placed = source.isLent() ? undefined : await place(forwarded, progress, source, sinceMs)
        if (placed) count(forwarded, 'admitted')
        if (placed || progress.isFinished) return placed
        return refuse(forwarded, progress, 'refused_at_once', { reason: `expected wait of ${Math.round(expectedMs)} ms exceeds ${Math.round(timeoutMs)} ms`, expectedMs })
      }
      const rateWaitMs = source.isLent() ? 0 : source.rateWaitMs()
      if (rateWaitMs > timeoutMs) {
        return refuse(forwarded, progress, 'refused_rate_limit', { reason: 'no rate limit permits a request in time', expectedMs: rateWaitMs })
      }
      const waitReason = shares.mayStart(service, team) ? 'no backend server has room' : 'team is over its share'
      const reservation = await place(forwarded, progress, source, sinceMs + timeoutMs)
      const waitedMs = clock.now() - sinceMs
      const hasWaited = waitedMs >= MIN_WAIT_MS
      if (hasWaited) {
        count(forwarded, 'waited')
        count(forwarded, 'expected_wait_ms', expectedMs)
        count(forwarded, 'wait_ms', waitedMs)
        if (expectedMs > 0) count(forwarded, 'wait_error_ms', Math.abs(waitedMs - expectedMs))
        progress.capacityWait = { waitedMs: Math.round(waitedMs), waitReason }
      }
      if (reservation) {
        count(forwarded, 'admitted')
        if (hasWaited) waits.recordPlaced(service, team, { sinceMs, ...estimate })
        return reservation
      }
      if (progress.isFinished) return undefined
      waits.recordTimeout(service, team, { sinceMs, ...estimate })
      return refuse(forwarded, progress, 'refused_after_wait', { reason: waitReason })
    },
    /** Time after which the caller of a refused request should return. */
    retryAfterMs (forwarded: ForwardedRequest, { capacityRefusal }: RequestProgress, remainingMs: number): number {
      const expectedMs = capacityRefusal?.expectedMs ?? expectedWait(forwarded).expectedMs
      return retryAfterMs({ expectedMs, remainingMs, minMs: RETRY_AFTER_S * 1000, random })
    }
  }
}

export type FairCapacity = ReturnType<typeof createFairCapacity>
