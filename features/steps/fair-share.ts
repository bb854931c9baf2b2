import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { maxMinLevel } from '../../src/core/fair-share/max-min.ts'
import { retryAfterMs } from '../../src/core/fair-share/retry-after.ts'
import { teamKey } from '../../src/core/fair-share/team-usage.ts'
import { turnOf } from '../../src/core/fair-share/turn.ts'
import { createWaitEstimates, isHopeless, type WaitEstimates } from '../../src/core/fair-share/wait-estimate.ts'
import type { RequestProgress } from '../../src/core/forwarding/request-progress.ts'
import type { Reservation } from '../../src/core/backend-pool/index.ts'
import { brandId, type TeamId, type VmId } from '../../src/core/ids/index.ts'
import { createCapacityQueue } from '../../src/core/placement/capacity-queue.ts'
import { createRandom } from '../../src/standin/random.ts'
import { exchangeBytes, startForwardingVmHarness, type ForwardingVmHarness } from '../support/forwarding-vm-harness.ts'
import { createFairFleet, SERVICE, type FairFleet } from '../support/fair-fleet.ts'

const SERVICE_MS = 500
const TEAM = brandId<TeamId>('team-0')
const OTHER_TEAM = brandId<TeamId>('team-1')

interface FairWorld { fleet: FairFleet, slots: number, teamRate: number, teams: string[], hogs: number, inTime: number, progress: RequestProgress, waits: WaitEstimates, clock: ManualClock, isRefused: boolean, placed: RequestProgress[], waited: RequestProgress[], maxAsking: number, harness?: ForwardingVmHarness, retryAfterS: number, borrowed: string[] }

Given(/^(\d+) VMs with (\d+) slots at (\d+) % load from (\d+) teams$/, function (this: FairWorld, vms: string, slots: string, percent: string, teams: string) {
  this.slots = Number(slots)
  this.teams = Array.from({ length: Number(teams) }, (_, index) => `team-${index}`)
  this.teamRate = Number(percent) / 100 * this.slots / (SERVICE_MS / 1000) / this.teams.length
  this.fleet = createFairFleet({ vmCount: Number(vms), slots: this.slots, serviceMs: SERVICE_MS, random: createRandom(3) })
})

When(/^(\d+) of the teams send 7.5 times their load for (\d+) ms$/, { timeout: 60_000 }, async function (this: FairWorld, hogs: string, ms: string) {
  const { fleet, teams, teamRate } = this
  this.hogs = Number(hogs)
  await fleet.run(new Map(teams.map((team, index) => [team, index < this.hogs ? 7.5 * teamRate : teamRate])), Number(ms))
  this.inTime = [...fleet.results.values()].reduce((sum, { inTime }) => sum + inTime, 0)
  await fleet.clock.advance(4000)
})

Then(/^every other team got at least (\d+) % of its responses in time$/, function (this: FairWorld, percent: string) {
  for (const team of this.teams.slice(this.hogs)) {
    const { sent, inTime } = this.fleet.results.get(team)!
    assert.ok(inTime >= Number(percent) / 100 * sent, `${team}: ${inTime} of ${sent}`)
  }
})

Then(/^at least (\d+) % of the slots were used in time$/, function (this: FairWorld, percent: string) {
  assert.ok(this.inTime >= Number(percent) / 100 * this.slots * (6000 / SERVICE_MS), `${this.inTime} responses in time`)
})

Then('most refusals of a team over its share came at once', function (this: FairWorld) {
  const { refused, refusedAtOnce } = this.fleet.results.get(TEAM)!
  assert.ok(refusedAtOnce > refused / 2, `${refusedAtOnce} of ${refused}`)
})

When(/^the others report (\d+) requests of a team below its share and (\d+) of one over it$/, function (this: FairWorld, below: string, over: string) {
  const usage = { '': 9, [SERVICE]: Number(below) + Number(over), [teamKey(SERVICE, TEAM)]: Number(below), [teamKey(SERVICE, OTHER_TEAM)]: Number(over) }
  this.fleet.vms[0]!.exchange.accept(brandId<VmId>('vm-1'), { loads: {}, usage })
})

