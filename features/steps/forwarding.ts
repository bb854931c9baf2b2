import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { brandId, type DataCentreId, type VmId } from '../../src/core/ids/index.ts'
import { COLD_WINDOW_MS } from '../../src/core/backend-pool/constants.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { FLEET_COALESCE_MS, FLEET_KIND, KEY_KIND, KEY_NAME } from '../../src/core/fleet/constants.ts'
import { ACCEPT_AFTER_STOP_MS, BACKENDS_COALESCE_MS, STOP_CHECK_PERIOD_MS } from '../../src/core/forwarding-vm/constants.ts'
import { PART_KIND, QUARANTINE_DURATION_MS, UNCERTAIN_QUARANTINE_DURATION_MS } from '../../src/core/quarantine/constants.ts'
import { exchangeBytes, backendEntry, KINDS, startForwardingVmHarness, trafficConfig, type ForwardingVmHarness, type RawResponse, HARNESS_VM } from '../support/forwarding-vm-harness.ts'
import { keepConnection, type KeptConnection } from '../support/kept-connections.ts'
import { createMemoryStore } from '../support/memory-store.ts'
import { startScriptedBackend, STREAM_EVENTS, type BackendBehaviour, type ScriptedBackend } from '../support/scripted-backend.ts'

export interface ForwardingWorld {
  keptConnections: KeptConnection[]
  harness: ForwardingVmHarness
  secondVm: ForwardingVmHarness
  restoreStore(): void
  backends: ScriptedBackend[]
  responses: RawResponse[]
  startedMs: number
  /** Time from sending the last request to the end of its response. */
  lastResponseMs: number
}

After({ tags: '@forwarding' }, async function (this: Partial<ForwardingWorld>) {
  await this.harness?.vm.close()
  await this.secondVm?.vm.close()
  for (const backend of this.backends ?? []) await backend.close()
})

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
let requests = 0

export function requestBytes (path: string, { host = 'desk.example', key = 'good-key', id = `request-${requests++}`, extra = '', body = '' } = {}): string {
  const headerLines = [`POST ${path} HTTP/1.1`, `host: ${host}`, 'connection: close', 'x-test-wait-ms: 2500', 'x-test-backend: forged', 'x-test-team: forged']
  if (id) headerLines.push(`x-test-id: ${id}`)
  if (key) headerLines.push(`authorization: Bearer ${key}`)
  if (!extra.includes('length')) headerLines.push(`content-length: ${body.length}`)
  return [...headerLines, ...extra ? [extra] : [], '', body].join('\r\n')
}

export async function send (world: ForwardingWorld, bytes: string): Promise<void> {
  const sentMs = performance.now()
  const response = await exchangeBytes(world.harness.settings.callerAddress, bytes)
  world.lastResponseMs = performance.now() - sentMs
  world.responses = [...world.responses ?? [], response]
}

export async function isReady (world: ForwardingWorld): Promise<boolean> {
  return (await fetch(`http://${world.harness.settings.readinessAddress}/`)).status === 200
}

async function startVmWithBackends (world: ForwardingWorld, count: number, behaviours: string, options: Parameters<typeof startForwardingVmHarness>[0], slots = 2): Promise<void> {
  world.harness = await startForwardingVmHarness(options)
  world.backends = []
  // The backend servers share one script: each request takes the next behaviour, whichever backend server gets it.
  const script = { behaviours: behaviours.split(', ') as BackendBehaviour[] }
  for (let i = 0; i < count; i++) {
    const backend = await startScriptedBackend(script)
    world.backends.push(backend)
    world.harness.store.put(KINDS.backendServers, `backend-${i}`, backendEntry(backend.address, { dataCentre: brandId<DataCentreId>(`dc-${i + 1}`), slots }))
  }
  while (!await isReady(world)) await sleep(5)
  // Changes of backend servers in quick succession are coalesced.
  await sleep(2 * BACKENDS_COALESCE_MS + 50)
}

Given(/^a forwarding VM with (\d+) backend servers(?: and (no retries|one retry) left)? that (.*)$/, async function (this: ForwardingWorld, count: string, retries: string | null, behaviours: string) {
  await startVmWithBackends(this, Number(count), behaviours, retries ? { overrides: { retryShare: 0, retrySlack: retries === 'one retry' ? 1.3 : 0 } } : {})
})

