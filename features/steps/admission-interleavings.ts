/**
 * Random interleavings of what happens to a leader and its backend servers. Requests may start late, answers and VMs
 * may be lost, backend servers restart or turn cold, and the lease changes hands.
 *
 * One case is left out because the proof rule does not cover it: requests that are under way while their backend
 * server turns cold without a restart. They arrive before it does so here.
 */
import fc from 'fast-check'
import type { PermitAnswer } from '../../src/core/admission/types.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import type { FakeEngine } from '../../src/bench/admission-fixture.ts'
import { permitRequest } from '../../src/bench/admission-fixture.ts'
import { addEngine, coldOverloads, createStand, lead, SETTLE_MS, type AdmissionStand } from './admission-stand.ts'

/** Relative frequency of each operation. */
const FREQUENCIES = {
  ask: 30,
  start: 30,
  'first byte': 10,
  finish: 14,
  'late release': 2,
  'give up': 2,
  tick: 20,
  advance: 10,
  'warm up': 4,
  restart: 2,
  'turn cold': 2,
  'VM dies': 1,
  'drop orphan': 2,
  'take over': 1,
  register: 4
} as const
type Operation = keyof typeof FREQUENCIES
const OPERATIONS = (Object.keys(FREQUENCIES) as Operation[]).flatMap(name => Array.from({ length: FREQUENCIES[name] }, () => name))

interface Step { operation: Operation, which: number, ms: number }

interface Ticket {
  vm: VmId
  id: string
  backendServer: string
  fingerprint: string
  grantedAt: number
  state: 'granted' | 'running' | 'ended' | 'orphan'
  firstByteSeen: boolean
}

const VMS = ['vm-1', 'vm-2', 'vm-3'].map(name => brandId<VmId>(name))
const PERMIT_START_MS = 1000

interface Run {
  stand: AdmissionStand
  tickets: Ticket[]
  count: number
  /** When a restarting backend server accepts connections again. */
  upAt: Map<string, number>
  boots: Map<VmId, number>
  /** VMs that have registered with the present leader. */
  registered: Set<VmId>
}

/** Runs the interleavings; returns the number of overloads, or rejects with the smallest failing interleaving. */
export async function runInterleavings (seed: number): Promise<number> {
  console.log(`admission interleavings seed ${seed}`)
  const step = fc.record({ operation: fc.constantFrom(...OPERATIONS), which: fc.nat(1000), ms: fc.integer({ min: 1, max: 1200 }) })
  const property = fc.asyncProperty(fc.array(step, { minLength: 50, maxLength: 300, size: 'max' }), async steps => await overloadsOf(steps) === 0)
  await fc.assert(property, { seed, numRuns: 200 })
  return 0
}

async function overloadsOf (steps: Step[]): Promise<number> {
  const stand = createStand()
  addEngine(stand, 'runner-1', { slots: 4, coldAllowance: 1, reportLagMs: 900 })
  addEngine(stand, 'runner-2', { slots: 4, coldAllowance: 2, reportLagMs: 300 })
  const run: Run = { stand, tickets: [], count: 0, upAt: new Map(), boots: new Map(), registered: new Set() }
  stand.probeDelayMs = 1
  await stand.clock.advance(SETTLE_MS)
  for (const { operation, which, ms } of steps) {
    await apply(run, operation, which, ms)
    await stand.clock.advance(0)
  }
  stand.scheduler.stop()
  return coldOverloads(stand)
}

function pick (run: Run, state: Ticket['state'], which: number): Ticket | undefined {
  const found = run.tickets.filter(ticket => ticket.state === state)
  return found[which % Math.max(1, found.length)]
}

function engineOf (run: Run, { backendServer }: Ticket): FakeEngine {
  return run.stand.engines.get(backendServer)!
}

async function apply (run: Run, operation: Step['operation'], which: number, ms: number): Promise<void> {
  const { stand } = run
  const engines = [...stand.engines]
  const [name, engine] = engines[which % engines.length]!
  switch (operation) {
    case 'ask': return ask(run, VMS[which % VMS.length]!)
    case 'start': return start(run, pick(run, 'granted', which))
    case 'first byte': return firstByte(run, pick(run, 'running', which))
    case 'finish': return end(run, pick(run, 'running', which), true)
    case 'late release': return end(run, pick(run, 'running', which), false)
    case 'give up': return giveUp(run, pick(run, 'granted', which))
    case 'tick': return stand.clock.advance(1)
    case 'advance': return stand.clock.advance(ms)
    case 'warm up': return engine.warmUp()
    case 'turn cold': return turnCold(run, name, engine)
    case 'restart': return restart(run, name, engine)
    case 'VM dies': return die(run, VMS[which % VMS.length]!)
    case 'drop orphan': {
      const orphan = pick(run, 'orphan', which)
      if (orphan) engineOf(run, orphan).end(orphan.id)
      return
    }
    case 'take over':
      run.registered.clear()
      return lead(stand)
    case 'register': return register(run, VMS[which % VMS.length]!)
  }
}

