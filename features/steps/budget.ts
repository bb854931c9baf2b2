import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createMemoryObjectApi, type MemoryObjectApi, type ObjectApiFault } from '../../src/bench/memory-object-api.ts'
import { createMemoryConfig, type MemoryConfig } from '../../src/bench/memory-config.ts'
import { createRandom } from '../../src/bench/random.ts'
import { createBudget, type Budget, type SpendSpec } from '../../src/core/budget/index.ts'
import { chunkSize, spendInPeriod, withoutHolder, withReservation } from '../../src/core/budget/ledger.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { LacewingError } from '../../src/core/errors/index.ts'
import { brandId, type TeamId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'

const SEED = 20261204
const TEAM = brandId<TeamId>('kits')
const PERIOD_MS = 3_600_000

interface BudgetWorld {
  clock: ManualClock
  config: MemoryConfig
  objectApi: MemoryObjectApi
  budgets: Budget[]
  spent: number
  refusals: Set<string>
}

function setLimit (config: MemoryConfig, spendLimitMicros: number): void {
  const keys = [{ sha256: '0'.repeat(64) }]
  config.set('Contract', TEAM, { team: TEAM, keys, models: ['kit'], spendLimitMicros, spendPeriodMs: PERIOD_MS })
}

function randomFault (fault: string, random: () => number): () => ObjectApiFault | undefined {
  const lostAnswerShare = fault.includes('lost responses') ? 0.15 : 0
  const lostWriteShare = fault.includes('lost writes') ? 0.15 : 0
  return () => {
    const fraction = random()
    if (fraction < lostAnswerShare) return 'lost_answer'
    return fraction < lostAnswerShare + lostWriteShare ? 'lost_write' : undefined
  }
}

/** Spends repeatedly until the budget refuses or all VMs together have spent the target amount. */
async function spendAll (world: BudgetWorld, budget: Budget, amountMicros: number, targetMicros: number): Promise<void> {
  while (world.spent < targetMicros) {
    try {
      const reservation = await budget.reserve(TEAM, amountMicros)
      world.spent += amountMicros
      await world.clock.sleep(1)
      reservation.settle(amountMicros)
    } catch (error) {
      if (!(error instanceof LacewingError)) throw error
      world.refusals.add(error.kind)
      return
    }
  }
}

async function advanceUntilDone (world: BudgetWorld, work: Promise<unknown>[]): Promise<void> {
  const state = { done: false }
  const allDone = Promise.all(work).finally(() => { state.done = true })
  while (!state.done) await world.clock.advance(50)
  await allDone
}

Given(/^budget of (\d+) micros on (\d+) VMs with (.+)$/, function (this: BudgetWorld, limit: string, vms: string, fault: string) {
  console.log(`budget seed ${SEED}`)
  const random = createRandom(SEED)
  this.clock = createManualClock({ wallStartMs: 10 * PERIOD_MS })
  this.config = createMemoryConfig()
  this.objectApi = createMemoryObjectApi({ clock: this.clock, delayMs: () => 1 + random() * 8 })
  const nextFault = randomFault(fault, random)
  this.objectApi.setFault(call => call === 'get' ? undefined : nextFault())
  this.spent = 0
  this.refusals = new Set()
  setLimit(this.config, Number(limit))
  this.budgets = Array.from({ length: Number(vms) }, (_, index) => createBudget({
    identity: { vm: brandId(`vm-${index}`), boot: brandId(`boot-${index}`), region: brandId('bagmati'), dataCentre: brandId('bag-a') },
    objectApi: this.objectApi,
    view: this.config.view,
    random,
    clock: this.clock,
    metrics: createMetrics(),
    log: silentLog
  }))
})

When('all VMs spend the budget concurrently in amounts of {int} micros until it is exhausted', async function (this: BudgetWorld, amountMicros: number) {
  // A VM may be refused while another one still holds an unspent chunk, so all retry after the recheck delay.
  for (let round = 0; round < 3; round++) {
    await advanceUntilDone(this, this.budgets.map(budget => spendAll(this, budget, amountMicros, Infinity)))
    await this.clock.advance(1500)
  }
})

When('all VMs spend the budget concurrently in amounts of {int} micros until {int} micros are spent', async function (this: BudgetWorld, amountMicros: number, targetMicros: number) {
  await advanceUntilDone(this, this.budgets.map(budget => spendAll(this, budget, amountMicros, targetMicros)))
})

When('the budget limit is changed to {int}', function (this: BudgetWorld, limit: number) {
  setLimit(this.config, limit)
})

When('the next budget period starts', async function (this: BudgetWorld) {
  await this.clock.advance(PERIOD_MS)
})

When(/^budget of one VM spends (\d+) micros and (the object API fails|dies)$/, async function (this: BudgetWorld, micros: string, event: string) {
  await advanceUntilDone(this, [spendAll(this, this.budgets[0]!, Number(micros), Number(micros))])
  await this.clock.advance(100)
  if (event === 'dies') this.budgets.shift()
  else this.objectApi.setFault(() => 'unavailable')
})

When('every VM spends {int} micros of a reserved budget of {int} and shuts down', async function (this: BudgetWorld, cost: number, estimate: number) {
  await advanceUntilDone(this, this.budgets.map(async budget => {
    const reservation = await budget.reserve(TEAM, estimate)
    reservation.settle(cost)
    reservation.settle(cost)
    await budget.returnChunks()
  }))
})

Then('the budget spent is at most {int} micros and at least {int}', function (this: BudgetWorld, maxMicros: number, minMicros: number) {
  assert.ok(this.spent <= maxMicros && this.spent >= minMicros, `spent ${this.spent}, seed ${SEED}`)
})

Then('the budget refused further requests with {string}', function (this: BudgetWorld, kind: string) {
  assert.deepEqual([...this.refusals], [kind])
})

Then('the object API shows {int} micros of the budget reserved', function (this: BudgetWorld, micros: number) {
  const spec = this.objectApi.objects('Spend')[0]!.spec as SpendSpec
  assert.equal(spec.reservedMicros, micros)
  assert.deepEqual(spec.holders, {})
})

Then('budget chunks of any size stay within any limit', function () {
  console.log(`budget property seed ${SEED}`)
  const step = fc.record({ holder: fc.constantFrom('a', 'b', 'c'), neededMicros: fc.nat(500), returnsChunk: fc.boolean() })
  fc.assert(fc.property(fc.nat(5000), fc.array(step, { maxLength: 60 }), (limitMicros, steps) => {
    let spend = spendInPeriod(undefined, TEAM, 0)
    for (const { holder, neededMicros, returnsChunk } of steps) {
      const chunk = chunkSize({ spend, limitMicros, chunkShare: 0.02, neededMicros })
      assert.ok(chunk === 0 || chunk >= neededMicros)
      spend = withReservation(spend, holder, chunk)
      const unused = Math.max(0, (spend.holders[holder] ?? 0) - neededMicros)
      if (returnsChunk) spend = withoutHolder(spend, holder, unused)
      assert.ok(spend.reservedMicros >= 0 && spend.reservedMicros <= limitMicros)
    }
  }), { seed: SEED })
})
