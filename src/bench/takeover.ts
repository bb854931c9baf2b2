/**
 * Takeover of a data centre's lease under load: counts how often a cold backend server exceeds its allowance, with and
 * without the wait before the first grant and the registration of held permits.
 */
import { createScheduler } from '../core/admission/index.ts'
import type { HeldPermit, Permit, PermitAnswer, Scheduler } from '../core/admission/types.ts'
import { brandId, type VmId } from '../core/ids/index.ts'
import { silentLog } from '../core/logging/index.ts'
import { createMetrics } from '../core/metrics/index.ts'
import {
  addressOf, createBasicView, createFakeEngine, DATA_CENTRE, permitRequest, putBackendServer, type FakeEngine, type MemoryView
} from './admission-fixture.ts'
import { createRandom } from './random.ts'
import { createEventClock, type EventClock } from './event-clock.ts'
import type { Benchmark, BenchmarkOptions, BenchmarkTable } from './types.ts'

const VMS = 8
const COLD_SERVERS = 4
const WARM_SERVERS = 2
/** Number of concurrent calls per VM. */
const CALLS_PER_VM = 4
const TAKEOVER_PERIOD_MS = 10_000
/** One-way delay between two processes. */
const NETWORK_DELAY_MS = 1
/** VMs learn about a new leader from its first summary, which is sent within 250 ms. */
const ANNOUNCEMENT_MS = 250
/** One call in ten starts late, for example because the VM was paused, but within the time that the permit allows. */
const LATE_START_SHARE = 0.1
const PERMIT_START_MS = 1000

interface Variant { name: string, waitsBeforeGrants: boolean, registersPermits: boolean, reportLagMs: number }

const VARIANTS: Variant[] = [1000, 3000].flatMap(reportLagMs => [
  { name: 'neither', waitsBeforeGrants: false, registersPermits: false, reportLagMs },
  { name: 'registration only', waitsBeforeGrants: false, registersPermits: true, reportLagMs },
  { name: 'wait only', waitsBeforeGrants: true, registersPermits: false, reportLagMs },
  { name: 'wait and registration', waitsBeforeGrants: true, registersPermits: true, reportLagMs }
])

interface VmHeldPermit extends HeldPermit { vm: VmId }

interface Run {
  variant: Variant
  clock: EventClock
  random: () => number
  view: MemoryView
  engines: Map<string, FakeEngine>
  held: Map<string, VmHeldPermit>
  scheduler: Scheduler
  epoch: number
  requests: number
}

function startLeader (run: Run): void {
  const { clock, view, engines, variant, random } = run
  const epoch = ++run.epoch
  run.scheduler?.stop()
  run.scheduler = createScheduler({
    identity: { vm: brandId('vm-0'), boot: brandId('boot'), region: brandId('bagmati'), dataCentre: DATA_CENTRE },
    dataCentre: DATA_CENTRE,
    epoch,
    isLeaseHeld: () => run.epoch === epoch,
    view,
    async healthProbe (address) {
      await clock.sleep(NETWORK_DELAY_MS)
      const report = [...engines.values()].find(engine => engine.address === address)!.health()
      await clock.sleep(NETWORK_DELAY_MS)
      return report
    },
    quarantine: { isQuarantined: () => false, isSuspect: () => false, remainingMs: () => 0 },
    peerSummaries: () => [],
    settleMs: variant.waitsBeforeGrants ? undefined : 0,
    clock,
    metrics: createMetrics(),
    log: silentLog,
    random
  })
  run.scheduler.start()
}

async function registerPermits (run: Run, vm: VmId): Promise<void> {
  const { scheduler, clock, random, held, variant } = run
  await clock.sleep(2 * NETWORK_DELAY_MS + random() * ANNOUNCEMENT_MS)
  const ownPermits = [...held.values()].filter(permit => permit.vm === vm).map(({ vm: _vm, ...permit }) => permit)
  if (variant.registersPermits) scheduler.sync({ vm, boot: brandId(`boot-${vm}`), held: ownPermits })
}

