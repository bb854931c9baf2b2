/**
 * Chooses a plan from estimates: the tier that answers first and, for each tier, the lowest band of confidence whose
 * answers are kept. The cheapest plan whose quality is above the target by the margin wins.
 */
import { CONFIDENCE_BANDS, NO_CONFIDENCE } from './constants.ts'
import type { Estimate } from './estimate.ts'
import type { Band } from './learner.ts'

/** Estimates of one tier when it answers first, and when the request was escalated to it. */
export interface TierEstimate {
  cost: number
  first: { bands: Band[], quality: Estimate }
  escalated: { bands: Band[], quality: Estimate }
}

export interface Plan {
  start: number
  /** For each tier from `start` on: answers of lower bands are escalated. 0 keeps every answer. */
  keepFrom: number[]
  quality: Estimate
  cost: number
}

interface ChooseOptions {
  tiers: TierEstimate[]
  target: number
  margin: number
  mayEscalate: boolean
}

export function choosePlan ({ tiers, target, margin, mayEscalate }: ChooseOptions): Plan {
  const plans = tiers.flatMap((_, start) => plansFrom(tiers, start, false, mayEscalate))
  const good = plans.filter(plan => plan.quality.mean - margin * Math.sqrt(plan.quality.variance) >= target)
  // When none is known to reach the target, the best expectation is the honest choice.
  if (good.length === 0) return plans.reduce((best, plan) => plan.quality.mean > best.quality.mean ? plan : best)
  return good.reduce((best, plan) => plan.cost < best.cost ? plan : best)
}

function plansFrom (tiers: TierEstimate[], start: number, escalated: boolean, mayEscalate: boolean): Plan[] {
  const tier = tiers[start]!
  const { bands, quality } = escalated ? tier.escalated : tier.first
  const keepAll = { start, keepFrom: [0], quality, cost: tier.cost }
  if (!mayEscalate || start + 1 >= tiers.length) return [keepAll]
  const rest = plansFrom(tiers, start + 1, true, mayEscalate)
  const thresholds = Array.from({ length: CONFIDENCE_BANDS - 1 }, (_, index) => index + 1)
  const escalating = thresholds.flatMap(keepFrom => rest.map(next => joinPlans(start, tier.cost, bands, keepFrom, next)))
  return [keepAll, ...escalating]
}

/** Plan that keeps the answers from one band on and continues with `next` for the others. */
function joinPlans (start: number, cost: number, bands: Band[], keepFrom: number, next: Plan): Plan {
  let mean = 0
  let variance = 0
  let escalatedShare = 0
  bands.forEach(({ share, quality }, band) => {
    // Without a confidence nothing speaks for keeping the answer.
    if (band < keepFrom || band === NO_CONFIDENCE) {
      escalatedShare += share
    } else {
      mean += share * quality.mean
      variance += share * share * quality.variance
    }
  })
  return {
    start,
    keepFrom: [keepFrom, ...next.keepFrom],
    quality: {
      mean: mean + escalatedShare * next.quality.mean,
      variance: variance + escalatedShare * escalatedShare * next.quality.variance
    },
    cost: cost + escalatedShare * next.cost
  }
}
