/**
 * Runs the queue: grants waiting requests in fair order after each change, refuses requests that could not start in time
 * without letting them wait, and probes backend servers that only lack a confirmation that they are warm.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { BackendTable } from './backend-table.ts'
import { inFlightLimit, needsConfirmation } from './cold-start.ts'
import { DEFAULT_RETRY_AFTER_MS } from './constants.ts'
import type { Eligibility, QuarantineView } from './eligibility.ts'
import { createFairQueue } from './fair-queue.ts'
import type { Granter, GrantResult, WaitingRequest } from './grants.ts'
import type { PermitRecord } from './permits.ts'
import type { Prober } from './probes.ts'
import type { RetryBudget } from './retry-budget.ts'
import type { PassedOver, PermitRefusalReason } from './types.ts'
import { createHoldTimes, estimateWaitMs } from './wait-estimate.ts'

export interface QueueRunner {
  add(waiting: WaitingRequest): void
  /** Grants all waiting requests that can be granted now. */
  run(): void
  /** Refuses a queued call that its VM abandoned; false when the call is not in the queue. */
  abandon(callId: string, from: VmId): boolean
  /** Refuses the queued calls of a dead VM. */
  refuseCallsOf(vm: VmId): void
  refuseAll(reason: PermitRefusalReason): void
  recordHoldTime(record: PermitRecord): void
  /** Expected queue time of a new request for the target, in milliseconds. */
  delayMs(target: string): number
}

export interface QueueRunnerOptions {
  isLeaseHeld: () => boolean
  granter: Granter
  table: BackendTable
  eligibility: Eligibility
  quarantine: QuarantineView
  retryBudget: RetryBudget
  prober: Prober
  maxQueue: number
  clock: Clock
  metrics: Metrics
}

