import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { COLD_WINDOW_MS } from '../../src/core/backend-pool/constants.ts'
import { createManualClock, systemClock, type ManualClock } from '../../src/core/clock/index.ts'
import { FLEET_KIND } from '../../src/core/fleet/constants.ts'
import { createFleet, type Fleet } from '../../src/core/fleet/index.ts'
import type { KindSubscription } from '../../src/core/feed-relay/index.ts'
import { createConfigExchange } from '../../src/core/forwarding-vm/config-exchange.ts'
import { createStartQueue, type StartQueue } from '../../src/core/forwarding-vm/start-queue.ts'
import { createStartup, type Startup } from '../../src/core/forwarding-vm/startup.ts'
import type { TrafficConfig } from '../../src/core/forwarding/types.ts'
import { brandId, type ServiceId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { findFreePorts } from '../../src/cli/dev/free-ports.ts'
import { backendEntry, exchangeBytes, HARNESS_VM, harnessSettings, KINDS, route, startForwardingVmHarness, trafficConfig, type ForwardingVmHarness, type RawResponse } from '../support/forwarding-vm-harness.ts'
import { createMemoryStore, type MemoryStore } from '../support/memory-store.ts'
import { startScriptedBackend, type ScriptedBackend } from '../support/scripted-backend.ts'

interface StartWorld {
  clock: ManualClock
  startup: Startup
  queue: StartQueue | undefined
  isLoaded: boolean
  results: Map<string, boolean>
  disconnects: (() => void)[]
  lines: object[]
  fleet: Fleet
  /** Calls to the store for the entries of the VMs, in order. */
  registerCalls: () => string[]
  exchange: ReturnType<typeof createConfigExchange>
  other: Server
}

const LIMITS_START_MS = COLD_WINDOW_MS

Given(/^a VM whose process started 100 ms ago(?:, with a queue for (\d+) requests and (\d+) bytes)?$/, function (this: StartWorld, maxRequests: string | null, maxBytes: string | null) {
  const clock = createManualClock({ startMs: 100 })
  Object.assign(this, { clock, isLoaded: false, results: new Map(), disconnects: [], lines: [] })
  const options = { clock, metrics: createMetrics() }
  this.startup = createStartup({
    ...options,
    processStart: { startedMs: 0, upMs: 40 },
    isLoaded: () => this.isLoaded,
    limitsStartMs: () => LIMITS_START_MS,
    steps: {},
    log: { ...silentLog, info: (_message, fields) => { this.lines.push(fields!) } },
    random: Math.random
  })
  if (maxRequests) this.queue = createStartQueue({ ...options, phase: () => 0, expectedMs: () => 0, maxRequests: Number(maxRequests), maxBytes: Number(maxBytes) })
  this.startup.start()
})

When(/^(?:the )?requests? (.*) with (\d+) ms arrives?$/, async function (this: StartWorld, names: string, ms: string) {
  for (const name of names.split(', ')) {
    const isOpen = () => this.isLoaded && (!name.startsWith('cold') || this.startup.areLimitsUsable())
    void this.startup.waitToServe({ isOpen, receivedMs: this.clock.now(), timeLimitMs: () => Number(ms), bytes: 10, onDisconnect () {} })
      .then(isServed => { this.results.set(name, isServed) })
  }
  await this.clock.advance(0)
})

When(/^(\d+) ms pass until it has loaded its lists$/, async function (this: StartWorld, ms: string) {
  await this.clock.advance(Number(ms) - 1)
  this.isLoaded = true
  await this.clock.advance(1)
})

When(/^(\d+) ms pass without the lists$/, async function (this: StartWorld, ms: string) { await this.clock.advance(Number(ms)) })
When('the limits are usable', async function (this: StartWorld) { await this.clock.advance(LIMITS_START_MS - this.clock.now()) })
When('a request is served', function (this: StartWorld) { this.startup.record('served') })

Then(/^the requests (.*) are served in this order$/, async function (this: StartWorld, names: string) {
  await this.clock.advance(20)
  assert.deepEqual([...this.results].filter(([, isServed]) => isServed).map(([name]) => name), names.split(', '))
})

Then(/^it is (refused|kept) at once$/, function (this: StartWorld, expected: string) { assert.equal(this.results.get('1'), expected === 'refused' ? false : undefined) })
When('the VM stops', async function (this: StartWorld) {
  this.startup.stop()
  await this.clock.advance(0)
})

Then('requests 1 and 2 are refused', function (this: StartWorld) { assert.deepEqual([...this.results], [['1', false], ['2', false]]) })
Then('request 1 is refused', function (this: StartWorld) { assert.equal(this.results.get('1'), false) })

When(/^(\d+) requests of (\d+) bytes arrive$/, async function (this: StartWorld, count: string, bytes: string) {
  this.results.clear()
  for (let index = 0; index < Number(count); index++) {
    void this.queue!.wait({ isOpen: () => false, latestMs: () => Infinity, bytes: Number(bytes), onDisconnect: callback => { this.disconnects.push(callback) } })
      .then(isServed => { this.results.set(String(index), isServed) })
  }
  await this.clock.advance(0)
})

Then(/^(\d+) of them wait and (\d+) are refused$/, function (this: StartWorld, _waiting: string, refused: string) { assert.equal(this.results.size, Number(refused)) })
When('the callers disconnect', async function (this: StartWorld) {
  for (const disconnect of this.disconnects) disconnect()
  await this.clock.advance(0)
})

Then(/^refused callers may return between (\d+) ms and (\d+) ms, at different times$/, function (this: StartWorld, min: string, max: string) {
  const times = Array.from({ length: 50 }, () => this.startup.retryAfterMs())
  assert.ok(times.every(ms => ms >= Number(min) && ms <= Number(max)), `${Math.min(...times)} to ${Math.max(...times)}`)
  assert.ok(Math.max(...times) - Math.min(...times) > 100, 'the times are not spread')
})

Then(/^the log has one timeline with (.*)$/, function (this: StartWorld, expected: string) {
  assert.deepEqual(this.lines.map(line => Object.entries(line).map(([step, ms]) => `${step} ${ms}`).sort()), [expected.split(', ').sort()])
})

async function startRegisteredVm (world: StartWorld, store: MemoryStore, durationMs: number, { isListed = false } = {}): Promise<void> {
  store.put(FLEET_KIND, HARNESS_VM, { boot: 'boot-earlier' })
  const clock = createManualClock({ startMs: 400 })
  const earlierEntry = store.peek(FLEET_KIND, HARNESS_VM)!
  const follow = ({ onSnapshot }: KindSubscription) => {
    if (isListed) queueMicrotask(() => onSnapshot([earlierEntry]))
    return { isLoaded: () => true, confirmedMs: () => 0 }
  }
  world.registerCalls = () => store.calls.filter(call => call.endsWith(FLEET_KIND))
  world.fleet = createFleet({ settings: harnessSettings(await findFreePorts(5)), store, follow, processStartedMs: 0, clock, log: silentLog, metrics: createMetrics(), random: Math.random })
  world.fleet.start()
  await clock.advance(durationMs)
}

Given('a VM that was registered before and whose process started 400 ms ago', async function (this: StartWorld) {
  await startRegisteredVm(this, createMemoryStore(), 100)
})

Given(/^a VM that starts when the list has its earlier entry, (?:which is (removed) before it can replace it|with nothing changed)$/, async function (this: StartWorld, removed?: string) {
  const store = createMemoryStore()
  const replace: MemoryStore['replace'] = async (...request) => {
    if (removed) store.remove(FLEET_KIND, HARNESS_VM)
    return await store.replace(...request)
  }
  await startRegisteredVm(this, { ...store, replace }, 100, { isListed: true })
})

Then(/^it has registered with the calls? (.*)$/, function (this: StartWorld, operations: string) {
  assert.deepEqual(this.registerCalls(), operations.split(', ').map(operation => `${operation} ${FLEET_KIND}`))
})

Given('a VM that was registered before, whose entry is removed before it can replace it', async function (this: StartWorld) {
  const store = createMemoryStore()
  let wasRemoved = false
  const get: MemoryStore['get'] = async (kind, name) => {
    const object = await store.get(kind, name)
    if (kind === FLEET_KIND && !wasRemoved) {
      wasRemoved = true
      store.remove(kind, name)
    }
    return object
  }
  await startRegisteredVm(this, { ...store, get }, 3000)
})

Then('its share of the limits counts from the time of its own entry', function (this: StartWorld) {
  assert.ok(this.fleet.knownSinceMs() > 400 && this.fleet.knownSinceMs() < Infinity, `${this.fleet.knownSinceMs()}`)
})

Then('its share of the limits counts from the start of the process', function (this: StartWorld) { assert.equal(this.fleet.knownSinceMs(), 0) })

Given(/^a VM that has loaded version 2 and knows VMs that run (.*)$/, async function (this: StartWorld, versions: string) {
  this.clock = createManualClock()
  const reported = versions.split(', ').map(version => version === 'none' ? undefined : Number(version))
  const otherVms = reported.map((_, index) => brandId<VmId>(`vm-${index}`))
  this.exchange = createConfigExchange({
    version: () => 2,
    requestVersion: async from => reported[otherVms.indexOf(from)],
    otherVms: () => otherVms,
    request: async () => undefined,
    apply () {},
    hasOthers: () => true,
    clock: this.clock,
    log: silentLog,
    metrics: createMetrics(),
    random: Math.random
  })
  void this.exchange.askOthers(() => false)
})

Then(/^it is settled (within|after) (\d+) ms$/, async function (this: StartWorld, when: string, ms: string) {
  await this.clock.advance(Number(ms) - 1)
  assert.equal(this.exchange.isSettled(), when === 'within')
  await this.clock.advance(1)
  assert.equal(this.exchange.isSettled(), true)
})

Given(/^a VM that starts and reads the entry of another one after (\d+) ms$/, async function (this: StartWorld, ms: string) {
  this.other = createServer(socket => { socket.destroy() }).listen(0, '127.0.0.1')
  await once(this.other, 'listening')
  const peerAddress = `127.0.0.1:${(this.other.address() as AddressInfo).port}`
  let isLoaded = false
  const follow = ({ onSnapshot }: KindSubscription) => {
    setTimeout(() => {
      onSnapshot([{ name: 'vm-2', revision: { era: 0, number: 1 }, spec: { boot: 'boot-2', callerAddress: '127.0.0.1:2', peerAddress, dataCentre: 'dc-2' }, status: undefined }])
      isLoaded = true
    }, Number(ms))
    return { isLoaded: () => isLoaded, confirmedMs: () => 0 }
  }
  this.fleet = createFleet({ settings: harnessSettings(await findFreePorts(5)), store: createMemoryStore(), follow, clock: systemClock, log: silentLog, metrics: createMetrics(), random: Math.random })
  this.fleet.start()
})

Then(/^it contacts the other one within (\d+) ms of its start$/, async function (this: StartWorld, ms: string) {
  await once(this.other, 'connection', { signal: AbortSignal.timeout(Number(ms)) })
})

interface VmWorld { store: MemoryStore, harness: ForwardingVmHarness, backends: ScriptedBackend[], startedMs: number, responses: RawResponse[], servedMs: number[], storeBackMs: number }

After({ tags: '@startup' }, async function (this: Partial<VmWorld & StartWorld>) {
  await this.fleet?.close()
  this.other?.close()
  await this.harness?.vm.close()
  for (const backend of this.backends ?? []) await backend.close()
})

const PLAIN = brandId<ServiceId>('plain')
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
let requests = 0

/** The cold service is the harness's own, with the path /order/; the plain one has /plain/. */
function twoServices (coldRate: number, version: number, more: { keys?: string[] } = {}): TrafficConfig {
  const config = trafficConfig(version, { coldRate, ...more })
  return {
    ...config,
    routes: [...config.routes, route('/plain/', 'non_idempotent', { targets: [{ service: PLAIN, weight: 1 }] })],
    services: [...config.services, { ...config.services[0]!, id: PLAIN, coldRate: 0 }]
  }
}

async function startVm (world: VmWorld, config: TrafficConfig): Promise<void> {
  world.responses = []
  world.servedMs = []
  world.store ??= createMemoryStore()
  world.backends = [await startScriptedBackend(), await startScriptedBackend()]
  world.store.put(KINDS.config, 'main', config)
  world.store.put(KINDS.backendServers, 'backend-cold', backendEntry(world.backends[0]!.address))
  world.store.put(KINDS.backendServers, 'backend-plain', backendEntry(world.backends[1]!.address, { service: PLAIN }))
  world.store.put(FLEET_KIND, HARNESS_VM, { boot: 'boot-earlier', callerAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:1', dataCentre: 'dc-1' })
  world.startedMs = performance.now()
  world.harness = await startForwardingVmHarness({ store: world.store, configured: false })
}

async function send (world: VmWorld, path: string, bodyBytes = 0): Promise<RawResponse> {
  const head = `POST ${path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer good-key\r\nx-test-id: start-${requests++}\r\nx-test-wait-ms: 2900\r\nconnection: close\r\ncontent-length: ${bodyBytes}\r\n\r\n`
  const response = await exchangeBytes(world.harness.settings.callerAddress, head + 'x'.repeat(bodyBytes))
  world.responses.push(response)
  return response
}

Given('a forwarding VM that restarts with a cold and a plain service', async function (this: VmWorld) { await startVm(this, twoServices(10, 1)) })
Given(/^a forwarding VM that restarts with a configuration of (\d+) bytes$/, async function (this: VmWorld, bytes: string) {
  const config = twoServices(10, 1)
  await startVm(this, { ...config, teams: [...config.teams, { ...config.teams[0]!, keys: ['k'.repeat(Number(bytes))] }] })
})

Given(/^a forwarding VM whose store is away for (\d+) ms$/, async function (this: VmWorld, ms: string) {
  this.store = createMemoryStore()
  this.store.setDown(true)
  await startVm(this, twoServices(0, 1))
  this.storeBackMs = this.startedMs + Number(ms)
  setTimeout(() => this.store.setDown(false), Number(ms))
})

When('a caller sends a request to each of both services', async function (this: VmWorld) {
  await Promise.all([send(this, '/order/1'), send(this, '/plain/1')])
})

When(/^a caller sends a request to the cold service and (nothing changes|its key is withdrawn|its server leaves)$/, async function (this: VmWorld, change: string) {
  const sent = send(this, '/order/1')
  await sleep(300)
  if (change === 'its key is withdrawn') this.store.put(KINDS.config, 'main', twoServices(10, 2, { keys: [] }))
  if (change === 'its server leaves') this.store.put(KINDS.backendServers, 'backend-cold', backendEntry(this.backends[0]!.address, { leaving: true }))
  await sent
})

When(/^a caller sends a body of (\d+) bytes$/, async function (this: VmWorld, bytes: string) { await send(this, '/order/1', Number(bytes)) })

Then(/^the caller gets the status (\d+)$/, function (this: VmWorld, status: string) { assert.equal(this.responses.at(-1)!.status, Number(status), this.responses.at(-1)!.head + this.responses.at(-1)!.body) })
Then(/^the cold service got (\d+) requests$/, function (this: VmWorld, count: string) { assert.equal(this.backends[0]!.received.length, Number(count)) })

Then(/^the VM becomes ready within (\d+) ms of its start$/, async function (this: VmWorld, ms: string) {
  const isReady = () => fetch(`http://${this.harness.settings.readinessAddress}/`).then(({ status }) => status === 200)
  while (!await isReady()) await sleep(10)
  assert.ok(performance.now() - this.startedMs <= Number(ms), `${performance.now() - this.startedMs} ms`)
})

Then('the plain service is served before the window of the cold-start limit is over, the cold one after it', function (this: VmWorld) {
  assert.deepEqual(this.responses.map(({ status }) => status), [200, 200])
  assert.ok(this.backends[0]!.receivedAtMs[0]! - this.startedMs >= COLD_WINDOW_MS, 'the cold service got its request too early')
  assert.ok(this.backends[1]!.receivedAtMs[0]! - this.startedMs < COLD_WINDOW_MS, 'the plain service got its request too late')
})

Then(/^the VM serves a request within (\d+) ms after the store answers again$/, { timeout: 10_000 }, async function (this: VmWorld, ms: string) {
  while ((await send(this, '/order/1')).status !== 200) await sleep(20)
  assert.ok(performance.now() - this.storeBackMs <= Number(ms), `${performance.now() - this.storeBackMs} ms`)
})

Then(/^it has called the store at most (\d+) times$/, function (this: VmWorld, count: string) { assert.ok(this.store.calls.length <= Number(count), this.store.calls.join()) })
