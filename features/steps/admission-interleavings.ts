/**
 * Random interleavings of the events at a leader and its backend servers. Requests may start late, answers may be lost,
 * VMs may die, backend servers may restart or turn cold, and the lease may pass to another leader.
 *
 * One case is excluded because the cold-start rule does not cover it: requests in transit while their backend server
 * turns cold without a restart. Here they arrive before it turns cold.
 */
import fc from 'fast-check'
import type { PermitAnswer } from '../../src/core/admission/types.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import type { FakeEngine } from '../../src/bench/admission-fixture.ts'
import { permitRequest } from '../../src/bench/admission-fixture.ts'
import { addEngine, coldOverloads, createHarness, startScheduler, TAKEOVER_WAIT_MS, type AdmissionHarness } from './admission-harness.ts'

/** Relative frequency of each operation. */
const FREQUENCIES = {
  request: 30,
  start: 30,
  'first byte': 10,
  finish: 14,
  'late release': 2,
  'release unsent': 2,
  tick: 20,
  advance: 10,
  'warm up': 4,
  restart: 2,
  'turn cold': 2,
  'VM dies': 1,
  'end orphan': 2,
  'take over': 1,
  register: 4
} as const
type Operation = keyof typeof FREQUENCIES
const OPERATIONS = (Object.keys(FREQUENCIES) as Operation[]).flatMap(name => Array.from({ length: FREQUENCIES[name] }, () => name))

/** `selector` selects the VM, permit or backend server that the operation applies to. */
interface Step { operation: Operation, selector: number, ms: number }

interface IssuedPermit {
  vm: VmId
  id: string
  backendServer: string
  fingerprint: string
  grantedAt: number
  /** The request of an orphan still runs although its VM is dead. */
  state: 'granted' | 'running' | 'ended' | 'orphan'
  firstByteSeen: boolean
}

const VMS = ['vm-1', 'vm-2', 'vm-3'].map(name => brandId<VmId>(name))
const PERMIT_START_MS = 1000

interface InterleavingRun {
  harness: AdmissionHarness
  permits: IssuedPermit[]
  requestCount: number
  /** Time from which each restarted backend server accepts connections again. */
  acceptsFrom: Map<string, number>
  /** Number of restarts of each VM. */
  boots: Map<VmId, number>
  /** VMs that have registered with the current leader. */
  registered: Set<VmId>
}

/** Runs the interleavings. Resolves to 0 overloads, or rejects with the smallest interleaving that causes one. */
export async function runInterleavings (seed: number): Promise<number> {
  console.log(`admission interleavings seed ${seed}`)
  const step = fc.record({ operation: fc.constantFrom(...OPERATIONS), selector: fc.nat(1000), ms: fc.integer({ min: 1, max: 1200 }) })
  const property = fc.asyncProperty(fc.array(step, { minLength: 50, maxLength: 300, size: 'max' }), async steps => await countOverloads(steps) === 0)
  await fc.assert(property, { seed, numRuns: 200 })
  return 0
}

async function countOverloads (steps: Step[]): Promise<number> {
  const harness = createHarness()
  addEngine(harness, 'runner-1', { slots: 4, coldAllowance: 1, reportLagMs: 900 })
  addEngine(harness, 'runner-2', { slots: 4, coldAllowance: 2, reportLagMs: 300 })
  const run: InterleavingRun = { harness, permits: [], requestCount: 0, acceptsFrom: new Map(), boots: new Map(), registered: new Set() }
  harness.probeDelayMs = 1
  await harness.clock.advance(TAKEOVER_WAIT_MS)
  for (const { operation, selector, ms } of steps) {
    await applyOperation(run, operation, selector, ms)
    await harness.clock.advance(0)
  }
  harness.scheduler.stop()
  return coldOverloads(harness)
}

function selectPermit (run: InterleavingRun, state: IssuedPermit['state'], selector: number): IssuedPermit | undefined {
  const found = run.permits.filter(permit => permit.state === state)
  return found[selector % Math.max(1, found.length)]
}

function engineOf (run: InterleavingRun, { backendServer }: IssuedPermit): FakeEngine {
  return run.harness.engines.get(backendServer)!
}

async function applyOperation (run: InterleavingRun, operation: Step['operation'], selector: number, ms: number): Promise<void> {
  const { harness } = run
  const engines = [...harness.engines]
  const [name, engine] = engines[selector % engines.length]!
  switch (operation) {
    case 'request': return requestPermit(run, VMS[selector % VMS.length]!)
    case 'start': return startRequest(run, selectPermit(run, 'granted', selector))
    case 'first byte': return reportFirstByte(run, selectPermit(run, 'running', selector))
    case 'finish': return endRequest(run, selectPermit(run, 'running', selector), true)
    case 'late release': return endRequest(run, selectPermit(run, 'running', selector), false)
    case 'release unsent': return releaseUnsent(run, selectPermit(run, 'granted', selector))
    case 'tick': return harness.clock.advance(1)
    case 'advance': return harness.clock.advance(ms)
    case 'warm up': return engine.warmUp()
    case 'turn cold': return turnCold(run, name, engine)
    case 'restart': return restartEngine(run, name, engine)
    case 'VM dies': return killVm(run, VMS[selector % VMS.length]!)
    case 'end orphan': {
      const orphan = selectPermit(run, 'orphan', selector)
      if (orphan) engineOf(run, orphan).end(orphan.id)
      return
    }
    case 'take over':
      run.registered.clear()
      return startScheduler(harness)
    case 'register': return registerVm(run, VMS[selector % VMS.length]!)
  }
}

