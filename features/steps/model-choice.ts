import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { FIXED_THRESHOLD } from '../../src/bench/model-choice.ts'
import { DAYS, KINDS, LARGEST, MEASURES, runWorkload, SMALLEST, SMALLEST_FIRST, type Day, type Measure, type Workload } from '../../src/bench/model-workload.ts'
import { createModelChoice, type ChoiceRequest, type EscalationAllowance, type ModelChoice } from '../../src/core/cascade/model-choice.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type ServiceId } from '../../src/core/ids/index.ts'

const SEED = 20261206
const REQUEST: ChoiceRequest = {
  service: brandId<ServiceId>('lm'), route: 'tag', models: [SMALLEST, LARGEST], requestedModel: undefined, promptTokens: 100, outputTokens: 10, targetLatencyMs: 1000
}
const measure = (name: string, workload: Workload) => MEASURES[name as Measure](runWorkload(workload))

interface WorkloadWorld { workload: Workload }

Given(/^an? (\w+) model workload of (\d+) VMs, engines with (\d+) slots and (\w+) confidence$/, function (this: WorkloadWorld, day: string, vms: string, slots: string, confidence: Workload['confidence']) {
  this.workload = { ...DAYS[day as Day], seed: SEED, vms: Number(vms), slots: Number(slots), confidence }
})

Then(/^its (.+) is at least ([\d.]+) and its (.+) at most ([\d.]+)$/, function (this: WorkloadWorld, name: string, min: string, otherName: string, max: string) {
  const [value, other] = [measure(name, this.workload), measure(otherName, this.workload)]
  assert.ok(value >= Number(min) && other <= Number(max), `seed ${SEED}: ${value} and ${other}`)
})

Then(/^its (.+) is at most ([\d.]+), and more with the smallest model always first$/, function (this: WorkloadWorld, name: string, max: string) {
  const [value, before] = [measure(name, this.workload), measure(name, { ...this.workload, replaceChoice: SMALLEST_FIRST })]
  assert.ok(value <= Number(max) && before > Number(max), `seed ${SEED}: ${value} and ${before}`)
})

Then('with the smallest model always first, fewer hopeless answers are kept than with a fixed threshold', function (this: WorkloadWorld) {
  const [falling, fixed] = [SMALLEST_FIRST, FIXED_THRESHOLD].map(replaceChoice => runWorkload({ ...this.workload, replaceChoice }).hopelessKept) as [number, number]
  assert.ok(falling < 0.8 * fixed, `seed ${SEED}: ${falling} and ${fixed}`)
})

Then(/^the share of tags that start with the largest model is over (\d+) times that of long requests$/, function (this: WorkloadWorld, factor: string) {
  const { largestFirstByKind } = runWorkload(this.workload)
  const shareOf = (route: string) => largestFirstByKind[route]! / KINDS.find(kind => kind.route === route)!.share
  assert.ok(shareOf('tag') > Number(factor) * shareOf('long'), `seed ${SEED}: ${JSON.stringify(largestFirstByKind)}`)
})

interface ChoiceWorld { clock: ManualClock, load: number, slots: number, allowance: EscalationAllowance, choice: ModelChoice }

Given(/^a model choice without retries that has seen (\d+) poor and (\d+) good answers of the small model(?: and draws ([\d.]+))?$/, function (this: ChoiceWorld, poor: string, good: string, point: string | null) {
  Object.assign(this, { clock: createManualClock(), load: 0, slots: 64, allowance: { left: 0, limit: 10 } })
  this.choice = createModelChoice({ meanLoad: () => this.load, slots: () => this.slots, cost: () => undefined, allowance: () => this.allowance, clock: this.clock, random: () => Number(point ?? 0.05) })
  for (let i = 0; i < Number(poor) + Number(good); i++) this.choice.judge(REQUEST, { model: SMALLEST, confidence: i < Number(poor) ? 0 : 90, remainingMs: 5000 })
})

When(/^the mean load of engines with (\d+) slots is ([\d.]+), and ([\d.]+) after (\d+) ms$/, async function (this: ChoiceWorld, slots: string, before: string, load: string, ms: string) {
  Object.assign(this, { slots: Number(slots), load: Number(before) })
  this.choice.first(REQUEST)
  await this.clock.advance(Number(ms))
  this.load = Number(load)
})

When(/^the large model takes (\d+) ms to its first event and (\d+) ms in all, and (\d+) ms pass$/, async function (this: ChoiceWorld, firstMs: string, endMs: string, ms: string) {
  this.choice.recordFirstEvent(REQUEST, LARGEST, Number(firstMs))
  this.choice.recordEnd(REQUEST, LARGEST, Number(endMs))
  await this.clock.advance(Number(ms))
})

Then(/^a request starts with the (\w+) model$/, function (this: ChoiceWorld, model: string) { assert.equal(this.choice.first(REQUEST).model, model) })

Then(/^a poor answer with (\d+) ms left is judged (\w+) while retries are left$/, function (this: ChoiceWorld, ms: string, verdict: string) {
  this.allowance = { left: 10, limit: 10 }
  assert.equal(this.choice.judge(REQUEST, { model: SMALLEST, confidence: 0, remainingMs: Number(ms) }), verdict)
})

Then('the model choice has its properties for any requests, loads and retries', function () {
  console.log(`model choice property seed ${SEED}`)
  const percent = fc.double({ min: 0, max: 100, noNaN: true })
  const seen = fc.array(fc.tuple(fc.constantFrom(SMALLEST, LARGEST), percent), { maxLength: 80 })
  const state = fc.record({ load: fc.double({ min: 0, max: 40, noNaN: true }), left: fc.double({ min: -5, max: 40, noNaN: true }), limit: fc.double({ min: 0, max: 60, noNaN: true }), point: fc.double({ min: 0, max: 0.99, noNaN: true }) })
  fc.assert(fc.property(seen, state, percent, percent, fc.option(fc.constant(SMALLEST), { nil: undefined }), (answers, { load, left, limit, point }, a, b, requestedModel) => {
    const choice = createModelChoice({ meanLoad: () => load, slots: () => undefined, cost: () => undefined, allowance: () => ({ left, limit }), clock: createManualClock(), random: () => point })
    for (const [model, confidence] of answers) choice.judge(REQUEST, { model, confidence, remainingMs: 5000 })
    const judge = (confidence: number | undefined, model = SMALLEST, requested = requestedModel) => choice.judge({ ...REQUEST, requestedModel: requested }, { model, confidence, remainingMs: 5000 }) === 'low_confidence'
    const first = choice.first({ ...REQUEST, requestedModel }).model!
    assert.ok(requestedModel === undefined ? REQUEST.models.includes(first) : first === requestedModel)
    assert.equal(judge(undefined, SMALLEST, undefined) || judge(0, LARGEST, undefined) || judge(0, SMALLEST, SMALLEST), false)
    if (judge(Math.max(a, b))) assert.ok(judge(Math.min(a, b)))
  }), { seed: SEED, numRuns: 200 })
})