When(/^the others report (\d+) requests without teams$/, function (this: FairWorld, count: string) {
  this.fleet.vms[0]!.exchange.accept(brandId<VmId>('vm-1'), { loads: {}, usage: { '': 9, [SERVICE]: Number(count) } })
})

/** Starts requests of a team at the first VM until it may start no more, at most 20. */
function admit (fleet: FairFleet, team: TeamId): number {
  const { shares } = fleet.vms[0]!
  let count = 0
  for (; count < 20 && shares.mayStart(SERVICE, team); count++) shares.usage.start(SERVICE, team)
  return count
}

Then('the VM admits 7 of the first team and 6 of the second at once', function (this: FairWorld) {
  assert.deepEqual([TEAM, OTHER_TEAM].map(team => admit(this.fleet, team)), [7, 6])
})

Then('the VM admits 20 of each team at once', function (this: FairWorld) {
  assert.deepEqual([TEAM, OTHER_TEAM].map(team => admit(this.fleet, team)), [20, 20])
})

When('a VM is cut off and 200 requests of one team arrive there', async function (this: FairWorld) {
  const [vm] = this.fleet.vms
  vm!.isCut = true
  await this.fleet.clock.advance(2000)
  for (let i = 0; i < 200; i++) void this.fleet.send(TEAM, vm)
  await this.fleet.clock.advance(10)
})

Then(/^that VM has at most (\d+) requests in flight$/, function (this: FairWorld, max: string) {
  const count = this.fleet.vms[0]!.shares.usage.inFlight(SERVICE).get(TEAM)!
  assert.ok(count > Number(max) / 2 && count <= Number(max), `${count} requests`)
})

When(/^(\d+) VMs are cut off and (\d+) requests of one team arrive at each of the others every 100 ms$/, async function (this: FairWorld, cut: string, count: string) {
  const { fleet } = this
  for (const vm of fleet.vms.slice(-Number(cut))) vm.isCut = true
  await fleet.clock.advance(2000)
  for (let step = 0; step < 40; step++) {
    for (const vm of fleet.vms.filter(({ isCut }) => !isCut)) for (let i = 0; i < Number(count); i++) void fleet.send(TEAM, vm)
    await fleet.clock.advance(100)
  }
})

Then(/^the others have (\d+) to (\d+) requests in flight together$/, function (this: FairWorld, min: string, max: string) {
  const count = this.fleet.vms.filter(({ isCut }) => !isCut).reduce((sum, { shares }) => sum + (shares.usage.inFlight(SERVICE).get(TEAM) ?? 0), 0)
  assert.ok(count >= Number(min) && count <= Number(max), `${count} requests`)
})

When(/^(\d+) requests start at a VM and it is paused for (\d+) ms$/, function (this: FairWorld, count: string, ms: string) {
  for (let i = 0; i < Number(count); i++) this.fleet.vms[0]!.shares.usage.start(SERVICE, TEAM)
  this.fleet.pause(Number(ms))
})

Then(/^it reports (\d+) requests$/, function (this: FairWorld, count: string) { assert.equal(Math.round(this.fleet.vms[0]!.shares.report()[SERVICE]!), Number(count)) })

When(/^requests wait for a place each 100 ms, the VM is paused for (\d+) ms while some wait, and another one arrives$/, async function (this: FairWorld, ms: string) {
  this.fleet = createFairFleet({ vmCount: 1, slots: 120, serviceMs: 200, random: createRandom(1) })
  const { fleet } = this
  let room = 0
  const reservation = { release () {}, cancel () {} } as Reservation
  const send = () => fleet.send(TEAM, undefined, { source: { tryReserve: () => room-- > 0 ? reservation : undefined } })
  for (let i = 0; i < 8; i++) void send()
  for (let i = 0; i < 6; i++) {
    room = 1
    await fleet.clock.advance(100)
    room = 0
  }
  fleet.pause(Number(ms))
  await fleet.clock.advance(60)
  const last = send()
  room = 3
  await fleet.clock.advance(100)
  this.progress = await last
})

