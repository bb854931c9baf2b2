import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createBackendPool, type Backend, type BackendEntry, type BackendPool } from '../../src/core/backend-pool/index.ts'
import { COLD_SAFETY_FACTOR, COLD_WINDOW_MS } from '../../src/core/backend-pool/constants.ts'
import { escalationConfidence } from '../../src/core/cascade/confidence.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { createConfigLease, type ConfigLease } from '../../src/core/forwarding/config-lease.ts'
import { ESCALATION_SHARE } from '../../src/core/forwarding/constants.ts'
import { createEventSplitter } from '../../src/core/forwarding/event-stream.ts'
import { createRetryAllowance } from '../../src/core/forwarding/retry-allowance.ts'
import { chooseCollectors } from '../../src/core/feed-relay/relay-choice.ts'
import { brandId, type BackendServerId, type DataCentreId, type ServiceId, type VmId } from '../../src/core/ids/index.ts'
import { createLoadExchange, type LoadExchange, type LoadReport, type VmReport } from '../../src/core/load-exchange/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { chooseBackend, requestLoad } from '../../src/core/placement/index.ts'
import { createCapacityQueue, type CapacityQueue } from '../../src/core/placement/capacity-queue.ts'
import { latencyBucket } from '../../src/core/rollout/tally.ts'
import { STOP_EVIDENCE, WAIT_EVIDENCE } from '../../src/core/version-trial/constants.ts'
import { emptyTrialCounts, type LatencyCounts, type TrialCounts, type VersionCounts } from '../../src/core/version-trial/counts.ts'
import { createTrialEvaluator } from '../../src/core/version-trial/evidence.ts'
import { createRandom } from '../../src/standin/random.ts'
import { backendEntry } from '../support/forwarding-vm-harness.ts'
import { placeVm, placeVms } from '../support/vms.ts'

const SERVICE = brandId<ServiceId>('service')
const backendId = (name: string) => brandId<BackendServerId>(name)
const vmNames = (count: number) => Array.from({ length: count }, (_, index) => brandId<VmId>(`vm-${index}`))

interface ConfigLeaseWorld { clock: ManualClock, wallShiftMs: number, lease: ConfigLease }

Given(/^a config lease of (\d+) ms$/, function (this: ConfigLeaseWorld, maxAgeMs: string) {
  this.clock = createManualClock({ wallStartMs: 1_000_000 })
  this.wallShiftMs = 0
  const clock = { ...this.clock, wallMs: () => this.clock.wallMs() + this.wallShiftMs }
  this.lease = createConfigLease({ maxAgeMs: Number(maxAgeMs), strict: true, clock })
})

When('the store confirms the configuration', function (this: ConfigLeaseWorld) {
  this.lease.renew({ monotonicMs: this.clock.now(), wallMs: this.clock.wallMs() })
})

When('the store is restored from an older copy', function (this: ConfigLeaseWorld) { this.lease.recordRestore() })
When('the configuration is written again', function (this: ConfigLeaseWorld) { this.lease.recordWrite() })
When(/^(\d+) ms pass$/, async function (this: ConfigLeaseWorld, ms: string) { await this.clock.advance(Number(ms)) })
// The monotonic clock stops while a VM is frozen.
When(/^the VM is frozen for (\d+) ms$/, function (this: ConfigLeaseWorld, ms: string) { this.wallShiftMs += Number(ms) })
When(/^the wall clock jumps back by (\d+) ms$/, function (this: ConfigLeaseWorld, ms: string) { this.wallShiftMs -= Number(ms) })

When(/^the VM is frozen for (\d+) ms between a call and its answer$/, function (this: ConfigLeaseWorld, ms: string) {
  const sent = { monotonicMs: this.clock.now(), wallMs: this.clock.wallMs() }
  this.wallShiftMs += Number(ms)
  this.lease.renew(sent)
})

Then(/^the keys are (trusted|not trusted)$/, function (this: ConfigLeaseWorld, expected: string) {
  assert.equal(this.lease.isValid(), expected === 'trusted')
})

interface FleetShareWorld { vms: VmId[], rateLimit: number, sent: number, clock: ManualClock, retries: number }

function createPool (clock: ManualClock, { limit = 0, vms = vmNames(1), self = brandId<VmId>('vm-0') } = {}): BackendPool {
  return createBackendPool({ cold: { limit: () => limit, vms: () => vms, self }, clock, log: silentLog, metrics: createMetrics() })
}

