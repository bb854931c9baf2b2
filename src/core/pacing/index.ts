/**
 * Pacing: what each backend server can carry, learned from its answers. It handles fleets of uneven servers and servers
 * that slow down, fail or come back while many VMs send to them. In a small fleet, every VM gets the samples of all
 * others. In a large one, the collectors get all samples and tell the other VMs the speeds that have changed; a VM without
 * reports uses its own samples.
 */
import type { Backend } from '../backend-pool/types.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendServerId, VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import {
  EVALUATION_PERIOD_MS, LATE_FACTOR, LOG_INTERVAL_MS, MAX_REPORTED_FAILURES, MAX_REPORTED_SAMPLES, MAX_REPORTED_SERVERS, MAX_REPORTED_SPEED_AGE_MS, MAX_REPORTED_STATES, MAX_SAMPLES, MAX_SPEED, MIN_SAMPLES, MIN_SPEED, SPEED_REPORT_MS, SPEEDS_IN_TURN
} from './constants.ts'
import { observeAnswer, workName, type Work } from './observation.ts'
import { createSlowdowns } from './slowdown.ts'
import { createReturns, type Returns } from './returns.ts'
import { createSpeeds } from './speed.ts'
import { classIdOf, createTypicalTimes, toValue } from './typical-times.ts'
import type { AnswerClass, AttemptObservation, Audience, PaceReport } from './types.ts'

export type * from './types.ts'
export type { Work } from './observation.ts'

/** Typical times of an answer in milliseconds; `undefined` while unknown. */
export interface ExpectedTimes { firstMs: number | undefined, wholeMs: number | undefined }

export interface PacingOptions {
  /** Name of the group of servers that a server is compared with; `undefined` for one that this VM does not know. */
  groupOf(id: BackendServerId): string | undefined
  /** Requests that a backend server runs concurrently; `undefined` for one that this VM does not know. */
  slotsOf(id: BackendServerId): number | undefined
  /** Whether a backend server says that it can still take only little load. */
  isCold(id: BackendServerId): boolean
  /** Load of a backend server from all VMs. */
  loadOf(id: BackendServerId): number
  /** Backend servers that this VM knows. */
  serverCount(): number
  /** Called when a server that had failed may be used again, so that earlier failures no longer count. Default: ignored. */
  onRecovered?: (id: BackendServerId) => void
  /** VMs that share the limits, this one included; returns the same array until they change. */
  vms(): readonly VmId[]
  self: VmId
  clock: Clock
  log: Log
  metrics: Metrics
}

export interface Pacing extends Pick<Returns, 'limitOf' | 'stateOf' | 'isTrialDue' | 'recordTrial'> {
  /** Records that a backend server has started or may be used again, so that it gets its load step by step. */
  recordReturn: Returns['begin']
  recordConnectFailure(id: BackendServerId): void
  /** Forgets the failures that this VM alone has seen at a backend server, because they were its own. */
  forgetOwnFailures: Returns['forgetOwnFailures']
  recordRefusal: Returns['recordRefusal']
  /** Whether this VM's share of the limit permits one more request beside those in flight. */
  permits: Returns['permits']
  /** Speed of a backend server relative to the others of its service and version; 1 if it is not known to differ. */
  speedOf(id: BackendServerId): number
  /** Observes one attempt from its start. */
  observe(backend: Backend, work: Work): AttemptObservation
  expectedTimes(backend: Backend, work: Work): ExpectedTimes
  /** What is new for other VMs, if anything; samples are reported once. */
  report(audience: Audience): PaceReport | undefined
  /** Takes over another VM's report; with `isRelay`, its samples are part of this VM's next report. */
  merge(report: unknown, options?: { isRelay?: boolean }): void
}

const RETURN_STATES = ['full', 'ramp', 'trial'] as const

interface ReportedSpeed { speed: number, receivedMs: number }