Given(/^a forwarding VM with a cold backend server that bears (\d+) requests a second and (\d+) more$/, async function (this: ForwardingWorld, coldRate: string, coldSlack: string) {
  await startVmWithBackends(this, 1, 'answer', { coldRate: Number(coldRate), overrides: { coldOvershoot: 1, coldSlack: Number(coldSlack) } }, 64)
  // A VM sends nothing to a backend server with such a limit in the window after its start.
  await sleep(COLD_WINDOW_MS)
})

Given(/^a forwarding VM with a backend server that (.*) and has (\d+) slots$/, async function (this: ForwardingWorld, behaviours: string, slots: string) {
  await startVmWithBackends(this, 1, behaviours, {}, Number(slots))
})

Given(/^a forwarding VM with (\d+) ms of grace and a backend server that (\S+)$/, async function (this: ForwardingWorld, stopGraceMs: string, behaviours: string) {
  await startVmWithBackends(this, 1, behaviours, { overrides: { stopGraceMs: Number(stopGraceMs) } }, 64)
})

Given('a forwarding VM that has just started and knows a cold backend server', async function (this: ForwardingWorld) {
  const backend = await startScriptedBackend()
  const store = createMemoryStore()
  store.put(KINDS.backendServers, 'backend-0', backendEntry(backend.address))
  this.backends = [backend]
  this.startedMs = performance.now()
  this.harness = await startForwardingVmHarness({ store, coldRate: 10 })
  await sleep(100)
})

Given(/^a forwarding VM with a backend server, whose clock shows (\d+) ms between two readings$/, async function (this: ForwardingWorld, ms: string) {
  const backend = await startScriptedBackend()
  const store = createMemoryStore()
  store.put(KINDS.backendServers, 'backend-0', backendEntry(backend.address))
  this.backends = [backend]
  let wallMs = systemClock.wallMs()
  this.harness = await startForwardingVmHarness({ store, clock: { ...systemClock, wallMs: () => (wallMs += Number(ms)) } })
  await sleep(300)
})

