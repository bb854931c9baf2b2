/** A leader with fake engines and a manual clock, for the scenarios of admission. */
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
export const SETTLE_MS = 2000
/** Longer than the ramp of 16 slots in steps of one. */
export const RAMP_MS = 4500

export interface Asked {
  request: PermitRequest
  vm: VmId
  answer: PermitAnswer | undefined
}

export interface AdmissionStand {
  clock: ManualClock
  view: MemoryView
  metrics: Metrics
  engines: Map<string, FakeEngine>
  quarantined: Set<string>
  suspects: Set<string>
  peerSummaries: LeaderSummary[]
  scheduler: Scheduler
  epoch: number
  held: boolean
  /** One-way delay of health probes. */
  probeDelayMs: number
  probesTimeOut: boolean
  asked: Asked[]
  /** Granted requests in the order of the grants. */
  grants: Asked[]
}

export interface EngineSetup { slots?: number, coldAllowance?: number, reportLagMs?: number }

export function identityOf (vm: VmId): VmIdentity {
  return { vm, boot: brandId(`boot-of-${vm}`), region: brandId('bagmati'), dataCentre: DATA_CENTRE }
}

export function createStand (options: Parameters<typeof createBasicView>[0] = {}): AdmissionStand {
  const stand = {
    clock: createManualClock(),
    view: createBasicView(options),
    metrics: createMetrics(),
    engines: new Map<string, FakeEngine>(),
    quarantined: new Set<string>(),
    suspects: new Set<string>(),
    peerSummaries: [],
    epoch: 0,
    held: true,
    probeDelayMs: 0,
    probesTimeOut: false,
    asked: [],
    grants: []
  } as unknown as AdmissionStand
  lead(stand)
  return stand
}

/** Starts the scheduler of the next epoch; the former one has lost its lease. */
export function lead (stand: AdmissionStand, options: { maxQueue?: number } = {}): void {
  const epoch = ++stand.epoch
  stand.scheduler?.stop()
  stand.scheduler = createScheduler({
    identity: identityOf(VM),
    dataCentre: DATA_CENTRE,
    epoch,
    isLeaseHeld: () => stand.held && stand.epoch === epoch,
    view: stand.view,
    healthProbe: address => probe(stand, address),
    quarantine: {
      isQuarantined: fingerprint => stand.quarantined.has(fingerprint),
      isSuspect: fingerprint => stand.suspects.has(fingerprint),
      remainingMs: () => 600_000
    },
    peerSummaries: () => stand.peerSummaries,
    clock: stand.clock,
    metrics: stand.metrics,
    log: silentLog,
    random: createRandom(1),
    ...options
  })
  stand.scheduler.start()
}

async function probe (stand: AdmissionStand, address: string): Promise<HealthReport> {
  const delay = async (): Promise<void> => stand.probeDelayMs > 0 ? stand.clock.sleep(stand.probeDelayMs) : undefined
  await delay()
  const report = engineAt(stand, address).health()
  await delay()
  if (stand.probesTimeOut) throw new Error('no answer')
  return report
}

function engineAt (stand: AdmissionStand, address: string): FakeEngine {
  return [...stand.engines.values()].find(engine => engine.address === address)!
}

export function addEngine (stand: AdmissionStand, name: string, { slots = 8, coldAllowance = 1, reportLagMs = 0 }: EngineSetup = {}): FakeEngine {
  const engine = createFakeEngine({ clock: stand.clock, address: addressOf(name), coldAllowance, reportLagMs })
  stand.engines.set(name, engine)
  putBackendServer(stand.view, name, { slots, coldAllowance })
  return engine
}

/** Asks for a permit; a granted request arrives at its engine at once. */
export function ask (stand: AdmissionStand, fields: Partial<PermitRequest> = {}, vm: VmId = VM): Asked {
  const request = permitRequest({ request: `request-${stand.asked.length}`, ...fields })
  const asked: Asked = { request, vm, answer: undefined }
  stand.asked.push(asked)
  void stand.scheduler.request(request, vm).then(answer => {
    asked.answer = answer
    if (!answer.granted) return
    stand.grants.push(asked)
    stand.engines.get(answer.permit.backendServer)!.begin(answer.permit.id)
  })
  return asked
}

export function permitOf (asked: Asked): Permit {
  assert.ok(asked.answer?.granted, `expected a grant, found ${JSON.stringify(asked.answer)}`)
  return asked.answer.permit
}

export function refusalOf (asked: Asked): { reason: string, retryAfterMs: number } {
  assert.ok(asked.answer && !asked.answer.granted, `expected a refusal, found ${JSON.stringify(asked.answer)}`)
  return asked.answer.refusal
}

export function finish (stand: AdmissionStand, asked: Asked, outcome: 'completed' | 'failed' | 'crashed' = 'completed'): void {
  const { id, backendServer } = permitOf(asked)
  const engine = stand.engines.get(backendServer)!
  engine.end(id)
  stand.scheduler.release({ id, outcome, instance: outcome === 'completed' ? engine.instance : undefined }, asked.vm)
}

export function coldOverloads (stand: AdmissionStand): number {
  return [...stand.engines.values()].reduce((sum, engine) => sum + engine.coldOverloads, 0)
}