function ask (run: Run, vm: VmId): void {
  const { stand, tickets } = run
  register(run, vm)
  const request = permitRequest({ request: `request-${run.count++}`, waitMs: 3000 })
  void stand.scheduler.request(request, vm).then((answer: PermitAnswer) => {
    if (!answer.granted) return
    const { id, backendServer } = answer.permit
    tickets.push({ vm, id, backendServer, fingerprint: request.fingerprint, grantedAt: stand.clock.now(), state: 'granted', firstByteSeen: false })
  })
}

/** A request that meets a restarting backend server is refused a connection; one whose time has passed is not sent. */
function start (run: Run, ticket: Ticket | undefined): void {
  if (!ticket) return
  const now = run.stand.clock.now()
  const isDown = now < (run.upAt.get(ticket.backendServer) ?? 0)
  if (isDown || now >= ticket.grantedAt + PERMIT_START_MS) return giveUp(run, ticket)
  ticket.state = 'running'
  engineOf(run, ticket).begin(ticket.id)
}

function giveUp (run: Run, ticket: Ticket | undefined): void {
  if (!ticket) return
  ticket.state = 'ended'
  run.stand.scheduler.release({ id: brandId(ticket.id), outcome: 'not_sent' }, ticket.vm)
}

function firstByte (run: Run, ticket: Ticket | undefined): void {
  if (!ticket) return
  ticket.firstByteSeen = true
  run.stand.scheduler.firstByte({ id: brandId(ticket.id), instance: engineOf(run, ticket).instance }, ticket.vm)
}

/** Ends a request; a release without the instance is one that was resent late and proves nothing. */
function end (run: Run, ticket: Ticket | undefined, proves: boolean): void {
  if (!ticket) return
  ticket.state = 'ended'
  const engine = engineOf(run, ticket)
  engine.end(ticket.id)
  run.stand.scheduler.release({ id: brandId(ticket.id), outcome: 'completed', instance: proves ? engine.instance : undefined }, ticket.vm)
}

/** What is under way arrives first; requests given up by that make room for others, which arrive too. */
async function turnCold (run: Run, name: string, engine: FakeEngine): Promise<void> {
  const underWay = (): Ticket[] => run.tickets.filter(ticket => ticket.backendServer === name && ticket.state === 'granted')
  while (underWay().length > 0) {
    for (const ticket of underWay()) start(run, ticket)
    await run.stand.clock.advance(0)
  }
  engine.turnCold()
}

function restart (run: Run, name: string, engine: FakeEngine): void {
  engine.restart()
  run.upAt.set(name, run.stand.clock.now() + PERMIT_START_MS)
  for (const ticket of run.tickets) {
    if (ticket.backendServer !== name || ticket.state !== 'running') continue
    ticket.state = 'ended'
    run.stand.scheduler.release({ id: brandId(ticket.id), outcome: 'crashed' }, ticket.vm)
  }
}

/** The VM's requests go on at the backend server until it notices, and what was not started never is. */
function die (run: Run, vm: VmId): void {
  for (const ticket of run.tickets) {
    if (ticket.vm !== vm) continue
    if (ticket.state === 'running') ticket.state = 'orphan'
    if (ticket.state === 'granted') ticket.state = 'ended'
  }
  run.boots.set(vm, (run.boots.get(vm) ?? 0) + 1)
  run.registered.delete(vm)
  run.stand.scheduler.handleMemberDeath(vm)
}

/** A VM registers once with each leader, at any time but before it asks for a permit. */
function register (run: Run, vm: VmId): void {
  if (run.registered.has(vm)) return
  run.registered.add(vm)
  const held = run.tickets.filter(ticket => ticket.vm === vm && (ticket.state === 'granted' || ticket.state === 'running'))
  run.stand.scheduler.sync({
    vm,
    boot: brandId(`boot-${run.boots.get(vm) ?? 0}`),
    held: held.map(({ id, backendServer, fingerprint, firstByteSeen }) => ({
      id: brandId(id), backendServer: brandId(backendServer), team: brandId('team-1'), fingerprint, suspect: false, firstByteSeen
    }))
  })
}