const countedUsage = (fleet: FairFleet) => fleet.vms[1]!.exchange.othersUsage()[teamKey(SERVICE, TEAM)] ?? 0

When('a VM reports usage and dies', async function (this: FairWorld) {
  const [vm] = this.fleet.vms
  for (let i = 0; i < 10; i++) vm!.shares.usage.start(SERVICE, TEAM)
  await this.fleet.clock.advance(5000)
  vm!.isCut = true
})

Then(/^the others count all of it after (\d+) ms, a part after (\d+) ms and nothing after (\d+) ms$/, async function (this: FairWorld, all: string, part: string, none: string) {
  const counts: number[] = []
  let elapsedMs = 0
  for (const ms of [all, part, none].map(Number)) {
    await this.fleet.clock.advance(ms - elapsedMs)
    elapsedMs = ms
    counts.push(Math.round(countedUsage(this.fleet)))
  }
  assert.equal(counts[0], 10)
  assert.ok(counts[1]! > 0 && counts[1]! < 10, `${counts[1]} after ${part} ms`)
  assert.equal(counts[2], 0)
})

When(/^a VM's report of 5 requests arrives twice, then late$/, async function (this: FairWorld) {
  const report = { loads: {}, usage: { '': 1, [SERVICE]: 5, [teamKey(SERVICE, TEAM)]: 5 } }
  const accept = () => this.fleet.vms[1]!.exchange.accept(brandId<VmId>('vm-0'), structuredClone(report))
  accept()
  accept()
  await this.fleet.clock.advance(200)
  accept()
})

When(/^(\d+) requests of a team are in flight at a VM$/, async function (this: FairWorld, count: string) {
  for (let i = 0; i < Number(count); i++) this.fleet.vms[0]!.shares.usage.start(SERVICE, TEAM)
  await this.fleet.clock.advance(5000)
})

Then(/^the others count (\d+) requests$/, function (this: FairWorld, count: string) { assert.equal(countedUsage(this.fleet), Number(count)) })

Then('max-min levels hold for any demands', () => {
  const demand = fc.double({ min: 0, max: 1000, noNaN: true })
  fc.assert(fc.property(fc.array(demand, { minLength: 1, maxLength: 30 }), demand, demand, (demands, capacity, more) => {
    const level = maxMinLevel(demands, capacity)
    const total = demands.reduce((sum, value) => sum + value, 0)
    const used = demands.reduce((sum, value) => sum + Math.min(value, level), 0)
    assert.ok(Math.abs(used - Math.min(total, capacity)) < 1e-6, 'divides all capacity')
    assert.ok(level >= capacity / demands.length - 1e-6, 'gives each team an equal part at least')
    assert.ok(maxMinLevel([...demands, more], capacity) <= level + Math.max(more, 0) + 1e-6 && maxMinLevel(demands, capacity + more) >= level - 1e-6, 'is monotonic')
  }))
})

