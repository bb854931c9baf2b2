/**
 * Cascade: the cheapest way through a model's tiers that keeps the contract's quality target, learned per team and
 * class of request. A tier that is not good enough is tried on a bounded share of requests, and the answer is then
 * escalated, so that learning costs money but no quality.
 */
import type { VersionOutcome } from '../routing/types.ts'
import { createLru } from '../session/lru.ts'
import { DEFAULT_POLICY, MAX_LEARNED_KEYS, PLAN_REFRESH_OBSERVATIONS } from './constants.ts'
import { createExploration } from './exploration.ts'
import { createLearner, type VersionKey } from './learner.ts'
import { choosePlan, escalates, type Plan, type TierEstimate } from './plan.ts'
import type { Cascade, CascadePolicy, CascadeQuestion, Tier } from './types.ts'

export type * from './types.ts'
export { DEFAULT_POLICY } from './constants.ts'

export interface CascadeOptions {
  policy?: Partial<CascadePolicy>
  random?: () => number
}

interface CachedPlans {
  plan: Plan
  /** Plan if the estimates are too low; what it would save is worth learning about. */
  optimistic: Plan
  observations: number
}

export function createCascade ({ policy: changes = {}, random = Math.random }: CascadeOptions = {}): Cascade {
  const policy = { ...DEFAULT_POLICY, ...changes }
  const learner = createLearner(policy)
  const exploration = createExploration(random)
  const plans = createLru<CachedPlans>(MAX_LEARNED_KEYS)
  const observations = createLru<number>(MAX_LEARNED_KEYS)

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
    const choose = (margin: number) => choosePlan({ tiers, target: qualityTarget, margin, mayEscalate: mayEscalate(question) })
    const fresh = { plan: choose(policy.margin), optimistic: choose(-policy.optimism), observations: seen }
    plans.set(cacheKey, fresh)
    return fresh
  }

  return {
    decide (question) {
      const { plan, optimistic } = plansFor(question)
      const savingMicros = plan.cost - optimistic.cost
      const isWorthwhile = savingMicros > plan.cost * policy.worthwhileSaving && mayEscalate(question)
      const explores = exploration.spend(question.team, question.explorationShare, isWorthwhile ? savingMicros : 0)
      // An answer below the plan's tier is escalated; above it the request is easier than those escalated to the tier.
      if (explores) return { tier: optimistic.start, explores, why: 'explores a tier that may save cost' }
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

function classKey ({ team, requestClass }: { team: string, requestClass: string }): string {
  return JSON.stringify([team, requestClass])
}
