/**
 * Leader side of admission: one scheduler per data centre and lease epoch. It is the only sender's gate to the
 * backend servers of the data centre, so every limit is a sum over all entry VMs. After a takeover it grants nothing
 * until the permits of the former leader have started or become void and the load reports show them.
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
import { createGranter, targetOf, type Waiting } from './grants.ts'
import { createPermits } from './permits.ts'
import { createPrefixIndex } from './prefix-index.ts'
import { createProber } from './probes.ts'
import { createQueueRunner } from './queue-runner.ts'
import { createRetryBudget } from './retry-budget.ts'
import { buildSummary } from './summary.ts'
import { createTeamLimits } from './team-limits.ts'
import { createBackendWatch } from './backend-watch.ts'
import type {
  BackendChoice, HealthProbe, HeldPermit, LeaderSummary, PermitAnswer, PermitRefusalReason, PermitRelease, PermitRequest, PermitSync, Scheduler
} from './types.ts'

export interface SchedulerOptions {
  identity: VmIdentity
  dataCentre: DataCentreId
  epoch: number
  /** Whether this VM still holds the lease of the epoch; checked at each grant. */
  isHeld: () => boolean
  view: ConfigView
  healthProbe: HealthProbe
  quarantine: QuarantineView
  peerSummaries: () => LeaderSummary[]
  permitStartMs?: number
  loadReportLagMs?: number
  /** Time without grants after a takeover; another than the default only serves to measure what the wait prevents. */
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
    identity, dataCentre, epoch, isHeld, view, quarantine, clock, metrics, log, permitStartMs = 1000, loadReportLagMs = 1000,
    settleMs = permitStartMs + loadReportLagMs, maxQueue = 1000, retryBudgetShare = 0.1, random = Math.random
  } = options
  const now = (): number => clock.now()
  let number = 0
  const nextNumber = (): number => ++number
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
    nextNumber,
    chooseBackend: options.chooseBackend ?? chooseLeastWork
  })
  const retryBudget = createRetryBudget({ share: retryBudgetShare, now })
  const prober = createProber({
    table,
    healthProbe: options.healthProbe,
    clock,
    nextNumber,
    onAnswer: (entry, answer) => watch.probeAnswered(entry, answer),
    onUnreachable: entry => watch.unreachable(entry)
  })
  const queue = createQueueRunner({ isHeld, granter, table, eligibility, quarantine, retryBudget, prober, maxQueue, clock, metrics })
  const watch = createBackendWatch({ table, prefixes, prober, metrics, log, nextNumber, now, isSettled, changed: queue.run })

  const boots = new Map<VmId, BootId>()
  const abandoned = new Set<string>()
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
    if (!running || !isHeld()) return refuse('not_leader', DEFAULT_RETRY_AFTER_MS)
    if (!isSettled()) return refuse('settling', settledAt - now())
    return undefined
  }

  async function request (asked: PermitRequest, from: VmId, ask?: string): Promise<PermitAnswer> {
    const early = leadershipRefusal()
    if (early) return early
    const enqueuedAt = now()
    if (!await reachRevision(view, asked.configRevision, clock)) return refuse('settling', DEFAULT_RETRY_AFTER_MS)
    const late = leadershipRefusal()
    if (late) return late
    if (ask !== undefined && abandoned.delete(ask)) return refuse('deadline', DEFAULT_RETRY_AFTER_MS)
    return new Promise(resolve => queue.add(waitingOf(asked, from, ask, enqueuedAt, resolve)))
  }

  function waitingOf (asked: PermitRequest, from: VmId, ask: string | undefined, enqueuedAt: number, answer: Waiting['answer']): Waiting {
    return {
      request: asked,
      from,
      ask,
      target: targetOf(asked),
      enqueuedAt,
      priority: asked.priority,
      team: asked.team,
      weight: view.get('Contract', asked.team)?.weight ?? 1,
      cost: Math.max(1, asked.estimatedTokens),
      deadline: enqueuedAt + asked.waitMs,
      blockedBy: 'capacity',
      answer
    }
  }

  function abandon (ask: string, from: VmId): void {
    if (queue.abandon(ask, from)) return
    const record = permits.ofVm(from).find(found => found.ask === ask)
    if (record) release({ id: record.id, outcome: 'not_sent' }, from)
    else rememberAbandoned(ask)
  }

  function rememberAbandoned (ask: string): void {
    abandoned.add(ask)
    if (abandoned.size > maxQueue) abandoned.delete(abandoned.values().next().value!)
  }

  function release (released: PermitRelease, from: VmId): void {
    const record = permits.get(released.id)
    if (!record) {
      permits.noteReleased(released.id)
      return
    }
    if (record.vm !== from) {
      metrics.count('bad_input', 'release_of_other_vm')
      return
    }
    permits.remove(released.id)
    if (released.outcome === 'completed') queue.noteHoldTime(record)
    watch.released(record, released)
    queue.run()
  }

  function sync ({ vm, boot, held }: PermitSync): void {
    const known = boots.get(vm)
    boots.set(vm, boot)
    if (known !== undefined && known !== boot) orphan(vm)
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
      grant: -1,
      grantedAt: now(),
      target: '',
      ask: undefined,
      pendingTokens: 0,
      firstByteAt: firstByteSeen ? now() : Infinity,
      reclaimAt: undefined
    })
  }

  /** Marks the permits of a VM that died or restarted; their requests may have started until the start deadline. */
  function orphan (vm: VmId): void {
    const reclaimAt = now() + permitStartMs + loadReportLagMs
    const lost = permits.ofVm(vm)
    for (const record of lost) record.reclaimAt ??= reclaimAt
    if (lost.length === 0) return
    log.warn('permits of a dead VM wait to be reclaimed', { dataCentre, vm, permits: lost.length })
    clock.after(reclaimAt - now(), () => {
      for (const id of new Set(lost.map(record => record.backendServer))) watch.probe(id)
    })
  }

  function start (): void {
    running = true
    settledAt = now() + settleMs
    table.refresh()
    prober.start()
    timers.push(view.onChange(configChanged))
    timers.push(clock.after(settledAt - now(), () => {
      log.info('leader grants permits', { dataCentre, epoch, takenOver: permits.total() })
      for (const entry of table.all()) prober.probe(entry)
    }))
  }

  function configChanged (): void {
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
    memberDead (vm) {
      queue.forget(vm)
      orphan(vm)
    },
    firstByte: ({ id, instance }, from) => {
      const record = permits.get(id)
      if (record?.vm === from) watch.firstByte(record, instance)
    },
    cacheEvent: event => prefixes.apply(event),
    summary: () => buildSummary({
      leader: identity.vm,
      dataCentre,
      epoch,
      granting: running && isSettled() && isHeld(),
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

/** Waits briefly until the configuration revision is in force here; false when it does not arrive in time. */
async function reachRevision (view: ConfigView, revision: number, clock: Clock): Promise<boolean> {
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
