import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { findFreePorts } from '../../src/cli/dev/free-ports.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import type { KindSubscription } from '../../src/core/feed-relay/index.ts'
import { FLEET_KIND } from '../../src/core/fleet/constants.ts'
import { createFleet, type Fleet } from '../../src/core/fleet/index.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { PART_KIND } from '../../src/core/quarantine/constants.ts'
import { rendezvousOrder } from '../../src/core/placement/rendezvous.ts'
import { backendEntry, exchangeBytes, HARNESS_VM, harnessSettings, KINDS, startForwardingVmHarness, type ForwardingVmHarness, type RawResponse } from '../support/forwarding-vm-harness.ts'
import { createMemoryStore, type MemoryStore } from '../support/memory-store.ts'
import { startScriptedBackend, type ScriptedBackend } from '../support/scripted-backend.ts'

interface FleetWorld {
  store: MemoryStore
  vms: ForwardingVmHarness[]
  /** Lists and polls of the VM that started last. */
  lastVmCalls: string[]
  backend: ScriptedBackend
  responses: (RawResponse & { afterMs: number })[]
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
/** Less the safety factor and rounded down, this is the one request a second. */
const COLD_RATE = 2
const OTHER_VM = brandId<VmId>('vm-other')
let requests = 0

After({ tags: '@forwarding-fleet' }, async function (this: Partial<FleetWorld>) {
  for (const { vm } of this.vms ?? []) await vm.close()
  await this.backend?.close()
})

async function isReady ({ settings }: ForwardingVmHarness): Promise<boolean> {
  return await fetch(`http://${settings.readinessAddress}/`).then(({ status }) => status === 200, () => false)
}

async function send (world: FleetWorld, { settings }: ForwardingVmHarness): Promise<void> {
  const sentMs = performance.now()
  const bytes = `GET /open/1 HTTP/1.1\r\nhost: desk.example\r\nx-test-id: fleet-${requests++}\r\nx-test-wait-ms: 2500\r\nconnection: close\r\n\r\n`
  const response = await exchangeBytes(settings.callerAddress, bytes)
  world.responses.push({ ...response, afterMs: performance.now() - sentMs })
}

async function startVm (world: FleetWorld, vm: VmId): Promise<void> {
  const overrides = { vm, coldOvershoot: 1, coldSlack: 0 }
  const calls: string[] = []
  world.lastVmCalls = calls
  const { list, watch } = world.store
  const store: MemoryStore = {
    ...world.store,
    list (kind) {
      calls.push(`list ${kind}`)
      return list(kind)
    },
    watch (kind, after, waitMs) {
      calls.push(`watch ${kind}`)
      return watch(kind, after, waitMs)
    }
  }
  world.vms.push(await startForwardingVmHarness({ store, coldRate: COLD_RATE, overrides }))
}

async function waitUntilReady ({ vms }: FleetWorld): Promise<void> {
  for (const vm of vms) while (!await isReady(vm)) await sleep(20)
  // The last VM that joined changes the lenders.
  await sleep(2200)
}

Given(/^(\d+) forwarding VMs and a backend server that bears 1 request a second$/, { timeout: 20_000 }, async function (this: FleetWorld, count: string) {
  Object.assign(this, { store: createMemoryStore(), vms: [], responses: [], backend: await startScriptedBackend() })
  this.store.put(KINDS.backendServers, 'backend-0', backendEntry(this.backend.address))
  const names = Array.from({ length: Number(count) }, (_, index) => brandId<VmId>(`vm-${index}`))
  // The last one to start is not a root.
  for (const vm of rendezvousOrder('feed-root', names)) {
    await startVm(this, vm)
    await sleep(300)
  }
  await waitUntilReady(this)
})

When('the last VM starts again', { timeout: 20_000 }, async function (this: FleetWorld) {
  const last = this.vms.pop()!
  await last.vm.close()
  await startVm(this, last.settings.vm)
  await waitUntilReady(this)
})

When(/^each of the VMs gets a request, (\d+) ms after the one before$/, { timeout: 20_000 }, async function (this: FleetWorld, ms: string) {
  for (const vm of this.vms) {
    await send(this, vm)
    await sleep(Number(ms))
  }
})

When(/^each of the VMs gets (\d+) requests at once$/, async function (this: FleetWorld, count: string) {
  await Promise.all(this.vms.flatMap(vm => Array.from({ length: Number(count) }, () => send(this, vm))))
})

Then('all of them are answered', function (this: FleetWorld) {
  assert.deepEqual(this.responses.map(({ status }) => status), this.vms.map(() => 200))
})

Then(/^at least 1 of them is answered, and the others are refused as not run within (\d+) ms$/, function (this: FleetWorld, ms: string) {
  const answered = this.responses.filter(({ status }) => status === 200)
  const refused = this.responses.filter(({ status }) => status === 503)
  assert.ok(answered.length >= 1)
  assert.equal(answered.length + refused.length, this.responses.length)
  assert.equal(this.backend.received.length, answered.length)
  for (const { afterMs } of refused) assert.ok(afterMs <= Number(ms), `after ${Math.round(afterMs)} ms`)
})

Then('the backend server got at most 1 request in any second', function (this: FleetWorld) {
  const times = this.backend.receivedAtMs
  assert.ok(times.every((atMs, index) => index === 0 || atMs - times[index - 1]! >= 1000), times.map(Math.round).join())
})

Then(/^the store was asked for the configuration by (\d+) VMs only$/, function (this: FleetWorld, count: string) {
  assert.equal(this.store.calls.filter(call => call === `list ${KINDS.config}`).length, Number(count))
})

Then(/^the last VM has listed (only the VMs|each kind) once and polled the store for the other VMs only$/, function (this: FleetWorld, listed: string) {
  const kinds = listed === 'each kind' ? [...Object.values(KINDS), FLEET_KIND, PART_KIND] : [FLEET_KIND]
  assert.deepEqual(this.lastVmCalls.filter(call => call !== `watch ${FLEET_KIND}`).sort(), kinds.map(kind => `list ${kind}`).sort())
})

interface StartWorld { clock: ManualClock, fleet: Fleet, store: MemoryStore, subscription: KindSubscription, knownSinceMs: number }

function createStartWorld (world: StartWorld, ports: readonly number[]): void {
  world.clock = createManualClock()
  world.store = createMemoryStore()
  const subscriptions: KindSubscription[] = []
  world.fleet = createFleet({
    settings: harnessSettings(ports),
    store: world.store,
    follow (subscription) {
      subscriptions.push(subscription)
      return { isLoaded: () => true, confirmedMs: () => 0 }
    },
    clock: world.clock,
    log: silentLog,
    metrics: createMetrics(),
    random: Math.random
  })
  world.subscription = subscriptions[0]!
}

Given('a VM that has just read the entry of another one and has not met it', function (this: StartWorld) {
  createStartWorld(this, [1, 1, 1, 1, 1])
  const spec = { boot: 'boot-2', callerAddress: '127.0.0.1:2', peerAddress: '127.0.0.1:3', dataCentre: 'dc-2' }
  this.subscription.onSnapshot([{ name: OTHER_VM, revision: { era: 0, number: 1 }, spec, status: undefined }])
})

Then(/^it (may|does not) use the other one as a relay$/, function (this: StartWorld, expected: string) {
  assert.equal(this.fleet.relayCandidates().some(({ vm }) => vm === OTHER_VM), expected === 'may')
})

When(/^(\d+) ms pass without a sign of the other one$/, async function (this: StartWorld, ms: string) { await this.clock.advance(Number(ms)) })

After({ tags: '@forwarding-fleet' }, async function (this: Partial<StartWorld>) { await this.fleet?.close() })

Given(/^a VM that has been registered for (\d+) ms$/, async function (this: StartWorld, ms: string) {
  createStartWorld(this, await findFreePorts(5))
  this.fleet.start()
  await this.clock.advance(Number(ms))
  this.knownSinceMs = this.fleet.knownSinceMs()
  assert.ok(this.knownSinceMs < this.clock.now())
})

When(/^it is paused for (\d+) ms and its entry is removed meanwhile$/, async function (this: StartWorld, ms: string) {
  const entry = this.store.peek(FLEET_KIND, HARNESS_VM)!
  await this.clock.advance(Number(ms))
  this.store.remove(FLEET_KIND, HARNESS_VM)
  this.subscription.onChange({ object: { ...entry, revision: this.store.revision() }, deleted: true })
  assert.equal(this.fleet.knownSinceMs(), Infinity)
})

Then(/^it may use its part of a limit again (\d+) ms after it has registered again$/, async function (this: StartWorld, ms: string) {
  await this.clock.advance(0)
  assert.ok(this.store.peek(FLEET_KIND, HARNESS_VM))
  assert.equal(this.fleet.knownSinceMs(), this.clock.now() + Number(ms))
})

When('it learns of the removal of the entry before its own', function (this: StartWorld) {
  const entry = this.store.peek(FLEET_KIND, HARNESS_VM)!
  this.subscription.onChange({ object: { ...entry, revision: { ...entry.revision, number: entry.revision.number - 1 } }, deleted: true })
})

Then('it may use its part of a limit as before', async function (this: StartWorld) {
  assert.equal(this.fleet.knownSinceMs(), this.knownSinceMs)
  await this.clock.advance(100)
  assert.equal(this.fleet.knownSinceMs(), this.knownSinceMs)
})
