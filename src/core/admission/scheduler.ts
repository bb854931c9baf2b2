/**
 * Leader side of admission: one scheduler per data centre and lease epoch. It alone grants permits for the backend
 * servers of the data centre, so every limit applies to the sum over all VMs. After a takeover it grants nothing until
 * the requests of the former leader's permits have started or the permits have expired, and the load reports include
 * them.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import type { BootId, DataCentreId, VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import { chooseLeastWork } from './backend-choice.ts'
import { createBackendTable } from './backend-table.ts'
import { CONFIG_WAIT_MS, DEFAULT_RETRY_AFTER_MS } from './constants.ts'
import { createEligibility, type QuarantineView } from './eligibility.ts'
import { createGranter, targetOf, type WaitingRequest } from './grants.ts'
import { createPermits } from './permits.ts'
import { createPrefixIndex } from './prefix-index.ts'
import { createProber } from './probes.ts'
import { createQueueRunner } from './queue-runner.ts'
import { createRetryBudget } from './retry-budget.ts'
import { buildSummary } from './summary.ts'
import { createTeamLimits } from './team-limits.ts'
import { createBackendMonitor } from './backend-monitor.ts'
import type {
  BackendChoice, HealthProbe, HeldPermit, LeaderSummary, PermitAnswer, PermitRefusalReason, PermitRelease, PermitRequest, PermitSync, Scheduler
} from './types.ts'

export interface SchedulerOptions {
  identity: VmIdentity
  dataCentre: DataCentreId
  epoch: number
  /** Whether this VM still holds the lease of the epoch; checked before each grant. */
  isLeaseHeld: () => boolean
  view: ConfigView
  healthProbe: HealthProbe
  quarantine: QuarantineView
  peerSummaries: () => LeaderSummary[]
  permitStartMs?: number
  loadReportLagMs?: number
  /** Time without grants after a takeover. Values other than the default serve only to measure what the wait prevents. */
  settleMs?: number
  maxQueue?: number
  retryBudgetShare?: number
  chooseBackend?: BackendChoice
  clock: Clock
  metrics: Metrics
  log: Log
  random?: () => number
}