const entry = (name: string, overrides: Partial<BackendEntry> = {}): BackendEntry => ({ ...backendEntry('127.0.0.1:1', overrides), id: backendId(name) })

Given(/^(\d+) VMs with a bound of (\d+) requests a second to a cold backend server$/, function (this: FleetShareWorld, vms: string, requestsPerSecond: string) {
  this.vms = vmNames(Number(vms))
  this.rateLimit = Number(requestsPerSecond)
})

When('each VM sends as many requests as its share allows within one second', async function (this: FleetShareWorld) {
  const clock = createManualClock()
  const pools = this.vms.map(self => createPool(clock, { limit: this.rateLimit, vms: this.vms, self }))
  for (const pool of pools) pool.apply(entry('cold'))
  await clock.advance(COLD_WINDOW_MS)
  this.sent = 0
  for (let step = 0; step < 10; step++) {
    for (const pool of pools) {
      const [backend] = pool.eligible(SERVICE)
      while (pool.rateWaitMs(backend!) === 0) {
        pool.reserve(backend!, { running: 1, prompt: 0 })
        this.sent++
      }
    }
    await clock.advance(99)
  }
})

Then(/^the backend server gets at least (\d+) and at most (\d+) requests$/, function (this: FleetShareWorld, min: string, max: string) {
  assert.ok(this.sent >= Number(min) && this.sent <= Number(max), `${this.sent} requests`)
})

Given(/^(\d+) VMs that share 0\.9 retries a request and 58 more in 10 s$/, function (this: FleetShareWorld, vms: string) {
  this.vms = vmNames(Number(vms))
})

When(/^(\d+) requests all fail and are retried as often as allowed$/, async function (this: FleetShareWorld, count: string) {
  const clock = createManualClock()
  const allowances = this.vms.map(() => createRetryAllowance({ share: 0.9, windowMs: 10_000, slack: 58, vmCount: () => this.vms.length, clock }))
  this.retries = 0
  for (let i = 0; i < Number(count); i++) {
    const allowance = allowances[i % allowances.length]!
    allowance.recordRequest()
    while (allowance.tryTake()) this.retries++
    if (i % 20 === 0) await clock.advance(400)
  }
})

Then(/^the retries are at least (\d+) and at most (\d+)$/, function (this: FleetShareWorld, min: string, max: string) {
  assert.ok(this.retries >= Number(min) && this.retries <= Number(max), `${this.retries} retries`)
})

When(/^(\d+) requests ask for better answers as often as allowed$/, function (this: FleetShareWorld, count: string) {
  const allowance = createRetryAllowance({ share: 0.9, windowMs: 10_000, slack: 58, vmCount: () => 1, clock: createManualClock() })
  for (let i = 0; i < Number(count); i++) allowance.recordRequest()
  this.sent = 0
  while (allowance.tryTake(ESCALATION_SHARE)) this.sent++
  this.retries = 0
  while (allowance.tryTake()) this.retries++
})

Then(/^at least (\d+) % of the retries are left for failures$/, function (this: FleetShareWorld, percent: string) {
  assert.ok(this.sent > 0 && this.retries >= (this.sent + this.retries) * Number(percent) / 100, `${this.sent} and ${this.retries}`)
})

interface PoolWorld { clock: ManualClock, pool: BackendPool, removals: number }

Given(/^a VM that has just started and may send (\d+) requests to a in a second$/, function (this: PoolWorld, count: string) {
  this.clock = createManualClock()
  this.pool = createPool(this.clock, { limit: Number(count) / COLD_SAFETY_FACTOR + 0.01 })
  this.pool.apply(entry('a'))
})

Given(/^a pool that may send (\d+) requests to a in a second and has sent them$/, async function (this: PoolWorld, count: string) {
  this.clock = createManualClock()
  this.pool = createPool(this.clock, { limit: Number(count) / COLD_SAFETY_FACTOR + 0.01 })
  this.pool.apply(entry('a'))
  await this.clock.advance(COLD_WINDOW_MS)
  const [backend] = this.pool.eligible(SERVICE)
  for (let i = 0; i < Number(count); i++) {
    assert.equal(this.pool.rateWaitMs(backend!), 0)
    this.pool.reserve(backend!, { running: 1, prompt: 0 })
  }
})

When('the entry of a is removed and written again', function (this: PoolWorld) {
  this.pool.remove(backendId('a'))
  this.pool.apply(entry('a'))
})

Then(/^the pool may send (no|another) request to a$/, function (this: PoolWorld, expected: string) {
  assert.equal(this.pool.rateWaitMs(this.pool.eligible(SERVICE)[0]!) === 0, expected === 'another')
})

