import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import type { ForwardingVmHarness } from '../support/forwarding-vm-harness.ts'
import { exchangeBehind, exchangePipelined, pipelinedRequest, writeRequests, type PipelinedResponse } from '../support/pipelined-requests.ts'

interface PipeliningWorld {
  harness: ForwardingVmHarness
  pipelined: PipelinedResponse[]
}

/** Time after which a stop has begun; much shorter than the time for which a stopping VM accepts requests. */
const STOP_BEGIN_MS = 300

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

When(/^a caller writes (\d+) requests to (\S+) at once(?: and (bytes that are no request|a part of a head))?$/, async function (this: PipeliningWorld, count: string, path: string, rest: string | undefined) {
  const bytes = Array.from({ length: Number(count) }, (_, index) => pipelinedRequest({ path, closes: !rest && index === Number(count) - 1 }))
  if (rest === 'bytes that are no request') bytes.push('\u0001\u0002\r\n\r\n')
  if (rest === 'a part of a head') bytes.push('POST / HTTP/1.1\r\n')
  this.pipelined = await exchangePipelined(this.harness.settings.callerAddress, bytes.join(''))
})

When(/^a caller writes (\d+) requests to (\S+) at once (?:while the VM stops|(\d+) ms after the VM began to stop)$/, async function (this: PipeliningWorld, count: string, path: string, afterMs: string | null) {
  void this.harness.vm.stop()
  await sleep(afterMs ? Number(afterMs) : STOP_BEGIN_MS)
  this.pipelined = await exchangePipelined(this.harness.settings.callerAddress, Array.from({ length: Number(count) }, () => pipelinedRequest({ path })).join(''))
})

When(/^a caller writes a request to (\S+) that closes the connection, and another one$/, async function (this: PipeliningWorld, path: string) {
  this.pipelined = await exchangePipelined(this.harness.settings.callerAddress, pipelinedRequest({ path, closes: true }) + pipelinedRequest({ path }))
})

When(/^a caller writes a request to (\S+) while the VM stops, and another one when its response starts$/, async function (this: PipeliningWorld, path: string) {
  void this.harness.vm.stop()
  await sleep(STOP_BEGIN_MS)
  this.pipelined = await exchangeBehind(this.harness.settings.callerAddress, pipelinedRequest({ path }), pipelinedRequest({ path }))
})

When(/^a caller writes a part of a request to (\S+), and the rest when the response starts$/, async function (this: PipeliningWorld, path: string) {
  const bytes = pipelinedRequest({ path })
  const partLength = bytes.indexOf('content-length')
  this.pipelined = await exchangeBehind(this.harness.settings.callerAddress, bytes.slice(0, partLength), bytes.slice(partLength))
})

When(/^a caller writes (\d+) requests to (\S+) at once and leaves$/, async function (this: PipeliningWorld, count: string, path: string) {
  const bytes = Array.from({ length: Number(count) }, () => pipelinedRequest({ path })).join('')
  const socket = await writeRequests(this.harness.settings.callerAddress, bytes, 200)
  socket.destroy()
})

Then(/^the caller gets the statuses ([\d, ]+?)(?: and then the end of the connection)?$/, function (this: PipeliningWorld, statuses: string) {
  assert.deepEqual(this.pipelined.map(({ status }) => status), statuses.split(', ').map(Number))
})

Then(/^the caller gets status 200 (\d+) times and status 503 with the delay of a retry$/, function (this: PipeliningWorld, count: string) {
  assert.deepEqual(this.pipelined.map(({ status }) => status), [...Array.from({ length: Number(count) }, () => 200), 503])
  assert.match(this.pipelined.at(-1)!.head, /^Retry-After: /m)
})

Then('only the last response closes the connection', function (this: PipeliningWorld) {
  assert.deepEqual(this.pipelined.map(({ closes }) => closes), this.pipelined.map((_, index) => index === this.pipelined.length - 1))
})
