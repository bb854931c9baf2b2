import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createMemoryObjectApi, type MemoryObjectApi, type StoreFault } from '../../src/bench/memory-object-api.ts'
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
  store: MemoryObjectApi
  budgets: Budget[]
  spent: number
  refusals: Set<string>
}

function setLimit (config: MemoryConfig, spendLimitMicros: number): void {
  const keys = [{ sha256: '0'.repeat(64) }]
  config.set('Contract', TEAM, { team: TEAM, keys, models: ['kit'], spendLimitMicros, spendPeriodMs: PERIOD_MS })
}

function randomFault (fault: string, random: () => number): () => StoreFault | undefined {
  const answers = fault.includes('lost answers') ? 0.15 : 0
  const writes = fault.includes('lost writes') ? 0.15 : 0
  return () => {
    const drawn = random()
    if (drawn < answers) return 'lost_answer'
    return drawn < answers + writes ? 'lost_write' : undefined
  }
}

/** Spends in a loop until the budget refuses or enough is spent. */
async function spendAll (world: BudgetWorld, budget: Budget, part: number, until: number): Promise<void> {
  while (world.spent < until) {
    try {
      const reservation = await budget.reserve(TEAM, part)
      world.spent += part
      await world.clock.sleep(1)
      reservation.settle(part)
    } catch (error) {
      if (!(error instanceof LacewingError)) throw error
      world.refusals.add(error.kind)
      return
    }
  }
}

async function whileTimePasses (world: BudgetWorld, work: Promise<unknown>[]): Promise<void> {
  const state = { done: false }
  const all = Promise.all(work).finally(() => { state.done = true })
  while (!state.done) await world.clock.advance(50)
  await all
}

Given(/^budget of (\d+) micros on (\d+) VMs with (.+)$/, function (this: BudgetWorld, limit: string, vms: string, fault: string) {
  console.log(`budget seed ${SEED}`)
  const random = createRandom(SEED)
  this.clock = createManualClock({ wallStartMs: 10 * PERIOD_MS })
  this.config = createMemoryConfig()
  this.store = createMemoryObjectApi({ clock: this.clock, delayMs: () => 1 + random() * 8 })
  const draw = randomFault(fault, random)
  this.store.setFault(call => call === 'get' ? undefined : draw())
  this.spent = 0
  this.refusals = new Set()
  setLimit(this.config, Number(limit))
  this.budgets = Array.from({ length: Number(vms) }, (_, index) => createBudget({
    identity: { vm: brandId(`vm-${index}`), boot: brandId(`boot-${index}`), region: brandId('bagmati'), dataCentre: brandId('bag-a') },
    objectApi: this.store,
    view: this.config.view,
    random,
    clock: this.clock,
    metrics: createMetrics(),
    log: silentLog
  }))
})

When('budget is spent by all VMs at once in parts of {int} micros until none is left', async function (this: BudgetWorld, part: number) {
  // A VM may be refused while another one still holds a chunk, so each tries again after the recheck time.
  for (let round = 0; round < 3; round++) {
    await whileTimePasses(this, this.budgets.map(budget => spendAll(this, budget, part, Infinity)))
    await this.clock.advance(1500)
  }
})

When('budget is spent by all VMs at once in parts of {int} micros until {int} micros are spent', async function (this: BudgetWorld, part: number, until: number) {
  await whileTimePasses(this, this.budgets.map(budget => spendAll(this, budget, part, until)))
})

When('budget has its limit changed to {int}', function (this: BudgetWorld, limit: number) {
  setLimit(this.config, limit)
})

When('budget enters the next period', async function (this: BudgetWorld) {
  await this.clock.advance(PERIOD_MS)
})

When(/^budget of one VM spends (\d+) micros and (the object API fails|dies)$/, async function (this: BudgetWorld, micros: string, event: string) {
  await whileTimePasses(this, [spendAll(this, this.budgets[0]!, Number(micros), Number(micros))])
  await this.clock.advance(100)
  if (event === 'dies') this.budgets.shift()
  else this.store.setFault(() => 'unavailable')
})

When('budget of every VM spends {int} micros of an estimate of {int} and shuts down', async function (this: BudgetWorld, cost: number, estimate: number) {
  await whileTimePasses(this, this.budgets.map(async budget => {
    const reservation = await budget.reserve(TEAM, estimate)
    reservation.settle(cost)
    reservation.settle(cost)
    await budget.returnChunks()
  }))
})

Then('budget spent at most {int} micros and at least {int}', function (this: BudgetWorld, most: number, least: number) {
  assert.ok(this.spent <= most && this.spent >= least, `spent ${this.spent}, seed ${SEED}`)
})

Then('budget refused the rest as {string}', function (this: BudgetWorld, kind: string) {
  assert.deepEqual([...this.refusals], [kind])
})

Then('budget has {int} micros reserved in the object API', function (this: BudgetWorld, micros: number) {
  const spec = this.store.objects('Spend')[0]!.spec as SpendSpec
  assert.equal(spec.reservedMicros, micros)
  assert.deepEqual(spec.holders, {})
})

Then('budget chunks of any sizes stay within any limit', function () {
  console.log(`budget property seed ${SEED}`)
  const step = fc.record({ holder: fc.constantFrom('a', 'b', 'c'), needed: fc.nat(500), returns: fc.boolean() })
  fc.assert(fc.property(fc.nat(5000), fc.array(step, { maxLength: 60 }), (limitMicros, steps) => {
    let spend = spendInPeriod(undefined, TEAM, 0)
    for (const { holder, needed, returns } of steps) {
      const chunk = chunkSize({ spend, limitMicros, chunkShare: 0.02, neededMicros: needed })
      assert.ok(chunk === 0 || chunk >= needed)
      spend = withReservation(spend, holder, chunk)
      const unused = Math.max(0, (spend.holders[holder] ?? 0) - needed)
      if (returns) spend = withoutHolder(spend, holder, unused)
      assert.ok(spend.reservedMicros >= 0 && spend.reservedMicros <= limitMicros)
    }
  }), { seed: SEED })
})