Given(/^a pool with backend servers (.*)$/, function (this: PoolWorld, names: string) {
  this.clock = createManualClock()
  this.pool = createPool(this.clock)
  this.pool.applySnapshot(names.split(', ').map(name => entry(name)))
  this.removals = 0
})

When('the store recovers and lists only a', function (this: PoolWorld) {
  this.pool.markStoreRecovered()
  this.pool.applySnapshot([entry('a')])
})

When('the store was restored from a copy with only a', function (this: PoolWorld) {
  this.pool.markStoreRecovered()
  this.pool.markStoreRestored(new Set(['a']))
})

const EARLIER_PROCESS = { startedWallMs: 1000 }
const LATEST_PROCESS = { startedWallMs: 2000, address: '127.0.0.1:2' }

When('b leaves', function (this: PoolWorld) {
  this.pool.apply(entry('b', EARLIER_PROCESS))
  this.pool.apply(entry('b', { ...EARLIER_PROCESS, leaving: true }))
})

When('b restarts', function (this: PoolWorld) {
  this.pool.apply(entry('b', EARLIER_PROCESS))
  this.pool.apply(entry('b', LATEST_PROCESS))
})

When('the earlier entry of b is read again', function (this: PoolWorld) { this.pool.apply(entry('b', EARLIER_PROCESS)) })

Then('the pool knows the latest process of b', function (this: PoolWorld) {
  assert.equal(this.pool.list(SERVICE).find(({ entry: { id } }) => id === 'b')!.entry.startedWallMs, LATEST_PROCESS.startedWallMs)
})

When(/^(\d+) ms pass in the pool$/, async function (this: PoolWorld, ms: string) { await this.clock.advance(Number(ms)) })
When('a request to b is answered by another backend server', function (this: PoolWorld) {
  this.pool.recordMisdirected(this.pool.list(SERVICE).find(({ entry: { id } }) => id === 'b')!)
})

When('the entry of b is written', function (this: PoolWorld) { this.pool.apply(entry('b')) })
When('the entry of b is removed', function (this: PoolWorld) { this.pool.remove(backendId('b')) })

When('the entry of b is written with a later start', function (this: PoolWorld) {
  const backend = this.pool.list(SERVICE).find(({ entry: { id } }) => id === 'b')!
  backend.onRemoved.add(() => { this.removals++ })
  this.pool.apply(entry('b', { startedWallMs: 5 }))
})

Then(/^the pool offers (.*)$/, function (this: PoolWorld, names: string) {
  assert.deepEqual(this.pool.eligible(SERVICE).map(({ entry: { id } }) => id).sort(), names.split(', '))
})

Then('the request in flight at b is notified of the removal', function (this: PoolWorld) { assert.equal(this.removals, 1) })

interface TrialEvidenceWorld { counts: TrialCounts, evaluator: ReturnType<typeof createTrialEvaluator>, nowMs: number }

function addRequests (counts: LatencyCounts, requests: number, ms: number): void {
  const bucket = latencyBucket(ms)
  counts[bucket] = (counts[bucket] ?? 0) + requests
}

function countEnded (version: VersionCounts, requests: number, failures: number): void {
  version.requests += requests
  version.failures += failures
}

/** Counts requests as in `2 of 30 failed`, `6 took 100 ms`, `5 wait for 200 ms` or `5 had 30 ms between events`, joined by commas. */
function countRequests (version: VersionCounts, text: string): void {
  for (const part of text.split(', ')) {
    const [count, ms] = [Number(/^\d+/.exec(part)![0]), Number(/ (\d+) ms/.exec(part)?.[1])]
    if (part.includes('wait')) addRequests(version.open.firstEvent, count, ms)
    else if (part.includes('between')) addRequests(version.measured.eventGap, count, ms)
    else if (part.includes('took')) addRequests(version.measured.firstEvent, count, ms)
    else countEnded(version, Number(/of (\d+)/.exec(part)![1]), count)
  }
}

Given(/^a trial in which the old version had (.*) and the new one (.*)$/, function (this: TrialEvidenceWorld, from: string, to: string) {
  Object.assign(this, { counts: emptyTrialCounts(), evaluator: createTrialEvaluator(), nowMs: 1000 })
  countRequests(this.counts.from, from)
  countRequests(this.counts.to, to)
})

When('the old version has no requests under way any more', function (this: TrialEvidenceWorld) {
  this.evaluator.evaluate({ route: structuredClone(this.counts) }, this.nowMs)
  this.counts.from.open = emptyTrialCounts().from.open
})