export function createScheduler (options: SchedulerOptions): Scheduler {
  const {
    identity, dataCentre, epoch, isLeaseHeld, view, quarantine, clock, metrics, log, permitStartMs = 1000, loadReportLagMs = 1000,
    settleMs = permitStartMs + loadReportLagMs, maxQueue = 1000, retryBudgetShare = 0.1, random = Math.random
  } = options
  const now = (): number => clock.now()
  let lastSequence = 0
  const nextSequence = (): number => ++lastSequence
  const permits = createPermits(now)
  const table = createBackendTable({ view, dataCentre, permits, loadReportLagMs, now })
  const eligibility = createEligibility({ table, permits, quarantine })
  const prefixes = createPrefixIndex()
  const teamLimits = createTeamLimits({ view, dataCentre, peerSummaries: options.peerSummaries })
  const granter = createGranter({
    identity,
    dataCentre,
    epoch,
    permitStartMs,
    view,
    table,
    permits,
    eligibility,
    teamLimits,
    prefixes,
    clock,
    random,
    nextSequence,
    chooseBackend: options.chooseBackend ?? chooseLeastWork
  })
  const retryBudget = createRetryBudget({ share: retryBudgetShare, now })
  const prober = createProber({
    table,
    healthProbe: options.healthProbe,
    clock,
    nextSequence,
    onAnswer: (entry, answer) => monitor.handleProbeAnswer(entry, answer),
    onUnreachable: entry => monitor.handleUnreachable(entry)
  })
  const queue = createQueueRunner({ isLeaseHeld, granter, table, eligibility, quarantine, retryBudget, prober, maxQueue, clock, metrics })
  const monitor = createBackendMonitor({ table, prefixes, prober, metrics, log, nextSequence, now, isSettled, onChange: queue.run })

  const boots = new Map<VmId, BootId>()
  const abandonedCalls = new Set<string>()
  const timers: TimerCancel[] = []
  let settledAt = Infinity
  let running = false

  function isSettled (at = now()): boolean {
    return at >= settledAt
  }

  function refuse (reason: PermitRefusalReason, retryAfterMs: number): PermitAnswer {
    metrics.count('permits_refused', reason)
    return { granted: false, refusal: { reason, retryAfterMs, passedOver: [] } }
  }

  function leadershipRefusal (): PermitAnswer | undefined {
    if (!running || !isLeaseHeld()) return refuse('not_leader', DEFAULT_RETRY_AFTER_MS)
    if (!isSettled()) return refuse('settling', settledAt - now())
    return undefined
  }

  async function request (permitRequest: PermitRequest, from: VmId, callId?: string): Promise<PermitAnswer> {
    const initialRefusal = leadershipRefusal()
    if (initialRefusal) return initialRefusal
    const enqueuedAt = now()
    if (!await waitForRevision(view, permitRequest.configRevision, clock)) return refuse('settling', DEFAULT_RETRY_AFTER_MS)
    const refusalAfterWait = leadershipRefusal()
    if (refusalAfterWait) return refusalAfterWait
    if (callId !== undefined && abandonedCalls.delete(callId)) return refuse('deadline', DEFAULT_RETRY_AFTER_MS)
    return new Promise(resolve => queue.add(createWaitingRequest(permitRequest, from, callId, enqueuedAt, resolve)))
  }

  function createWaitingRequest (permitRequest: PermitRequest, from: VmId, callId: string | undefined, enqueuedAt: number, answer: WaitingRequest['answer']): WaitingRequest {
    return {
      request: permitRequest,
      from,
      callId,
      target: targetOf(permitRequest),
      enqueuedAt,
      priority: permitRequest.priority,
      team: permitRequest.team,
      weight: view.get('Contract', permitRequest.team)?.weight ?? 1,
      cost: Math.max(1, permitRequest.estimatedTokens),
      deadline: enqueuedAt + permitRequest.waitMs,
      blockedBy: 'capacity',
      answer
    }
  }

  function abandon (callId: string, from: VmId): void {
    if (queue.abandon(callId, from)) return
    const record = permits.ofVm(from).find(found => found.callId === callId)
    if (record) release({ id: record.id, outcome: 'not_sent' }, from)
    else rememberAbandoned(callId)
  }

  /** Remembers an abandoned call, whose request may still arrive. */
  function rememberAbandoned (callId: string): void {
    abandonedCalls.add(callId)
    if (abandonedCalls.size > maxQueue) abandonedCalls.delete(abandonedCalls.values().next().value!)
  }

  function release (permitRelease: PermitRelease, from: VmId): void {
    const record = permits.get(permitRelease.id)
    if (!record) {
      permits.markReleased(permitRelease.id)
      return
    }
    if (record.vm !== from) {
      metrics.count('bad_input', 'release_of_other_vm')
      return
    }
    permits.remove(permitRelease.id)
    if (permitRelease.outcome === 'completed') queue.recordHoldTime(record)
    monitor.handleRelease(record, permitRelease)
    queue.run()
  }

  function sync ({ vm, boot, held }: PermitSync): void {
    const previousBoot = boots.get(vm)
    boots.set(vm, boot)
    if (previousBoot !== undefined && previousBoot !== boot) orphanPermits(vm)
    for (const permit of held) {
      const record = permits.get(permit.id)
      if (record) record.reclaimAt = undefined
      else if (!permits.wasReleased(permit.id)) register(permit, vm)
    }
  }

  function register ({ firstByteSeen, ...permit }: HeldPermit, vm: VmId): void {
    permits.add({
      ...permit,
      vm,
      grantSequence: -1,
      grantedAt: now(),
      target: '',
      callId: undefined,
      pendingTokens: 0,
      firstByteAt: firstByteSeen ? now() : Infinity,
      reclaimAt: undefined
    })
  }

  /**
   * Lets the permits of a VM that died or restarted be reclaimed later. Until the start deadline their requests may still
   * start, and load reports may lag behind.
   */
  function orphanPermits (vm: VmId): void {
    const reclaimAt = now() + permitStartMs + loadReportLagMs
    const orphaned = permits.ofVm(vm)
    for (const record of orphaned) record.reclaimAt ??= reclaimAt
    if (orphaned.length === 0) return
    log.warn('permits of a dead VM wait to be reclaimed', { dataCentre, vm, permits: orphaned.length })
    clock.after(reclaimAt - now(), () => {
      for (const id of new Set(orphaned.map(record => record.backendServer))) monitor.probe(id)
    })
  }

  function start (): void {
    running = true
    settledAt = now() + settleMs
    table.refresh()
    prober.start()
    timers.push(view.onChange(handleConfigChange))
    timers.push(clock.after(settledAt - now(), () => {
      log.info('leader grants permits', { dataCentre, epoch, takenOver: permits.total() })
      for (const entry of table.all()) prober.probe(entry)
    }))
  }

  function handleConfigChange (): void {
    table.refresh()
    queue.run()
  }

  function stop (): void {
    running = false
    for (const cancel of timers.splice(0)) cancel()
    prober.stop()
    queue.refuseAll('not_leader')
  }

  return {
    request,
    abandon,
    release,
    sync,
    handleMemberDeath (vm) {
      queue.refuseCallsOf(vm)
      orphanPermits(vm)
    },
    recordFirstByte: ({ id, instance }, from) => {
      const record = permits.get(id)
      if (record?.vm === from) monitor.handleFirstByte(record, instance)
    },
    applyCacheEvent: event => prefixes.apply(event),
    summary: () => buildSummary({
      leader: identity.vm,
      dataCentre,
      epoch,
      granting: running && isSettled() && isLeaseHeld(),
      view,
      table,
      permits,
      eligibility,
      queueDelayMs: queue.delayMs
    }),
    start,
    stop
  }
}

/** Waits up to CONFIG_WAIT_MS until the configuration revision is in force here; false when it is not by then. */
async function waitForRevision (view: ConfigView, revision: number, clock: Clock): Promise<boolean> {
  if (view.revision() >= revision) return true
  return new Promise(resolve => {
    const cancel = clock.after(CONFIG_WAIT_MS, () => finish(false))
    const unsubscribe = view.onChange(() => {
      if (view.revision() >= revision) finish(true)
    })
    function finish (reached: boolean): void {
      cancel()
      unsubscribe()
      resolve(reached)
    }
  })
}