function requestPermit (run: InterleavingRun, vm: VmId): void {
  const { harness, permits } = run
  registerVm(run, vm)
  const request = permitRequest({ request: `request-${run.requestCount++}`, waitMs: 3000 })
  void harness.scheduler.request(request, vm).then((answer: PermitAnswer) => {
    if (!answer.granted) return
    const { id, backendServer } = answer.permit
    permits.push({ vm, id, backendServer, fingerprint: request.fingerprint, grantedAt: harness.clock.now(), state: 'granted', firstByteSeen: false })
  })
}

/** A restarting backend server refuses the connection, and a request whose permit has expired is not sent. */
function startRequest (run: InterleavingRun, permit: IssuedPermit | undefined): void {
  if (!permit) return
  const now = run.harness.clock.now()
  const isDown = now < (run.acceptsFrom.get(permit.backendServer) ?? 0)
  if (isDown || now >= permit.grantedAt + PERMIT_START_MS) return releaseUnsent(run, permit)
  permit.state = 'running'
  engineOf(run, permit).begin(permit.id)
}

function releaseUnsent (run: InterleavingRun, permit: IssuedPermit | undefined): void {
  if (!permit) return
  permit.state = 'ended'
  run.harness.scheduler.release({ id: brandId(permit.id), outcome: 'not_sent' }, permit.vm)
}

function reportFirstByte (run: InterleavingRun, permit: IssuedPermit | undefined): void {
  if (!permit) return
  permit.firstByteSeen = true
  run.harness.scheduler.firstByte({ id: brandId(permit.id), instance: engineOf(run, permit).instance }, permit.vm)
}

/** Ends a request. A release without the instance id stands for one that was resent late; it does not confirm the instance. */
function endRequest (run: InterleavingRun, permit: IssuedPermit | undefined, withInstance: boolean): void {
  if (!permit) return
  permit.state = 'ended'
  const engine = engineOf(run, permit)
  engine.end(permit.id)
  run.harness.scheduler.release({ id: brandId(permit.id), outcome: 'completed', instance: withInstance ? engine.instance : undefined }, permit.vm)
}

/** Requests in transit arrive first. Those that are released unsent free slots for further requests, which arrive too. */
async function turnCold (run: InterleavingRun, name: string, engine: FakeEngine): Promise<void> {
  const inTransit = (): IssuedPermit[] => run.permits.filter(permit => permit.backendServer === name && permit.state === 'granted')
  while (inTransit().length > 0) {
    for (const permit of inTransit()) startRequest(run, permit)
    await run.harness.clock.advance(0)
  }
  engine.turnCold()
}

function restartEngine (run: InterleavingRun, name: string, engine: FakeEngine): void {
  engine.restart()
  run.acceptsFrom.set(name, run.harness.clock.now() + PERMIT_START_MS)
  for (const permit of run.permits) {
    if (permit.backendServer !== name || permit.state !== 'running') continue
    permit.state = 'ended'
    run.harness.scheduler.release({ id: brandId(permit.id), outcome: 'crashed' }, permit.vm)
  }
}

/** The VM's running requests continue until the backend server detects its death; granted requests that have not started never start. */
function killVm (run: InterleavingRun, vm: VmId): void {
  for (const permit of run.permits) {
    if (permit.vm !== vm) continue
    if (permit.state === 'running') permit.state = 'orphan'
    if (permit.state === 'granted') permit.state = 'ended'
  }
  run.boots.set(vm, (run.boots.get(vm) ?? 0) + 1)
  run.registered.delete(vm)
  run.harness.scheduler.handleMemberDeath(vm)
}

/** A VM registers once with each leader, at the latest before it requests a permit. */
function registerVm (run: InterleavingRun, vm: VmId): void {
  if (run.registered.has(vm)) return
  run.registered.add(vm)
  const held = run.permits.filter(permit => permit.vm === vm && (permit.state === 'granted' || permit.state === 'running'))
  run.harness.scheduler.sync({
    vm,
    boot: brandId(`boot-${run.boots.get(vm) ?? 0}`),
    held: held.map(({ id, backendServer, fingerprint, firstByteSeen }) => ({
      id: brandId(id), backendServer: brandId(backendServer), team: brandId('team-1'), fingerprint, suspect: false, firstByteSeen
    }))
  })
}
