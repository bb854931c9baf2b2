import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { backendEntry, exchangeBytes, KINDS, startForwardingVmHarness, type ForwardingVmHarness, type RawResponse } from '../support/forwarding-vm-harness.ts'
import { createMemoryStore } from '../support/memory-store.ts'
import { PAUSING_STREAM_EVENTS, startPausingBackend, type PausingBackend } from '../support/pausing-backend.ts'

interface SilenceWorld {
  harness: ForwardingVmHarness
  backends: PausingBackend[]
  sent: { id: string, path: string, response: RawResponse }[]
  receivedByFirst: number
}

/** Requests of each kind that are open when the silence begins. */
const OPEN_REQUESTS = 6
/** Time between the requests that are sent during the silence. */
const REQUEST_PERIOD_MS = 60
const SLOTS = 40
const PATHS = ['/order/1', '/read/1', '/stream/1']
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

After({ tags: '@silence' }, async function (this: Partial<SilenceWorld>) {
  await this.harness?.vm.close()
  for (const backend of this.backends ?? []) await backend.close()
})

Given(/^a VM with (\d+) backend servers that can fall silent$/, { timeout: 20_000 }, async function (this: SilenceWorld, count: string) {
  const store = createMemoryStore()
  Object.assign(this, { backends: [], sent: [] })
  for (let i = 0; i < Number(count); i++) {
    this.backends.push(await startPausingBackend())
    store.put(KINDS.backendServers, `backend-${i}`, backendEntry(this.backends[i]!.address, { slots: SLOTS }))
  }
  this.harness = await startForwardingVmHarness({ store })
  await sleep(500)
})

async function send (world: SilenceWorld, path: string): Promise<void> {
  const id = `silence-${world.sent.length}-${Math.random()}`
  const method = path.startsWith('/order/') ? 'POST' : 'GET'
  const bytes = `${method} ${path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer good-key\r\nx-test-id: ${id}\r\ncontent-length: 0\r\nx-test-wait-ms: 8000\r\nconnection: close\r\n\r\n`
  world.sent.push({ id, path, response: await exchangeBytes(world.harness.settings.callerAddress, bytes) })
}

When(/^callers send orders, reads and streams before and while the first one is silent for (\d+) ms$/, { timeout: 20_000 }, async function (this: SilenceWorld, ms: string) {
  const sendAll = () => PATHS.map(path => send(this, path))
  const open = Array.from({ length: OPEN_REQUESTS }, sendAll).flat()
  // Streams are in their middle then.
  await sleep(300)
  open.push(...sendAll())
  await sleep(20)
  this.backends[0]!.fallSilent()
  const endMs = performance.now() + Number(ms)
  while (performance.now() < endMs) {
    open.push(send(this, PATHS[open.length % PATHS.length]!))
    await sleep(Math.min(REQUEST_PERIOD_MS, Math.max(0, endMs - performance.now())))
  }
  this.backends[0]!.goOn()
  await Promise.all(open)
  this.receivedByFirst = this.backends[0]!.received.length
  for (let round = 0; round < 5; round++) await Promise.all(Array.from({ length: OPEN_REQUESTS }, () => send(this, '/read/1')))
})

Then('every caller gets a whole answer, and the backend servers got each order once', function (this: SilenceWorld) {
  const received = this.backends.flatMap(backend => backend.received)
  const faults = this.sent.flatMap(({ id, path, response: { status, body } }) => {
    const events = [...body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number))
    const isWhole = path.startsWith('/stream/')
      ? events.length === PAUSING_STREAM_EVENTS && events.every((number, index) => number === index + 1)
      : body.includes('whole')
    const sends = received.filter(other => other === id).length
    return status === 200 && isWhole && (sends === 1 || !path.startsWith('/order/')) ? [] : [`${path}: status ${status}, ${events.length} events, sent ${sends} times`]
  })
  assert.deepEqual(faults, [])
})

Then('none of them was taken for crashed, and the first one gets requests again', async function (this: SilenceWorld) {
  const metrics = await (await fetch(`http://${this.harness.settings.metricsAddress}/metrics`)).text()
  const failures = metrics.split('\n').filter(line => /^lacewingstage_(backend_failures|backend_crashes|quarantined)_total\{.*[1-9]$/.test(line))
  assert.deepEqual(failures, [])
  assert.ok(this.backends[0]!.received.length > this.receivedByFirst)
})
