/**
 * Chooses a plan from estimates: the tier that answers first and, for each tier, the confidence from which its answers
 * are kept. The cheapest plan whose quality is above the target by the margin wins.
 */
import { CONFIDENCE_BANDS, STEPS_PER_BAND } from './constants.ts'
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
  /** For each tier from `start` on: answers of lower confidence are escalated. 0 keeps every answer. */
  keepFrom: number[]
  quality: Pick<Estimate, 'mean' | 'variance'>
  cost: number
}

interface ChooseOptions {
  tiers: TierEstimate[]
  target: number
  /** Standard errors by which the quality must exceed the target. */
  margin: number
  mayEscalate: boolean
}

/** What a tier contributes when it keeps the answers from one confidence on. */
interface Kept {
  keepFrom: number
  /** Share of answers that are escalated. */
  escalated: number
  mean: number
  variance: number
}

export function choosePlan ({ tiers, target, margin, mayEscalate }: ChooseOptions): Plan {
  const safe = ({ quality }: Plan) => quality.mean - margin * Math.sqrt(quality.variance)
  const plans = tiers.flatMap((_, start) => plansFrom(tiers, start, false))

  function plansFrom (from: TierEstimate[], start: number, escalated: boolean): Plan[] {
    const tier = from[start]!
    const { bands, quality } = escalated ? tier.escalated : tier.first
    const keepAll = { start, keepFrom: [0], quality, cost: tier.cost }
    if (!mayEscalate || start + 1 >= from.length) return [keepAll]
    const rest = withoutWorse(plansFrom(from, start + 1, true), safe)
    return [keepAll, ...keptParts(bands).flatMap(kept => rest.map(next => join(start, tier.cost, kept, next)))]
  }

  // Without a target every plan will do, whatever is known about it.
  const good = plans.filter(plan => target <= 0 || safe(plan) >= target)
  // When none is known to reach the target, the best expectation is the honest choice.
  if (good.length === 0) return plans.reduce((best, plan) => plan.quality.mean > best.quality.mean ? plan : best)
  return good.reduce((best, plan) => plan.cost < best.cost ? plan : best)
}

/** Leaves out plans that another one beats in both cost and quality, so that deep cascades stay cheap to plan. */
function withoutWorse (plans: Plan[], safe: (plan: Plan) => number): Plan[] {
  const byCost = [...plans].sort((a, b) => a.cost - b.cost || safe(b) - safe(a))
  let best = -Infinity
  return byCost.filter(plan => {
    if (safe(plan) <= best) return false
    best = safe(plan)
    return true
  })
}

/** All thresholds above 0, from the highest confidence down. Answers without a confidence are always escalated. */
function keptParts (bands: Band[]): Kept[] {
  const parts: Kept[] = []
  let escalated = 1
  let mean = 0
  let variance = 0
  for (let band = CONFIDENCE_BANDS - 1; band >= 0; band--) {
    const { share, quality } = bands[band]!
    for (let step = STEPS_PER_BAND - 1; step >= 0; step--) {
      escalated -= share / STEPS_PER_BAND
      mean += share * quality.mean / STEPS_PER_BAND
      const part = share * (STEPS_PER_BAND - step) / STEPS_PER_BAND
      const keepFrom = (band + step / STEPS_PER_BAND) / CONFIDENCE_BANDS
      if (keepFrom > 0) parts.push({ keepFrom, escalated, mean, variance: variance + part * part * quality.variance })
    }
    variance += share * share * quality.variance
  }
  return parts
}

function join (start: number, cost: number, { keepFrom, escalated, mean, variance }: Kept, next: Plan): Plan {
  return {
    start,
    keepFrom: [keepFrom, ...next.keepFrom],
    quality: {
      mean: mean + escalated * next.quality.mean,
      variance: variance + escalated * escalated * next.quality.variance
    },
    cost: cost + escalated * next.cost
  }
}

/** Whether a plan escalates an answer with this confidence. */
export function escalates (threshold: number, confidence: number | undefined): boolean {
  if (threshold <= 0) return false
  return confidence === undefined || Number.isNaN(confidence) || confidence < threshold
}
