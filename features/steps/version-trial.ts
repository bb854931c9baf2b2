import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type BootId, type ServiceId, type VersionId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { rendezvousOrder } from '../../src/core/placement/rendezvous.ts'
import { createVersionTrials, type RolloutOrder, type VersionTrials } from '../../src/core/version-trial/index.ts'
import { createRandom } from '../../src/standin/random.ts'

interface TrialWorld {
  clock: ManualClock
  vms: Map<VmId, VersionTrials>
  dead: Set<VmId>
  order: RolloutOrder
  sessions: Map<number, { wasNew: boolean, wentBack: boolean }>
  total: number
  firstHalf: number
  newInFirstHalf: number
  newInAll: number
  /** Requests before the take-over, and those of them on the new version. */
  beforeTakeOver: number
  newBeforeTakeOver: number
  /** Time of the last request on the old version. */
  lastOldMs: number
  completedMs: number | undefined
}

const SERVICE = brandId<ServiceId>('service')
const NEW = brandId<VersionId>('v2')
const OLD = brandId<VersionId>('v1')
const STEP_MS = 50

Given(/^a roll-out of (\d+) s that (\d+) VMs follow$/, async function (this: TrialWorld, seconds: string, count: string) {
  this.clock = createManualClock()
  this.vms = new Map()
  this.dead = new Set()
  this.order = { name: 'order', revision: 1, service: SERVICE, target: NEW, durationMs: Number(seconds) * 1000, state: undefined }
  Object.assign(this, { sessions: new Map(), total: 0, firstHalf: 0, newInFirstHalf: 0, newInAll: 0, beforeTakeOver: 0, newBeforeTakeOver: 0, lastOldMs: 0 })
  const names = Array.from({ length: Number(count) }, (_, index) => brandId<VmId>(`vm-${index}`))
  for (const vm of names) {
    this.vms.set(vm, createVersionTrials({
      vm,
      boot: brandId<BootId>('boot'),
      vms: () => names.filter(name => !this.dead.has(name)),
      report: (to, report) => { if (!this.dead.has(to)) this.vms.get(to)!.acceptReport(structuredClone(report)) },
      writeStatus: async (order, state) => {
        if (order.revision !== this.order.revision) return false
        this.order = { ...this.order, revision: this.order.revision + 1, state }
        if (state === 'completed') this.completedMs = this.clock.now()
        for (const trials of this.vms.values()) trials.apply(this.order)
        return true
      },
      sessionMs: 5000,
      trialLimit: () => ({ share: 0.15, slack: 30 }),
      clock: this.clock,
      log: silentLog,
      metrics: createMetrics()
    }))
  }
  for (const [vm, trials] of this.vms) {
    trials.apply(this.order)
    if (!this.dead.has(vm)) trials.start()
  }
  await this.clock.advance(600)
})

/** One request of a session at any VM that lives; tells whether it used the new version. */
function request (world: TrialWorld, session: number, vm: VmId, isBad: (session: number) => boolean): boolean {
  const trials = world.vms.get(vm)!
  const rule = trials.versionRule(SERVICE, `session-${session}`, false)
  const usesNew = rule.allows(NEW) && !rule.allows(OLD)
  trials.observe(SERVICE, { version: usesNew ? NEW : OLD, route: `route-${session % 4}`, failed: usesNew && isBad(session), firstEventMs: 100 })
  return usesNew
}

