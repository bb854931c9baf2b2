import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { BACKENDS_COALESCE_MS } from '../../src/core/forwarding-vm/constants.ts'
import { backendEntry, KINDS, startForwardingVmHarness } from '../support/forwarding-vm-harness.ts'
import { startLeavingCallers, type LateArrival, type LeavingCallers } from '../support/leaving-callers.ts'
import { isReady, type ForwardingWorld } from './forwarding.ts'

interface LeavingWorld extends ForwardingWorld { leaving: LeavingCallers, arrivals: LateArrival[] }

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

After({ tags: '@forwarding' }, async function (this: Partial<LeavingWorld>) { await this.leaving?.close() })

Given('a forwarding VM with a backend server that takes 3 s', async function (this: LeavingWorld) {
  this.leaving = await startLeavingCallers()
  this.harness = await startForwardingVmHarness({ overrides: { stopGraceMs: 100 } })
  this.harness.store.put(KINDS.backendServers, 'backend-0', backendEntry(this.leaving.backendAddress, { slots: 100 }))
  while (!await isReady(this)) await sleep(5)
  await sleep(2 * BACKENDS_COALESCE_MS + 50)
})

When(/^each turn of its event loop takes (\d+) ms while (\d+) callers send a request and leave after (\d+) ms$/, { timeout: 20_000 }, async function (this: LeavingWorld, turnMs: string, count: string, leaveMs: string) {
  const busy = setInterval(() => {
    for (const endMs = performance.now() + Number(turnMs); performance.now() < endMs;);
  }, 0)
  this.leaving.send(this.harness.settings.callerAddress, Number(count), Number(leaveMs))
  await sleep(Number(leaveMs) + 4 * Number(turnMs) * Number(count))
  clearInterval(busy)
  this.arrivals = await this.leaving.arrivals()
})

Then(/^at most (\d+) of their requests reach the backend server over half a second later, and it works on none for so long$/, function (this: LeavingWorld, max: string) {
  const late = this.arrivals.filter(({ afterMs }) => afterMs > 500)
  assert.ok(late.length <= Number(max), JSON.stringify(late))
  assert.deepEqual(this.arrivals.filter(({ workedMs }) => workedMs > 500), [])
})
