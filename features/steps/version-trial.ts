import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type BootId, type ServiceId, type VersionId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { isSameRevision } from '../../src/core/object-feed/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { rendezvousOrder } from '../../src/core/placement/rendezvous.ts'
import { createVersionTrials, type RequestObservation, type RolloutOrder, type VersionTrials } from '../../src/core/version-trial/index.ts'
import { createTrialSessions, type TrialSessions } from '../../src/core/version-trial/trial-sessions.ts'
import { createRandom } from '../../src/standin/random.ts'

interface TrialWorld {
  sessionsOfVms: TrialSessions[]
  newOfSession: number
  furtherOnTrial: number
  clock: ManualClock
  vms: Map<VmId, VersionTrials>
  deadVms: Set<VmId>
  order: RolloutOrder
  sessions: Map<number, { usedNew: boolean, returnedToOld: boolean }>
  requests: number
  requestsInFirstHalf: number
  newRequestsInFirstHalf: number
  newRequests: number
  /** Requests before the takeover, and how many of them used the new version. */
  requestsBeforeTakeover: number
  newRequestsBeforeTakeover: number
  /** Time of the last request on the old version. */
  lastOldRequestMs: number
  hasTakenOver: boolean
  /** Whether the repeat of the first request on trial goes to the new version. */
  repeatedOnNew: boolean
  completedMs: number | undefined
}

const SERVICE = brandId<ServiceId>('service')
const NEW = brandId<VersionId>('v2')
const OLD = brandId<VersionId>('v1')
const STEP_MS = 50
const NORMAL_PACE: Pace = { firstEventMs: 200, eventGapMs: 40 }

Given(/^two VMs that tell each other the sessions on trial, with pauses of at most (\d+) ms$/, function (this: TrialWorld, ms: string) {
  this.clock = createManualClock()
  this.sessionsOfVms = [0, 1].map(() => createTrialSessions({ trial: 'order/v2', sessionMs: Number(ms), clock: this.clock }))
  const [one, other] = this.sessionsOfVms
  const tell = (from: TrialSessions, to: TrialSessions) => {
    const report = from.report('computing')
    if (report) this.clock.after(50, () => { assert.ok(to.merge(report)) })
  }
  this.clock.every(500, () => { tell(one!, other!); tell(other!, one!) })
})

When(/^(\d+) ms pass after the only request of a session$/, async function (this: TrialWorld, ms: string) {
  this.sessionsOfVms[0]!.record('session')
  await this.clock.advance(Number(ms))
})

Then(/^the other VM (keeps|forgets) the session on trial$/, function (this: TrialWorld, verdict: string) {
  assert.equal(this.sessionsOfVms[1]!.lastMs('session') !== undefined, verdict === 'keeps')
  for (const unreadable of [7, '', 'abc', 'ABCDEFG', 'abcdefg'.repeat(76)]) assert.ok(!this.sessionsOfVms[1]!.merge(unreadable))
})

Given(/^a roll-out of (\d+) s that (\d+) VMs follow(?:, with at most ([\d.]+) % on trial)?$/, async function (this: TrialWorld, seconds: string, count: string, maxPercent: string | null) {
  this.clock = createManualClock()
  this.vms = new Map()
  this.deadVms = new Set()
  this.order = { name: 'order', revision: { era: 1, number: 1 }, service: SERVICE, target: NEW, durationMs: Number(seconds) * 1000, state: undefined }
  Object.assign(this, { sessions: new Map(), requests: 0, requestsInFirstHalf: 0, newRequestsInFirstHalf: 0, newRequests: 0, requestsBeforeTakeover: 0, newRequestsBeforeTakeover: 0, lastOldRequestMs: 0, hasTakenOver: false })
  const vmNames = Array.from({ length: Number(count) }, (_, index) => brandId<VmId>(`vm-${index}`))
  for (const vm of vmNames) {
    this.vms.set(vm, createVersionTrials({
      vm,
      boot: brandId<BootId>('boot'),
      vms: () => vmNames.filter(name => !this.deadVms.has(name)),
      report: (to, report) => { if (!this.deadVms.has(to)) this.vms.get(to)!.acceptReport(structuredClone(report)) },
      writeStatus: async (order, state) => {
        if (!isSameRevision(order.revision, this.order.revision)) return false
        this.order = { ...this.order, revision: { ...this.order.revision, number: this.order.revision.number + 1 }, state }
        if (state === 'taking_over') this.hasTakenOver = true
        if (state === 'completed') this.completedMs = this.clock.now()
        for (const trials of this.vms.values()) trials.apply(this.order)
        return true
      },
      sessionMs: 5000,
      trialLimit: () => ({ share: Number(maxPercent ?? 15) / 100, slack: 30 }),
      clock: this.clock,
      log: silentLog,
      metrics: createMetrics()
    }))
  }
  for (const [vm, trials] of this.vms) {
    trials.apply(this.order)
    if (!this.deadVms.has(vm)) trials.start()
  }
  // As through collectors: a report every 500 ms, known to all other VMs a second later.
  this.clock.every(500, () => {
    for (const [from, trials] of this.vms) {
      const report = trials.sessionsReport('collected')
      if (report) this.clock.after(1000, () => { for (const [vm, other] of this.vms) if (vm !== from) other.mergeSessions(report) })
    }
  })
  await this.clock.advance(600)
})

