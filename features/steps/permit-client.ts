import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { DATA_CENTRE, permitRequest } from '../../src/bench/admission-fixture.ts'
import type { Permit } from '../../src/core/admission/types.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import { createClientHarness, makeLeader, type ClientHarness, type ClientVm } from './permit-client-harness.ts'

interface PermitClientWorld { harness: ClientHarness, permits: Permit[], requestCount: number }

const TAKEOVER_WAIT_MS = 2500

async function createWorld (world: PermitClientWorld, vms: number, slots: number, leader: string): Promise<void> {
  world.harness = createClientHarness(vms, slots)
  world.permits = []
  world.requestCount = 0
  makeLeader(world.harness, brandId(leader))
  await world.harness.clock.advance(TAKEOVER_WAIT_MS)
}

function vmOf ({ harness }: PermitClientWorld, vm: string): ClientVm {
  return harness.vms.get(brandId<VmId>(vm))!
}

async function requestPermit (world: PermitClientWorld, vm: string): Promise<Permit | undefined> {
  let permit: Permit | undefined
  void vmOf(world, vm).client.acquire(DATA_CENTRE, permitRequest({ request: `request-${world.requestCount++}`, waitMs: 100 })).then(answer => {
    if (answer.granted) permit = answer.permit
  })
  await world.harness.clock.advance(Math.max(1, world.harness.answerDelayMs))
  if (permit) world.permits.push(permit)
  return permit
}

Given('permit clients on {int} VMs led by {word}', async function (this: PermitClientWorld, vms: number, leader: string) {
  await createWorld(this, vms, 8, leader)
})

Given('permit clients on {int} VMs with a backend server of {int} slots, led by {word}', async function (this: PermitClientWorld, vms: number, slots: number, leader: string) {
  await createWorld(this, vms, slots, leader)
})

Given('a permit client network on which the answer to {string} {}', function (this: PermitClientWorld, type: string, fault: string) {
  if (fault === 'is lost') this.harness.lostAnswers.add(type)
  else this.harness.answerDelayMs = Number(fault.split(' ')[1])
})

When('the permit client network loses the {word} of {string}', function (this: PermitClientWorld, part: string, type: string) {
  if (part === 'message') this.harness.lostMessages.add(type)
  else this.harness.lostAnswers.add(type)
})

When('the permit client network recovers', function (this: PermitClientWorld) {
  this.harness.lostMessages.clear()
  this.harness.lostAnswers.clear()
})

When('the permit client of {word} requests {int} permit(s)', async function (this: PermitClientWorld, vm: string, count: number) {
  for (let i = 0; i < count; i++) await requestPermit(this, vm)
})

When('the permit client of {word} releases a permit twice', async function (this: PermitClientWorld, vm: string) {
  const permit = this.permits.shift()!
  vmOf(this, vm).client.release(permit, { outcome: 'completed' })
  vmOf(this, vm).client.release(permit, { outcome: 'completed' })
  await this.harness.clock.advance(1)
})

When('the permit clients run for {int} ms', async function (this: PermitClientWorld, ms: number) {
  await this.harness.clock.advance(ms)
})

When('the leader lease of the permit clients moves to {word}', function (this: PermitClientWorld, vm: string) {
  makeLeader(this.harness, brandId(vm))
})

When('the object API of the permit clients is {word} and {}', async function (this: PermitClientWorld, api: string, leader: string) {
  const { harness } = this
  harness.objectApiAvailable = api === 'available'
  if (leader === 'the leader has lost the lease') {
    harness.leaseHeld = false
    vmOf(this, 'vm-1').reportLeaseLoss()
  }
  if (leader.startsWith('the leader died')) harness.dead.add(brandId('vm-1'))
  if (leader === 'the leader is silent but alive') harness.lostMessages.add('leader.summary').add('permit.request')
  if (leader === 'no VM holds the lease') harness.holder = undefined
  if (leader === 'another leader is known') {
    vmOf(this, 'vm-1').reportLeaseLoss()
    makeLeader(harness, brandId('vm-3'))
  }
  if (leader.startsWith('the leader died')) vmOf(this, 'vm-1').client.stop()
  await harness.clock.advance(1)
})

When('the permit clients of all VMs request {int} permits and report first bytes', async function (this: PermitClientWorld, count: number) {
  for (let i = 0; i < count; i++) {
    for (const { vm, client } of this.harness.vms.values()) {
      const permit = await requestPermit(this, vm)
      if (permit) client.reportFirstByte(permit, 'instance-1')
    }
  }
})

When('the permit client of {word} requests {int} permits from a backend server that {}', async function (this: PermitClientWorld, vm: string, count: number, behaviour: string) {
  const { client } = vmOf(this, vm)
  for (let i = 0; i < count; i++) {
    const permit = await requestPermit(this, vm)
    if (!permit) continue
    if (behaviour === 'crashes') client.release(permit, { outcome: 'crashed' })
    if (behaviour === 'keeps answering') client.reportFirstByte(permit, 'instance-1')
    if (behaviour === 'has restarted') client.reportFirstByte(permit, `instance-${i}`)
  }
})

Then('the permit client of {word} holds {int} permits', function (this: PermitClientWorld, vm: string, count: number) {
  assert.equal(vmOf(this, vm).client.heldCount(), count)
})

Then('the permit clients hold {int} permits together', function (this: PermitClientWorld, count: number) {
  assert.equal([...this.harness.vms.values()].reduce((sum, { client }) => sum + client.heldCount(), 0), count)
})

Then('the leader of the permit clients has {int} permits in flight', function (this: PermitClientWorld, count: number) {
  const { scheduler } = this.harness.vms.get(this.harness.holder!)!
  const inFlight = scheduler!.summary().teamInFlight.reduce((sum, team) => sum + team.inFlight, 0)
  assert.equal(inFlight, count)
})

Then('the permit client of {word} {} start the request', function (this: PermitClientWorld, vm: string, may: string) {
  assert.equal(vmOf(this, vm).client.mayStart(this.permits[0]!), may === 'may')
})

Then('the permit client of {word} has admitted {int} request(s) locally', function (this: PermitClientWorld, vm: string, count: number) {
  assert.equal(vmOf(this, vm).metrics.value('local_admission', 'granted'), count)
})
