import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createBackendPool, type BackendPool } from '../../src/core/backend-pool/index.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type BackendServerId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import { startBrittleBackend, type BrittleBackend } from '../support/brittle-backend.ts'
import { createBrittleFleet, type BrittleFleet } from '../support/brittle-fleet.ts'
import { backendEntry, exchangeBytes, KINDS, startForwardingVmHarness, type ForwardingVmHarness } from '../support/forwarding-vm-harness.ts'
import { createMemoryStore } from '../support/memory-store.ts'

interface BrittleWorld {
  clock: ManualClock
  fleet: BrittleFleet
  startMs: number
}

/** Twice what the backend servers can serve. */
const LOAD = 2
/** Time from the first statement on after which the limits must hold. */
const CONTACT_MS = 3000

Given(/^(\d+) VMs and (\d+) backend servers with (\d+) slots each, under twice the load that these can serve(?: with requests of (\d+) ms)?$/, { timeout: 60_000 }, async function (this: BrittleWorld, vms: string, servers: string, slots: string, ms: string | null) {
  this.clock = createManualClock()
  this.fleet = createBrittleFleet({ vms: Number(vms), servers: Number(servers), slots: Number(slots), clock: this.clock, ...ms && { meanServiceMs: Number(ms) } })
  await this.fleet.run(ms ? 6000 : 2000, LOAD)
})

When(/^the backend servers say for (\d+) s that they tolerate (\d+) rejections a second$/, { timeout: 120_000 }, async function (this: BrittleWorld, seconds: string, tolerated: string) {
  this.startMs = this.clock.now()
  this.fleet.setTolerated(Number(tolerated))
  await this.fleet.run((Number(seconds) - 4) * 1000, LOAD)
  this.fleet.usedShare()
  await this.fleet.run(4000, LOAD)
})

When(/^requests of others take all slots for (\d+) s$/, { timeout: 120_000 }, async function (this: BrittleWorld, seconds: string) {
  this.fleet.occupy(8)
  await this.fleet.run(Number(seconds) * 1000, LOAD)
})

When(/^they do not say so any more for (\d+) s$/, { timeout: 120_000 }, async function (this: BrittleWorld, seconds: string) {
  this.fleet.setTolerated(undefined)
  await this.fleet.run(Number(seconds) * 1000, 0.3)
})

Then(/^from 3 s later on each of them has rejected at most (\d+) requests in any second$/, function (this: BrittleWorld, max: string) {
  const rejections = this.fleet.maxRejections(this.startMs + CONTACT_MS)
  assert.ok(rejections <= Number(max), `${rejections} rejections in a second`)
})

Then('in the last 4 s at least four fifths of the slots were used', function (this: BrittleWorld) {
  const share = this.fleet.usedShare()
  assert.ok(share >= 0.8, `${share.toFixed(3)} of the slots`)
})

Then('no VM takes any of them for brittle', function (this: BrittleWorld) {
  const brittle = this.fleet.vms.flatMap(({ pool }) => [...pool.all()].filter(({ entry }) => pool.brittle.tolerated(entry) !== undefined))
  assert.equal(brittle.length, 0)
})

interface PoolWorld { pool: BackendPool, metrics: Metrics, clock: ManualClock }

const id = (name: string) => brandId<BackendServerId>(name)
const toleratedBy = ({ pool }: PoolWorld, name: string) => pool.brittle.tolerated(pool.get(id(name))!.entry)

function answer ({ pool }: PoolWorld, name: string, toleratedRejections: number | 'unreadable' | undefined): void {
  pool.recordRoom(pool.get(id(name))!, { toleratedRejections, authentic: true, notRun: false, namedLimit: undefined })
}

Given('a VM and two brittle backend servers that tolerate 2 rejections a second', function (this: PoolWorld) {
  this.clock = createManualClock()
  this.metrics = createMetrics()
  const self = brandId<VmId>('vm-1')
  this.pool = createBackendPool({ cold: { limit: () => 0, vms: () => [self], self }, clock: this.clock, log: silentLog, metrics: this.metrics })
  for (const name of ['first', 'second']) {
    this.pool.apply({ ...backendEntry('127.0.0.1:1'), id: id(name) })
    answer(this, name, 2)
  }
})

