import assert from 'node:assert/strict'
import { After, Given, Then, When, setDefaultTimeout } from '@cucumber/cucumber'
import { billedRecords, isComplete, sendChat, sendDispatch, countRuns, type FleetAnswer } from '../support/fleet-calls.ts'
import { startFleet, waitUntil, type Fleet, type FleetOptions } from '../support/fleet.ts'

const STEP_TIMEOUT_MS = 60_000
setDefaultTimeout(STEP_TIMEOUT_MS)

export interface FleetWorld {
  fleet?: Fleet
  answers: FleetAnswer[]
}

export async function useFleet (world: FleetWorld, options: FleetOptions): Promise<void> {
  world.answers = []
  world.fleet = await startFleet(options)
}

After({ tags: '@fleet' }, async function (this: FleetWorld) {
  await this.fleet?.stop()
})

Given('a fleet of {int} VMs, {int} engine(s) and {int} application(s)', async function (this: FleetWorld, vms: number, engines: number, applications: number) {
  await useFleet(this, { vms, engines, applications })
})

When('each fleet VM receives a chat request for {string}', async function (this: FleetWorld, model: string) {
  this.answers = await Promise.all(this.fleet!.vms.map(vm => sendChat(vm, { model, prompt: `from ${vm.id}` })))
})

When('each fleet VM receives the dispatch with key {string}', async function (this: FleetWorld, key: string) {
  for (const vm of this.fleet!.vms) this.answers.push(await sendDispatch(vm, key))
})

Then('every fleet answer is complete and from {string}', function (this: FleetWorld, version: string) {
  assert.ok(this.answers.length > 0)
  for (const answer of this.answers) {
    assert.ok(isComplete(answer), JSON.stringify(answer))
    assert.equal(answer.version, version)
  }
})

Then('every fleet answer has status {int}', function (this: FleetWorld, status: number) {
  assert.ok(this.answers.length > 0)
  for (const answer of this.answers) assert.equal(answer.status, status, answer.body)
})

Then('the fleet has billed each answered request once', async function (this: FleetWorld) {
  const requests = this.answers.filter(answer => answer.status === 200).map(answer => answer.request).sort()
  const billed = async () => (await billedRecords(this.fleet!)).records.map(record => String(record.request)).sort()
  await waitUntil(async () => (await billed()).length >= requests.length, 'all billing records are in the object API')
  assert.deepEqual(await billed(), requests)
})

Then('the fleet application ran key {string} {int} time(s)', async function (this: FleetWorld, key: string, times: number) {
  assert.equal(await countRuns(this.fleet!, key), times)
})
