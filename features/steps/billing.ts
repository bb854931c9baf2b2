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
  store: MemoryObjectApi
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

function prepare (world: BillingWorld): void {
  world.clock = createManualClock()
  world.store = createMemoryObjectApi()
  world.region = createMemoryRegion({ clock: world.clock, objectApi: world.store })
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
  const done = Promise.all(records(count).map(record => world.billing.get('vm-a')!.record(record)))
  await world.clock.advance(100)
  await done
}

/** The VM that holds the records of vm-a, found by which one is asked to drop them. */
function witnessOf (world: BillingWorld): string {
  return ['vm-b', 'vm-c'].find(vm => world.region.receivedCount('billing.witness', vm) > 0)!
}

function once (effect: 'lost_answer' | 'lost_write') {
  const seen = new Set<string>()
  return (call: string, _kind: string, name: string) => {
    if (call !== 'create' || seen.has(name)) return undefined
    seen.add(name)
    return effect
  }
}

async function dieTogether (world: BillingWorld, count: number, before: (witness: string) => void): Promise<void> {
  world.store.setFault(() => 'unavailable')
  await recordAll(world, count)
  before(witnessOf(world))
  await world.clock.advance(5000)
  world.region.kill('vm-a')
  world.region.setMemberState('vm-a', 'dead')
  await world.clock.advance(5000)
  world.store.setFault(() => undefined)
}

async function bothFlush (world: BillingWorld, count: number, fault: Parameters<MemoryObjectApi['setFault']>[0]): Promise<void> {
  await recordAll(world, count)
  world.store.setFault(fault)
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
    world.store.setFault(() => 'unavailable')
    await recordAll(world, count)
    await world.clock.advance(10 * MINUTE_MS)
    world.store.setFault(() => undefined)
  },
  async 'the answers of flushes are lost' (world, count) {
    world.store.setFault(once('lost_answer'))
    await recordAll(world, count)
  },
  async 'the flushes themselves are lost' (world, count) {
    world.store.setFault(once('lost_write'))
    await recordAll(world, count)
  },
  'vm-a is cut off and both flush': (world, count) => bothFlush(world, count, () => undefined),
  'both flush and their answers are lost': (world, count) => bothFlush(world, count, once('lost_answer')),
  'the witness dies and then vm-a': (world, count) => dieTogether(world, count, witness => {
    world.region.kill(witness)
    world.region.setMemberState(witness, 'dead')
  }),
  'the witness leaves and then vm-a dies': (world, count) => dieTogether(world, count, witness => {
    world.region.setMemberState(witness, 'leaving')
    world.region.kill(witness)
  }),
  'the witness restarts and then vm-a dies': (world, count) => dieTogether(world, count, witness => {
    world.region.kill(witness)
    addVm(world, witness, 'bag-b', 'boot-second')
  }),
  async 'the message that releases the witness is lost' (world, count) {
    await recordAll(world, count)
    world.region.isolate(witnessOf(world))
    await world.clock.advance(5000)
    world.region.reconnect('vm-b')
    world.region.reconnect('vm-c')
  }
}

Given('billing on three VMs in two data centres', function (this: BillingWorld) {
  prepare(this)
  addVm(this, 'vm-a', 'bag-a')
  addVm(this, 'vm-b', 'bag-b')
  addVm(this, 'vm-c', 'bag-b')
})

Given(/^billing on a single VM with (.+)$/, async function (this: BillingWorld, state: string) {
  prepare(this)
  const billing = addVm(this, 'vm-a', 'bag-a', 'boot-vm-a', 2)
  if (state === 'a working object API') return
  this.store.setFault(() => 'unavailable')
  const pending = records(state === 'a full outbox' ? 2 : 1).map(record => billing.record(record).catch(() => {}))
  await this.clock.advance(3000)
  await Promise.all(pending)
  if (state === 'an object API that came back') this.store.setFault(() => undefined)
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

When('billing of vm-a records {int} answers and drains at once', async function (this: BillingWorld, count: number) {
  await recordAll(this, count)
  assert.equal(await this.billing.get('vm-a')!.drain(1000), 0)
})

When('billing of vm-a is flushed by a witness that holds {int} of {int} records', async function (this: BillingWorld, held: number, count: number) {
  await recordAll(this, count)
  const spec = { vm: brandId('vm-a'), boot: brandId('boot-vm-a'), sequence: 1, records: records(held) }
  await this.store.create('BillingBatch', batchName({ vm: brandId('vm-a'), boot: brandId('boot-vm-a'), sequence: 1 }), spec)
})

When('billing runs on for {int} minutes', async function (this: BillingWorld, minutes: number) {
  await this.clock.advance(minutes * MINUTE_MS)
})

Then('billing holds each of the {int} records exactly once', async function (this: BillingWorld, count: number) {
  const bills = await readBills({ objectApi: this.store, team: brandId<TeamId>('kits') })
  assert.deepEqual(bills.records.map(record => record.id).sort(), records(count).map(record => record.id).sort())
  assert.equal(bills.duplicates, 0)
  assert.equal(bills.totals.get(brandId<TeamId>('kits'))?.costMicros, count * 20)
})

Then('billing witnesses hold no record', async function (this: BillingWorld) {
  const rendered = await Promise.all(this.metrics.map(metrics => metrics.render()))
  for (const text of rendered) assert.match(text, /^lacewingstage_billing_witness_records 0$/m)
})

Then('billing used {int} names for the batch', function (this: BillingWorld, count: number) {
  const names = this.store.objects('BillingBatch').map(object => object.name)
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
  const parts = text.split(', ').map((part): AttemptUsage => {
    const [answer, end, inputTokens, outputTokens] = part.split(' ')
    const prices = { inputMicrosPerToken: 1, outputMicrosPerToken: 3 }
    return {
      answer: Number(answer), version: brandId('v1'), prices, inputTokens: Number(inputTokens), outputTokens: Number(outputTokens), end: end as AttemptUsage['end']
    }
  })
  const record = createAnswerRecord({ id: 'a', request: brandId('a'), team: brandId('kits'), attempts: parts, atWallMs: 0 })
  assert.equal(String(record?.costMicros ?? 'none'), cost)
  assert.equal(record?.outcome ?? 'none', outcome)
})