function answerAndEvaluate ({ counts, evaluator, nowMs }: TrialEvidenceWorld, failed: boolean): void {
  countEnded(counts.from, 8, 0)
  countEnded(counts.to, 1, failed ? 1 : 0)
  evaluator.evaluate({ route: structuredClone(counts) }, nowMs)
}

Given(/^a trial in which the new version answered (\d+) requests well$/, function (this: TrialEvidenceWorld, good: string) {
  Object.assign(this, { counts: emptyTrialCounts(), evaluator: createTrialEvaluator(), nowMs: 0 })
  for (let i = 0; i < Number(good); i++) {
    this.nowMs += 500
    answerAndEvaluate(this, false)
  }
})

When(/^it fails (\d+) of the next (\d+) requests$/, function (this: TrialEvidenceWorld, failures: string, requests: string) {
  for (let i = 0; i < Number(requests); i++) {
    this.nowMs += 500
    answerAndEvaluate(this, i < Number(failures))
  }
})

Then(/^the evidence says (worse|wait|good)$/, function (this: TrialEvidenceWorld, expected: string) {
  const { failures, latency, possibleLatency } = this.evaluator.evaluate({ route: this.counts }, this.nowMs + 1)
  const verdict = Math.max(failures, latency) >= STOP_EVIDENCE ? 'worse' : Math.max(failures, possibleLatency) > WAIT_EVIDENCE ? 'wait' : 'good'
  assert.equal(verdict, expected, `evidence ${failures}, ${latency}, ${possibleLatency}`)
})

interface QueueWorld { clock: ManualClock, queue: CapacityQueue, capacity: number, placed: number[], results: Promise<number | undefined>[] }

Given(/^a queue for room with waiting requests of urgency (.*)$/, function (this: QueueWorld, urgencies: string) {
  this.clock = createManualClock()
  this.queue = createCapacityQueue(this.clock)
  this.capacity = 0
  this.placed = []
  this.results = urgencies.split(', ').map((urgency, index) => this.queue.wait(SERVICE, {
    turn: Number(urgency),
    timeoutMs: 900,
    tryPlace: () => {
      if (this.capacity === 0) return undefined
      this.capacity--
      this.placed.push(index)
      return index
    },
    isCancelled: () => false
  }))
})

When(/^room appears for (\d+) requests$/, function (this: QueueWorld, capacity: string) {
  this.capacity = Number(capacity)
  this.queue.wake(SERVICE)
})

When(/^(\d+) ms pass without room$/, async function (this: QueueWorld, ms: string) { await this.clock.advance(Number(ms)) })

Then(/^the requests (.*) are placed$/, function (this: QueueWorld, order: string) {
  assert.deepEqual(this.placed, order.split(', ').map(Number))
})

Then('the request is refused', async function (this: QueueWorld) {
  assert.equal(await this.results[0], undefined)
  assert.equal(this.queue.size(SERVICE), 0)
})

interface PlacementWorld { engines: Backend[], othersLoad: Map<Backend, number>, chosen: Backend[], random: () => number }

Given(/^(\d+) engines without load$/, function (this: PlacementWorld, engines: string) {
  const pool = createPool(createManualClock())
  pool.applySnapshot(Array.from({ length: Number(engines) }, (_, index) => entry(`engine-${index}`)))
  this.engines = pool.eligible(SERVICE)
  this.othersLoad = new Map()
  this.chosen = []
  this.random = createRandom(7)
})

Given('another VM reports long prompts on all engines but one', function (this: PlacementWorld) {
  for (const engine of this.engines.slice(1)) this.othersLoad.set(engine, 3)
})

When(/^(\d+) requests with one prefix are placed$/, function (this: PlacementWorld, count: string) {
  for (let i = 0; i < Number(count); i++) {
    const chosen = chooseBackend({
      candidates: this.engines,
      affinityKey: 'prefix',
      dataCentre: brandId<DataCentreId>('elsewhere'),
      othersLoad: backend => this.othersLoad.get(backend) ?? 0,
      random: this.random
    })!
    chosen.load += requestLoad(400, 1).running
    chosen.inFlight++
    this.chosen.push(chosen)
  }
})

Then(/^the busiest engine has at most (\d+) requests more than the least busy one$/, function (this: PlacementWorld, max: string) {
  const counts = this.engines.map(({ inFlight }) => inFlight)
  assert.ok(Math.max(...counts) - Math.min(...counts) <= Number(max), counts.join(', '))
})

