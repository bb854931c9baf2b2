/**
 * Cascade: the cheapest way through a model's tiers that keeps the contract's quality target, learned per team and
 * class of request. A tier that is not good enough is tried on a bounded share of requests, and the answer is then
 * escalated, so that learning costs money but no quality.
 */
import type { VersionOutcome } from '../routing/types.ts'
import { createLru } from '../session/lru.ts'
import { DEFAULT_POLICY, MAX_LEARNED_KEYS, PLAN_REFRESH_OBSERVATIONS } from './constants.ts'
import type { Estimate } from './estimate.ts'
import { createExploration } from './exploration.ts'
import { createLearner, type VersionKey } from './learner.ts'
import { choosePlan, escalates, type Plan, type TierEstimate } from './plan.ts'
import type { Cascade, CascadePolicy, CascadeQuestion, Tier } from './types.ts'

export type * from './types.ts'
export { DEFAULT_POLICY, PROVEN_RATINGS } from './constants.ts'

export interface CascadeOptions {
  policy?: Partial<CascadePolicy>
  random?: () => number
}

interface CachedPlans {
  plan: Plan
  /** Plan if the estimates are too low; what it would save is worth learning about. */
  optimistic: Plan
  /** Tiers that need ratings before their answers are kept. */
  unproven: number[]
  observations: number
}

export function createCascade ({ policy: changes = {}, random = Math.random }: CascadeOptions = {}): Cascade {
  const policy = { ...DEFAULT_POLICY, ...changes }
  const learner = createLearner(policy)
  const exploration = createExploration(random)
  const plans = createLru<CachedPlans>(MAX_LEARNED_KEYS)
  const observations = createLru<number>(MAX_LEARNED_KEYS)

  /** Whether enough answers of the version were rated in the class, in any team. */
  function isProven ({ team, requestClass }: CascadeQuestion, { version }: Tier): boolean {
    const rated = (escalated: boolean) => learner.ratings({ team, requestClass, version, escalated })
    return rated(false) + rated(true) >= policy.provenRatings
  }

  function estimateTier (question: CascadeQuestion, tier: Tier): TierEstimate {
    const { team, requestClass } = question
    const key = (escalated: boolean): VersionKey => ({ team, requestClass, version: tier.version, escalated })
    const side = (escalated: boolean) => ({
      bands: learner.bands(key(escalated), tier.priorQuality),
      quality: learner.quality(key(escalated), tier.priorQuality)
    })
    const cost = learner.meanCost(key(false)) ?? learner.meanCost(key(true)) ?? assumedCost(question, tier)
    return { cost, first: side(false), escalated: side(true) }
  }

  function assumedCost ({ promptTokens }: CascadeQuestion, tier: Tier): number {
    return promptTokens * tier.inputMicrosPerToken + policy.assumedOutputTokens * tier.outputMicrosPerToken
  }

  const mayEscalate = ({ deadlineMs }: CascadeQuestion) => deadlineMs >= 2 * policy.minimumTimeLeftMs

  function plansFor (question: CascadeQuestion): CachedPlans {
    const { team, requestClass, qualityTarget } = question
    const versions = question.tiers.map(tier => tier.version)
    const cacheKey = JSON.stringify([team, requestClass, versions, qualityTarget, mayEscalate(question)])
    const seen = observations.get(classKey(question)) ?? 0
    const cached = plans.get(cacheKey)
    if (cached && seen - cached.observations < PLAN_REFRESH_OBSERVATIONS) return cached
    const tiers = question.tiers.map(tier => estimateTier(question, tier))
    // The last tier is what remains when the others are not good enough, so nothing is gained by doubting it.
    const unproven = question.tiers.slice(0, -1).flatMap((tier, index) => isProven(question, tier) ? [] : [index])
    const doubted = tiers.map((tier, index) => unproven.includes(index) ? withoutKnowledge(tier) : tier)
    const common = { target: qualityTarget, mayEscalate: mayEscalate(question) }
    const fresh = {
      plan: choosePlan({ ...common, tiers: doubted, margin: policy.margin }),
      optimistic: choosePlan({ ...common, tiers, margin: -policy.optimism }),
      unproven,
      observations: seen
    }
    plans.set(cacheKey, fresh)
    return fresh
  }

  return {
    decide (question) {
      const { plan, optimistic, unproven } = plansFor(question)
      const promised = plan.cost - optimistic.cost
      const worthwhile = promised > plan.cost * policy.worthwhileSaving ? promised : 0
      const savingMicros = unproven.length > 0 && worthwhile > 0 ? Infinity : worthwhile
      const explores = exploration.spend(question.team, question.explorationShare, mayEscalate(question) ? savingMicros : 0)
      const explored = unproven[Math.floor(random() * unproven.length)] ?? optimistic.start
      if (explores) return { tier: explored, explores, why: 'explores a tier that may save cost' }
      const why = `expected quality ${plan.quality.mean.toFixed(3)}, target ${question.qualityTarget}`
      return { tier: plan.start, explores, why }
    },
    shouldEscalate (question) {
      const { tier, tiers, confidence, remainingMs } = question
      if (tier + 1 >= tiers.length || remainingMs < policy.minimumTimeLeftMs) return false
      const { start, keepFrom } = plansFor(question).plan
      if (tier < start) return true
      return escalates(keepFrom[tier - start] ?? 0, confidence)
    },
    next (question, tier) {
      return Math.min(question.tiers.length - 1, Math.max(plansFor(question).plan.start, tier + 1))
    },
    observe (outcome: VersionOutcome) {
      learner.observe(outcome)
      const key = classKey(outcome)
      observations.set(key, (observations.get(key) ?? 0) + 1)
    }
  }
}

/** An estimate that rests on the configured expectation only: no plan keeps such answers for their quality. */
function withoutKnowledge (tier: TierEstimate): TierEstimate {
  const unknown = (estimate: Estimate) => ({ ...estimate, variance: Infinity })
  const side = ({ bands, quality }: TierEstimate['first']) => ({
    bands: bands.map(({ share, quality: ofBand }) => ({ share, quality: unknown(ofBand) })), quality: unknown(quality)
  })
  return { ...tier, first: side(tier.first), escalated: side(tier.escalated) }
}

function classKey ({ team, requestClass }: { team: string, requestClass: string }): string {
  return JSON.stringify([team, requestClass])
}
