/**
 * Fake fleet without a network: VMs with the product's pool, placement and pacing send streams to fake engines in steps of
 * simulated time. An engine runs its slots at a common pace that falls with their number, and queues the rest.
 */
import { createBackendPool, type Backend, type Reservation } from '../../src/core/backend-pool/index.ts'
import type { Clock } from '../../src/core/clock/index.ts'
import type { ForwardedRequest } from '../../src/core/forwarding/forward.ts'
import type { RouteTable } from '../../src/core/forwarding/route-table.ts'
import { createAssignments, type Assignments } from '../../src/core/forwarding-vm/assignment.ts'
import { brandId, type BackendServerId, type DataCentreId, type ServiceId, type VersionId, type VmId } from '../../src/core/ids/index.ts'
import type { LoadExchange } from '../../src/core/load-exchange/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import { createPacing, type PaceReport, type Pacing } from '../../src/core/pacing/index.ts'
import { requestLoad } from '../../src/core/placement/index.ts'
import type { RequestObservation, VersionTrials } from '../../src/core/version-trial/index.ts'
import { createRandom } from '../../src/standin/random.ts'
import { backendEntry } from './forwarding-vm-harness.ts'

export const STEP_MS = 10
const PREFILL_MS = 60
const EVENT_MS = 15
const EVENTS = 30
/** Periods of the load reports in small and large fleets. */
const [DIRECT_PERIOD_MS, COLLECTED_PERIOD_MS] = [250, 500]
const COLLECTORS = 4
const SLOTS = 16
/** Streams above which an engine slows down by its factor. */
const FULL_FROM = 8
const SERVICE = brandId<ServiceId>('service')
/** Works as placement did before pacing. */
export const UNPACED: Pick<Pacing, 'speedOf' | 'permits' | 'stateOf' | 'isTrialDue' | 'recordTrial'> = { speedOf: () => 1, permits: () => true, stateOf: () => 'full', isTrialDue: () => false, recordTrial () {} }

interface Stream { sentMs: number, vm: Vm, workMs: number, events: number, observation: RequestObservation, reservation: Reservation }
interface Vm { pool: ReturnType<typeof createBackendPool>, pacing: Pacing, assignments: Assignments, metrics: Metrics }

/** `fullFactor`: times as long that it takes for each stream while it has many of them. */
export interface Engine { id: BackendServerId, speed: number, fullFactor: number, isUp: boolean, streams: Stream[], arrivals: number[] }

export interface PacedFleetOptions { vms: number, speeds: readonly number[], ratePerS: number, hasNoise?: boolean, isPaced?: boolean, hasReports?: boolean, seed?: number, versionOf?: (place: number) => string }

