import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createRandom } from '../../src/bench/random.ts'
import { createCascade, MINIMUM_RATINGS, type Cascade, type CascadeRequest } from '../../src/core/cascade/index.ts'
import { CONFIDENCE_BANDS } from '../../src/core/cascade/constants.ts'
import { choosePlan, type TierEstimate } from '../../src/core/cascade/plan.ts'
import { brandId } from '../../src/core/ids/index.ts'

const SEED = 20261204

interface CascadeWorld {
  cascade: Cascade
  request: CascadeRequest
  random: () => number
}

function observeRating ({ cascade, request }: CascadeWorld, tier: number, confidence: number, rating: number): void {
  const { team, requestClass, tiers } = request
  const version = tiers[tier]!.version
  const outcome = { team, requestClass, version, failed: false, confidence, costMicros: tier === 0 ? 400 : 1000 }
  cascade.observe(outcome)
  cascade.observe({ ...outcome, rating })
}

function countStartTiers ({ cascade, request }: CascadeWorld, count = 1000): number[] {
  const tiers = [0, 0]
  for (let index = 0; index < count; index++) tiers[cascade.decide(request).tier]!++
  return tiers
}

Given('cascade of a cheap and an expensive tier with target {float}', function (this: CascadeWorld, qualityTarget: number) {
  console.log(`cascade seed ${SEED}`)
  this.random = createRandom(SEED)
  this.cascade = createCascade({ random: this.random, policy: { minimumRatings: MINIMUM_RATINGS } })
  const tier = (version: string, price: number, priorQuality: number) =>
    ({ version: brandId<CascadeRequest['tiers'][number]['version']>(version), inputMicrosPerToken: price, outputMicrosPerToken: price, priorQuality })
  this.request = {
    team: brandId('kits'),
    requestClass: 'teacher',
    qualityTarget,
    explorationShare: 0.02,
    promptTokens: 100,
    deadlineMs: 60_000,
    tiers: [tier('small', 1, 0.6), tier('large', 10, 0.95)]
  }
})

When('cascade has observed {int} answers rated {float} for the cheap and {float} for the expensive tier', function (this: CascadeWorld, count: number, cheap: number, expensive: number) {
  for (let index = 0; index < count; index++) {
    observeRating(this, 0, this.random(), cheap)
    observeRating(this, 1, this.random(), expensive)
  }
})

When('cascade has observed {int} answers of the cheap tier whose rating equals their confidence', function (this: CascadeWorld, count: number) {
  for (let index = 0; index < count; index++) {
    const confidence = this.random()
    observeRating(this, 0, confidence, confidence)
    observeRating(this, 1, 0.9, 0.95)
  }
})

Then('cascade starts most requests at tier {int}', function (this: CascadeWorld, tier: number) {
  const counts = countStartTiers(this)
  assert.ok(counts[tier]! >= 970, `${counts.join(' ')}, seed ${SEED}`)
})

Then('cascade escalates an answer of confidence {float} and keeps one of {float}', function (this: CascadeWorld, low: number, high: number) {
  const escalationRequest = { ...this.request, tier: 0, remainingMs: 30_000 }
  assert.equal(this.cascade.shouldEscalate({ ...escalationRequest, confidence: low }), true)
  assert.equal(this.cascade.shouldEscalate({ ...escalationRequest, confidence: undefined }), true)
  assert.equal(this.cascade.shouldEscalate({ ...escalationRequest, confidence: high }), false)
})

Then('cascade starts at most {int} in 100 requests at tier 0 and escalates all of them', function (this: CascadeWorld, share: number) {
  const [explored] = countStartTiers(this, 10_000)
  assert.ok(explored! > 0 && explored! <= share * 100, `${explored}, seed ${SEED}`)
  assert.equal(this.cascade.shouldEscalate({ ...this.request, tier: 0, remainingMs: 30_000, confidence: 1 }), true)
})

Then(/^cascade keeps an answer of confidence ([\d.]+) with (no time left|no more expensive tier)$/, function (this: CascadeWorld, confidence: string, condition: string) {
  const tier = condition === 'no more expensive tier' ? 1 : 0
  const remainingMs = condition === 'no time left' ? 500 : 30_000
  assert.equal(this.cascade.shouldEscalate({ ...this.request, tier, remainingMs, confidence: Number(confidence) }), false)
})

Then('cascade plans are the cheapest that reach the target for any estimates', function () {
  console.log(`cascade property seed ${SEED}`)
  const unit = fc.double({ min: 0, max: 1, noNaN: true })
  const quality = fc.record({ mean: unit, variance: fc.double({ min: 0, max: 0.01, noNaN: true }), valueVariance: fc.constant(0.02) })
  const bands = fc.array(quality, { minLength: CONFIDENCE_BANDS + 1, maxLength: CONFIDENCE_BANDS + 1 })
    .map(qualities => qualities.map(estimate => ({ share: 1 / (CONFIDENCE_BANDS + 1), quality: estimate })))
  const qualityEstimate = fc.record({ bands, quality })
  const tier: fc.Arbitrary<TierEstimate> = fc.record({ cost: fc.double({ min: 1, max: 100, noNaN: true }), first: qualityEstimate, escalated: qualityEstimate })
  fc.assert(fc.property(fc.array(tier, { minLength: 1, maxLength: 3 }), unit, (tiers, target) => {
    const plan = choosePlan({ tiers, target, margin: 1, mayEscalate: true })
    const lowerBound = plan.quality.mean - Math.sqrt(plan.quality.variance)
    const sufficientTiers = tiers.filter(({ first }) => first.quality.mean - Math.sqrt(first.quality.variance) >= target)
    if (sufficientTiers.length > 0) assert.ok(lowerBound >= target && plan.cost <= Math.min(...sufficientTiers.map(({ cost }) => cost)))
    if (lowerBound < target) assert.ok(tiers.every(({ first }) => plan.quality.mean >= first.quality.mean))
    assert.equal(plan.thresholds.at(-1), 0)
    assert.ok(plan.start + plan.thresholds.length <= tiers.length)
    assert.equal(choosePlan({ tiers, target, margin: 1, mayEscalate: false }).thresholds.length, 1)
  }), { seed: SEED, numRuns: 60 })
})
