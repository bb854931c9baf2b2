/**
 * Cascade: the cheapest way through a model's tiers that keeps the contract's quality target, learned per team and
 * class of request. A tier that is not good enough is tried on a bounded share of requests, and the answer is then
 * escalated, so that learning costs money but no quality.
 */
import type { VersionOutcome } from '../routing/types.ts'
import { createLru } from '../session/lru.ts'
import { DEFAULT_POLICY, MAX_LEARNED_KEYS, PLAN_REFRESH_OBSERVATIONS } from './constants.ts'
import { createLearner, type VersionKey } from './learner.ts'
import { choosePlan, escalates, type Plan, type TierEstimate } from './plan.ts'
import type { Cascade, CascadePolicy, CascadeQuestion, Tier } from './types.ts'

export type * from './types.ts'
export { DEFAULT_POLICY } from './constants.ts'

export interface CascadeOptions {
  policy?: Partial<CascadePolicy>
  random?: () => number
}

interface CachedPlan { plan: Plan, observations: number }

export function createCascade ({ policy: changes = {}, random = Math.random }: CascadeOptions = {}): Cascade {
  const policy = { ...DEFAULT_POLICY, ...changes }
  const learner = createLearner(policy)
  const plans = createLru<CachedPlan>(MAX_LEARNED_KEYS)
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

  function planFor (question: CascadeQuestion): Plan {
    const mayEscalate = question.deadlineMs >= 2 * policy.minimumTimeLeftMs
    const versions = question.tiers.map(tier => tier.version)
    const cacheKey = JSON.stringify([question.team, question.requestClass, versions, question.qualityTarget, mayEscalate])
    const seen = observations.get(classKey(question)) ?? 0
    const cached = plans.get(cacheKey)
    if (cached && seen - cached.observations < PLAN_REFRESH_OBSERVATIONS) return cached.plan
    const tiers = question.tiers.map(tier => estimateTier(question, tier))
    const plan = choosePlan({ tiers, target: question.qualityTarget, margin: policy.margin, mayEscalate })
    plans.set(cacheKey, { plan, observations: seen })
    return plan
  }

  return {
    decide (question) {
      const { start, quality } = planFor(question)
      const mayExplore = start > 0 && question.deadlineMs >= 2 * policy.minimumTimeLeftMs
      if (mayExplore && random() < question.explorationShare) {
        return { tier: Math.floor(random() * start), explores: true, why: 'explores a cheaper tier; the answer will be escalated' }
      }
      return { tier: start, explores: false, why: `expected quality ${quality.mean.toFixed(3)}, target ${question.qualityTarget}` }
    },
    shouldEscalate (question) {
      const { tier, tiers, confidence, remainingMs } = question
      if (tier + 1 >= tiers.length || remainingMs < policy.minimumTimeLeftMs) return false
      const { start, keepFrom } = planFor(question)
      if (tier < start) return true
      return escalates(keepFrom[tier - start] ?? 0, confidence)
    },
    next (question, tier) {
      return Math.min(question.tiers.length - 1, Math.max(planFor(question).start, tier + 1))
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
