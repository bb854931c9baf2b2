import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { Backend } from '../../src/core/backend-pool/types.ts'
import { createCrashEvidence, type CrashEvidence } from '../../src/core/forwarding/crash-evidence.ts'
import type { CallerRequest } from '../../src/core/forwarding/types.ts'
import { brandId, type BackendServerId, type RequestId, type VmId } from '../../src/core/ids/index.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { FollowedKind, KindSubscription } from '../../src/core/feed-relay/index.ts'
import { createPartStore } from '../../src/core/quarantine/part-store.ts'
import { createPartQuarantine, type PartQuarantine } from '../../src/core/quarantine/request-parts.ts'
import { createRecentSurvivals, type RecentSurvivals } from '../../src/core/quarantine/recent-survivals.ts'
import { startEvidenceVms, type EvidenceVm } from '../support/evidence-vms.ts'

interface PartsWorld {
  clock: ManualClock
  vms: EvidenceVm[]
}

const partsOf = (prompt: string) => prompt.split(',').slice(0, -1)

Given(/^(\d+) VMs that exchange evidence about prompt parts$/, function (this: PartsWorld, count: string) {
  const clock = createManualClock()
  const names = Array.from({ length: Number(count) }, (_, index) => brandId<VmId>(`vm-${index}`))
  this.clock = clock
  this.vms = startEvidenceVms(names, clock)
})

// A crash is written as REQUEST@BACKEND-SERVER, with @MS after it for one that comes so long after the first.
async function recordCrashes ({ clock, vms }: PartsWorld, crashes: string, partsOfRequest: (request: string) => string[], wasRunning: boolean): Promise<void> {
  let elapsedMs = 0
  for (const [index, crash] of crashes.split(' ').entries()) {
    const [request, id, atMs = elapsedMs] = crash.split('@') as [string, string, string?]
    await clock.advance(Number(atMs) - elapsedMs)
    elapsedMs = Number(atMs)
    vms[index]!.quarantine.recordCrash({ backendServer: brandId<BackendServerId>(id), instance: '1' }, partsOfRequest(request), { wasRunning })
  }
}

When(/^each of these crashes is seen by another VM: (.*)$/, async function (this: PartsWorld, crashes: string) { await recordCrashes(this, crashes, partsOf, true) })

When(/^each of these crashes with open requests is seen by another VM: (.*)$/, async function (this: PartsWorld, crashes: string) {
  await recordCrashes(this, crashes, request => [request], false)
})

When(/^the VMs exchange evidence for (\d+) ms$/, async function (this: PartsWorld, ms: string) { await this.clock.advance(Number(ms)) })

When(/^one VM gets the first event of the prompt (\S+)$/, function (this: PartsWorld, prompt: string) {
  this.vms.at(-1)!.quarantine.recordSurvival(partsOf(prompt), this.clock.now())
})

When(/^one VM gets a response to the request (\S+)$/, function (this: PartsWorld, request: string) {
  this.vms.at(-1)!.quarantine.recordSurvival([request], this.clock.now())
})

interface SurvivalsWorld { clock: ManualClock, survivals: RecentSurvivals, count: number }

Given(/^recent responses to (\d+) parts of requests$/, function (this: SurvivalsWorld, count: string) {
  this.clock = createManualClock()
  this.survivals = createRecentSurvivals(this.clock)
  this.count = Number(count)
  for (let i = 0; i < this.count; i++) this.survivals.record([`part-${i}`], this.clock.now())
})

When(/^(\d+) ms pass and there is a response to one more part$/, async function (this: SurvivalsWorld, ms: string) {
  await this.clock.advance(Number(ms))
  this.survivals.record([`part-${this.count++}`], this.clock.now())
})

Then(/^the responses to the latest (\d+) parts are known$/, function (this: SurvivalsWorld, known: string) {
  const isKnown = Array.from({ length: this.count }, (_, i) => this.survivals.begunMs(`part-${i}`) !== undefined)
  assert.deepEqual([isKnown.indexOf(true), isKnown.filter(Boolean).length], [this.count - Number(known), Number(known)])
})

Then(/^the (prompt|request) (\S+) is (refused|accepted) on all VMs$/, function (this: PartsWorld, what: string, name: string, expected: string) {
  const parts = what === 'prompt' ? partsOf(name) : [name]
  const states = this.vms.map(({ quarantine }) => (quarantine.remainingMs(parts) > 0 ? 'refused' : 'accepted'))
  assert.deepEqual([...new Set(states)], [expected])
})

Then(/^(\d+) VMs? reports? a crash$/, function (this: PartsWorld, count: string) {
  assert.equal(this.vms.filter(({ quarantine }) => (quarantine.recentEvidence()?.crashes.length ?? 0) > 0).length, Number(count))
})

interface TrialWorld { clock: ManualClock, quarantine: PartQuarantine, evidence: CrashEvidence, isWithdrawn: boolean }

const TRIED_REQUEST = { id: brandId<RequestId>('tried'), method: 'POST', host: 'desk.example', target: '/order/1', prompt: [] } as unknown as CallerRequest
const OTHER_REQUEST = { ...TRIED_REQUEST, target: '/order/2' }