Then('the turns of the queue hold for any requests', async () => {
  const request = fc.record({ team: fc.constantFrom(TEAM, OTHER_TEAM), urgency: fc.nat(9), receivedMs: fc.nat(3000), spentMs: fc.nat(5000) })
  await fc.assert(fc.asyncProperty(fc.array(request, { minLength: 1, maxLength: 20 }), async requests => {
    const usage = new Map<TeamId, number>()
    const placed: typeof requests = []
    let hasRoom = false
    const queue = createCapacityQueue(createManualClock(), { usage: (_, team) => usage.get(team) ?? 0, mayStart: () => true })
    const turn = ({ urgency, receivedMs, spentMs }: typeof requests[number]) => turnOf({ receivedMs, urgency, routeTimeoutMs: 15_000, timeoutMs: 15_000 - spentMs })
    const waits = requests.map(each => queue.wait(SERVICE, {
      turn: turn(each),
      team: each.team,
      timeoutMs: 1000,
      isCancelled: () => false,
      tryPlace () {
        if (!hasRoom) return undefined
        placed.push(each)
        usage.set(each.team, (usage.get(each.team) ?? 0) + 1)
        return each
      }
    }))
    hasRoom = true
    queue.wake(SERVICE)
    await Promise.all(waits)
    assert.equal(placed.length, requests.length, 'all requests are placed')
    for (const [index, first] of placed.entries()) {
      for (const second of placed.slice(index + 1)) if (second.team === first.team) assert.ok(turn(first) <= turn(second))
      // Neither team gets two more than the other while both have waiting requests.
      const rest = placed.slice(index)
      const lead = placed.slice(0, index).reduce((sum, { team }) => sum + (team === TEAM ? 1 : -1), 0)
      if ([TEAM, OTHER_TEAM].every(team => rest.some(each => each.team === team))) assert.ok(Math.abs(lead) <= 1)
    }
  }))
  fc.assert(fc.property(fc.nat(9), fc.nat(9), fc.nat(20_000), (urgency, other, spentMs) => {
    const turn = (input: object) => turnOf({ receivedMs: 20_000, urgency, routeTimeoutMs: 15_000, timeoutMs: 15_000, ...input })
    assert.ok(turn({ urgency: Math.min(urgency, other) }) <= turn({ urgency: Math.max(urgency, other) }), 'more urgent first')
    assert.ok(spentMs === 0 || turn({ timeoutMs: 15_000 - spentMs }) < turn({}), 'a caller that returns first')
    assert.ok(turn({ timeoutMs: 15_000 - spentMs }) >= turn({ receivedMs: 12_000 }) - 1000, 'no request is overtaken for long')
  }))
})

Given('placements every 100 ms with estimates', async function (this: FairWorld) {
  const clock = this.clock = createManualClock()
  this.waits = createWaitEstimates(clock)
  for (let i = 0; i < 20; i++) {
    await clock.advance(100)
    this.waits.recordPlaced(SERVICE, TEAM, { sinceMs: clock.now() - 400, expectedMs: 400 })
  }
})

Then(/^another team with (\d+) requests ahead in the order of all teams is refused at once and with (\d+) it is not$/, function (this: FairWorld, many: string, few: string) {
  const isRefused = (aheadInOrder: number) => isHopeless({ ...this.waits.estimate(SERVICE, OTHER_TEAM, { ahead: 0, aheadInOrder }), timeoutMs: 500 })
  assert.deepEqual([isRefused(Number(many)), isRefused(Number(few))], [true, false])
})

Then('waits of 800 ms instead of 400 ms show an error of 400 ms', function (this: FairWorld) {
  for (let i = 0; i < 100; i++) this.waits.recordPlaced(SERVICE, TEAM, { sinceMs: this.clock.now() - 800, expectedMs: 400 })
  assert.equal(Math.round(this.waits.quality().get(SERVICE)!.errorMs), 400)
})

Given(/^groups of (\d+) placements every (\d+) ms with estimates$/, async function (this: FairWorld, count: string, periodMs: string) {
  const clock = this.clock = createManualClock()
  this.waits = createWaitEstimates(clock)
  for (let i = 0; i < 5 * Number(count); i++) {
    if (i % Number(count) === 0) await clock.advance(Number(periodMs))
    this.waits.recordPlaced(SERVICE, TEAM, { sinceMs: clock.now() - 500, expectedMs: 500 })
  }
})

Then(/^(\d+) requests ahead pass for (\d+) ms and (\d+) do not$/, function (this: FairWorld, few: string, timeoutMs: string, many: string) {
  const isRefused = (ahead: number) => isHopeless({ expectedMs: this.waits.expectedMs(SERVICE, TEAM, ahead), timeoutMs: Number(timeoutMs), ahead })
  assert.deepEqual([isRefused(Number(few)), isRefused(Number(many))], [false, true])
})