When('one of them leaves and another one starts', async function (this: PoolWorld) {
  this.pool.remove(id('second'))
  await this.clock.advance(10_000)
  this.pool.apply({ ...backendEntry('127.0.0.1:3'), id: id('other') })
})

When('an answer of the other one names no tolerated rejections', function (this: PoolWorld) { answer(this, 'other', undefined) })

When('an answer of one of them names a tolerance that is unreadable', function (this: PoolWorld) { answer(this, 'first', 'unreadable') })

Then('the other one tolerates 2 rejections a second', function (this: PoolWorld) { assert.equal(toleratedBy(this, 'other'), 2) })

Then('the other one is not brittle, and the first one still is', function (this: PoolWorld) {
  assert.deepEqual([toleratedBy(this, 'other'), toleratedBy(this, 'first')], [undefined, 2])
})

Then('both tolerate 2 rejections a second, and 1 bad input is counted', function (this: PoolWorld) {
  assert.deepEqual([toleratedBy(this, 'first'), toleratedBy(this, 'second')], [2, 2])
  assert.equal(this.metrics.value('bad_input', 'tolerated_rejections'), 1)
})

interface VmWorld { vms: ForwardingVmHarness[], backends: BrittleBackend[], statuses: number[], sent: number, seconds: number }

const SERVICE_MS = 250
const SLOTS = 2
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

After({ tags: '@brittle-vms' }, async function (this: Partial<VmWorld>) {
  for (const { vm } of this.vms ?? []) await vm.close()
  for (const backend of this.backends ?? []) await backend.close()
})

Given(/^(\d+) real VMs and (\d+) backend servers with 2 slots that fall over for 2 s at more than (\d+) rejection in a second$/, { timeout: 20_000 }, async function (this: VmWorld, vms: string, servers: string, tolerated: string) {
  const store = createMemoryStore()
  Object.assign(this, { vms: [], backends: [], statuses: [] })
  for (let i = 0; i < Number(servers); i++) {
    const backend = await startBrittleBackend({ slots: SLOTS, tolerated: Number(tolerated), serviceMs: SERVICE_MS, downMs: 2000 })
    this.backends.push(backend)
    store.put(KINDS.backendServers, `backend-${i}`, backendEntry(backend.address, { slots: SLOTS }))
  }
  for (let i = 0; i < Number(vms); i++) this.vms.push(await startForwardingVmHarness({ store, overrides: { vm: brandId<VmId>(`vm-${i}`) } }))
  // The VMs meet each other first.
  await sleep(3000)
})

When(/^callers send twice what the backend servers can serve for (\d+) s$/, { timeout: 30_000 }, async function (this: VmWorld, seconds: string) {
  this.seconds = Number(seconds)
  const perSecond = 2 * this.backends.length * SLOTS * 1000 / SERVICE_MS
  // One answer tells the VMs that the service is brittle; the limits must hold from 3 s later on.
  await send(this, 0)
  await sleep(CONTACT_MS)
  const startMs = performance.now()
  const open: Promise<void>[] = []
  while (performance.now() - startMs < this.seconds * 1000) {
    while (open.length < (performance.now() - startMs) / 1000 * perSecond) open.push(send(this, open.length))
    await sleep(10)
  }
  await Promise.all(open)
})

async function send (world: VmWorld, number: number): Promise<void> {
  const { settings } = world.vms[number % world.vms.length]!
  const bytes = `GET /open/1 HTTP/1.1\r\nhost: desk.example\r\nx-test-id: brittle-${number}\r\nx-test-wait-ms: 2500\r\nconnection: close\r\n\r\n`
  world.statuses.push((await exchangeBytes(settings.callerAddress, bytes)).status)
}

Then(/^the backend servers fall over at most (\d+) times$/, function (this: VmWorld, max: string) {
  const falls = this.backends.reduce((sum, backend) => sum + backend.falls, 0)
  assert.ok(falls <= Number(max), `${falls} falls`)
})

Then('at least half of what they can serve is served', function (this: VmWorld) {
  const answered = this.statuses.filter(status => status === 200).length
  const possible = this.seconds * this.backends.length * SLOTS * 1000 / SERVICE_MS
  assert.ok(answered >= possible / 2, `${answered} of ${possible}`)
})
