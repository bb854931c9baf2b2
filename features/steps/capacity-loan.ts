import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createBackendPool, type Backend, type BackendPool, type Reservation } from '../../src/core/backend-pool/index.ts'
import { createCapacityLoans, type CapacityLoans, type Loan } from '../../src/core/capacity-loan/index.ts'
import { createManualClock, type Clock, type ManualClock } from '../../src/core/clock/index.ts'
import { PeerError } from '../../src/core/errors/index.ts'
import type { ForwardedRequest } from '../../src/core/forwarding/forward.ts'
import type { RequestProgress } from '../../src/core/forwarding/request-progress.ts'
import { createCapacity } from '../../src/core/forwarding-vm/capacity.ts'
import { brandId, type BackendServerId, type DataCentreId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import { createCapacityQueue } from '../../src/core/placement/capacity-queue.ts'
import { chooseBackend, STALE_LOAD_SAMPLES } from '../../src/core/placement/index.ts'
import { createRandom } from '../../src/standin/random.ts'
import { backendEntry } from '../support/forwarding-vm-harness.ts'
import { placeVm } from '../support/vms.ts'

const DATA_CENTRES = 6
const STEP_MS = 10
/** Time of a message from one VM to another. */
const MESSAGE_MS = 2

interface LoanVm { pool: BackendPool, loans: CapacityLoans, metrics: Metrics, known: readonly VmId[] }

interface LoanWorld {
  clock: ManualClock
  wallShiftMs: number
  names: VmId[]
  vms: Map<VmId, LoanVm>
  silent: Set<VmId>
  /** VMs that each VM has asked for a loan. */
  askedLenders: Map<VmId, Set<VmId>>
  random: () => number
  limit: number
  /** Times of the requests to each backend server. */
  sends: Map<BackendServerId, number[]>
  asked: number
  permitted: number
  loan: Loan
  backends: Backend[]
  chosen: Map<Backend, number>
  chosenLocally: number
}

const backendIds = (count: number) => Array.from({ length: count }, (_, index) => brandId<BackendServerId>(`server-${index}`))

function addVm (world: LoanWorld, self: VmId): void {
  const { clock: manual, random } = world
  const clock: Clock = { ...manual, wallMs: () => manual.wallMs() + world.wallShiftMs }
  const pool = createBackendPool({
    cold: { limit: () => world.limit, vms: () => vm.known, self }, clock, log: silentLog, metrics: createMetrics()
  })
  const metrics = createMetrics()
  const loans = createCapacityLoans({
    pool,
    self,
    isLive: name => vm.known.includes(name),
    async request (to, body, timeoutMs) {
      world.askedLenders.get(self)!.add(to)
      if (world.silent.has(to)) {
        await clock.sleep(timeoutMs)
        throw new PeerError('peer_timeout')
      }
      await clock.sleep(MESSAGE_MS)
      const response = world.vms.get(to)!.loans.accept(structuredClone(body))
      await clock.sleep(MESSAGE_MS)
      return response
    },
    clock,
    metrics,
    random
  })
  const vm: LoanVm = { pool, loans, metrics, known: world.names }
  world.vms.set(self, vm)
  world.askedLenders.set(self, new Set())
  for (const id of world.sends.keys()) pool.apply({ ...backendEntry('127.0.0.1:1'), id })
}

Given(/^(\d+) VMs and (\d+) backend servers that bear (\d+) requests a second each$/, async function (this: LoanWorld, vms: string, servers: string, limit: string) {
  const names = Array.from({ length: Number(vms) }, (_, index) => brandId<VmId>(`vm-${index}`))
  const sends = new Map(backendIds(Number(servers)).map(id => [id, [] as number[]]))
  Object.assign(this, { clock: createManualClock({ wallStartMs: 1_000_000 }), wallShiftMs: 0, names, vms: new Map(), silent: new Set(), askedLenders: new Map(), random: createRandom(11), limit: Number(limit), sends, asked: 0, permitted: 0 })
  for (const name of names) addVm(this, name)
  await this.clock.advance(1100)
})

async function sendOne (world: LoanWorld): Promise<void> {
  const { random, clock } = world
  const names = [...world.vms.keys()].filter(vm => !world.silent.has(vm))
  const { pool, loans } = world.vms.get(names[Math.floor(random() * names.length)]!)!
  const backends = [...pool.all()]
  const backend = backends[Math.floor(random() * backends.length)]!
  world.asked++
  const isOwn = pool.rateWaitMs(backend) === 0
  const loan = isOwn ? undefined : await loans.borrow(backend)
  if (!isOwn && !loan?.isValid()) return
  pool.reserve(backend, { running: 1, prompt: 0 }, { isLent: !isOwn }).release()
  world.permitted++
  world.sends.get(backend.entry.id)!.push(clock.now())
}

When(/^the VMs send (\d+) requests a second to backend servers at random for (\d+) ms$/, { timeout: 30_000 }, async function (this: LoanWorld, perSecond: string, ms: string) {
  let due = 0
  for (let elapsedMs = 0; elapsedMs < Number(ms); elapsedMs += STEP_MS) {
    for (due += Number(perSecond) * STEP_MS / 1000; due >= 1; due--) void sendOne(this)
    await this.clock.advance(STEP_MS)
  }
  await this.clock.advance(500)
})

Then(/^at least (\d+) % of them were permitted$/, function (this: LoanWorld, percent: string) {
  assert.ok(this.permitted >= this.asked * Number(percent) / 100, `${this.permitted} of ${this.asked}`)
})

Then(/^no backend server got more than (\d+) requests in any second$/, function (this: LoanWorld, max: string) {
  for (const times of this.sends.values()) {
    const sorted = [...times].sort((a, b) => a - b)
    const busiest = Math.max(0, ...sorted.map((from, index) => sorted.slice(index).filter(atMs => atMs < from + 1000).length))
    assert.ok(busiest <= Number(max), `${busiest} requests`)
  }
})

Then(/^no VM has asked more than (\d+) others for loans$/, function (this: LoanWorld, max: string) {
  const most = Math.max(...[...this.askedLenders.values()].map(({ size }) => size))
  assert.ok(most > 0 && most <= Number(max), `${most} VMs`)
})

Then(/^the backend servers got at least (\d+) requests a second$/, function (this: LoanWorld, min: string) {
  const times = [...this.sends.values()].flat()
  assert.ok(times.length * 1000 / (Math.max(...times) - Math.min(...times)) >= Number(min), `${times.length} requests`)
})

When(/^(3 lenders leave|10 VMs join), known to each VM within (\d+) ms$/, async function (this: LoanWorld, change: string, withinMs: string) {
  // The limit is in full use when the change comes.
  for (let i = 0; i < 60; i++) void sendOne(this)
  await this.clock.advance(200)
  const before = [...this.vms.values()]
  const [first] = before[0]!.pool.all()
  const lenders = before[0]!.pool.lendersOf(first!).slice(0, 3)
  const joining = Array.from({ length: 10 }, (_, index) => brandId<VmId>(`late-vm-${index}`))
  const isLeaving = change === '3 lenders leave'
  this.names = isLeaving ? this.names.filter(vm => !lenders.includes(vm)) : [...this.names, ...joining]
  for (const vm of before) this.clock.after(this.random() * Number(withinMs), () => { vm.known = this.names })
  if (isLeaving) for (const vm of lenders) this.vms.delete(vm)
  // VMs that join hold back until the others know them.
  else this.clock.after(Number(withinMs) + 1050, () => { for (const vm of joining) addVm(this, vm) })
})

When(/^(\d+) of the VMs do not answer any more$/, function (this: LoanWorld, count: string) {
  for (const vm of this.names.slice(0, Number(count))) this.silent.add(vm)
})

When(/^a VM borrows a request and then (?:is frozen for )?(\d+) ms( pass)?$/, async function (this: LoanWorld, ms: string, passes: string | null) {
  const { pool, loans } = this.vms.get(this.names.find(name => {
    const vm = this.vms.get(name)!
    return !vm.pool.lendersOf([...vm.pool.all()][0]!).includes(name)
  })!)!
  const borrowing = loans.borrow([...pool.all()][0]!)
  await this.clock.advance(10)
  this.loan = (await borrowing)!
  // The monotonic clock stops while a process is frozen.
  if (passes) await this.clock.advance(Number(ms))
  else this.wallShiftMs += Number(ms)
})

Then(/^its loan is (valid|expired)$/, function (this: LoanWorld, state: string) { assert.equal(this.loan.isValid(), state === 'valid') })

Then(/^a VM refuses the request for a loan (.*)$/, function (this: LoanWorld, body: string) {
  assert.deepEqual(this.vms.get(this.names[0]!)!.loans.accept(JSON.parse(body)), { isGranted: false })
})

Then(/^it has counted (\d+) bad requests for loans$/, function (this: LoanWorld, count: string) {
  assert.equal(this.vms.get(this.names[0]!)!.metrics.value('bad_input', 'loan_request'), Number(count))
})

interface CapacityWorld { clock: ManualClock, backend: Backend, reservations: number }

Given('a request to a service whose limits are lent', function (this: CapacityWorld) {
  this.clock = createManualClock()
  const pool = createBackendPool({ cold: { limit: () => 0, vms: () => [], self: brandId<VmId>('vm-0') }, clock: this.clock, log: silentLog, metrics: createMetrics() })
  pool.apply({ ...backendEntry('127.0.0.1:1'), id: brandId<BackendServerId>('server-0') })
  this.backend = [...pool.all()][0]!
  this.reservations = 0
})

When(/^capacity is reserved for it and (.*) while the lender answers$/, async function (this: CapacityWorld, event: string) {
  const { backend, clock } = this
  const progress = { isFinished: false, model: undefined } as RequestProgress
  let isPermitted = true
  let isValid = true
  const capacity = createCapacity({
    pool: { eligible: () => [backend], isLent: () => true, rateWaitMs: () => Infinity, reserve: () => { this.reservations++; return {} as Reservation } },
    assignments: { prepare: () => ({ choose: isUsable => (isPermitted && isUsable(backend) ? backend : undefined), permits: () => isPermitted }), modelWeight: () => 1 },
    loans: {
      async borrow () {
        if (event === 'the backend server leaves') isPermitted = false
        if (event === 'the loan expires') isValid = false
        if (event === 'the request ends') progress.isFinished = true
        return { isValid: () => isValid, end () {} }
      }
    },
    queue: createCapacityQueue(clock),
    clock,
    random: () => 0.5
  })
  const forwarded = { request: { promptTokens: 10 }, service: backend.entry.service } as ForwardedRequest
  const reserving = capacity.reserve(forwarded, progress, 1000)
  await clock.advance(1500)
  await reserving
})

Then(/^the borrowed request is (used|not used)$/, function (this: CapacityWorld, result: string) { assert.equal(this.reservations, result === 'used' ? 1 : 0) })

Given(/^(\d+) backend servers in (\d+) data centres with loads from (\d+) to (\d+)$/, function (this: LoanWorld, count: string, _dataCentres: string, from: string, to: string) {
  const pool = createBackendPool({ cold: { limit: () => 0, vms: () => [], self: brandId<VmId>('vm-0') }, clock: createManualClock(), log: silentLog, metrics: createMetrics() })
  backendIds(Number(count)).forEach((id, index) => {
    pool.apply({ ...backendEntry('127.0.0.1:1', { dataCentre: brandId<DataCentreId>(`dc-${index % DATA_CENTRES}`) }), id })
  })
  this.backends = [...pool.all()]
  this.backends.forEach((backend, index) => { backend.load = Number(from) + (Number(to) - Number(from)) * index / (this.backends.length - 1) })
})

When(/^each of (\d+) VMs chooses a backend server by the same loads$/, function (this: LoanWorld, count: string) {
  const random = createRandom(5)
  this.chosen = new Map()
  this.chosenLocally = 0
  for (let i = 0; i < Number(count); i++) {
    const { dataCentre } = placeVm(brandId<VmId>(`vm-${i}`))
    const backend = chooseBackend({ candidates: this.backends, affinityKey: undefined, dataCentre, othersLoad: () => 0, samples: STALE_LOAD_SAMPLES, random })!
    if (backend.entry.dataCentre === dataCentre) this.chosenLocally++
    this.chosen.set(backend, (this.chosen.get(backend) ?? 0) + 1)
  }
})

Then(/^at least (\d+) of the VMs have chosen one in their own data centre$/, function (this: LoanWorld, min: string) {
  assert.ok(this.chosenLocally >= Number(min), `${this.chosenLocally} VMs`)
})

Then(/^no backend server was chosen by more than (\d+) VMs$/, function (this: LoanWorld, max: string) {
  const busiest = Math.max(...this.chosen.values())
  assert.ok(busiest <= Number(max), `${busiest} VMs`)
})
