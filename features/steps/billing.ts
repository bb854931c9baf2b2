import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createMemoryObjectApi, type MemoryObjectApi } from '../../src/bench/memory-object-api.ts'
import { createMemoryRegion, type MemoryRegion } from '../../src/bench/memory-region.ts'
import { batchName } from '../../src/core/billing/batch.ts'
import { createAnswerRecord, createBilling, readBills, type Billing, type BillingRecord } from '../../src/core/billing/index.ts'
import type { AttemptUsage } from '../../src/core/billing/pricing.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { LacewingError } from '../../src/core/errors/index.ts'
import { brandId, type RequestId, type TeamId, type VersionId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'

const MINUTE_MS = 60_000

interface BillingWorld {
  clock: ManualClock
  objectApi: MemoryObjectApi
  region: MemoryRegion
  billing: Map<string, Billing>
  metrics: Metrics[]
  error?: unknown
}

function addVm (world: BillingWorld, vm: string, dataCentre: string, boot = `boot-${vm}`, maxOutboxRecords = 1000): Billing {
  const { identity, clock, peers, membership, objectApi } = world.region.add(vm, dataCentre, boot)
  const metrics = createMetrics()
  const billing = createBilling({
    identity, objectApi, peers, membership, maxOutboxRecords, clock, metrics, log: silentLog, random: () => 0.5
  })
  world.metrics.push(metrics)
  billing.start()
  world.billing.set(vm, billing)
  return billing
}

function resetWorld (world: BillingWorld): void {
  world.clock = createManualClock()
  world.objectApi = createMemoryObjectApi()
  world.region = createMemoryRegion({ clock: world.clock, objectApi: world.objectApi })
  world.billing = new Map()
  world.metrics = []
}

function billingRecord (number: number): BillingRecord {
  const id = `request-${number}`
  const line = { version: brandId<VersionId>('v1'), inputTokens: 10, outputTokens: 5, costMicros: 20 }
  return { id, request: brandId<RequestId>(id), team: brandId<TeamId>('kits'), outcome: 'completed', lines: [line], costMicros: 20, atWallMs: 0 }
}

const records = (count: number) => Array.from({ length: count }, (_, index) => billingRecord(index))

async function recordAll (world: BillingWorld, count: number): Promise<void> {
  const recorded = Promise.all(records(count).map(record => world.billing.get('vm-a')!.record(record)))
  await world.clock.advance(100)
  await recorded
}

/** The VM that witnesses the records of vm-a: the one that has received `billing.witness` messages. */
function findWitness (world: BillingWorld): string {
  return ['vm-b', 'vm-c'].find(vm => world.region.receivedCount('billing.witness', vm) > 0)!
}

function faultFirstCreate (fault: 'lost_answer' | 'lost_write') {
  const faulted = new Set<string>()
  return (call: string, _kind: string, name: string) => {
    if (call !== 'create' || faulted.has(name)) return undefined
    faulted.add(name)
    return fault
  }
}

async function crashAfterWitnessLoss (world: BillingWorld, count: number, removeWitness: (witness: string) => void): Promise<void> {
  world.objectApi.setFault(() => 'unavailable')
  await recordAll(world, count)
  removeWitness(findWitness(world))
  await world.clock.advance(5000)
  world.region.kill('vm-a')
  world.region.setMemberState('vm-a', 'dead')
  await world.clock.advance(5000)
  world.objectApi.setFault(() => undefined)
}

async function flushByOriginAndWitness (world: BillingWorld, count: number, fault: Parameters<MemoryObjectApi['setFault']>[0]): Promise<void> {
  await recordAll(world, count)
  world.objectApi.setFault(fault)
  world.region.isolate('vm-a')
  world.region.setMemberState('vm-a', 'dead')
  await world.clock.advance(MINUTE_MS)
  world.region.reconnect('vm-a')
  world.region.setMemberState('vm-a', 'live')
}

const FAULTS: Record<string, (world: BillingWorld, count: number) => Promise<void>> = {
  'nothing fails': recordAll,
  async 'vm-a dies after the witness acknowledged' (world, count) {
    await recordAll(world, count)
    world.region.kill('vm-a')
    world.region.setMemberState('vm-a', 'dead')
  },
  async 'vm-a restarts after the witness acknowledged' (world, count) {
    await recordAll(world, count)
    world.region.kill('vm-a')
    addVm(world, 'vm-a', 'bag-a', 'boot-second')
  },
  async 'the object API is down for 10 minutes' (world, count) {
    world.objectApi.setFault(() => 'unavailable')
    await recordAll(world, count)
    await world.clock.advance(10 * MINUTE_MS)
    world.objectApi.setFault(() => undefined)
  },
  async 'the responses to flushes are lost' (world, count) {
    world.objectApi.setFault(faultFirstCreate('lost_answer'))
    await recordAll(world, count)
  },
  async 'the writes of flushes are lost' (world, count) {
    world.objectApi.setFault(faultFirstCreate('lost_write'))
    await recordAll(world, count)
  },
  'vm-a is isolated and it and the witness flush': (world, count) => flushByOriginAndWitness(world, count, () => undefined),
  'vm-a is isolated and both lose responses to flushes': (world, count) => flushByOriginAndWitness(world, count, faultFirstCreate('lost_answer')),
  'the witness dies and then vm-a dies': (world, count) => crashAfterWitnessLoss(world, count, witness => {
    world.region.kill(witness)
    world.region.setMemberState(witness, 'dead')
  }),
  'the witness leaves and then vm-a dies': (world, count) => crashAfterWitnessLoss(world, count, witness => {
    world.region.setMemberState(witness, 'leaving')
    world.region.kill(witness)
  }),
  'the witness restarts and then vm-a dies': (world, count) => crashAfterWitnessLoss(world, count, witness => {
    world.region.kill(witness)
    addVm(world, witness, 'bag-b', 'boot-second')
  }),
  async 'the message that releases the witness is lost' (world, count) {
    await recordAll(world, count)
    world.region.isolate(findWitness(world))
    await world.clock.advance(5000)
    world.region.reconnect('vm-b')
    world.region.reconnect('vm-c')
  }
}

Given('billing on three VMs in two data centres', function (this: BillingWorld) {
  resetWorld(this)
  addVm(this, 'vm-a', 'bag-a')
  addVm(this, 'vm-b', 'bag-b')
  addVm(this, 'vm-c', 'bag-b')
})

Given(/^billing on a single VM with (.+)$/, async function (this: BillingWorld, state: string) {
  resetWorld(this)
  const billing = addVm(this, 'vm-a', 'bag-a', 'boot-vm-a', 2)
  if (state === 'a working object API') return
  this.objectApi.setFault(() => 'unavailable')
  const pending = records(state === 'a full outbox' ? 2 : 1).map(record => billing.record(record).catch(() => {}))
  await this.clock.advance(3000)
  await Promise.all(pending)
  if (state === 'an object API that has recovered') this.objectApi.setFault(() => undefined)
  await this.clock.advance(10_000)
})

When(/^billing of vm-a records (\d+) answers while (.+)$/, async function (this: BillingWorld, count: string, fault: string) {
  await FAULTS[fault]!(this, Number(count))
})

When('billing of vm-a records an answer', async function (this: BillingWorld) {
  const recorded = this.billing.get('vm-a')!.record(billingRecord(7)).catch(error => { this.error = error })
  await this.clock.advance(3000)
  await recorded
})

When('billing of vm-a records {int} answers and drains immediately', async function (this: BillingWorld, count: number) {
  await recordAll(this, count)
  assert.equal(await this.billing.get('vm-a')!.drain(1000), 0)
})

When('billing of vm-a is flushed by a witness that holds {int} of {int} records', async function (this: BillingWorld, held: number, count: number) {
  await recordAll(this, count)
  const spec = { vm: brandId('vm-a'), boot: brandId('boot-vm-a'), sequence: 1, records: records(held) }
  await this.objectApi.create('BillingBatch', batchName({ vm: brandId('vm-a'), boot: brandId('boot-vm-a'), sequence: 1 }), spec)
})

When('billing runs for another {int} minute(s)', async function (this: BillingWorld, minutes: number) {
  await this.clock.advance(minutes * MINUTE_MS)
})

Then('billing has stored each of the {int} records exactly once', async function (this: BillingWorld, count: number) {
  const bills = await readBills({ objectApi: this.objectApi, team: brandId<TeamId>('kits') })
  assert.deepEqual(bills.records.map(record => record.id).sort(), records(count).map(record => record.id).sort())
  assert.equal(bills.duplicates, 0)
  assert.equal(bills.totals.get(brandId<TeamId>('kits'))?.costMicros, count * 20)
})

Then('billing witnesses hold no record', async function (this: BillingWorld) {
  const rendered = await Promise.all(this.metrics.map(metrics => metrics.render()))
  for (const text of rendered) assert.match(text, /^lacewingstage_billing_witness_records 0$/m)
})

Then('billing stored the batch under {int} names', function (this: BillingWorld, count: number) {
  const names = this.objectApi.objects('BillingBatch').map(object => object.name)
  assert.equal(names.length, count, names.join(' '))
})

Then(/^billing accepts new work: (yes|no)$/, function (this: BillingWorld, accepted: string) {
  assert.equal(this.billing.get('vm-a')!.canAccept(), accepted === 'yes')
})

Then('billing reports {string} and keeps the record', function (this: BillingWorld, kind: string) {
  assert.equal((this.error as LacewingError).kind, kind)
  assert.equal(this.billing.get('vm-a')!.pending(), 2)
})

Then(/^billing prices (.+) at (\S+) as (\S+)$/, function (text: string, cost: string, outcome: string) {
  const attempts = text.split(', ').map((attempt): AttemptUsage => {
    const [answer, end, inputTokens, outputTokens] = attempt.split(' ')
    const prices = { inputMicrosPerToken: 1, outputMicrosPerToken: 3 }
    return {
      answer: Number(answer), version: brandId('v1'), prices, inputTokens: Number(inputTokens), outputTokens: Number(outputTokens), end: end as AttemptUsage['end']
    }
  })
  const record = createAnswerRecord({ id: 'a', request: brandId('a'), team: brandId('kits'), attempts, atWallMs: 0 })
  assert.equal(String(record?.costMicros ?? 'none'), cost)
  assert.equal(record?.outcome ?? 'none', outcome)
})