/** Simulates one call slot of a VM: repeatedly requests a permit, executes the call and releases the permit. */
async function runCallSlot (run: Run, vm: VmId): Promise<void> {
  const { clock, random } = run
  for (;;) {
    const request = permitRequest({ request: `request-${run.requests++}`, waitMs: 60_000 })
    await clock.sleep(NETWORK_DELAY_MS)
    const scheduler = run.scheduler
    const answer: PermitAnswer = await scheduler.request(request, vm)
    if (!answer.granted) {
      await clock.sleep(Math.max(50, answer.refusal.retryAfterMs))
      continue
    }
    const { permit } = answer
    const held: VmHeldPermit = { id: permit.id, backendServer: permit.backendServer, team: request.team, fingerprint: request.fingerprint, suspect: false, firstByteSeen: false, vm }
    run.held.set(permit.id, held)
    await clock.sleep(random() < LATE_START_SHARE ? random() * (PERMIT_START_MS - 1) : NETWORK_DELAY_MS)
    await executeCall(run, permit, held)
    run.held.delete(permit.id)
  }
}

async function executeCall (run: Run, permit: Permit, held: VmHeldPermit): Promise<void> {
  const { clock, random, engines } = run
  const engine = engines.get(permit.backendServer)!
  const durationMs = 500 + random() * 5500
  engine.begin(permit.id)
  await clock.sleep(durationMs * 0.3)
  held.firstByteSeen = true
  run.scheduler.recordFirstByte({ id: permit.id, instance: engine.instance }, held.vm)
  await clock.sleep(durationMs * 0.7)
  engine.end(permit.id)
  run.scheduler.release({ id: permit.id, outcome: 'completed', instance: engine.instance }, held.vm)
}

async function countOverloads (variant: Variant, seed: number, takeovers: number): Promise<number> {
  const clock = createEventClock()
  const engines = new Map<string, FakeEngine>()
  const run = { variant, clock, random: createRandom(seed), view: createBasicView(), engines, held: new Map(), epoch: 0, requests: 0 } as unknown as Run
  for (let i = 1; i <= COLD_SERVERS + WARM_SERVERS; i++) {
    const name = `runner-${i}`
    const coldAllowance = 1 + i % 2
    putBackendServer(run.view, name, { coldAllowance })
    engines.set(name, createFakeEngine({ clock, address: addressOf(name), coldAllowance, reportLagMs: variant.reportLagMs }))
    if (i > COLD_SERVERS) engines.get(name)!.warmUp()
  }
  startLeader(run)
  const vms = Array.from({ length: VMS }, (_, i) => brandId<VmId>(`vm-${i}`))
  for (const vm of vms) for (let i = 0; i < CALLS_PER_VM; i++) void runCallSlot(run, vm)
  for (let i = 1; i <= takeovers; i++) {
    await clock.runUntil(i * TAKEOVER_PERIOD_MS)
    startLeader(run)
    for (const vm of vms) void registerPermits(run, vm)
  }
  await clock.runUntil((takeovers + 1) * TAKEOVER_PERIOD_MS)
  run.scheduler.stop()
  return [...engines.values()].reduce((sum, engine) => sum + engine.coldOverloads, 0)
}

async function runBenchmark ({ seeds, quick }: BenchmarkOptions): Promise<BenchmarkTable> {
  const takeovers = quick ? 3 : 20
  const rows: (string | number)[][] = []
  for (const variant of VARIANTS) {
    const counts: number[] = []
    for (const seed of seeds) counts.push(await countOverloads(variant, seed, takeovers))
    rows.push([variant.name, variant.reportLagMs, ...counts, counts.reduce((sum, count) => sum + count, 0)])
  }
  return {
    title: 'Cold overloads at leader change',
    columns: ['variant', 'report lag (ms)', ...seeds.map(seed => `seed ${seed}`), 'sum'],
    rows,
    notes: [
      `${takeovers} takeovers per seed, ${VMS} VMs with ${CALLS_PER_VM} open calls each, ${COLD_SERVERS} cold and ${WARM_SERVERS} warm backend servers.`,
      'An overload is a request that arrives at a cold backend server which already has its allowance in flight.',
      'The leader assumes a report lag of 1000 ms; 3000 ms shows the effect of a wrong assumption.'
    ]
  }
}

export const takeover: Benchmark = {
  name: 'takeover',
  summary: 'cold overloads at leader change, with and without waiting and registration',
  run: runBenchmark
}