Given('a forwarding VM that restarts and knows a cold backend server', async function (this: ForwardingWorld) {
  const backend = await startScriptedBackend()
  const store = createMemoryStore()
  store.put(KINDS.backendServers, 'backend-0', backendEntry(backend.address))
  store.put(FLEET_KIND, HARNESS_VM, { boot: 'boot-earlier', callerAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:1', dataCentre: 'dc-1' })
  this.backends = [backend]
  this.startedMs = performance.now()
  this.harness = await startForwardingVmHarness({ store, coldRate: 10 })
  await sleep(100)
})

Then('the VM is ready, and has sent its first request, once nothing that it sent before counts any more', async function (this: ForwardingWorld) {
  while (!await isReady(this)) await sleep(5)
  const [readyMs, firstSentMs] = [performance.now(), this.backends[0]!.receivedAtMs[0]!].map(atMs => atMs - this.startedMs) as [number, number]
  assert.ok(Math.min(readyMs, firstSentMs) >= COLD_WINDOW_MS && readyMs < FLEET_COALESCE_MS + COLD_WINDOW_MS, `ready after ${readyMs} ms, sent after ${firstSentMs} ms`)
})

Then('the VM is ready once the others have left its share for one window', async function (this: ForwardingWorld) {
  while (!await isReady(this)) await sleep(5)
  const readyMs = performance.now() - this.startedMs
  assert.ok(readyMs >= FLEET_COALESCE_MS + COLD_WINDOW_MS, `ready after ${readyMs} ms`)
})

Given('a forwarding VM without configuration', async function (this: ForwardingWorld) {
  this.harness = await startForwardingVmHarness({ configured: false })
  await sleep(50)
})

Given('a forwarding VM that cannot read the list of VMs', async function (this: ForwardingWorld) {
  const store = createMemoryStore()
  store.setListDown(FLEET_KIND, true)
  this.harness = await startForwardingVmHarness({ store })
  await sleep(300)
})

When('the list of VMs can be read', async function (this: ForwardingWorld) {
  this.harness.store.setListDown(FLEET_KIND, false)
  await sleep(1500)
})

When('the VM begins to stop', async function (this: ForwardingWorld) {
  void this.harness.vm.stop()
  await sleep(1000)
})

When(/^(\d+) callers send requests on kept connections and the VM stops$/, { timeout: 20_000 }, async function (this: ForwardingWorld, count: string) {
  const { settings, vm } = this.harness
  const request = 'GET /open/1 HTTP/1.1\r\nHost: desk.example\r\nX-Test-Id: kept\r\n\r\n'
  const callers = Array.from({ length: Number(count) }, () => keepConnection(settings.callerAddress, request, { maxPauseMs: 600 }))
  await sleep(500)
  await vm.stop()
  await vm.close()
  this.keptConnections = await Promise.all(callers)
})

Then('no connection ended without an answer to a request that had been sent', function (this: ForwardingWorld) {
  assert.ok(this.keptConnections.every(({ answered }) => answered > 0))
  assert.equal(this.keptConnections.filter(({ end }) => end === 'unanswered').length, 0)
})

Then('every caller was told to close its connection or found it closed while it was idle', function (this: ForwardingWorld) {
  assert.ok(this.keptConnections.every(({ end }) => end === 'announced' || end === 'idle'))
})

When('the window of the rate limits has passed', async function (this: ForwardingWorld) { await sleep(COLD_WINDOW_MS + STOP_CHECK_PERIOD_MS) })

When('the VM accepts no more requests', async function (this: ForwardingWorld) { await sleep(ACCEPT_AFTER_STOP_MS - 1000 + 200) })

Then(/^the VM is (not )?registered$/, async function (this: ForwardingWorld, not: string | null) {
  const { settings, store } = this.harness
  assert.equal(await store.get(FLEET_KIND, settings.vm) === undefined, not !== null)
})

Given('one more backend server that has crashed', async function (this: ForwardingWorld) {
  const crashed = await startScriptedBackend()
  await crashed.close()
  this.harness.store.put(KINDS.backendServers, 'crashed', backendEntry(crashed.address))
  await sleep(50)
})

When(/^(?:a|(\d+)) callers? sends? a request to (\S+)$/, async function (this: ForwardingWorld, count: string | null, path: string) {
  await Promise.all(Array.from({ length: Number(count ?? 1) }, () => send(this, requestBytes(path))))
})

When(/^(\d+) callers send a request to (\S+) and (\d+) more after (\d+) ms$/, async function (this: ForwardingWorld, count: string, path: string, more: string, ms: string) {
  const sendAll = (requests: string) => Array.from({ length: Number(requests) }, () => send(this, requestBytes(path)))
  const first = sendAll(count)
  await sleep(Number(ms))
  await Promise.all([...first, ...sendAll(more)])
})

When(/^2 callers send a request to (\S+) and one more to (\S+?)( whose key is withdrawn meanwhile)?$/, async function (this: ForwardingWorld, first: string, last: string, withdrawn: string | undefined) {
  const busy = [send(this, requestBytes(first)), send(this, requestBytes(first))]
  await sleep(40)
  const waiting = send(this, requestBytes(last))
  await sleep(40)
  if (withdrawn) this.harness.store.put(KINDS.config, 'main', trafficConfig(2, { keys: [] }))
  await Promise.all([...busy, waiting])
})

Then(/^the backend server was handed at most (\d+) ms for the last request$/, function (this: ForwardingWorld, max: string) {
  const head = this.backends[0]!.received.at(-1)!
  assert.equal(this.backends[0]!.received.length, 3)
  assert.ok(Number(/^x-test-remaining-ms: (\d+)$/m.exec(head)?.[1]) <= Number(max), head)
})

When(/^a caller sends the prompt (\S+)( after the first quarantine)?$/, async function (this: ForwardingWorld, prompt: string, isAfterQuarantine: string | null) {
  if (isAfterQuarantine) await sleep(UNCERTAIN_QUARANTINE_DURATION_MS)
  await send(this, requestBytes('/stream/1', { extra: `x-test-prompt: ${prompt}` }))
})

When(/^a caller sends a request to (\S+) until it is refused$/, async function (this: ForwardingWorld, path: string) {
  for (let attempts = 0; this.responses?.at(-1)?.status !== 503; attempts++) {
    assert.ok(attempts < 4, 'the request is never refused')
    await send(this, requestBytes(path))
  }
})

When(/^the request to (\S+) comes again after its first quarantine$/, async function (this: ForwardingWorld, path: string) {
  await sleep(UNCERTAIN_QUARANTINE_DURATION_MS)
  await send(this, requestBytes(path))
})

Then('the store holds {int} quarantine(s)', async function (this: ForwardingWorld, count: number) {
  await sleep(50)
  assert.equal((await this.harness.store.list(PART_KIND)).objects.length, count)
})

When('all VMs are replaced by a new one', async function (this: ForwardingWorld) {
  await sleep(50)
  await this.harness.vm.close()
  this.harness = await startForwardingVmHarness({ store: this.harness.store, overrides: { vm: brandId<VmId>('vm-2') } })
  while (!await isReady(this)) await sleep(5)
})

Then(/^the caller is told to come back when the (first )?quarantine ends$/, function (this: ForwardingWorld, first: string | null) {
  const { status, head } = this.responses.at(-1)!
  assert.equal(status, 503)
  const retryAfterMs = 1000 * Number(/^Retry-After: (.*)$/m.exec(head)?.[1])
  const durationMs = first ? UNCERTAIN_QUARANTINE_DURATION_MS : QUARANTINE_DURATION_MS
  assert.ok(retryAfterMs > 0.9 * durationMs && retryAfterMs <= durationMs, head)
})

When(/^a caller sends a request to (\S+) and leaves after (\d+) ms$/, async function (this: ForwardingWorld, path: string, ms: string) {
  const { request } = await import('node:http')
  const [host, port] = this.harness.settings.callerAddress.split(':')
  const sent = request({ host, port, path, headers: { host: 'desk.example', 'x-test-id': 'leaver', authorization: 'Bearer good-key' } }).on('error', () => {}).end()
  await sleep(Number(ms))
  sent.destroy()
})

When(/^a caller sends a request to (\S+) and the VM stops meanwhile$/, async function (this: ForwardingWorld, path: string) {
  const sending = send(this, requestBytes(path))
  await sleep(100)
  void this.harness.vm.stop()
  await sending
})

When(/^a caller sends a request with (.*)$/, async function (this: ForwardingWorld, fault: string) {
  const bytes: Record<string, string> = {
    'no key': requestBytes('/order/1', { key: '' }),
    'an unknown key': requestBytes('/order/1', { key: 'other-key' }),
    'an unknown model on a cascade': requestBytes('/cascade/1', { extra: 'x-test-model: other' }),
    'an unknown model': requestBytes('/read/1', { extra: 'x-test-model: other' }),
    'an unknown host': requestBytes('/order/1', { host: 'other.example' }),
    'an unknown path': requestBytes('/ordering/1'),
    'a tab in its path': requestBytes('/order/\t1'),
    'an empty header name': requestBytes('/order/1', { extra: ': 1' }),
    'a space in a header name': requestBytes('/order/1', { extra: 'x a: 1' }),
    'no id': requestBytes('/order/1', { id: '' }),
    'a large body': requestBytes('/order/1', { body: 'x'.repeat(2000) }),
    'large headers': requestBytes('/order/1', { extra: `x-large: ${'x'.repeat(5000)}` }),
    'two lengths': requestBytes('/order/1', { extra: 'content-length: 3\r\ncontent-length: 4', body: 'abcd' }),
    'length and chunks': requestBytes('/order/1', { extra: 'content-length: 3\r\ntransfer-encoding: chunked', body: '0\r\n\r\n' })
  }
  await send(this, bytes[fault]!)
})

When(/^a caller sends a request to (\S+) and its key is withdrawn after (\d+) ms$/, async function (this: ForwardingWorld, path: string, ms: string) {
  const sending = send(this, requestBytes(path))
  await sleep(Number(ms))
  this.harness.store.put(KINDS.config, 'main', trafficConfig(2, { keys: [] }))
  await sending
})

When('the first backend server is leaving', async function (this: ForwardingWorld) {
  this.harness.store.put(KINDS.backendServers, 'backend-0', backendEntry(this.backends[0]!.address, { leaving: true }))
  await sleep(50)
})

When('the data centre of the first backend server is evacuated', async function (this: ForwardingWorld) {
  this.harness.store.put(KINDS.evacuations, 'dc-1', {})
  await sleep(50)
})

When(/^the keys are withdrawn by version (\d+)$/, async function (this: ForwardingWorld, version: string) {
  this.harness.store.put(KINDS.config, 'main', trafficConfig(Number(version), { keys: [] }))
  await sleep(50)
})

When(/^version (\d+) with the old keys is stored$/, async function (this: ForwardingWorld, version: string) {
  this.harness.store.put(KINDS.config, 'main', trafficConfig(Number(version)))
  await sleep(50)
})

When('an unreadable configuration is stored', async function (this: ForwardingWorld) {
  this.harness.store.put(KINDS.config, 'main', { version: 'two' })
  await sleep(50)
})

When(/^the store is down for (\d+) ms$/, async function (this: ForwardingWorld, ms: string) {
  this.harness.store.setDown(true)
  await sleep(Number(ms))
})

When('the store is available again', async function (this: ForwardingWorld) {
  this.harness.store.setDown(false)
  await sleep(1500)
})

Then(/^the caller gets status (\d+) with the body "(.*)"$/, function (this: ForwardingWorld, status: string, body: string) {
  const response = this.responses.at(-1)!
  assert.equal(response.status, Number(status), response.head)
  // '-' stands for any body.
  if (body !== '-') assert.equal(response.body, body)
})

When('a caller sends a request to {word}, and meanwhile callers send one to {word} and one to {word}', async function (this: ForwardingWorld, path: string, second: string, third: string) {
  const first = send(this, requestBytes(path.replace(',', '')))
  await sleep(50)
  await send(this, requestBytes(second))
  await send(this, requestBytes(third))
  await first
})

Then(/^the callers get the statuses ([\d, ]+)$/, function (this: ForwardingWorld, statuses: string) {
  assert.deepEqual(this.responses.map(({ status }) => status), statuses.split(', ').map(Number))
})

Then('the VM has logged {int} error', function (this: ForwardingWorld, count: number) { assert.equal(this.harness.errors.length, count) })

Then('the caller gets status {int}', function (this: ForwardingWorld, status: number) { assert.equal(this.responses.at(-1)!.status, status) })

Then('every caller gets status {int}', function (this: ForwardingWorld, status: number) {
  assert.deepEqual([...new Set(this.responses.map(response => response.status))], [status])
})

Then('the backend servers received {int} request(s)', function (this: ForwardingWorld, count: number) {
  assert.equal(this.backends.reduce((sum, { received }) => sum + received.length, 0), count)
})

Then(/^the backend server received at least (\d+) requests and at most (\d+) in any second$/, function (this: ForwardingWorld, min: string, max: string) {
  const { receivedAtMs } = this.backends[0]!
  const busiest = Math.max(...receivedAtMs.map(startMs => receivedAtMs.filter(ms => ms >= startMs && ms < startMs + 1000).length))
  assert.ok(receivedAtMs.length >= Number(min) && busiest <= Number(max), `${receivedAtMs.length} requests, ${busiest} in one second`)
})

Then(/^the backend server had at most (\d+) requests open at the same time$/, function (this: ForwardingWorld, max: string) {
  assert.ok(this.backends[0]!.maxOpen <= Number(max), `${this.backends[0]!.maxOpen} open`)
})

Then(/^the caller waited at most (\d+) ms$/, function (this: ForwardingWorld, max: string) {
  assert.ok(this.lastResponseMs <= Number(max), `${this.lastResponseMs} ms`)
})

Then(/^the backend servers' connections are closed after at most (\d+) MB without end$/, async function (this: ForwardingWorld, max: string) {
  const countBytes = () => this.backends.reduce((sum, { endlessBytes }) => sum + endlessBytes, 0)
  await sleep(100)
  const bytes = countBytes()
  await sleep(100)
  assert.equal(countBytes(), bytes, 'the backend server still sends')
  assert.ok(bytes <= Number(max) * 2 ** 20, `${bytes} bytes`)
})

Then('the first backend server received {int} request(s)', function (this: ForwardingWorld, count: number) {
  assert.equal(this.backends[0]!.received.length, count)
})

Then('the caller gets every event once and the end of the stream', function (this: ForwardingWorld) {
  const { body, status, ended } = this.responses.at(-1)!
  assert.equal(status, 200)
  assert.deepEqual([...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1])), Array.from({ length: STREAM_EVENTS }, (_, index) => index + 1))
  assert.ok(body.endsWith('0\r\n\r\n'))
  assert.equal(ended, 'closed')
})

