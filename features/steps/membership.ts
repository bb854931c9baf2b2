import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import type { BootId, DataCentreId, RegionId, VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMembership, type Member, type Membership, type PlatformVm, type Seed } from '../../src/core/membership/index.ts'
import { compareIncarnations, mergeRecords, type Health, type MemberRecord } from '../../src/core/membership/merge.ts'
import { decodeGossip, decodePingRequest, encodeGossip } from '../../src/core/membership/messages.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import { createTestNetwork, type TestNetwork, type TestProcess } from './membership-network.ts'
import { createRandom } from '../../src/standin/random.ts'

const SEED = 20_261_204
const REGION = 'region-1' as RegionId

export interface TestMember extends TestProcess {
  membership: Membership
  metrics: Metrics
  reachesObjectApi: boolean
  /** Changes that this member observed, its own included. */
  changes: Member[]
}

export interface MembershipWorld {
  network: TestNetwork
  members: Map<string, TestMember>
  replacedMember?: TestMember
  vmList?: PlatformVm[]
  error?: unknown
}

export async function startMember (world: MembershipWorld, vm: string, seeds: Seed[], boot = `boot-${vm}`): Promise<TestMember> {
  const process = world.network.start(vm)
  const metrics = createMetrics()
  const identity = { vm: process.vm, boot: boot as BootId, region: REGION, dataCentre: 'dc-1' as DataCentreId }
  const member: TestMember = { ...process, metrics, reachesObjectApi: false, changes: [], membership: undefined as unknown as Membership }
  member.membership = createMembership({
    identity,
    peerAddress: `127.0.0.1:${vm}`,
    callerUrl: `http://${vm}`,
    peers: process.links,
    seeds,
    vmList: world.vmList && (async () => world.vmList!),
    lastObjectApiContact: () => member.reachesObjectApi ? process.clock.now() : -Infinity,
    clock: process.clock,
    metrics,
    log: silentLog,
    random: createRandom(SEED + world.members.size)
  })
  member.membership.onChange(change => { member.changes.push(change) })
  world.members.set(vm, member)
  const state = { started: false }
  const start = member.membership.start().then(() => { state.started = true })
  while (!state.started) await world.network.clock.advance(100)
  await start
  return member
}

export async function startGroup (world: MembershipWorld, size: number): Promise<void> {
  world.network = createTestNetwork()
  world.members = new Map()
  const seeds = Array.from({ length: size }, (_, i) => ({ vm: `vm-${i + 1}` as VmId, peerAddress: '' }))
  for (const { vm } of seeds) await startMember(world, vm, seeds)
  await world.network.clock.advance(5000)
}

function stateSeenBy (world: MembershipWorld, vm: string, observer: string): string | undefined {
  return world.members.get(observer)!.membership.get(vm as VmId)?.state
}

function otherVms (world: MembershipWorld, vm: string): string[] {
  return [...world.members.keys()].filter(name => name !== vm)
}

Given('a membership group of {int} VMs', async function (this: MembershipWorld, size: number) {
  await startGroup(this, size)
})

Given('a membership group of {int} VMs that read the VM list', async function (this: MembershipWorld, size: number) {
  this.vmList = Array.from({ length: size }, (_, i) => ({ id: `vm-${i + 1}` as VmId, address: '', state: 'live' as const }))
  await startGroup(this, size)
})

When('member {word} is killed', function (this: MembershipWorld, vm: string) {
  this.members.get(vm)!.kill()
})

When('member {word} is paused', function (this: MembershipWorld, vm: string) {
  this.members.get(vm)!.pause()
})

When('member {word} is paused while its ping is in flight', async function (this: MembershipWorld, vm: string) {
  const member = this.members.get(vm)!
  while (member.pendingRequests() === 0) await this.network.clock.advance(1)
  member.changes.length = 0
  member.pause()
})

When('member {word} resumes', function (this: MembershipWorld, vm: string) {
  this.members.get(vm)!.resume()
})

When('member {word} leaves', function (this: MembershipWorld, vm: string) {
  void this.members.get(vm)!.membership.leave()
})

When('member {word} starts with boot id {word}', async function (this: MembershipWorld, vm: string, boot: string) {
  this.replacedMember = this.members.get(vm)!
  await startMember(this, vm, otherVms(this, vm).map(name => ({ vm: name as VmId, peerAddress: '' })), boot)
})

When('member {word} starts with the VM list as its only seed', async function (this: MembershipWorld, vm: string) {
  await startMember(this, vm, [])
})

When('the earlier process of {word} resumes', function (this: MembershipWorld, _vm: string) {
  this.replacedMember!.resume()
})

