/**
 * Runs the queue: grants waiting requests in fair order whenever something changed, refuses early what could not start
 * in time, and asks for proofs of warmth when only they are missing.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { BackendTable } from './backend-table.ts'
import { inFlightLimit, needsProof } from './cold-start.ts'
import { DEFAULT_RETRY_AFTER_MS } from './constants.ts'
import type { Eligibility, QuarantineView } from './eligibility.ts'
import { createFairQueue } from './fair-queue.ts'
import type { Granter, GrantResult, Waiting } from './grants.ts'
import type { PermitRecord } from './permits.ts'
import type { Prober } from './probes.ts'
import type { RetryBudget } from './retry-budget.ts'
import type { PassedOver, PermitRefusalReason } from './types.ts'
import { createHoldTimes, estimateWaitMs } from './wait-estimate.ts'

export interface QueueRunner {
  add(waiting: Waiting): void
  /** Grants what can be granted now. */
  run(): void
  /** Drops a call that its VM has given up; false when it does not wait here. */
  abandon(ask: string, from: VmId): boolean
  /** Drops the calls of a dead VM. */
  forget(vm: VmId): void
  refuseAll(reason: PermitRefusalReason): void
  noteHoldTime(record: PermitRecord): void
  /** Expected queue time of a new request for the target, milliseconds. */
  delayMs(target: string): number
}

export interface QueueRunnerOptions {
  isHeld: () => boolean
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
  const { isHeld, granter, table, eligibility, quarantine, retryBudget, prober, maxQueue, clock, metrics } = options
  const queue = createFairQueue<Waiting>()
  const holdTimes = createHoldTimes()
  const timers = new Map<Waiting, TimerCancel>()
  let isRunning = false
  let runAgain = false

  function leave (waiting: Waiting): void {
    queue.remove(waiting)
    timers.get(waiting)?.()
    timers.delete(waiting)
  }

  function refuse (waiting: Waiting, reason: PermitRefusalReason, retryAfterMs: number, passedOver: PassedOver[] = []): void {
    leave(waiting)
    metrics.count('permits_refused', reason)
    waiting.answer({ granted: false, refusal: { reason, retryAfterMs: Math.ceil(retryAfterMs), passedOver } })
  }

  function grant (waiting: Waiting, { answer, entry }: GrantResult & { state: 'granted' }): void {
    // The proof for the next grant is fetched now, so that the next request need not wait for it.
    if (needsProof(entry.warmth, entry.spec)) prober.probe(entry)
    queue.take(waiting)
    leave(waiting)
    retryBudget.noteGrant(waiting.request.isRetry)
    metrics.count('permits_granted', waiting.priority)
    if (waiting.request.isRetry) metrics.count('retries', 'permit_granted')
    metrics.latency('permit_wait', answer.queuedMs)
    waiting.answer(answer)
  }

  function capacity (target: string): number {
    const entries = table.all().filter(entry => eligibility.isUsable(entry) && serves(entry.spec, target))
    return entries.reduce((sum, entry) => sum + inFlightLimit(entry.warmth, entry.spec), 0)
  }

  function expectedWaitMs (waiting: Waiting): number {
    const same = queue.all().filter(other => other.target === waiting.target)
    return estimateWaitMs({ entry: waiting, waiting: same, meanHoldMs: holdTimes.mean(waiting.target), capacity: capacity(waiting.target) })
  }

  function delayMs (target: string): number {
    const waiting = queue.all().filter(other => other.target === target).length
    const available = capacity(target)
    return available === 0 ? 0 : waiting * (holdTimes.mean(target) ?? 0) / available
  }

  /** Refusals that do not depend on the load. */
  function refuseAtOnce (waiting: Waiting): boolean {
    const { request } = waiting
    if (quarantine.isQuarantined(request.fingerprint)) refuse(waiting, 'quarantined', quarantine.remainingMs(request.fingerprint))
    else if (request.isRetry && !retryBudget.allows()) refuse(waiting, 'retry_budget', DEFAULT_RETRY_AFTER_MS)
    else return false
    return true
  }

  function add (waiting: Waiting): void {
    if (refuseAtOnce(waiting)) return
    queue.add(waiting)
    timers.set(waiting, clock.after(Math.max(0, waiting.deadline - clock.now()), () => expire(waiting)))
    run()
    if (timers.has(waiting)) refuseEarly(waiting)
    while (queue.size() > maxQueue) evict()
  }

  function refuseEarly (waiting: Waiting): void {
    const waitMs = waiting.deadline - clock.now()
    const expected = expectedWaitMs(waiting)
    if (waitMs <= 0) expire(waiting)
    else if (expected > waitMs) refuse(waiting, 'deadline', expected - waitMs)
  }

  function expire (waiting: Waiting): void {
    const reason = waiting.blockedBy === 'team' ? 'team_limit' : capacity(waiting.target) > 0 ? 'deadline' : 'no_capacity'
    refuse(waiting, reason, Math.max(DEFAULT_RETRY_AFTER_MS, expectedWaitMs(waiting)))
  }

  function evict (): void {
    const victim = queue.leastEntitled()
    if (victim) refuse(victim, 'queue_full', Math.max(DEFAULT_RETRY_AFTER_MS, expectedWaitMs(victim)))
  }

  /** Grants run again from the start when a grant or refusal leads to another change meanwhile. */
  function run (): void {
    runAgain = true
    if (isRunning) return
    isRunning = true
    while (runAgain) {
      runAgain = false
      runOnce()
    }
    isRunning = false
  }

  function runOnce (): void {
    const blocked = new Set<string>()
    let next = nextGrant(blocked)
    while (next) next = nextGrant(blocked)
  }

  /** Tries the queue in order until one request is granted; fair order changes with each grant. */
  function nextGrant (blocked: Set<string>): boolean {
    for (const waiting of queue.inOrder()) {
      if (blocked.has(waiting.target) || blocked.has(waiting.team)) continue
      if (!isHeld()) {
        refuseAll('not_leader')
        return false
      }
      const result = granter.tryGrant(waiting)
      if (result.state === 'refused') refuse(waiting, result.reason, DEFAULT_RETRY_AFTER_MS, result.passedOver)
      if (result.state === 'blocked') noteBlocked(waiting, result, blocked)
      if (result.state !== 'granted') continue
      grant(waiting, result)
      return true
    }
    return false
  }

  function noteBlocked (waiting: Waiting, { by, passedOver }: GrantResult & { state: 'blocked' }, blocked: Set<string>): void {
    waiting.blockedBy = by
    if (by === 'team') blocked.add(waiting.team)
    else if (!passedOver.some(isOwn)) blocked.add(waiting.target)
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
    abandon (ask, from) {
      const waiting = queue.all().find(other => other.ask === ask && other.from === from)
      if (waiting) refuse(waiting, 'deadline', DEFAULT_RETRY_AFTER_MS)
      return waiting !== undefined
    },
    forget (vm) {
      for (const waiting of queue.all()) if (waiting.from === vm) refuse(waiting, 'deadline', DEFAULT_RETRY_AFTER_MS)
    },
    refuseAll,
    noteHoldTime: record => holdTimes.note(record.target, clock.now() - record.grantedAt),
    delayMs
  }
}

function serves ({ versions, service }: { versions: readonly string[], service?: string }, target: string): boolean {
  return target === `service/${service}` || versions.some(version => target === `version/${version}`)
}

/** Whether the reason concerns this request alone, so that others of the same target may still be granted. */
function isOwn ({ reason }: PassedOver): boolean {
  return reason === 'excluded' || reason === 'suspect'
}