Then('the response contains the comment {string} before its first event', function (this: ForwardingWorld, comment: string) {
  const { body } = this.responses.at(-1)!
  assert.ok(body.includes(comment) && body.indexOf(comment) < body.indexOf('id: 1'))
})

Then("the caller's response ends without the last chunk", function (this: ForwardingWorld) {
  assert.equal(this.responses.at(-1)!.body.endsWith('0\r\n\r\n'), false)
})

Then('the response has neither a length nor chunked encoding', function (this: ForwardingWorld) {
  assert.doesNotMatch(this.responses.at(-1)!.head, /content-length|transfer-encoding/i)
})

Then(/^the backend servers were asked for the models (.*)$/, function (this: ForwardingWorld, models: string) {
  const heads = this.backends.flatMap(({ received }) => received)
  const requestedModels = heads.map(head => /^x-test-model: (.*)$/m.exec(head)?.[1]).sort()
  assert.deepEqual(requestedModels, models.split(', ').sort())
})

Then(/^the backend server's connection is closed within (\d+) ms$/, async function (this: ForwardingWorld, ms: string) {
  await sleep(Number(ms))
  assert.equal(this.backends[0]!.dropped, 1)
})

Then(/^the VM is (not )?ready$/, async function (this: ForwardingWorld, not: string | null) {
  assert.equal(await isReady(this), not === null)
})