/** Another backend server at each call; it has ended. */
let crashedBackends = 0
const crashedBackend = () => ({ entry: { id: brandId<BackendServerId>(`crashed-${crashedBackends++}`) } }) as Backend

const evidenceOf = (request: CallerRequest, quarantine: PartQuarantine) =>
  createCrashEvidence({ request, team: undefined, body: undefined }, { quarantine, hasEnded: async () => true, log: { ...silentLog, request () {} } })

Given(/^crashes by the request of a caller (\d+), (\d+) and (\d+) ms after the first$/, async function (this: TrialWorld, first: string, second: string, third: string) {
  this.clock = createManualClock()
  this.quarantine = createPartQuarantine({ clock: this.clock, log: silentLog, metrics: createMetrics() })
  for (const time of [first, second, third]) {
    await this.clock.advance(Number(time) - this.clock.now())
    await evidenceOf(TRIED_REQUEST, this.quarantine).recordLostResponse(crashedBackend())
  }
})

When(/^(\d+) ms pass and the request comes again$/, async function (this: TrialWorld, ms: string) {
  await this.clock.advance(Number(ms))
  this.evidence = evidenceOf(TRIED_REQUEST, this.quarantine)
  this.isWithdrawn = false
})

Then('the request runs, also when it is asked again', function (this: TrialWorld) {
  assert.deepEqual([this.evidence.isRefused(), this.evidence.isRefused()], [false, false])
  this.evidence.watch(() => { this.isWithdrawn = true })
})

Then('it is not withdrawn at a crash with other requests', async function (this: TrialWorld) {
  await evidenceOf(OTHER_REQUEST, this.quarantine).recordLostResponse(crashedBackend())
  await this.clock.advance(1)
  assert.equal(this.isWithdrawn, false)
})

Then('it is refused after its own crash', async function (this: TrialWorld) {
  await this.evidence.recordLostResponse(crashedBackend())
  assert.equal(this.evidence.isRefused(), true)
})

Then('it is refused after a crash that another VM reports', async function (this: TrialWorld) {
  await evidenceOf(TRIED_REQUEST, this.quarantine).recordLostResponse(crashedBackend())
  await this.clock.advance(1)
  assert.deepEqual([this.isWithdrawn, this.evidence.isRefused()], [true, true])
})

interface PartStoreWorld { deletedBy: VmId[] }

When(/^(\d+) VMs have read a stored quarantine whose writer is gone, and it ends on all of them$/, function (this: PartStoreWorld, count: string) {
  const parts = ['common']
  const names = Array.from({ length: Number(count) }, (_, index) => brandId<VmId>(`vm-${index}`))
  this.deletedBy = []
  let storedName = ''
  const create = async (_kind: string, name: string) => { storedName = name; return undefined }
  const createStore = (self: VmId) => {
    const subscriptions: KindSubscription[] = []
    const partStore = createPartStore({
      store: { create, delete: async () => { this.deletedBy.push(self) } },
      follow (subscription) {
        subscriptions.push(subscription)
        return { isLoaded: () => true } as FollowedKind
      },
      quarantine: () => ({ merge () {}, certainQuarantines: () => [] }),
      self,
      liveVms: () => names,
      clock: createManualClock(),
      log: silentLog,
      metrics: createMetrics()
    })
    return { partStore, subscriptions }
  }
  const crash = { backendServer: brandId<BackendServerId>('s1'), instance: '1', parts, wasRunning: true }
  void createStore(brandId<VmId>('writer')).partStore.write(parts, [{ ...crash, ageMs: 0 }])
  for (const self of names) {
    const { partStore, subscriptions } = createStore(self)
    const object = { name: storedName, revision: { era: 0, number: 1 }, spec: { crashes: [{ ...crash, wallMs: 0 }] }, status: undefined }
    for (const { onSnapshot } of subscriptions) onSnapshot([object])
    partStore.remove(parts)
  }
})

Then(/^(\d+) of them deletes? it from the store$/, function (this: PartStoreWorld, count: string) {
  assert.equal(this.deletedBy.length, Number(count))
})

const isAdmitted = (quarantine: PartQuarantine, prompt: string) => quarantine.admit(partsOf(prompt)) !== 'refused'

Then(/^each VM admits (\d+) of (\d+) requests with the prompt (\S+)$/, function (this: PartsWorld, admitted: string, asked: string, prompt: string) {
  const counts = this.vms.map(({ quarantine }) => Array.from({ length: Number(asked) }, () => isAdmitted(quarantine, prompt)).filter(Boolean).length)
  assert.deepEqual([...new Set(counts)], [Number(admitted)])
})

Then(/^(\d+) VMs? admits? a request with the prompt (\S+)$/, function (this: PartsWorld, count: string, prompt: string) {
  assert.equal(this.vms.filter(({ quarantine }) => isAdmitted(quarantine, prompt)).length, Number(count))
})

Then(/^the request (\S+) is accepted on (\d+) VMs?$/, function (this: PartsWorld, name: string, count: string) {
  assert.equal(this.vms.filter(({ quarantine }) => quarantine.remainingMs([name]) === 0).length, Number(count))
})
