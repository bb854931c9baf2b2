/** Test harness of the admission scenarios: a leader with fake engines and a manual clock. */
import assert from 'node:assert/strict'
import {
  addressOf, createBasicView, createFakeEngine, DATA_CENTRE, permitRequest, putBackendServer, type FakeEngine, type MemoryView
} from '../../src/bench/admission-fixture.ts'
import { createScheduler } from '../../src/core/admission/index.ts'
import type { HealthReport, LeaderSummary, Permit, PermitAnswer, PermitRequest, Scheduler } from '../../src/core/admission/types.ts'
import { createRandom } from '../../src/bench/random.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import type { VmIdentity } from '../../src/core/settings/index.ts'

export const VM = brandId<VmId>('vm-1')
export const TAKEOVER_WAIT_MS = 2000
/** Longer than the ramp to 16 slots in steps of one. */
export const RAMP_MS = 4500

export interface SubmittedRequest {
  request: PermitRequest
  vm: VmId
  answer: PermitAnswer | undefined
}

export interface AdmissionHarness {
  clock: ManualClock
  view: MemoryView
  metrics: Metrics
  engines: Map<string, FakeEngine>
  quarantined: Set<string>
  suspects: Set<string>
  peerSummaries: LeaderSummary[]
  scheduler: Scheduler
  epoch: number
  leaseHeld: boolean
  /** One-way delay of health probes. */
  probeDelayMs: number
  probesTimeOut: boolean
  submitted: SubmittedRequest[]
  /** Granted requests in the order of the grants. */
  grants: SubmittedRequest[]
}

export interface EngineSetup { slots?: number, coldAllowance?: number, reportLagMs?: number }

export function identityOf (vm: VmId): VmIdentity {
  return { vm, boot: brandId(`boot-of-${vm}`), region: brandId('bagmati'), dataCentre: DATA_CENTRE }
}

export function createHarness (options: Parameters<typeof createBasicView>[0] = {}): AdmissionHarness {
  const harness = {
    clock: createManualClock(),
    view: createBasicView(options),
    metrics: createMetrics(),
    engines: new Map<string, FakeEngine>(),
    quarantined: new Set<string>(),
    suspects: new Set<string>(),
    peerSummaries: [],
    epoch: 0,
    leaseHeld: true,
    probeDelayMs: 0,
    probesTimeOut: false,
    submitted: [],
    grants: []
  } as unknown as AdmissionHarness
  startScheduler(harness)
  return harness
}

/** Starts the scheduler of the next epoch and stops the previous one, which has lost its lease. */
export function startScheduler (harness: AdmissionHarness, options: { maxQueue?: number } = {}): void {
  const epoch = ++harness.epoch
  harness.scheduler?.stop()
  harness.scheduler = createScheduler({
    identity: identityOf(VM),
    dataCentre: DATA_CENTRE,
    epoch,
    isLeaseHeld: () => harness.leaseHeld && harness.epoch === epoch,
    view: harness.view,
    healthProbe: address => probe(harness, address),
    quarantine: {
      isQuarantined: fingerprint => harness.quarantined.has(fingerprint),
      isSuspect: fingerprint => harness.suspects.has(fingerprint),
      remainingMs: () => 600_000
    },
    peerSummaries: () => harness.peerSummaries,
    clock: harness.clock,
    metrics: harness.metrics,
    log: silentLog,
    random: createRandom(1),
    ...options
  })
  harness.scheduler.start()
}

async function probe (harness: AdmissionHarness, address: string): Promise<HealthReport> {
  const delay = async (): Promise<void> => harness.probeDelayMs > 0 ? harness.clock.sleep(harness.probeDelayMs) : undefined
  await delay()
  const report = engineAt(harness, address).health()
  await delay()
  if (harness.probesTimeOut) throw new Error('probe timed out')
  return report
}

function engineAt (harness: AdmissionHarness, address: string): FakeEngine {
  return [...harness.engines.values()].find(engine => engine.address === address)!
}

export function addEngine (harness: AdmissionHarness, name: string, { slots = 8, coldAllowance = 1, reportLagMs = 0 }: EngineSetup = {}): FakeEngine {
  const engine = createFakeEngine({ clock: harness.clock, address: addressOf(name), coldAllowance, reportLagMs })
  harness.engines.set(name, engine)
  putBackendServer(harness.view, name, { slots, coldAllowance })
  return engine
}

/** Requests a permit; a granted request arrives at its engine immediately. */
export function submitRequest (harness: AdmissionHarness, fields: Partial<PermitRequest> = {}, vm: VmId = VM): SubmittedRequest {
  const request = permitRequest({ request: `request-${harness.submitted.length}`, ...fields })
  const submitted: SubmittedRequest = { request, vm, answer: undefined }
  harness.submitted.push(submitted)
  void harness.scheduler.request(request, vm).then(answer => {
    submitted.answer = answer
    if (!answer.granted) return
    harness.grants.push(submitted)
    harness.engines.get(answer.permit.backendServer)!.begin(answer.permit.id)
  })
  return submitted
}

export function expectPermit (submitted: SubmittedRequest): Permit {
  assert.ok(submitted.answer?.granted, `expected a grant, got ${JSON.stringify(submitted.answer)}`)
  return submitted.answer.permit
}

export function expectRefusal (submitted: SubmittedRequest): { reason: string, retryAfterMs: number } {
  assert.ok(submitted.answer && !submitted.answer.granted, `expected a refusal, got ${JSON.stringify(submitted.answer)}`)
  return submitted.answer.refusal
}

export function finish (harness: AdmissionHarness, submitted: SubmittedRequest, outcome: 'completed' | 'failed' | 'crashed' = 'completed'): void {
  const { id, backendServer } = expectPermit(submitted)
  const engine = harness.engines.get(backendServer)!
  engine.end(id)
  harness.scheduler.release({ id, outcome, instance: outcome === 'completed' ? engine.instance : undefined }, submitted.vm)
}

export function coldOverloads (harness: AdmissionHarness): number {
  return [...harness.engines.values()].reduce((sum, engine) => sum + engine.coldOverloads, 0)
}