When('a copy of the store is kept', function (this: ForwardingWorld) { this.restoreStore = this.harness.store.copy() })

When(/^a configuration with(out)? the key is stored$/, async function (this: ForwardingWorld, without: string | null) {
  this.harness.store.put(KINDS.config, 'main', without ? trafficConfig(2, { keys: [] }) : trafficConfig(3))
  await sleep(300)
})

When('the store is restored from the copy', async function (this: ForwardingWorld) {
  this.restoreStore()
  // Longer than one poll for the VMs' entries with its pause after changes.
  await sleep(FLEET_COALESCE_MS + 1000)
})

When(/^the store is restored from the copy for (\d+) ms$/, async function (this: ForwardingWorld, ms: string) {
  this.restoreStore()
  await sleep(Number(ms))
})

When(/^(\d+) ms pass for the VM$/, async (ms: string) => { await sleep(Number(ms)) })

When('a second VM starts', async function (this: ForwardingWorld) {
  this.secondVm = await startForwardingVmHarness({ store: this.harness.store, overrides: { vm: brandId<VmId>('vm-2') } })
})

/** Statuses of a request with the key that a VM answers with during a time. */
async function statusesFor ({ settings }: ForwardingVmHarness, ms: number): Promise<number[]> {
  const statuses = new Set<number>()
  for (const endMs = performance.now() + ms; performance.now() < endMs; await sleep(20)) {
    statuses.add((await exchangeBytes(settings.callerAddress, requestBytes('/order/1'))).status)
  }
  return [...statuses].sort()
}