/** Time to the first event, and from each of the later events to the next. */
interface Pace { firstEventMs: number, eventGapMs: number }

/** Events after the first one. */
const LATER_EVENTS = 5

/** Answers a request event by event in simulated time. */
function answerAtPace ({ clock }: TrialWorld, observation: RequestObservation, { firstEventMs, eventGapMs }: Pace): void {
  for (let event = 0; event <= LATER_EVENTS; event++) clock.after(firstEventMs + event * eventGapMs, observation.recordEvent)
  clock.after(firstEventMs + LATER_EVENTS * eventGapMs + 1, () => observation.end('completed'))
}

/** Sends one request of a session to the VM; returns whether it used the new version. */
function sendRequest (world: TrialWorld, session: number, vm: VmId, failsOnNew: (session: number) => boolean, slowPace?: Pace): boolean {
  const trials = world.vms.get(vm)!
  const rule = trials.versionRule(SERVICE, `session-${session}`)
  const usesNew = rule.allows(NEW) && !rule.allows(OLD)
  const observation = trials.observe(SERVICE, usesNew ? NEW : OLD, `route-${session % 4}`)
  if (slowPace) {
    if (observation) answerAtPace(world, observation, usesNew && world.newRequests % 2 === 0 ? slowPace : NORMAL_PACE)
    return usesNew
  }
  observation?.recordEvent()
  observation?.end(usesNew && failsOnNew(session) ? 'failed' : 'completed')
  return usesNew
}

async function runTraffic (world: TrialWorld, ms: number, failsOnNew: (session: number) => boolean, slowPace?: Pace): Promise<void> {
  const random = createRandom(3)
  const liveVms = [...world.vms.keys()].filter(vm => !world.deadVms.has(vm))
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
    // 3 requests per 50 ms are 60 requests per second.
    for (let i = 0; i < 3 && world.order.state !== 'completed'; i++) {
      const session = Math.floor(random() * 400)
      const usesNew = sendRequest(world, session, liveVms[Math.floor(random() * liveVms.length)]!, failsOnNew, slowPace)
      const previous = world.sessions.get(session)
      world.sessions.set(session, { usedNew: usesNew, returnedToOld: (previous?.returnedToOld ?? false) || ((previous?.usedNew ?? false) && !usesNew) })
      world.requests++
      if (usesNew) world.newRequests++
      else world.lastOldRequestMs = world.clock.now()
      if (world.order.state === 'running') {
        world.requestsBeforeTakeover++
        if (usesNew) world.newRequestsBeforeTakeover++
      }
      if (world.clock.now() >= world.order.durationMs / 2) continue
      world.requestsInFirstHalf++
      if (usesNew) world.newRequestsInFirstHalf++
    }
    await world.clock.advance(STEP_MS)
  }
}

When(/^400 sessions send requests all the time$/, { timeout: 30_000 }, async function (this: TrialWorld) { await runTraffic(this, 20_000, () => false) })

When('the deciding VM dies', function (this: TrialWorld) {
  const [decider] = rendezvousOrder(this.order.name, [...this.vms.keys()])
  this.vms.get(decider!)!.stop()
  this.deadVms.add(decider!)
})

When('the new version fails half of its requests', { timeout: 30_000 }, async function (this: TrialWorld) {
  // Skips to the second stage, in which more requests are put on trial.
  await this.clock.advance(this.order.durationMs * 0.55)
  await runTraffic(this, 4000, () => this.requests % 2 === 0)
})

When('the new version fails on one of 4 routes', { timeout: 30_000 }, async function (this: TrialWorld) {
  await runTraffic(this, 20_000, session => session % 4 === 1 && this.requests % 3 !== 0)
})

When('the new version sends its first event 300 times later for half of its requests', { timeout: 30_000 }, async function (this: TrialWorld) {
  await runTraffic(this, 20_000, () => false, { ...NORMAL_PACE, firstEventMs: 300 * NORMAL_PACE.firstEventMs })
})

When('the new version sends later events 8 times more slowly for half of its requests', { timeout: 30_000 }, async function (this: TrialWorld) {
  await runTraffic(this, 20_000, () => false, { ...NORMAL_PACE, eventGapMs: 8 * NORMAL_PACE.eventGapMs })
})

Then('the new version never got all requests', function (this: TrialWorld) { assert.equal(this.hasTakenOver, false) })