When(/^no request of the team waits for (\d+) ms and then (\d+) wait for (\d+) ms$/, async function (this: FairWorld, idleMs: string, count: string, waitedMs: string) {
  await this.clock.advance(Number(idleMs))
  this.waits.recordIdle(SERVICE, TEAM)
  await this.clock.advance(Number(waitedMs))
  this.isRefused = isHopeless({ expectedMs: this.waits.expectedMs(SERVICE, TEAM, Number(count)), timeoutMs: 1000, ahead: Number(count) })
})

Then(/^the next request is (admitted|refused at once)$/, function (this: FairWorld, result: string) { assert.equal(this.isRefused, result !== 'admitted') })

When('20 requests are placed at once by a clock that runs on, and then others wait for a place each 100 ms', async function (this: FairWorld) {
  this.fleet = createFairFleet({ vmCount: 1, slots: 120, serviceMs: 200, random: createRandom(1), tickMs: 0.005 })
  const { fleet } = this
  let room = 20
  const reservation = { release () {}, cancel () {} } as Reservation
  const send = () => fleet.send(TEAM, undefined, { source: { tryReserve: () => room-- > 0 ? reservation : undefined } })
  this.placed = []
  for (let i = 0; i < 20; i++) this.placed.push(await send())
  room = 0
  const waiting = Array.from({ length: 5 }, send)
  for (let i = 0; i < 4; i++) {
    await fleet.clock.advance(100)
    room = 1
    await fleet.clock.advance(60)
    room = 0
  }
  for (let i = 0; i < 30; i++) waiting.push(send())
  await fleet.clock.advance(2000)
  this.waited = await Promise.all(waiting)
})

Then('those placed at once have no wait, and the last ones are refused on arrival', function (this: FairWorld) {
  assert.ok(this.placed.every(({ capacityWait }) => capacityWait === undefined), 'no wait')
  assert.match(this.waited.at(-1)!.capacityRefusal!.reason, /expected wait/)
})

When('requests wait for a place each 100 ms, none waits for 4 s, and then two arrive 10 ms apart while there is no room', async function (this: FairWorld) {
  const { fleet } = this
  let room = 0
  const reservation = { release () {}, cancel () {} } as Reservation
  const source = { tryReserve: () => room-- > 0 ? reservation : undefined }
  const send = () => fleet.send(TEAM, undefined, { source })
  const waiting = Array.from({ length: 5 }, send)
  for (let i = 0; i < waiting.length; i++) {
    room = 1
    await fleet.clock.advance(100)
    room = 0
  }
  await fleet.clock.advance(4000)
  const first = send()
  await fleet.clock.advance(10)
  const second = send()
  room = 2
  await fleet.clock.advance(100)
  await Promise.all([...waiting, first])
  this.progress = await second
})

When('30 requests wait for backend servers of their sessions and one arrives that needs none of these', async function (this: FairWorld) {
  this.fleet = createFairFleet({ vmCount: 1, slots: 120, serviceMs: 200, random: createRandom(1) })
  const { fleet } = this
  let room = 0
  const reservation = { release () {}, cancel () {} } as Reservation
  const send = () => fleet.send(TEAM, undefined, { source: { tryReserve: () => room-- > 0 ? reservation : undefined } })
  for (let i = 0; i < 35; i++) void send()
  for (let i = 0; i < 5; i++) {
    room = 1
    await fleet.clock.advance(200)
  }
  const last = fleet.send(TEAM, undefined, { source: { tryReserve: () => reservation } })
  await fleet.clock.advance(1)
  this.progress = await last
})

Then('the second one is served', function (this: FairWorld) { assert.equal(this.progress.capacityRefusal, undefined) })

Then('the first request of a team is never refused', () => { assert.equal(isHopeless({ expectedMs: 1e9, timeoutMs: 1, ahead: 0 }), false) })

