import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, get, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '../../src/core/clock/index.ts'
import { createPacedConnection } from '../../src/core/forwarding/paced-connection.ts'
import { createResponseBody } from '../../src/core/forwarding/response-body.ts'
import { BACKENDS_COALESCE_MS } from '../../src/core/forwarding-vm/constants.ts'
import { createByteBudget, createCollector, createReadPace } from '../../src/core/resource-limits/index.ts'
import { startEndlessBackend, type EndlessBackend, type EndlessBytes } from '../support/endless-backend.ts'
import { backendEntry, exchangeBytes, KINDS, startForwardingVmHarness, type ForwardingVmHarness } from '../support/forwarding-vm-harness.ts'
import { isReady, requestBytes } from './forwarding.ts'

interface EndlessWorld {
  harness: ForwardingVmHarness
  endless: EndlessBackend
  heldMb: number
  longestTurnMs: number
  /** Bytes that were read without room, and with room again. */
  readBytes: { before: number, after: number }
}

const MB = 2 ** 20
const MEASURE_PERIOD_MS = 250
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
const collect = createCollector()

After({ tags: '@endless' }, async function (this: Partial<EndlessWorld>) {
  await this.endless?.close()
  await this.harness?.vm.close()
})

/** Memory in use by this process. The buffers that one garbage collection finds are freed at the next one. */
function usedBytes (): number {
  collect()
  collect()
  const { arrayBuffers, heapUsed } = process.memoryUsage()
  return arrayBuffers + heapUsed
}

Given(/^a forwarding VM with a backend server that sends (.*) without end$/, async function (this: EndlessWorld, bytes: string) {
  this.endless = await startEndlessBackend(bytes as EndlessBytes)
  this.harness = await startForwardingVmHarness({ overrides: { stopGraceMs: 100 } })
  this.harness.store.put(KINDS.backendServers, 'backend-endless', backendEntry(this.endless.address, { slots: 1000 }))
  while (!await isReady(this as never)) await sleep(5)
  await sleep(2 * BACKENDS_COALESCE_MS + 50)
})

When(/^(\d+) callers send a request to (\S+)( after event 50)?, and the VM is measured for (\d+) s$/, { timeout: 60_000 }, async function (this: EndlessWorld, count: string, path: string, isResumed: string | null, seconds: string) {
  const beforeBytes = usedBytes()
  const delays = monitorEventLoopDelay({ resolution: 5 })
  this.heldMb = 0
  const responses = Array.from({ length: Number(count) }, () => exchangeBytes(this.harness.settings.callerAddress, requestBytes(path, { extra: isResumed ? 'last-event-id: 50\r\ncontent-length: 0' : 'content-length: 0' })))
  const endMs = performance.now() + 1000 * Number(seconds)
  this.longestTurnMs = 0
  while (performance.now() < endMs) {
    delays.reset()
    delays.enable()
    await sleep(MEASURE_PERIOD_MS)
    delays.disable()
    this.longestTurnMs = Math.max(this.longestTurnMs, delays.max / 1e6)
    this.heldMb = Math.max(this.heldMb, (usedBytes() - beforeBytes) / MB)
  }
  await this.endless.close()
  await Promise.all(responses)
})

Then(/^it holds at most (\d+) MB for them$/, function (this: EndlessWorld, maxMb: string) {
  assert.ok(this.heldMb <= Number(maxMb), `${this.heldMb.toFixed(1)} MB`)
})

Then(/^no turn of its event loop takes longer than (\d+) ms$/, function (this: EndlessWorld, maxMs: string) {
  assert.ok(this.longestTurnMs <= Number(maxMs), `${this.longestTurnMs.toFixed(0)} ms`)
})

When('an event without end arrives and others hold the whole byte budget', async function (this: EndlessWorld) {
  const server = createServer((_incoming, outgoing) => {
    const write = () => { while (!outgoing.destroyed && outgoing.write(Buffer.alloc(16_384, 'x'))) { /* until the buffers are full */ } }
    outgoing.on('drain', write)
    write()
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const outgoing = get({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', agent: false })
  const budget = createByteBudget({ totalBytes: MB, reserveBytes: 0, clock: systemClock })
  const others = budget.open({ connection: {}, address: undefined, team: undefined })
  others.add(MB)
  const claim = budget.open({ connection: server, address: undefined, team: undefined })
  const [incoming] = await once(outgoing, 'response') as [IncomingMessage]
  const body = createResponseBody({ incoming, connection: createPacedConnection(incoming.socket, createReadPace({ clock: systemClock })), claim, isAborted: () => false })
  let bytes = 0
  body.read({
    onData (chunk) {
      bytes += chunk.length
      body.setHeld(bytes)
    },
    onEnd () {},
    onBroken () {}
  })
  await sleep(500)
  const before = bytes
  others.end()
  await sleep(500)
  this.readBytes = { before, after: bytes }
  outgoing.destroy()
  server.closeAllConnections()
  server.close()
})

Then(/^at most (\d+) KB of it are read until they give it back, and more after that$/, function (this: EndlessWorld, maxKb: string) {
  const { before, after } = this.readBytes
  assert.ok(before <= Number(maxKb) * 1024 && after > before, `${before} bytes, then ${after}`)
})