When(/^the first request on trial is repeated (for a better answer|after a failure)$/, async function (this: TrialWorld, cause: string) {
  await this.clock.advance(this.order.durationMs * 0.55)
  const [trials] = this.vms.values()
  const sessions = Array.from({ length: 100 }, (_, index) => `session-${index}`)
  const session = sessions.find(name => trials!.versionRule(SERVICE, name).allows(NEW))!
  this.repeatedOnNew = trials!.versionRule(SERVICE, session, { version: NEW, hasFailed: cause === 'after a failure' }).allows(NEW)
})

When(/^a session on trial sends (\d+) requests to one VM$/, async function (this: TrialWorld, count: string) {
  await this.clock.advance(this.order.durationMs * 0.55)
  const [trials] = this.vms.values()
  const goesToNew = (session: string) => trials!.versionRule(SERVICE, session).allows(NEW)
  const sessions = Array.from({ length: 100 }, (_, index) => `session-${index}`)
  const onTrial = sessions.find(goesToNew)!
  this.newOfSession = Array.from({ length: Number(count) }, () => goesToNew(onTrial)).filter(isNew => isNew).length
  this.furtherOnTrial = sessions.filter(session => session !== onTrial && goesToNew(session)).length
})

Then('all of them go to the new version', function (this: TrialWorld) { assert.equal(this.newOfSession, 50) })
Then('no further session of the VM is put on trial', function (this: TrialWorld) { assert.equal(this.furtherOnTrial, 0) })

Then(/^it goes to the (old|new) version$/, function (this: TrialWorld, expected: string) {
  assert.equal(this.repeatedOnNew, expected === 'new')
})

When(/^the store is restored to when the order was (ordered|running)$/, async function (this: TrialWorld, state: string) {
  this.order = { ...this.order, revision: { era: 2, number: 1 }, state: state === 'running' ? state : undefined }
  for (const trials of this.vms.values()) trials.applyRestored(this.order)
  await this.clock.advance(1500)
})

Then(/^the order is (completed|rolled_back) again$/, function (this: TrialWorld, state: string) { assert.equal(this.order.state, state) })

Then('the order is rolled back', function (this: TrialWorld) { assert.equal(this.order.state, 'rolled_back') })

Then(/^at most (\d+) % of the requests use the new version in the first half$/, function (this: TrialWorld, maxPercent: string) {
  assert.ok(this.newRequestsInFirstHalf <= this.requestsInFirstHalf * Number(maxPercent) / 100, `${this.newRequestsInFirstHalf} of ${this.requestsInFirstHalf}`)
})

Then(/^at most ([\d.]+) % of the requests before the take-over use the new version$/, function (this: TrialWorld, maxPercent: string) {
  assert.ok(this.newRequestsBeforeTakeover > 0 && this.newRequestsBeforeTakeover <= this.requestsBeforeTakeover * Number(maxPercent) / 100, `${this.newRequestsBeforeTakeover} of ${this.requestsBeforeTakeover}`)
})

When('the new version fails half of its requests once it gets all of them', { timeout: 30_000 }, async function (this: TrialWorld) {
  await runTraffic(this, 20_000, () => this.order.state === 'taking_over' && this.newRequests % 2 === 0)
})

Then(/^at most (\d+) % of all requests and (\d+) more use the new version$/, function (this: TrialWorld, maxPercent: string, slack: string) {
  assert.ok(this.newRequests <= this.requests * Number(maxPercent) / 100 + Number(slack), `${this.newRequests} of ${this.requests}`)
})

Then(/^no request has used the old version for (\d+) ms when the order is completed$/, function (this: TrialWorld, ms: string) {
  assert.ok(this.completedMs! - this.lastOldRequestMs >= Number(ms), `${this.completedMs! - this.lastOldRequestMs} ms`)
})

Then('no session that has used the new version goes back', function (this: TrialWorld) {
  assert.equal([...this.sessions.values()].filter(({ returnedToOld }) => returnedToOld).length, 0)
})

Then(/^the order is rolled back within (\d+) ms$/, function (this: TrialWorld, _ms: string) {
  // The traffic of the preceding step lasts exactly this time.
  assert.equal(this.order.state, 'rolled_back')
})

Then('no VM sends requests to the new version', function (this: TrialWorld) {
  for (const trials of this.vms.values()) {
    for (let session = 0; session < 200; session++) assert.ok(!trials.versionRule(SERVICE, `session-${session}`).allows(NEW))
  }
})

Then('the order is completed before its time is over', function (this: TrialWorld) { assert.ok(this.completedMs! < this.order.durationMs, `${this.completedMs} ms`) })

Then('the order is completed after more than half of its time', function (this: TrialWorld) {
  assert.equal(this.order.state, 'completed')
  assert.ok(this.completedMs! > this.order.durationMs / 2)
})

Then('every VM sends requests only to the new version', function (this: TrialWorld) {
  for (const trials of this.vms.values()) assert.ok(!trials.versionRule(SERVICE, 'session-1').allows(OLD))
})
