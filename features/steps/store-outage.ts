import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { KINDS } from '../support/forwarding-vm-harness.ts'
import type { ForwardingWorld } from './forwarding.ts'

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

When('the watches are cut off as the entry of the first backend server is removed', async function (this: ForwardingWorld) {
  this.harness.store.cutWatches(KINDS.backendServers)
  this.harness.store.remove(KINDS.backendServers, 'backend-0')
  await sleep(400)
})

When(/^the store is away for (\d+) ms and the entry of the first backend server is removed meanwhile$/, async function (this: ForwardingWorld, ms: string) {
  this.harness.store.setDown(true)
  this.harness.store.remove(KINDS.backendServers, 'backend-0')
  await sleep(Number(ms))
  this.harness.store.setDown(false)
  await sleep(800)
})

Then(/^the first backend server received (no|some) requests$/, function (this: ForwardingWorld, expected: string) {
  assert.equal(this.backends[0]!.received.length > 0, expected === 'some')
})