export function createPacedFleet ({ vms: vmCount, speeds, ratePerS, hasNoise = false, isPaced = true, hasReports = true, seed = 1, versionOf = () => 'v1' }: PacedFleetOptions) {
  const random = createRandom(seed)
  const periodMs = vmCount > 13 ? COLLECTED_PERIOD_MS : DIRECT_PERIOD_MS
  let nowMs = 0
  const clock: Clock = { now: () => nowMs, wallMs: () => nowMs, sleep: async () => {}, after: () => () => {}, every: () => () => {} }
  const names = Array.from({ length: vmCount }, (_, index) => brandId<VmId>(`vm-${index}`))
  const engines = speeds.map((speed, index): Engine => ({ id: brandId<BackendServerId>(`s${index}`), speed, fullFactor: 1, isUp: true, streams: [], arrivals: [] }))
  const finished: { sentMs: number, endMs: number }[] = []
  const table = { service: () => ({ maxConnections: 1e6 }) } as unknown as RouteTable
  const history: Map<BackendServerId, number>[] = []
  const messages: { dueMs: number, deliver(): void }[] = []
  let failed = 0
  const vms = names.map((self, index) => createVm(self, index))

  function createVm (self: VmId, index: number): Vm {
    const metrics = createMetrics()
    const pool = createBackendPool({ cold: { limit: () => 0, vms: () => names, self }, onReturn: (id, reason) => pacing.recordReturn(id, reason), clock, log: silentLog, metrics })
    const pacing = createPacing({
      groupOf: id => pool.get(id)?.entry.version, slotsOf: id => pool.get(id)?.entry.slots, isCold: id => pool.get(id)!.entry.coldLeftMs > 0, serverCount: () => engines.length, loadOf: id => pool.get(id)!.load + othersLoad(id), onRecovered: id => pool.forgetFailures(id), vms: () => names, self, clock, log: silentLog, metrics
    })
    const dataCentre = brandId<DataCentreId>(`dc-${index % 4}`)
    pool.applySnapshot(engines.map(({ id }, place) => ({ ...backendEntry('127.0.0.1:1', { slots: SLOTS, version: brandId<VersionId>(versionOf(place)), dataCentre: brandId<DataCentreId>(`dc-${place % 4}`) }), id, service: SERVICE })))
    const ageSteps = vmCount > 13 ? 1 + index % 3 : 1
    // Loads of others are as old as the reports; own ones are in the pool.
    const othersLoad = (id: BackendServerId) => (history.at(-ageSteps)?.get(id) ?? 0) * (1 - 1 / vmCount)
    const assignments = createAssignments({
      pool, trials: { versionRule: () => ({ allows: () => true, backendShare: 1 }) } as unknown as VersionTrials, loads: { othersLoad } as unknown as LoadExchange, pacing: isPaced ? pacing : UNPACED, table: () => table, vmCount: () => vmCount, dataCentre, random
    })
    return { pool, pacing, assignments, metrics }
  }

  function send (vm: Vm): void {
    const forwarded = { request: { id: 'r', promptTokens: 1000, prompt: [] }, service: SERVICE, route: { name: 'stream', kind: 'streaming', resumable: true } } as unknown as ForwardedRequest
    const triedBackends = new Set<Backend>()
    for (let attempt = 0; attempt < 4; attempt++) {
      const backend = vm.assignments.prepare(forwarded, { triedBackends, hasFailed: false }).choose(() => true)
      if (!backend) break
      const engine = engines.find(({ id }) => id === backend.entry.id)!
      engine.arrivals.push(nowMs)
      if (engine.isUp) {
        const observation = vm.pacing.observe(backend, { route: 'stream', isStreaming: true, model: undefined, promptTokens: 1000, bodyBytes: 0 })
        engine.streams.push({ sentMs: nowMs, vm, workMs: 0, events: 0, observation, reservation: vm.pool.reserve(backend, requestLoad(1000, 1)) })
        return
      }
      triedBackends.add(backend)
      vm.pool.recordConnectFailure(backend)
      vm.pacing.recordConnectFailure(backend.entry.id)
    }
    failed++
  }

  function end (stream: Stream, kind: 'completed' | 'failed'): void {
    stream.reservation.release()
    stream.vm.pool.recordResult(stream.reservation.backend, kind === 'failed')
    stream.observation.end(kind)
    if (kind === 'completed') finished.push({ sentMs: stream.sentMs, endMs: nowMs })
    else failed++
  }

  function run (engine: Engine, place: number): void {
    if (!engine.isUp) return engine.streams.splice(0).forEach(stream => end(stream, 'failed'))
    // Spells of 600 ms that cover 15 % of the time, at another time for each engine.
    const isSlowed = hasNoise && (nowMs + place * 1517) % 4000 < 600
    const running = engine.streams.slice(0, SLOTS)
    const doneMs = STEP_MS * engine.speed / (isSlowed ? 2.5 : 1) / (running.length > FULL_FROM ? engine.fullFactor : 1) / (1 + 0.033 * running.length)
    for (const stream of running) {
      stream.workMs += doneMs
      while (stream.events < EVENTS && stream.workMs >= PREFILL_MS + stream.events * EVENT_MS) {
        if (stream.events++ === 0) stream.reservation.endPrompt()
        stream.observation.recordEvent()
      }
    }
    engine.streams = engine.streams.filter(stream => stream.events < EVENTS)
    for (const stream of running) if (stream.events >= EVENTS) end(stream, 'completed')
  }

  /** Delivers a copy after 10 ms to a period; a loss is not modelled. */
  function deliver (report: PaceReport = {}, to: Vm, isRelay: boolean): void {
    const text = JSON.stringify(report)
    if (hasReports) messages.push({ dueMs: nowMs + STEP_MS + random() * periodMs / 2, deliver: () => to.pacing.merge(JSON.parse(text), { isRelay }) })
  }

  function exchange (): void {
    history.push(new Map(engines.map(({ id }) => [id, vms.reduce((sum, { pool }) => sum + pool.get(id)!.load, 0)])))
    for (const [index, vm] of vms.entries()) {
      const report = vm.pacing.report('computing')
      const others = vmCount <= 13 ? vms : index < COLLECTORS ? vms.slice(0, COLLECTORS) : [vms[index % COLLECTORS]!]
      for (const other of others) if (other !== vm) deliver(report, other, vmCount > 13 && index >= COLLECTORS)
      if (vmCount > 13 && index >= COLLECTORS) deliver(vms[index % COLLECTORS]!.pacing.report('collected'), vm, false)
    }
  }

  return {
    /** Makes time pass without requests. */
    wait (ms: number) { nowMs += ms },
    engines,
    vms,
    finished,
    failed: () => failed,
    /** Runs for a time, calling `onStep` before each step. */
    run (durationMs: number, onStep: (nowMs: number) => void = () => {}) {
      for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += STEP_MS) {
        onStep(nowMs)
        if (nowMs % periodMs === 0) exchange()
        for (const message of messages.filter(({ dueMs }) => dueMs <= nowMs)) {
          messages.splice(messages.indexOf(message), 1)
          message.deliver()
        }
        let arrivals = ratePerS * STEP_MS / 1000
        for (; random() < arrivals; arrivals--) send(vms[Math.floor(random() * vms.length)]!)
        engines.forEach(run)
      }
    }
  }
}

export type PacedFleet = ReturnType<typeof createPacedFleet>