export function createQueueRunner (options: QueueRunnerOptions): QueueRunner {
  const { isLeaseHeld, granter, table, eligibility, quarantine, retryBudget, prober, maxQueue, clock, metrics } = options
  const queue = createFairQueue<WaitingRequest>()
  const holdTimes = createHoldTimes()
  const timers = new Map<WaitingRequest, TimerCancel>()
  let isRunning = false
  let rerunNeeded = false

  function removeWaiting (waiting: WaitingRequest): void {
    queue.remove(waiting)
    timers.get(waiting)?.()
    timers.delete(waiting)
  }

  function refuse (waiting: WaitingRequest, reason: PermitRefusalReason, retryAfterMs: number, passedOver: PassedOver[] = []): void {
    removeWaiting(waiting)
    metrics.count('permits_refused', reason)
    waiting.answer({ granted: false, refusal: { reason, retryAfterMs: Math.ceil(retryAfterMs), passedOver } })
  }

  function grant (waiting: WaitingRequest, { answer, entry }: GrantResult & { state: 'granted' }): void {
    // The next grant needs a confirmation, so the probe is sent now and the next request need not wait for it.
    if (needsConfirmation(entry.warmup, entry.spec)) prober.probe(entry)
    queue.removeGranted(waiting)
    removeWaiting(waiting)
    retryBudget.recordGrant(waiting.request.isRetry)
    metrics.count('permits_granted', waiting.priority)
    if (waiting.request.isRetry) metrics.count('retries', 'permit_granted')
    metrics.latency('permit_wait', answer.queuedMs)
    waiting.answer(answer)
  }

  function capacity (target: string): number {
    const entries = table.all().filter(entry => eligibility.isUsable(entry) && serves(entry.spec, target))
    return entries.reduce((sum, entry) => sum + inFlightLimit(entry.warmup, entry.spec), 0)
  }

  function expectedWaitMs (waiting: WaitingRequest): number {
    const competing = queue.all().filter(other => other.target === waiting.target)
    return estimateWaitMs({ entry: waiting, waiting: competing, meanHoldMs: holdTimes.mean(waiting.target), capacity: capacity(waiting.target) })
  }

  function delayMs (target: string): number {
    const waiting = queue.all().filter(other => other.target === target).length
    const available = capacity(target)
    return available === 0 ? 0 : waiting * (holdTimes.mean(target) ?? 0) / available
  }

  /** Applies the refusals that do not depend on the load. */
  function refuseImmediately (waiting: WaitingRequest): boolean {
    const { request } = waiting
    if (quarantine.isQuarantined(request.fingerprint)) refuse(waiting, 'quarantined', quarantine.remainingMs(request.fingerprint))
    else if (request.isRetry && !retryBudget.allows()) refuse(waiting, 'retry_budget', DEFAULT_RETRY_AFTER_MS)
    else return false
    return true
  }

  function add (waiting: WaitingRequest): void {
    if (refuseImmediately(waiting)) return
    queue.add(waiting)
    timers.set(waiting, clock.after(Math.max(0, waiting.deadline - clock.now()), () => expire(waiting)))
    run()
    if (timers.has(waiting)) refuseEarly(waiting)
    while (queue.size() > maxQueue) evict()
  }

  function refuseEarly (waiting: WaitingRequest): void {
    const waitMs = waiting.deadline - clock.now()
    const expectedMs = expectedWaitMs(waiting)
    if (waitMs <= 0) expire(waiting)
    else if (expectedMs > waitMs) refuse(waiting, 'deadline', expectedMs - waitMs)
  }

  function expire (waiting: WaitingRequest): void {
    const reason = waiting.blockedBy === 'team' ? 'team_limit' : capacity(waiting.target) > 0 ? 'deadline' : 'no_capacity'
    refuse(waiting, reason, Math.max(DEFAULT_RETRY_AFTER_MS, expectedWaitMs(waiting)))
  }

  function evict (): void {
    const evicted = queue.evictionCandidate()
    if (evicted) refuse(evicted, 'queue_full', Math.max(DEFAULT_RETRY_AFTER_MS, expectedWaitMs(evicted)))
  }

  /** Grants waiting requests. Starts over when a grant or refusal calls `run` again in the meantime. */
  function run (): void {
    rerunNeeded = true
    if (isRunning) return
    isRunning = true
    while (rerunNeeded) {
      rerunNeeded = false
      runOnce()
    }
    isRunning = false
  }

  function runOnce (): void {
    const blocked = new Set<string>()
    let next = nextGrant(blocked)
    while (next) next = nextGrant(blocked)
  }

  /**
   * Grants the first waiting request that can be granted; false when there is none. Only one, because each grant changes
   * the fair order. `blocked` holds the targets and teams for which no more requests are tried in this run.
   */
  function nextGrant (blocked: Set<string>): boolean {
    for (const waiting of queue.inOrder()) {
      if (blocked.has(waiting.target) || blocked.has(waiting.team)) continue
      if (!isLeaseHeld()) {
        refuseAll('not_leader')
        return false
      }
      const result = granter.tryGrant(waiting)
      if (result.state === 'refused') refuse(waiting, result.reason, DEFAULT_RETRY_AFTER_MS, result.passedOver)
      if (result.state === 'blocked') handleBlocked(waiting, result, blocked)
      if (result.state !== 'granted') continue
      grant(waiting, result)
      return true
    }
    return false
  }

  function handleBlocked (waiting: WaitingRequest, { by, passedOver }: GrantResult & { state: 'blocked' }, blocked: Set<string>): void {
    waiting.blockedBy = by
    if (by === 'team') blocked.add(waiting.team)
    else if (!passedOver.some(isRequestSpecific)) blocked.add(waiting.target)
    for (const { backendServer, reason } of passedOver) {
      const entry = table.get(backendServer)
      if (reason === 'unproven' && entry) prober.probe(entry)
    }
  }

  function refuseAll (reason: PermitRefusalReason): void {
    for (const waiting of queue.all()) refuse(waiting, reason, DEFAULT_RETRY_AFTER_MS)
  }

  return {
    add,
    run,
    abandon (callId, from) {
      const waiting = queue.all().find(other => other.callId === callId && other.from === from)
      if (waiting) refuse(waiting, 'deadline', DEFAULT_RETRY_AFTER_MS)
      return waiting !== undefined
    },
    refuseCallsOf (vm) {
      for (const waiting of queue.all()) if (waiting.from === vm) refuse(waiting, 'deadline', DEFAULT_RETRY_AFTER_MS)
    },
    refuseAll,
    recordHoldTime: record => holdTimes.record(record.target, clock.now() - record.grantedAt),
    delayMs
  }
}

function serves ({ versions, service }: { versions: readonly string[], service?: string }, target: string): boolean {
  return target === `service/${service}` || versions.some(version => target === `version/${version}`)
}

/** Whether the reason applies to this request alone, so that others with the same target may still be granted. */
function isRequestSpecific ({ reason }: PassedOver): boolean {
  return reason === 'excluded' || reason === 'suspect'
}