async function play (world: TrialWorld, ms: number, isBad: (session: number) => boolean): Promise<void> {
  const random = createRandom(3)
  const live = [...world.vms.keys()].filter(vm => !world.dead.has(vm))
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    // 60 requests a second.
    for (let i = 0; i < 3 && world.order.state !== 'completed'; i++) {
      const session = Math.floor(random() * 400)
      const usesNew = request(world, session, live[Math.floor(random() * live.length)]!, isBad)
      const known = world.sessions.get(session)
      world.sessions.set(session, { wasNew: usesNew, wentBack: (known?.wentBack ?? false) || ((known?.wasNew ?? false) && !usesNew) })
      world.total++
      if (usesNew) world.newInAll++
      else world.lastOldMs = world.clock.now()
      if (world.order.state === 'running') {
        world.beforeTakeOver++
        if (usesNew) world.newBeforeTakeOver++
      }
      if (world.clock.now() >= world.order.durationMs / 2) continue
      world.firstHalf++
      if (usesNew) world.newInFirstHalf++
    }
    await world.clock.advance(STEP_MS)
  }
}

When(/^400 sessions send requests all the time$/, { timeout: 30_000 }, async function (this: TrialWorld) { await play(this, 20_000, () => false) })

When('the first writer dies', function (this: TrialWorld) {
  const [first] = rendezvousOrder(this.order.name, [...this.vms.keys()])
  this.vms.get(first!)!.stop()
  this.dead.add(first!)
})

When('the new version fails half of its requests', { timeout: 30_000 }, async function (this: TrialWorld) {
  // The second stage begins here, in which the trial gets more requests.
  await this.clock.advance(this.order.durationMs * 0.55)
  await play(this, 4000, () => this.total % 2 === 0)
})

When('the new version fails on one of 4 routes', { timeout: 30_000 }, async function (this: TrialWorld) {
  await play(this, 20_000, session => session % 4 === 1 && this.total % 3 !== 0)
})

Then('the order is rolled back', function (this: TrialWorld) { assert.equal(this.order.state, 'rolled_back') })

Then(/^at most (\d+) % of the requests use the new version in the first half$/, function (this: TrialWorld, most: string) {
  assert.ok(this.newInFirstHalf <= this.firstHalf * Number(most) / 100, `${this.newInFirstHalf} of ${this.firstHalf}`)
})

Then(/^at most (\d+) % of the requests before the take-over use the new version$/, function (this: TrialWorld, most: string) {
  assert.ok(this.newBeforeTakeOver > 0 && this.newBeforeTakeOver <= this.beforeTakeOver * Number(most) / 100, `${this.newBeforeTakeOver} of ${this.beforeTakeOver}`)
})

When('the new version fails half of its requests once it gets all of them', { timeout: 30_000 }, async function (this: TrialWorld) {
  await play(this, 20_000, () => this.order.state === 'taking_over' && this.newInAll % 2 === 0)
})

Then(/^at most (\d+) % of all requests and (\d+) more use the new version$/, function (this: TrialWorld, most: string, more: string) {
  assert.ok(this.newInAll <= this.total * Number(most) / 100 + Number(more), `${this.newInAll} of ${this.total}`)
})

Then(/^no request has used the old version for (\d+) ms when the order is completed$/, function (this: TrialWorld, ms: string) {
  assert.ok(this.completedMs! - this.lastOldMs >= Number(ms), `${this.completedMs! - this.lastOldMs} ms`)
})

Then('no session that has used the new version goes back', function (this: TrialWorld) {
  assert.equal([...this.sessions.values()].filter(({ wentBack }) => wentBack).length, 0)
})

Then(/^the order is rolled back within (\d+) ms$/, function (this: TrialWorld, _ms: string) {
  assert.equal(this.order.state, 'rolled_back')
})

Then('no VM sends requests to the new version', function (this: TrialWorld) {
  for (const trials of this.vms.values()) {
    for (let session = 0; session < 200; session++) assert.ok(!trials.versionRule(SERVICE, `session-${session}`, false).allows(NEW))
  }
})

Then('the order is completed after more than half of its time', function (this: TrialWorld) {
  assert.equal(this.order.state, 'completed')
  assert.ok(this.completedMs! > this.order.durationMs / 2)
})

Then('every VM sends requests only to the new version', function (this: TrialWorld) {
  for (const trials of this.vms.values()) assert.ok(!trials.versionRule(SERVICE, 'session-1', false).allows(OLD))
})