Then(/^the first requests went to at most (\d+) engines$/, function (this: PlacementWorld, max: string) {
  assert.ok(new Set(this.chosen.slice(0, 2)).size <= Number(max))
})

Then('the request went to the engine without long prompts', function (this: PlacementWorld) { assert.equal(this.chosen[0], this.engines[0]) })

interface ExchangeWorld { clock: ManualClock, vms: Map<VmId, { exchange: LoadExchange, load: number, messages: number }> }

Given(/^(\d+) VMs that have each put a load of 1 on an engine$/, function (this: ExchangeWorld, count: string) {
  this.clock = createManualClock()
  this.vms = new Map()
  const names = vmNames(Number(count))
  for (const self of names) {
    const deliver = (to: VmId, report: VmReport) => {
      this.vms.get(self)!.messages++
      return this.vms.get(to)!.exchange.accept(self, structuredClone(report))
    }
    const exchange = createLoadExchange({
      vms: () => names,
      self,
      ownLoad: () => ({ [backendId('engine')]: this.vms.get(self)!.load }) as LoadReport,
      collectors: () => chooseCollectors(placeVms(names), placeVm(self)),
      send: deliver,
      collect: async (to, report) => deliver(to, report),
      clock: this.clock,
      metrics: createMetrics()
    })
    this.vms.set(self, { exchange, load: 1, messages: 0 })
    exchange.start()
  }
})

When(/^they exchange reports for (\d+) ms$/, async function (this: ExchangeWorld, ms: string) { await this.clock.advance(Number(ms)) })

When('half of the VMs remove their load', function (this: ExchangeWorld) {
  for (const vm of [...this.vms.values()].slice(0, this.vms.size / 2)) vm.load = 0
})

Then(/^each VM knows the load of the others to within (\d+) %$/, function (this: ExchangeWorld, percent: string) {
  const all = [...this.vms.values()]
  const total = all.reduce((sum, { load }) => sum + load, 0)
  for (const { exchange, load } of all) {
    const expected = total - load
    assert.ok(Math.abs(exchange.othersLoad(backendId('engine')) - expected) <= expected * Number(percent) / 100, `${exchange.othersLoad(backendId('engine'))} of ${expected}`)
  }
})

Then(/^no VM has sent more than (\d+) messages$/, function (this: ExchangeWorld, max: string) {
  const most = Math.max(...[...this.vms.values()].map(({ messages }) => messages))
  assert.ok(most <= Number(max), `${most} messages`)
})

Then(/^(\d+) VMs have (\d+) collectors, and each reports to that of its own data centre first if there is one$/, function (vms: string, count: string) {
  const placed = placeVms(vmNames(Number(vms)))
  const choices = placed.map(vm => ({ vm, ...chooseCollectors(placed, vm) }))
  const collectors = choices.filter(({ isCollector }) => isCollector).map(({ vm }) => vm)
  assert.equal(collectors.length, Number(count))
  for (const { vm, isCollector, others } of choices) {
    const local = collectors.find(({ dataCentre }) => dataCentre === vm.dataCentre)
    if (!isCollector && local) assert.equal(others[0], local.vm)
    assert.equal(others.length, collectors.length - (isCollector ? 1 : 0))
  }
})

interface SplitWorld { events: string[], ids: (number | undefined)[], text: string }

Given(/^a stream of 3 events in chunks of (\d+) bytes$/, function (this: SplitWorld, bytes: string) {
  const splitter = createEventSplitter()
  this.text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 4\nid: 3\ndata: c\n\nid: 4\ndata'
  const data = Buffer.from(this.text)
  const events = []
  for (let at = 0; at < data.length; at += Number(bytes)) events.push(...splitter.push(data.subarray(at, at + Number(bytes))))
  this.events = events.map(event => event.bytes.toString())
  this.ids = events.map(({ id }) => id)
})

Then('the splitter finds the events 1, 2, 3 unchanged', function (this: SplitWorld) {
  assert.deepEqual(this.ids, [1, 2, 3])
  assert.equal(this.events.join('') + 'id: 4\ndata', this.text)
})

Then(/^an answer with confidence (\d+) is (dropped|kept) at a mean load of (\d+)(?: with (\d+) slots)?$/, function (confidence: string, expected: string, load: string, slots: string | null) {
  assert.equal(Number(confidence) < escalationConfidence(Number(load), slots === null ? undefined : Number(slots)) ? 'dropped' : 'kept', expected)
})