When('the VM list shows {word} as {word}', function (this: MembershipWorld, vm: string, state: 'live' | 'leaving') {
  const otherEntries = this.vmList!.filter(({ id }) => id !== vm)
  this.vmList = [...otherEntries, { id: vm as VmId, address: '', state }]
})

When('the membership group runs for {int} ms', { timeout: 60_000 }, async function (this: MembershipWorld, ms: number) {
  await this.network.clock.advance(ms)
})

When(/^the membership link (.*) is cut$/, function (this: MembershipWorld, links: string) {
  for (const link of links.split(', ')) {
    const [from, to] = link.split('>')
    this.network.cutLink(from!, to!)
  }
})

When('the membership group is split into {word} and the rest', function (this: MembershipWorld, part: string) {
  const partition = part.split(',')
  for (const inside of partition) {
    for (const outside of this.members.keys()) {
      if (partition.includes(outside)) continue
      this.network.cutLink(inside, outside)
      this.network.cutLink(outside, inside)
    }
  }
})

When('the membership split heals', function (this: MembershipWorld) {
  this.network.restoreLinks()
})

When('{int} random membership faults happen with seed {int}', { timeout: 120_000 }, async function (this: MembershipWorld, count: number, seed: number) {
  const random = createRandom(seed)
  const pick = <Item>(items: readonly Item[]) => items[Math.floor(random() * items.length)]!
  const paused = new Set<string>()
  const resume = (vm: string) => {
    if (paused.delete(vm)) this.members.get(vm)!.resume()
  }
  const faults: ((vm: string) => unknown)[] = [
    vm => { paused.add(vm); this.members.get(vm)!.pause() },
    resume,
    vm => this.network.cutLink(vm, pick(otherVms(this, vm))),
    vm => otherVms(this, vm).forEach(other => this.network.cutLink(other, vm)),
    () => this.network.restoreLinks(),
    async vm => {
      resume(vm)
      this.members.get(vm)!.kill()
      await startMember(this, vm, otherVms(this, vm).map(name => ({ vm: name as VmId, peerAddress: '' })), `boot-${random()}`)
    }
  ]
  for (let i = 0; i < count; i++) {
    await pick(faults)(pick([...this.members.keys()]))
    await this.network.clock.advance(random() * 3000)
  }
  for (const vm of paused) resume(vm)
})

When('the membership changes so far are cleared', function (this: MembershipWorld) {
  for (const member of this.members.values()) member.changes.length = 0
})

When(/^(\S+) reaches the object API: (yes|no)$/, function (this: MembershipWorld, vm: string, reaches: string) {
  this.members.get(vm)!.reachesObjectApi = reaches === 'yes'
})

When(/^vm-1 receives a membership message that is (.*)$/, async function (this: MembershipWorld, kind: string) {
  const sender = record({ vm: 'vm-2' as VmId })
  const validGossip = { sender, updates: [], isFullList: false, digest: 0 }
  const bodies: Record<string, unknown> = {
    'not a gossip message': { u: 7 },
    'from another sender': encodeGossip({ ...validGossip, sender: record({ vm: 'vm-7' as VmId }) }),
    'from another region': encodeGossip({ ...validGossip, sender: record({ vm: 'vm-2' as VmId, region: 'elsewhere' as RegionId }) }),
    'encoded with invalid flags': encodeGossip({ ...validGossip, updates: [record({ health: 3 as Health })] })
  }
  const request = this.members.get('vm-2')!.links.request('vm-1' as VmId, 'membership.ping', bodies[kind])
  request.catch((error: unknown) => { this.error = error })
  await this.network.clock.advance(10)
})

Then('the membership message is rejected and counted as {word}', function (this: MembershipWorld, reason: string) {
  assert.equal((this.error as { kind?: string }).kind, 'peer_rejected')
  assert.equal(this.members.get('vm-1')!.metrics.value('bad_input', reason), 1)
})

Then('the membership state of {word} is {word} on all others', function (this: MembershipWorld, vm: string, state: string) {
  for (const observer of otherVms(this, vm)) {
    if (!this.members.get(observer)!.isKilled()) assert.equal(stateSeenBy(this, vm, observer), state, observer)
  }
})

Then('the membership state of every VM is live on all', function (this: MembershipWorld) {
  for (const vm of this.members.keys()) {
    for (const observer of this.members.keys()) assert.equal(stateSeenBy(this, vm, observer), 'live', `${vm} on ${observer}`)
  }
})

Then('the membership boot id of {word} is {word} on all others', function (this: MembershipWorld, vm: string, boot: string) {
  for (const observer of otherVms(this, vm)) assert.equal(this.members.get(observer)!.membership.get(vm as VmId)?.boot, boot, observer)
})

