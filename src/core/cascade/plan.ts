/**
 * Chooses a plan from the estimates: the first tier and, for each tier, the confidence threshold from which its answers
 * are kept. The result is the cheapest plan whose quality exceeds the target by the margin.
 */
import { CONFIDENCE_BANDS, STEPS_PER_BAND } from './constants.ts'
import type { Estimate } from './estimate.ts'
import type { Band } from './learner.ts'

/** Estimates of a tier as the first tier of a request, and for requests escalated to it. */
export interface TierEstimate {
  cost: number
  first: { bands: Band[], quality: Estimate }
  escalated: { bands: Band[], quality: Estimate }
}

export interface Plan {
  /** Index of the first tier. */
  start: number
  /** For each tier from `start` on, the confidence below which answers are escalated; 0 keeps every answer. */
  thresholds: number[]
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

/** What a tier contributes to a plan's quality if it keeps the answers whose confidence reaches a threshold. */
interface ThresholdOption {
  threshold: number
  /** Share of answers that are escalated. */
  escalated: number
  /** Expected quality of the kept answers, multiplied by their share. */
  mean: number
  variance: number
}

export function choosePlan ({ tiers, target, margin, mayEscalate }: ChooseOptions): Plan {
  const lowerBound = ({ quality }: Plan) => quality.mean - margin * Math.sqrt(quality.variance)
  const plans = tiers.flatMap((_, start) => plansFrom(tiers, start, false))

  function plansFrom (from: TierEstimate[], start: number, escalated: boolean): Plan[] {
    const tier = from[start]!
    const { bands, quality } = escalated ? tier.escalated : tier.first
    const keepAll = { start, thresholds: [0], quality, cost: tier.cost }
    if (!mayEscalate || start + 1 >= from.length) return [keepAll]
    const continuations = withoutDominated(plansFrom(from, start + 1, true), lowerBound)
    return [keepAll, ...thresholdOptions(bands).flatMap(option => continuations.map(next => combine(start, tier.cost, option, next)))]
  }

  // Without a target every plan is feasible, whatever its estimate.
  const feasible = plans.filter(plan => target <= 0 || lowerBound(plan) >= target)
  // If no plan is certain enough to reach the target, take the one with the highest expected quality.
  if (feasible.length === 0) return plans.reduce((best, plan) => plan.quality.mean > best.quality.mean ? plan : best)
  return feasible.reduce((best, plan) => plan.cost < best.cost ? plan : best)
}

/** Removes plans that another plan dominates in cost and quality, so that planning deep cascades stays cheap. */
function withoutDominated (plans: Plan[], lowerBound: (plan: Plan) => number): Plan[] {
  const byCost = [...plans].sort((a, b) => a.cost - b.cost || lowerBound(b) - lowerBound(a))
  let best = -Infinity
  return byCost.filter(plan => {
    if (lowerBound(plan) <= best) return false
    best = lowerBound(plan)
    return true
  })
}

/** Options for all thresholds above 0, in descending order. Answers without a confidence are always escalated. */
function thresholdOptions (bands: Band[]): ThresholdOption[] {
  const options: ThresholdOption[] = []
  let escalated = 1
  let mean = 0
  let variance = 0
  for (let band = CONFIDENCE_BANDS - 1; band >= 0; band--) {
    const { share, quality } = bands[band]!
    for (let step = STEPS_PER_BAND - 1; step >= 0; step--) {
      escalated -= share / STEPS_PER_BAND
      mean += share * quality.mean / STEPS_PER_BAND
      const includedShare = share * (STEPS_PER_BAND - step) / STEPS_PER_BAND
      const threshold = (band + step / STEPS_PER_BAND) / CONFIDENCE_BANDS
      if (threshold > 0) options.push({ threshold, escalated, mean, variance: variance + includedShare * includedShare * quality.variance })
    }
    variance += share * share * quality.variance
  }
  return options
}

function combine (start: number, cost: number, { threshold, escalated, mean, variance }: ThresholdOption, next: Plan): Plan {
  return {
    start,
    thresholds: [threshold, ...next.thresholds],
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
