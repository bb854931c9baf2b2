/** Sessions that run while a roll-out is ordered, with answers that take seconds and requests that go to any VM. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type BootId, type ServiceId, type VersionId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createVersionTrials, type RolloutOrder, type VersionTrials } from '../../src/core/version-trial/index.ts'
import { createRandom } from '../../src/standin/random.ts'

interface Session { key: string, isBusy: boolean, nextMs: number, requestsLeft: number, version: VersionId | undefined, endedMs: number }

interface SessionWorld {
  clock: ManualClock
  vms: VersionTrials[]
  random: () => number
  sessions: Session[]
  created: number
  orderedMs: number
  durationMs: number
  /** Requests in the first half of the roll-out: those on the new version, and those that moved there from the old one. */
  onNew: number
  movedToNew: number
}

const SERVICE = brandId<ServiceId>('service')
const NEW = brandId<VersionId>('v2')
const OLD = brandId<VersionId>('v1')
const SEED = 11
const SESSION_MS = 5000
const STEP_MS = 25
const REPORT_PERIOD_MS = 500
/** Time until all VMs have a report: as through collectors. */
const REPORT_DELAY_MS = 1000

function createSession (world: SessionWorld): Session {
  return { key: `session-${world.created++}`, isBusy: false, nextMs: world.clock.now() + 4000 * world.random(), requestsLeft: 1 + Math.floor(8 * world.random()), version: undefined, endedMs: -Infinity }
}

function sendRequest (world: SessionWorld, session: Session): void {
  const { clock, random, vms } = world
  const trials = vms[Math.floor(random() * vms.length)]!
  const rule = trials.versionRule(SERVICE, session.key)
  const version = rule.allows(NEW) && !rule.allows(OLD) ? NEW : OLD
  const isFirstHalf = clock.now() >= world.orderedMs && clock.now() < world.orderedMs + world.durationMs / 2
  if (isFirstHalf && version === NEW) world.onNew++
  if (isFirstHalf && version === NEW && session.version === OLD && clock.now() - session.endedMs < SESSION_MS) world.movedToNew++
  const observation = trials.observe(SERVICE, version, 'route')
  const endRun = trials.beginRun(SERVICE, session.key, version)
  session.version = version
  session.isBusy = true
  clock.after(100 + 5000 * random() ** 2, () => {
    endRun()
    observation?.recordEvent()
    observation?.end('completed')
    Object.assign(session, { isBusy: false, endedMs: clock.now(), nextMs: clock.now() + 4800 * random(), requestsLeft: session.requestsLeft - 1 })
  })
}

async function runTraffic (world: SessionWorld, ms: number): Promise<void> {
  for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
    for (const [index, session] of world.sessions.entries()) {
      if (session.isBusy || session.nextMs > world.clock.now()) continue
      if (session.requestsLeft > 0) sendRequest(world, session)
      else world.sessions[index] = createSession(world)
    }
    await world.clock.advance(STEP_MS)
  }
}

Given(/^(\d+) VMs that serve (\d+) sessions with answers of up to 5 s$/, async function (this: SessionWorld, vms: string, sessions: string) {
  this.clock = createManualClock()
  this.random = createRandom(SEED)
  Object.assign(this, { created: 0, onNew: 0, movedToNew: 0, orderedMs: Infinity })
  const names = Array.from({ length: Number(vms) }, (_, index) => brandId<VmId>(`vm-${index}`))
  this.vms = names.map(vm => createVersionTrials({
    vm,
    boot: brandId<BootId>('boot'),
    vms: () => names,
    report () {},
    writeStatus: async () => true,
    sessionMs: SESSION_MS,
    trialLimit: () => ({ share: 0.0975, slack: 30 }),
    clock: this.clock,
    log: silentLog,
    metrics: createMetrics()
  }))
  for (const trials of this.vms) trials.start()
  this.clock.every(REPORT_PERIOD_MS, () => {
    for (const from of this.vms) {
      const reports = (['new', 'old'] as const).map(side => [side, from.sessionsReport('collected', side)] as const)
      this.clock.after(REPORT_DELAY_MS, () => { for (const [side, report] of reports) if (report) for (const to of this.vms) if (to !== from) to.mergeSessions(report, side) })
    }
  })
  this.sessions = Array.from({ length: Number(sessions) }, () => createSession(this))
  await runTraffic(this, 8000)
})

When(/^a roll-out of (\d+) s begins and its first half passes$/, { timeout: 60_000 }, async function (this: SessionWorld, seconds: string) {
  this.durationMs = 1000 * Number(seconds)
  this.orderedMs = this.clock.now()
  const order: RolloutOrder = { name: 'order', revision: { era: 1, number: 1 }, service: SERVICE, target: NEW, durationMs: this.durationMs, state: 'running' }
  for (const trials of this.vms) trials.apply(order)
  await runTraffic(this, this.durationMs / 2)
  for (const trials of this.vms) trials.stop()
})

Then(/^at most (\d+) requests have moved their session to the new version, and sessions that began there have used it$/, function (this: SessionWorld, max: string) {
  assert.ok(this.movedToNew <= Number(max), `${this.movedToNew} of ${this.onNew} requests on the new version`)
  assert.ok(this.onNew > 0)
})