Then(/^no key is accepted for (\d+) ms$/, async function (this: ForwardingWorld, ms: string) {
  assert.ok((await statusesFor(this.harness, Number(ms))).every(status => [401, 503].includes(status)))
})

Then('the second VM refuses the key and never accepts it', async function (this: ForwardingWorld) {
  assert.deepEqual(await statusesFor(this.secondVm, 4000), [401])
})

Given(/^a copy of the store from before the start of a VM with (\d+) backend servers that (\S+)$/, async function (this: ForwardingWorld, count: string, behaviours: string) {
  const store = createMemoryStore()
  this.restoreStore = store.copy()
  await startVmWithBackends(this, Number(count), behaviours, { store })
})

Then('the store has the same key of the links', async function (this: ForwardingWorld) {
  const key = (await this.harness.store.get(KEY_KIND, KEY_NAME))?.spec
  this.secondVm = await startForwardingVmHarness({ store: this.harness.store, overrides: { vm: brandId<VmId>('vm-2') } })
  assert.ok(key)
  // The directory names a VM that the links have reached.
  const namesBoth = async () => (await (await fetch(`http://${this.harness.settings.directoryAddress}/`)).text()).includes(this.secondVm.settings.callerAddress)
  for (const endMs = performance.now() + 4000; !await namesBoth(); await sleep(50)) assert.ok(performance.now() < endMs, 'the VMs do not reach each other')
})

When(/^a caller sends a request to (\S+) and (the store is silent|the entry of its backend server is gone|the entries of all backend servers are gone) meanwhile$/, async function (this: ForwardingWorld, path: string, silence: string) {
  const { store } = this.harness
  const sending = send(this, requestBytes(path))
  await sleep(100)
  assert.equal(this.backends.filter(({ received }) => received.length > 0).length, 1)
  if (silence === 'the store is silent') store.setDown(true)
  for (const [index, { received }] of this.backends.entries()) {
    if (silence.startsWith('the entries') || (silence.startsWith('the entry') && received.length > 0)) store.remove(KINDS.backendServers, `backend-${index}`)
  }
  await sending
})