export function createPacing ({ groupOf, slotsOf, isCold, serverCount, loadOf, onRecovered = () => {}, vms, self, clock, log, metrics }: PacingOptions): Pacing {
  const typicalTimes = createTypicalTimes()
  const speeds = createSpeeds({ typicalTimes, groupOf, loadOf, clock })
  const returns = createReturns({ vms, self, slotsOf, isCold, serverCount, onRecovered, clock, log, metrics })
  const slowdowns = createSlowdowns()
  /** Samples for the next report. */
  let unreported = new Map<BackendServerId, number[]>()
  const reportedSpeeds = new Map<BackendServerId, ReportedSpeed>()
  /** Speeds in the log, to write lines only for changes. */
  const loggedSpeeds = new Map<BackendServerId, { speed: number, atMs: number }>()
  let evaluatedMs = clock.now()
  let nextInTurn = 0
  const byServer = (read: (id: BackendServerId) => number) => () => [...speeds.ids()].map(id => [id, read(id)] as const)
  metrics.gaugeBy('backend_speed', 'Speed of a backend server relative to the others of its service', 'backend_server', byServer(effectiveSpeed))
  metrics.gaugeBy('backend_limit', 'Concurrent requests that all VMs together send to a backend server', 'backend_server', byServer(returns.limitOf))
  metrics.gaugeBy('backend_return', 'Return of a backend server to service: 0 full, 1 ramp, 2 trial', 'backend_server', byServer(id => RETURN_STATES.indexOf(returns.stateOf(id))))

  function evaluateIfDue (): void {
    if (clock.now() - evaluatedMs < EVALUATION_PERIOD_MS) return
    evaluatedMs = clock.now()
    speeds.evaluate()
    judgePaces()
    returns.prune()
    for (const id of reportedSpeeds.keys()) if (groupOf(id) === undefined) reportedSpeeds.delete(id)
    for (const id of loggedSpeeds.keys()) if (groupOf(id) === undefined) loggedSpeeds.delete(id)
    for (const id of new Set([...speeds.ids(), ...reportedSpeeds.keys()])) logChange(id)
  }

  /** Cuts the limits of servers that slow down under their load, and lets them rise once they keep their pace. */
  function judgePaces (): void {
    for (const id of speeds.ids()) {
      const verdict = slowdowns.judge(id, speeds.paceSince(id, returns.loweredMsOf(id)))
      if (verdict === 'overloaded') returns.recordOverload(id)
      else if (verdict !== 'unknown') returns.recordPace(id, verdict === 'kept')
    }
    slowdowns.prune(id => groupOf(id) !== undefined)
  }

  function logChange (id: BackendServerId): void {
    const speed = effectiveSpeed(id)
    const { speed: logged, atMs } = loggedSpeeds.get(id) ?? { speed: 1, atMs: -Infinity }
    // Between servers that differ, only a change across the even band is a change of state.
    if ((speed === 1) === (logged === 1) && (speed < 1) === (logged < 1)) return
    if (clock.now() - atMs < LOG_INTERVAL_MS) return
    loggedSpeeds.set(id, { speed, atMs: clock.now() })
    const { samples = 0, ageMs } = speeds.get(id) ?? {}
    metrics.count('backend_speeds', speed === 1 ? 'even' : speed < 1 ? 'slower' : 'faster')
    log.info('learned speed of backend server changed', { backendServer: id, speed: round(speed), before: round(logged), samples, ageMs: ageMs === undefined ? undefined : Math.round(ageMs), source: isReported(id) ? 'collector' : 'own' })
  }

  /** A VM with many samples, such as a new collector, knows the speed itself. */
  function isReported (id: BackendServerId): boolean {
    const reported = reportedSpeeds.get(id)
    return reported !== undefined && (speeds.get(id)?.samples ?? 0) < MAX_SAMPLES / 2 && clock.now() - reported.receivedMs <= MAX_REPORTED_SPEED_AGE_MS
  }

  function effectiveSpeed (id: BackendServerId): number {
    return isReported(id) ? reportedSpeeds.get(id)!.speed : speeds.speedOf(id)
  }

  function addUnreported (id: BackendServerId, samples: readonly number[]): void {
    const waiting = unreported.get(id) ?? []
    if (unreported.size >= MAX_REPORTED_SERVERS && !unreported.has(id)) return
    unreported.set(id, [...waiting, ...samples].slice(-2 * MAX_REPORTED_SAMPLES))
  }

  function recordSample (id: BackendServerId, answer: AnswerClass, ms: number): void {
    const classId = classIdOf(answer)
    if (answer.signal === 'whole') return typicalTimes.record(classId, toValue(ms))
    if (speeds.record(id, classId, toValue(ms))) addUnreported(id, [classId, toValue(ms)])
  }

  function takeSamples (): PaceReport {
    if (unreported.size === 0) return {}
    const samples = Object.fromEntries(unreported)
    unreported = new Map()
    return { samples }
  }

  /** Speeds that have changed recently, and some others in turn. */
  function speedReport (): PaceReport {
    // A new collector has no samples at first and must not replace what the earlier one reported.
    const ids = [...speeds.ids()].filter(id => speeds.get(id)!.samples >= MIN_SAMPLES)
    const inTurn = Array.from({ length: Math.min(SPEEDS_IN_TURN, ids.length) }, () => ids[nextInTurn++ % ids.length]!)
    const changed = ids.filter(id => clock.now() - speeds.get(id)!.changedMs <= SPEED_REPORT_MS)
    if (ids.length === 0) return {}
    return { speeds: Object.fromEntries([...changed, ...inTurn].map(id => [id, Math.round(100 * speeds.get(id)!.speed)])) }
  }

  return {
    speedOf (id) {
      evaluateIfDue()
      return effectiveSpeed(id)
    },
    observe (backend, work) {
      const { id } = backend.entry
      const startedMs = clock.now()
      const typicalMs = (answer: AnswerClass) => typicalTimes.msOf(classIdOf(answer))
      let isLate = false
      const observation = observeAnswer({
        work,
        name: workName(backend, work),
        typicalMs,
        onSample (answer, ms) {
          isLate ||= ms > LATE_FACTOR * (typicalMs(answer) ?? Infinity)
          recordSample(id, answer, ms)
        },
        clock
      })
      return {
        recordEvent () {
          observation.recordEvent()
          if (work.isStreaming && !isLate) returns.recordGood(id, startedMs, false)
        },
        end (end) {
          observation.end(end)
          if (end === 'failed' || (end === 'deadline' && isLate)) returns.recordFailure(id, 'answer')
          if (end === 'completed' && !isLate) returns.recordGood(id, startedMs, true)
        }
      }
    },
    expectedTimes (backend, work) {
      const name = workName(backend, work)
      const speed = Math.min(1, effectiveSpeed(backend.entry.id))
      const expectedMs = (signal: AnswerClass['signal']) => typicalTimes.msOf(classIdOf({ signal, name }))
      const firstMs = expectedMs('first')
      return { firstMs: firstMs && firstMs / speed, wholeMs: expectedMs('whole') }
    },
    report (audience) {
      evaluateIfDue()
      const report = { ...audience === 'computing' ? takeSamples() : speedReport(), ...returns.report(audience) }
      return Object.keys(report).length > 0 ? report : undefined
    },
    merge (report, { isRelay = false } = {}) {
      const { samples, speeds: received, limits, failures, held } = (report ?? {}) as Record<string, unknown>
      for (const [id, values] of entriesOf(samples)) {
        if (!isNumberList(values) || values.length > 2 * MAX_REPORTED_SAMPLES) {
          metrics.count('bad_input', 'pace_report')
          continue
        }
        for (let i = 0; i < values.length; i += 2) {
          if (speeds.record(id, values[i]!, values[i + 1]!) && isRelay) addUnreported(id, values.slice(i, i + 2))
        }
      }
      for (const [id, percent] of entriesOf(received)) {
        if (typeof percent === 'number' && percent >= 100 * MIN_SPEED && percent <= 100 * MAX_SPEED) {
          if (groupOf(id) !== undefined) reportedSpeeds.set(id, { speed: percent / 100, receivedMs: clock.now() })
        } else metrics.count('bad_input', 'pace_report')
      }
      for (const [id, values] of entriesOf(limits)) {
        if (!isNumberList(values) || values.length !== 2) metrics.count('bad_input', 'pace_report')
        else if (groupOf(id) !== undefined) returns.mergeLimit(id, values[0]!, values[1]!)
      }
      for (const [id, values] of entriesOf(failures)) {
        if (!isNumberList(values) || values.length > 2 * MAX_REPORTED_FAILURES) metrics.count('bad_input', 'pace_report')
        else if (groupOf(id) !== undefined) for (let i = 0; i < values.length; i += 2) returns.mergeFailure(id, values[i]!, values[i + 1]!)
      }
      if (Array.isArray(held) && held.length <= MAX_REPORTED_STATES) for (const id of held) returns.mergeHold(id as BackendServerId)
      else if (held !== undefined) metrics.count('bad_input', 'pace_report')
    },
    recordReturn: returns.begin,
    recordConnectFailure: id => returns.recordFailure(id, 'connection'),
    forgetOwnFailures: returns.forgetOwnFailures,
    recordRefusal: returns.recordRefusal,
    limitOf: returns.limitOf,
    stateOf: returns.stateOf,
    permits: returns.permits,
    isTrialDue: returns.isTrialDue,
    recordTrial: returns.recordTrial
  }
}

function entriesOf (field: unknown): [BackendServerId, unknown][] {
  return typeof field === 'object' && field !== null ? Object.entries(field) as [BackendServerId, unknown][] : []
}

function isNumberList (values: unknown): values is number[] {
  return Array.isArray(values) && values.length % 2 === 0 && values.every(value => Number.isInteger(value))
}

function round (speed: number): number {
  return Math.round(speed * 100) / 100
}
