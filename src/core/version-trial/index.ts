/**
 * Moves a service to a new version on an operator's order, and rolls back a version that fails or is slow, whether from
 * the start, later, under load or on a single route. Sessions are selected by hash, so all VMs put the same sessions on
 * trial, and those on trial are reported to all VMs, so none moves back. The trial uses few backend servers, so that each
 * gets a normal load. Every VM counts outcomes and reports them. The first VM in the rendezvous order for the roll-out
 * decides, and the next one takes over if it does not act. Status changes are conditional writes, so two deciding VMs
 * cannot write contradicting states.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { BootId, ServiceId, VersionId, VmId } from '../ids/index.ts'
import { isAfter } from '../object-feed/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Audience } from '../pacing/index.ts'
import { hashFraction, rendezvousOrder } from '../placement/rendezvous.ts'
import {
  BACKEND_SHARE_FACTOR, DECIDER_DELAY_MS, MAX_TRIAL_START_SHARE, MIN_TRIAL_SAMPLE, REPORT_RECEIVERS, STOP_EVIDENCE, TRIAL_PERIOD_MS, TRIAL_START_MS, WAIT_EVIDENCE
} from './constants.ts'
import { createRequestCounter, sumByRoute, sumTrialCounts, type RequestCounter, type RequestObservation, type RouteCounts } from './counts.ts'
import { createTrialEvaluator, hasEnoughRequests, type TrialEvaluator } from './evidence.ts'
import { createRecentSessions } from './recent-sessions.ts'
import { nextStateDueMs } from './schedule.ts'
import { isFirstStage, maxTrialRequests, stageShare, type TrialLimit } from './trial-share.ts'
import { createTrialSessions, type TrialSessions } from './trial-sessions.ts'
import type { RolloutOrder, RolloutState } from './types.ts'

export type { RequestEnd, RequestObservation } from './counts.ts'
export type { RolloutOrder, RolloutState } from './types.ts'

/** Totals that one boot of a VM has counted since it received the order. */
export interface TrialReport {
  order: string
  target: VersionId
  vm: VmId
  boot: BootId
  counts: RouteCounts
}

/** Sessions on one of the versions of trials, by order; see `TrialSessions`. */
export type TrialSessionsReport = Record<string, string>

/** The version of the sessions in a report: the one on trial, or the one before. */
export type TrialSide = 'new' | 'old'

/** Which versions a request may use. */
export interface VersionRule {
  allows(version: VersionId): boolean
  /** Fraction of the allowed backend servers to use; 1 for all. */
  backendShare: number
}

export interface VersionTrialsOptions {
  vm: VmId
  boot: BootId
  /** VMs of the fleet, this one included. */
  vms: () => readonly VmId[]
  report(to: VmId, report: TrialReport): void
  /** Writes the status conditionally; resolves to false when the order has changed in the meantime. */
  writeStatus(order: RolloutOrder, state: RolloutState): Promise<boolean>
  /** Longest pause between two requests of one session, in milliseconds. */
  sessionMs: number
  trialLimit: () => TrialLimit
  clock: Clock
  log: Log
  metrics: Metrics
}

/** The attempts of a request that precede the one to be assigned. */
export interface EarlierAttempts {
  /** Version of the last attempt. */
  version: VersionId | undefined
  /** Whether a backend server failed in one of them. */
  hasFailed: boolean
  /** Whether the request belongs to a session, so that others with the same key may follow. Default: true. */
  hasSession?: boolean
}

const NO_ATTEMPTS: EarlierAttempts = { version: undefined, hasFailed: false }

interface Trial {
  order: RolloutOrder
  receivedAtMs: number
  /** Final state that this VM decided on and the store has not confirmed yet, or a state that a restored store has lost. */
  unconfirmedState: RolloutState | undefined
  /** Monotonic time at which this VM received the takeover state. */
  takeoverSinceMs: number | undefined
  /** Monotonic time since which a status change is due. */
  pendingSinceMs: number | undefined
  /** Counters of this VM's requests by route. */
  counters: Map<string, { from: RequestCounter, to: RequestCounter }>
  /** Latest counts by VM and boot, including this VM's own. */
  reports: Map<string, RouteCounts>
  evaluator: TrialEvaluator
  /** Attempts of this VM that could be put on trial, and how many of them were. */
  requests: number
  trialRequests: number
  /** Sessions on the new version, and in the first stage those on the old one that would be put on trial if they were new. */
  sessions: Record<TrialSide, TrialSessions>
  isWriting: boolean
}