Then('no membership change to {word} happened except for {word}', function (this: MembershipWorld, state: string, except: string) {
  assert.deepEqual(changesTo(this, state).filter(vm => vm !== except), [])
})

Then('no membership change to {word} happened', function (this: MembershipWorld, state: string) {
  assert.deepEqual(changesTo(this, state), [])
})

function changesTo (world: MembershipWorld, state: string): string[] {
  return [...world.members.values()].flatMap(({ changes }) => changes.filter(change => change.state === state).map(({ vm }) => vm))
}

Then('member {word} saw no change of {word}', function (this: MembershipWorld, observer: string, vm: string) {
  assert.deepEqual(this.members.get(observer)!.changes.filter(change => change.vm === vm), [])
})

Then('at least one member counted indirect pings', function (this: MembershipWorld) {
  const counts = [...this.members.values()].map(({ metrics }) => metrics.value('retries', 'membership_indirect_ping'))
  assert.notEqual(Math.max(...counts), 0)
})

Then('{word} sees {int} members and {word} sees {int} members', function (this: MembershipWorld, a: string, countA: number, b: string, countB: number) {
  assert.equal(this.members.get(a)!.membership.members().length, countA)
  assert.equal(this.members.get(b)!.membership.members().length, countB)
})

Then('no member lists {word} as available', function (this: MembershipWorld, vm: string) {
  const available = [...this.members.values()].flatMap(({ membership }) => membership.available().map(member => member.vm))
  assert.equal(available.includes(vm as VmId), false)
})

Then('the earlier process of {word} is isolated', function (this: MembershipWorld, _vm: string) {
  assert.equal(this.replacedMember!.membership.isIsolated(), true)
})

Then(/^(\S+) is isolated: (yes|no)$/, function (this: MembershipWorld, vm: string, isolated: string) {
  assert.equal(this.members.get(vm)!.membership.isIsolated(), isolated === 'yes')
})

Then('{word} has no record of member {word}', function (this: MembershipWorld, observer: string, vm: string) {
  assert.equal(stateSeenBy(this, vm, observer), undefined)
})

function record (fields: Partial<MemberRecord> = {}): MemberRecord {
  return {
    vm: 'vm-1' as VmId,
    boot: 'boot-1' as BootId,
    region: REGION,
    dataCentre: 'dc-1' as DataCentreId,
    peerAddress: '127.0.0.1:1',
    callerUrl: 'http://127.0.0.1:2',
    incarnation: 1,
    health: 0,
    leaving: false,
    ...fields
  }
}

const arbitraryRecord = fc.record({
  boot: fc.constantFrom('boot-1', 'boot-2'),
  incarnation: fc.integer({ min: 0, max: 2 }),
  health: fc.constantFrom(0, 1, 2),
  leaving: fc.boolean(),
  peerAddress: fc.constantFrom('127.0.0.1:1', '127.0.0.1:2')
}).map(fields => record(fields as Partial<MemberRecord>))

Then('the membership merge laws hold for random records with seed {int}', function (seed: number) {
  fc.assert(fc.property(arbitraryRecord, arbitraryRecord, arbitraryRecord, (a, b, c) => {
    const merged = mergeRecords(a, b)
    assert.deepEqual(merged, mergeRecords(b, a))
    assert.deepEqual(mergeRecords(merged, c), mergeRecords(a, mergeRecords(b, c)))
    assert.equal(mergeRecords(a, a), a)
    assert.equal(mergeRecords(merged, a), merged)
    assert.equal(compareIncarnations(merged, a) >= 0, true)
    if (compareIncarnations(merged, a) === 0) assert.equal(merged.health >= a.health && (merged.leaving || !a.leaving), true)
  }), { seed, numRuns: 2000 })
})

Then('the membership decoders accept only valid messages and decode what the encoder sends, with seed {int}', function (seed: number) {
  fc.assert(fc.property(fc.anything({ maxDepth: 4 }), value => {
    const gossip = decodeGossip(value)
    if (gossip) assert.deepEqual(decodeGossip(encodeGossip(gossip)), gossip)
    const request = decodePingRequest(value)
    if (request) assert.equal(request.timeoutMs > 0, true)
  }), { seed, numRuns: 2000 })
  fc.assert(fc.property(arbitraryRecord, fc.array(arbitraryRecord, { maxLength: 5 }), (sender, updates) => {
    const gossip = { sender, updates, isFullList: true, digest: 5, payload: undefined }
    assert.deepEqual(decodeGossip(encodeGossip(gossip)), gossip)
  }), { seed, numRuns: 200 })
})
