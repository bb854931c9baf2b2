import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { ForwardingVmHarness } from '../support/forwarding-vm-harness.ts'
import { pipelinedRequest, writeRequests } from '../support/pipelined-requests.ts'

interface StopWorld {
  harness: ForwardingVmHarness
  /** Ends what slows the event loop down. */
  endSlowness?: () => void
}

/** Time for which the event loop is blocked, and for which it runs in between. */
const BLOCKED_MS = 150
const RUNNING_MS = 30

Given('its store does not answer removals', function (this: StopWorld) { this.harness.store.setRemovalsSilent(true) })

Given('its event loop is slow', function (this: StopWorld) {
  const timer = setInterval(() => {
    const untilMs = performance.now() + BLOCKED_MS
    while (performance.now() < untilMs);
  }, BLOCKED_MS + RUNNING_MS)
  this.endSlowness = () => clearInterval(timer)
})

When(/^a caller waits for the response to (\S+)$/, async function (this: StopWorld, path: string) {
  await writeRequests(this.harness.settings.callerAddress, pipelinedRequest({ path }), 200)
})

Then(/^a stop takes at most (\d+) ms$/, { timeout: 20_000 }, async function (this: StopWorld, ms: string) {
  const startMs = performance.now()
  await this.harness.vm.stop()
  this.endSlowness?.()
  assert.ok(performance.now() - startMs <= Number(ms), `${performance.now() - startMs} ms`)
})