/** A roll-out only moves to states of a higher rank. */
const STATE_RANKS: Record<RolloutState | 'ordered', number> = { ordered: 0, running: 1, taking_over: 2, completed: 3, rolled_back: 3 }

const ANY_VERSION: VersionRule = { allows: () => true, backendShare: 1 }

export function createVersionTrials (options: VersionTrialsOptions) {
  const { vm, boot, vms, report, writeStatus, sessionMs, trialLimit, clock, log, metrics } = options
  const trials = new Map<string, Trial>()
  const recentSessions = createRecentSessions({ sessionMs, clock })
  let cancelTicks: TimerCancel | undefined

  function apply (order: RolloutOrder): void {
    const existing = trials.get(order.name)
    if (existing && isAfter(existing.order.revision, order.revision)) return
    if (existing && existing.order.target === order.target) {
      if (existing.order.state !== order.state) log.info('roll-out', { service: order.service, target: order.target, state: order.state ?? 'ordered' })
      const knownState = stateOf(existing)
      // A final state in the store takes precedence over this VM's unconfirmed one and is never left.
      existing.order = order
      existing.unconfirmedState = STATE_RANKS[order.state ?? 'ordered'] < STATE_RANKS[knownState ?? 'ordered'] ? knownState : undefined
      if (order.state === 'taking_over') existing.takeoverSinceMs ??= clock.now()
      return
    }
    log.info('roll-out', { service: order.service, target: order.target, state: order.state ?? 'ordered' })
    const trial: Trial = {
      order,
      receivedAtMs: clock.now(),
      unconfirmedState: undefined,
      takeoverSinceMs: order.state === 'taking_over' ? clock.now() : undefined,
      pendingSinceMs: undefined,
      counters: new Map(),
      reports: new Map(),
      evaluator: createTrialEvaluator(),
      requests: 0,
      trialRequests: 0,
      sessions: {
        new: createTrialSessions({ trial: `${order.name}/${order.target}`, sessionMs, clock }),
        old: createTrialSessions({ trial: `${order.name}/${order.target}/old`, sessionMs, clock })
      },
      isWriting: false
    }
    trials.set(order.name, trial)
    for (const { sessionKey, version, lastMs } of recentSessions.list(order.service)) recordRun(trial, sessionKey, version, lastMs)
  }

  /** Records that a session runs on a version; of those on the old one only the sessions that could be put on trial. */
  function recordRun (trial: Trial, sessionKey: string, version: VersionId, atMs = clock.now()): void {
    if (version === trial.order.target) return trial.sessions.new.record(sessionKey, atMs)
    const elapsed = elapsedFraction(trial)
    if (isFirstStage(elapsed) && trialHash(trial, sessionKey) < stageShare(elapsed, trialLimit().share)) trial.sessions.old.record(sessionKey, atMs)
  }

  /** Records an attempt of a request of a session; returns a function that records its end. */
  function beginRun (service: ServiceId, sessionKey: string, version: VersionId): () => void {
    const end = recentSessions.begin(service, sessionKey, version)
    const record = () => {
      const trial = findTrial(service)
      if (trial && !isFinal(stateOf(trial))) recordRun(trial, sessionKey, version)
    }
    record()
    return () => {
      end()
      record()
    }
  }

  /** Whether a session is on trial: its latest request ran on the new version, on any VM. */
  function isSessionOnTrial ({ sessions }: Trial, sessionKey: string): boolean {
    const newMs = sessions.new.lastMs(sessionKey)
    return newMs !== undefined && newMs >= (sessions.old.lastMs(sessionKey) ?? -Infinity)
  }

  /** Whether a session may be put on trial now, as far as its earlier requests and the time decide. */
  function isSessionFree ({ sessions, receivedAtMs, order }: Trial, sessionKey: string, elapsed: number): boolean {
    if (!isFirstStage(elapsed)) return true
    const startMs = receivedAtMs + Math.min(TRIAL_START_MS, MAX_TRIAL_START_SHARE * order.durationMs)
    return clock.now() >= startMs && sessions.old.lastMs(sessionKey) === undefined
  }

  const trialHash = ({ order: { name, target } }: Trial, sessionKey: string) => hashFraction(`${name}/${target}/${sessionKey}`)

  const isFinal = (state: RolloutState | undefined) => state === 'completed' || state === 'rolled_back'
  const stateOf = ({ order, unconfirmedState }: Trial) => (isFinal(order.state) ? order.state : unconfirmedState ?? order.state)
  const isInProgress = (trial: Trial) => ['running', 'taking_over'].includes(stateOf(trial) ?? '')
  const elapsedFraction = ({ receivedAtMs, order }: Trial) => (clock.now() - receivedAtMs) / order.durationMs

  function findTrial (service: ServiceId): Trial | undefined {
    for (const trial of trials.values()) if (trial.order.service === service) return trial
    return undefined
  }

  /**
   * Versions that a request of a session may use. After a failure it goes to the old version unless the takeover has
   * begun; any other repeat, for example for a better answer, stays on the version of the session.
   */
  function versionRule (service: ServiceId, sessionKey: string, { version: lastVersion, hasFailed, hasSession = true }: EarlierAttempts = NO_ATTEMPTS): VersionRule {
    const trial = findTrial(service)
    if (!trial) return ANY_VERSION
    const { order: { target } } = trial
    const state = stateOf(trial)
    if (state === 'completed' || state === 'taking_over') return { allows: version => version === target, backendShare: 1 }
    const oldVersionOnly: VersionRule = { allows: version => version !== target, backendShare: 1 }
    if (hasFailed) return oldVersionOnly
    trial.requests++
    if (state !== 'running') return oldVersionOnly
    const elapsed = elapsedFraction(trial)
    const limit = trialLimit()
    const share = stageShare(elapsed, limit.share)
    // A session that any VM has put on trial stays on it: it must not change its version when this VM has used its share.
    const isOnTrial = lastVersion === undefined ? hasSession && isSessionOnTrial(trial, sessionKey) : lastVersion === target
    const mayStart = () => lastVersion === undefined && trialHash(trial, sessionKey) < share && isSessionFree(trial, sessionKey, elapsed) &&
      trial.trialRequests + 1 <= maxTrialRequests({ ownRequests: trial.requests, limit, vms: vms().length, elapsed })
    if (!isOnTrial && !mayStart()) return oldVersionOnly
    trial.trialRequests++
    if (hasSession) trial.sessions.new.record(sessionKey)
    return { allows: version => version === target, backendShare: share * BACKEND_SHARE_FACTOR }
  }

  /**
   * Observes the first attempt of a request; `undefined` when no trial is in progress. Repeats are not observed, because
   * the two versions get them for different reasons.
   */
  function observe (service: ServiceId, version: VersionId, route: string): RequestObservation | undefined {
    const trial = findTrial(service)
    if (!trial || !isInProgress(trial)) return undefined
    const counters = trial.counters.get(route) ?? { from: createRequestCounter(clock), to: createRequestCounter(clock) }
    trial.counters.set(route, counters)
    return (version === trial.order.target ? counters.to : counters.from).observe()
  }

  function acceptReport ({ order, target, vm: vmId, boot: bootId, counts }: TrialReport): void {
    const trial = trials.get(order)
    if (trial && trial.order.target === target) trial.reports.set(`${vmId}/${bootId}`, counts)
  }

  /** Sessions on one of the versions that the other VMs should know; `undefined` if there are none. */
  function sessionsReport (audience: Audience, side: TrialSide = 'new'): TrialSessionsReport | undefined {
    const entries = [...trials].flatMap(([name, trial]) => {
      const report = isFinal(stateOf(trial)) || stateOf(trial) === 'taking_over' ? undefined : trial.sessions[side].report(audience)
      return report === undefined ? [] : [[name, report] as const]
    })
    return entries.length > 0 ? Object.fromEntries(entries) : undefined
  }

  function mergeSessions (report: TrialSessionsReport, side: TrialSide = 'new'): void {
    for (const [name, sessions] of Object.entries(report)) {
      const trial = trials.get(name)
      if (trial && !trial.sessions[side].merge(sessions)) metrics.count('bad_input', 'trial_sessions')
    }
  }

  /** Keeps the sessions of requests that run for long. */
  function refreshRunning (trial: Trial): void {
    for (const { sessionKey, version, running } of recentSessions.list(trial.order.service)) if (running > 0) recordRun(trial, sessionKey, version)
  }

  function tick (): void {
    for (const trial of trials.values()) {
      const deciders = rendezvousOrder(trial.order.name, vms())
      if (!isFinal(stateOf(trial))) refreshRunning(trial)
      if (isInProgress(trial)) sendReport(trial, deciders)
      decide(trial, deciders.indexOf(vm))
      // A completion that is due before the next period is not delayed until then: a short order leaves less time at its end.
      const dueInMs = nextStateDue(trial) - clock.now()
      if (stateOf(trial) === 'taking_over' && dueInMs > 0 && dueInMs < TRIAL_PERIOD_MS) clock.after(dueInMs, () => { if (cancelTicks) decide(trial, deciders.indexOf(vm)) })
    }
  }

  function sendReport (trial: Trial, deciders: readonly VmId[]): void {
    const counts = Object.fromEntries([...trial.counters].map(([route, { from, to }]) => [route, { from: from.snapshot(), to: to.snapshot() }]))
    const message: TrialReport = { order: trial.order.name, target: trial.order.target, vm, boot, counts }
    acceptReport(message)
    for (const to of deciders.slice(0, REPORT_RECEIVERS)) if (to !== vm) report(to, message)
  }

  function decide (trial: Trial, rank: number): void {
    const nextState = trial.unconfirmedState ?? determineState(trial)
    if (nextState === undefined || nextState === trial.order.state) {
      trial.pendingSinceMs = undefined
      return
    }
    trial.pendingSinceMs ??= clock.now()
    if (trial.isWriting || clock.now() - trial.pendingSinceMs < Math.max(0, rank) * DECIDER_DELAY_MS) return
    if (nextState === 'completed' || nextState === 'rolled_back') trial.unconfirmedState = nextState
    void writeState(trial, nextState)
  }

  /** State that the order should move to, from the reports this VM has received; `undefined` for no change. */
  function determineState (trial: Trial): RolloutState | undefined {
    const { order, evaluator, reports } = trial
    if (order.state === undefined) return 'running'
    if (isFinal(order.state)) return undefined
    const totals = sumByRoute(reports.values())
    const evidence = evaluator.evaluate(totals, clock.now())
    if (Math.max(evidence.failures, evidence.latency) >= STOP_EVIDENCE) {
      const total = sumTrialCounts(Object.values(totals))
      log.warn('the new version is worse', { service: order.service, target: order.target, evidence, trials: total.to.requests, failures: total.to.failures })
      return 'rolled_back'
    }
    if (Math.max(evidence.failures, evidence.possibleLatency) > WAIT_EVIDENCE) return undefined
    if (clock.now() < nextStateDue(trial)) return undefined
    if (order.state === 'taking_over') return 'completed'
    return hasEnoughRequests(totals, MIN_TRIAL_SAMPLE) ? 'taking_over' : undefined
  }

  const nextStateDue = ({ receivedAtMs, takeoverSinceMs, order: { durationMs } }: Trial) => nextStateDueMs({ receivedAtMs, takeoverSinceMs, durationMs, sessionMs })

  async function writeState (trial: Trial, state: RolloutState): Promise<void> {
    trial.isWriting = true
    try {
      const written = await writeStatus(trial.order, state)
      metrics.count('rollout_steps', written ? state : 'conflict')
      log.info('roll-out status written', { service: trial.order.service, target: trial.order.target, state, written })
    } catch (error) {
      log.warn('the roll-out status could not be written', { service: trial.order.service, state, error: errorMessage(error) })
    } finally {
      trial.isWriting = false
    }
  }

  return {
    apply,
    /** Replaces all orders with the listed ones. */
    applyAll (orders: readonly RolloutOrder[]): void {
      const names = new Set(orders.map(({ name }) => name))
      for (const name of [...trials.keys()]) if (!names.has(name)) trials.delete(name)
      for (const order of orders) apply(order)
    },
    /** Applies an order of a copy from which the store was restored, if it is known: states that the copy lacks are written again. */
    applyRestored (order: RolloutOrder): void {
      if (trials.get(order.name)?.order.target === order.target) apply(order)
    },
    remove (name: string): void { trials.delete(name) },
    versionRule,
    beginRun,
    observe,
    acceptReport,
    sessionsReport,
    mergeSessions,
    start (): void { cancelTicks = clock.every(TRIAL_PERIOD_MS, tick) },
    stop (): void {
      cancelTicks?.()
      cancelTicks = undefined
    }
  }
}

export type VersionTrials = ReturnType<typeof createVersionTrials>