Then('doubled waits double the estimate', function (this: FairWorld) {
  const before = this.waits.expectedMs(SERVICE, TEAM, 5)
  for (let i = 0; i < 50; i++) this.waits.recordTimeout(SERVICE, TEAM, { sinceMs: -2000 * 400, expectedMs: this.waits.expectedMs(SERVICE, TEAM, 5) })
  assert.ok(this.waits.expectedMs(SERVICE, TEAM, 5) > 2 * before, 'waits above the estimate raise it')
})

Then('Retry-After holds for any wait and time left', () => {
  const ms = fc.integer({ min: 1, max: 60_000 })
  fc.assert(fc.property(ms, ms, (expectedMs, remainingMs) => {
    const at = (point: number) => retryAfterMs({ expectedMs, remainingMs, minMs: 400, random: () => point })
    assert.ok(at(1) <= remainingMs / 3 + 1e-6, 'within a third of the time left')
    assert.ok(at(0) >= Math.min(expectedMs, remainingMs * 0.13), 'not before the expected wait')
    assert.ok(at(1) - at(0) >= 0.5 * at(0), 'spread')
  }))
})

When(/^a request of (\d+) tokens arrives$/, async function (this: FairWorld, tokens: string) {
  this.progress = await this.fleet.send(TEAM, undefined, { tokens: Number(tokens) })
})

Then('it is refused at once as too large', function (this: FairWorld) {
  assert.deepEqual(this.progress.capacityRefusal, { reason: 'tokens exceed the memory of every backend server', error: 'permit_refused' })
  assert.equal(this.progress.capacityWait, undefined)
})

When('40 requests of one team and then one of another ask for scarce loans', async function (this: FairWorld) {
  const { fleet } = this
  const borrowed: string[] = this.borrowed = []
  let left = 0
  let asking = 0
  this.maxAsking = 0
  const recordAsking = (change: number) => { this.maxAsking = Math.max(this.maxAsking, asking += change) }
  const ask = (team: string) => fleet.send(team, undefined, {
    source: {
      isLent: () => true,
      async borrow () {
        recordAsking(1)
        await fleet.clock.sleep(5)
        recordAsking(-1)
        if (left === 0) return undefined
        left--
        borrowed.push(team)
        return { release () {}, cancel () {} } as Reservation
      }
    }
  })
  for (let i = 0; i < 40; i++) void ask(TEAM)
  await fleet.clock.advance(300)
  void ask(OTHER_TEAM)
  for (let i = 0; i < 12; i++) {
    left = 1
    await fleet.clock.advance(100)
  }
})

Then(/^the other team gets one of the first (\d+) loans$/, function (this: FairWorld, count: string) {
  assert.ok(this.borrowed.slice(0, Number(count)).includes(OTHER_TEAM), this.borrowed.join(' '))
})

Then(/^at most (\d+) requests ask for loans at the same time$/, function (this: FairWorld, max: string) { assert.ok(this.maxAsking <= Number(max), `${this.maxAsking} requests`) })

After({ tags: '@fair-share' }, async function (this: FairWorld) { await this.harness?.vm.close() })

Given('a VM that shares capacity and has no backend server', async function (this: FairWorld) {
  this.harness = await startForwardingVmHarness({ overrides: { fairShares: true } })
})

When(/^a caller with (\d+) ms left is refused$/, async function (this: FairWorld, ms: string) {
  const head = `GET /read/a HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer good-key\r\nx-test-id: r-1\r\nx-test-wait-ms: ${ms}\r\nconnection: close\r\n\r\n`
  // Until the VM has loaded its configuration, it refuses all requests with the usual Retry-After.
  for (let i = 0; i < 80 && !(this.retryAfterS < 0.4); i++) {
    const response = await exchangeBytes(this.harness!.settings.callerAddress, head)
    assert.equal(response.status, 503)
    this.retryAfterS = Number(/^retry-after: (.*)$/im.exec(response.head)?.[1])
    await new Promise(resolve => setTimeout(resolve, 50))
  }
})

Then(/^Retry-After is at most (\S+) s$/, function (this: FairWorld, max: string) { assert.ok(this.retryAfterS <= Number(max), `${this.retryAfterS} s`) })
