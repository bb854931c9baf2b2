import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { DATA_CENTRE, permitRequest } from '../../src/bench/admission-fixture.ts'
import type { Permit } from '../../src/core/admission/types.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import { createClientStand, leadBy, type ClientStand, type ClientVm } from './permit-client-stand.ts'

interface World { stand: ClientStand, permits: Permit[], asked: number }

const SETTLE_MS = 2500

async function createWorld (world: World, vms: number, slots: number, leader: string): Promise<void> {
  world.stand = createClientStand(vms, slots)
  world.permits = []
  world.asked = 0
  leadBy(world.stand, brandId(leader))
  await world.stand.clock.advance(SETTLE_MS)
}

function vmOf ({ stand }: World, vm: string): ClientVm {
  return stand.vms.get(brandId<VmId>(vm))!
}

async function ask (world: World, vm: string): Promise<Permit | undefined> {
  let permit: Permit | undefined
  void vmOf(world, vm).client.acquire(DATA_CENTRE, permitRequest({ request: `request-${world.asked++}`, waitMs: 100 })).then(answer => {
    if (answer.granted) permit = answer.permit
  })
  await world.stand.clock.advance(Math.max(1, world.stand.answerDelayMs))
  if (permit) world.permits.push(permit)
  return permit
}

Given('a permit client of {int} VMs led by {word}', async function (this: World, vms: number, leader: string) {
  await createWorld(this, vms, 8, leader)
})

Given('a permit client of {int} VMs with {int} slots led by {word}', async function (this: World, vms: number, slots: number, leader: string) {
  await createWorld(this, vms, slots, leader)
})

Given('a permit client network where the answer to {string} {}', function (this: World, type: string, fault: string) {
  if (fault === 'is lost') this.stand.lostAnswers.add(type)
  else this.stand.answerDelayMs = Number(fault.split(' ')[1])
})

When('the permit client network loses {word} of {string}', function (this: World, part: string, type: string) {
  if (part === 'message') this.stand.lostMessages.add(type)
  else this.stand.lostAnswers.add(type)
})

When('the permit client network recovers', function (this: World) {
  this.stand.lostMessages.clear()
  this.stand.lostAnswers.clear()
})

When('the permit client of {word} asks for {int} permits', async function (this: World, vm: string, count: number) {
  for (let i = 0; i < count; i++) await ask(this, vm)
})

When('the permit client of {word} releases a permit twice', async function (this: World, vm: string) {
  const permit = this.permits.shift()!
  vmOf(this, vm).client.release(permit, { outcome: 'completed' })
  vmOf(this, vm).client.release(permit, { outcome: 'completed' })
  await this.stand.clock.advance(1)
})

When('the permit client waits {int} ms', async function (this: World, ms: number) {
  await this.stand.clock.advance(ms)
})

When('the permit client lease moves to {word}', function (this: World, vm: string) {
  leadBy(this.stand, brandId(vm))
})

When('the permit client object API is {word} and {}', async function (this: World, api: string, leader: string) {
  const { stand } = this
  stand.objectApiAvailable = api === 'available'
  if (leader === 'the leader has lost the lease') {
    stand.leaseHeld = false
    vmOf(this, 'vm-1').loseLease()
  }
  if (leader.startsWith('the leader died')) stand.dead.add(brandId('vm-1'))
  if (leader === 'the leader is silent but lives') stand.lostMessages.add('leader.summary').add('permit.request')
  if (leader === 'nobody holds the lease') stand.holder = undefined
  if (leader === 'another leader is known') {
    vmOf(this, 'vm-1').loseLease()
    leadBy(stand, brandId('vm-3'))
  }
  if (leader.startsWith('the leader died')) vmOf(this, 'vm-1').client.stop()
  await stand.clock.advance(1)
})

When('the permit clients of all VMs ask for {int} permits and report first bytes', async function (this: World, count: number) {
  for (let i = 0; i < count; i++) {
    for (const { vm, client } of this.stand.vms.values()) {
      const permit = await ask(this, vm)
      if (permit) client.reportFirstByte(permit, 'instance-1')
    }
  }
})

When('the permit client of {word} asks for {int} permits from a backend server that {}', async function (this: World, vm: string, count: number, behaviour: string) {
  const { client } = vmOf(this, vm)
  for (let i = 0; i < count; i++) {
    const permit = await ask(this, vm)
    if (!permit) continue
    if (behaviour === 'crashes') client.release(permit, { outcome: 'crashed' })
    if (behaviour === 'keeps answering') client.reportFirstByte(permit, 'instance-1')
    if (behaviour === 'has restarted') client.reportFirstByte(permit, `instance-${i}`)
  }
})

Then('the permit client of {word} holds {int} permits', function (this: World, vm: string, count: number) {
  assert.equal(vmOf(this, vm).client.heldCount(), count)
})

Then('the permit clients hold {int} permits together', function (this: World, count: number) {
  assert.equal([...this.stand.vms.values()].reduce((sum, { client }) => sum + client.heldCount(), 0), count)
})

Then('the permit client leader has {int} permits in flight', function (this: World, count: number) {
  const { scheduler } = this.stand.vms.get(this.stand.holder!)!
  const inFlight = scheduler!.summary().teamInFlight.reduce((sum, team) => sum + team.inFlight, 0)
  assert.equal(inFlight, count)
})

Then('the permit client of {word} {} start it', function (this: World, vm: string, may: string) {
  assert.equal(vmOf(this, vm).client.mayStart(this.permits[0]!), may === 'may')
})

Then('the permit client of {word} has admitted {int} locally', function (this: World, vm: string, count: number) {
  assert.equal(vmOf(this, vm).metrics.value('local_admission', 'granted'), count)
})
