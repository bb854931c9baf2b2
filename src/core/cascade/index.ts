/**
 * Cascade: finds the cheapest plan through the tiers that meets the contract's quality target, learned per team and
 * request class. A bounded share of requests explores a tier that is not known to be good enough. Its answers are then
 * escalated, so that exploration costs money but no quality.
 */
import type { VersionOutcome } from '../routing/types.ts'
import { createLru } from '../session/lru.ts'
import { DEFAULT_POLICY, MAX_LEARNED_KEYS, PLAN_REFRESH_OBSERVATIONS } from './constants.ts'
import type { Estimate } from './estimate.ts'
import { createExploration } from './exploration.ts'
import { createLearner, type VersionKey } from './learner.ts'
import { choosePlan, escalates, type Plan, type TierEstimate } from './plan.ts'
import type { Cascade, CascadePolicy, CascadeRequest, Tier } from './types.ts'

export type * from './types.ts'
export { DEFAULT_POLICY, MINIMUM_RATINGS } from './constants.ts'

export interface CascadeOptions {
  policy?: Partial<CascadePolicy>
  random?: () => number
}

interface CachedPlans {
  /** Plan that requests follow unless they explore. */
  plan: Plan
  /** Plan under the assumption that the estimates are too low; its saving is the value of exploration. */
  optimistic: Plan
  /** Indices of the tiers that need more ratings before their answers are kept. */
  insufficientlyRated: number[]
  /** Number of observations of the class when the plans were computed. */
  observations: number
}

export function createCascade ({ policy: changes = {}, random = Math.random }: CascadeOptions = {}): Cascade {
  const policy = { ...DEFAULT_POLICY, ...changes }
  const learner = createLearner(policy)
  const exploration = createExploration(random)
  const plans = createLru<CachedPlans>(MAX_LEARNED_KEYS)
  const observations = createLru<number>(MAX_LEARNED_KEYS)

  /** Whether enough answers of the version have been rated in the class, over all teams. */
  function hasEnoughRatings ({ team, requestClass }: CascadeRequest, { version }: Tier): boolean {
    const countRatings = (escalated: boolean) => learner.ratings({ team, requestClass, version, escalated })
    return countRatings(false) + countRatings(true) >= policy.minimumRatings
  }

  function estimateTier (request: CascadeRequest, tier: Tier): TierEstimate {
    const { team, requestClass } = request
    const key = (escalated: boolean): VersionKey => ({ team, requestClass, version: tier.version, escalated })
    const estimatesFor = (escalated: boolean) => ({
      bands: learner.bands(key(escalated), tier.priorQuality),
      quality: learner.quality(key(escalated), tier.priorQuality)
    })
    const cost = learner.meanCost(key(false)) ?? learner.meanCost(key(true)) ?? assumedCost(request, tier)
    return { cost, first: estimatesFor(false), escalated: estimatesFor(true) }
  }

  function assumedCost ({ promptTokens }: CascadeRequest, tier: Tier): number {
    return promptTokens * tier.inputMicrosPerToken + policy.assumedOutputTokens * tier.outputMicrosPerToken
  }

  /** Whether the deadline leaves time for a first answer and an escalation. */
  const mayEscalate = ({ deadlineMs }: CascadeRequest) => deadlineMs >= 2 * policy.minimumTimeLeftMs

  function plansFor (request: CascadeRequest): CachedPlans {
    const { team, requestClass, qualityTarget } = request
    const versions = request.tiers.map(tier => tier.version)
    const cacheKey = JSON.stringify([team, requestClass, versions, qualityTarget, mayEscalate(request)])
    const observationCount = observations.get(classKey(request)) ?? 0
    const cached = plans.get(cacheKey)
    if (cached && observationCount - cached.observations < PLAN_REFRESH_OBSERVATIONS) return cached
    const tiers = request.tiers.map(tier => estimateTier(request, tier))
    // The last tier is the fallback when the others are not good enough, so it needs no minimum number of ratings.
    const insufficientlyRated = request.tiers.slice(0, -1).flatMap((tier, index) => hasEnoughRatings(request, tier) ? [] : [index])
    const conservativeTiers = tiers.map((tier, index) => insufficientlyRated.includes(index) ? withUnknownQuality(tier) : tier)
    const common = { target: qualityTarget, mayEscalate: mayEscalate(request) }
    const fresh = {
      plan: choosePlan({ ...common, tiers: conservativeTiers, margin: policy.margin }),
      optimistic: choosePlan({ ...common, tiers, margin: -policy.optimism }),
      insufficientlyRated,
      observations: observationCount
    }
    plans.set(cacheKey, fresh)
    return fresh
  }

  return {
    decide (request) {
      const { plan, optimistic, insufficientlyRated } = plansFor(request)
      const saving = plan.cost - optimistic.cost
      const worthwhileSaving = saving > plan.cost * policy.worthwhileSaving ? saving : 0
      const savingMicros = insufficientlyRated.length > 0 && worthwhileSaving > 0 ? Infinity : worthwhileSaving
      const explores = exploration.shouldExplore(request.team, request.explorationShare, mayEscalate(request) ? savingMicros : 0)
      const exploredTier = insufficientlyRated[Math.floor(random() * insufficientlyRated.length)] ?? optimistic.start
      if (explores) return { tier: exploredTier, explores, reason: 'explores a tier that may save cost' }
      const reason = `expected quality ${plan.quality.mean.toFixed(3)}, target ${request.qualityTarget}`
      return { tier: plan.start, explores, reason }
    },
    shouldEscalate (request) {
      const { tier, tiers, confidence, remainingMs } = request
      if (tier + 1 >= tiers.length || remainingMs < policy.minimumTimeLeftMs) return false
      const { start, thresholds } = plansFor(request).plan
      if (tier < start) return true
      return escalates(thresholds[tier - start] ?? 0, confidence)
    },
    next (request, tier) {
      return Math.min(request.tiers.length - 1, Math.max(plansFor(request).plan.start, tier + 1))
    },
    observe (outcome: VersionOutcome) {
      learner.observe(outcome)
      const key = classKey(outcome)
      observations.set(key, (observations.get(key) ?? 0) + 1)
    }
  }
}

/** Marks a tier's quality as unknown by an infinite variance, so that no plan relies on it to reach the target. */
function withUnknownQuality (tier: TierEstimate): TierEstimate {
  const unknownEstimate = (estimate: Estimate) => ({ ...estimate, variance: Infinity })
  const markUnknown = ({ bands, quality }: TierEstimate['first']) => ({
    bands: bands.map(({ share, quality: bandQuality }) => ({ share, quality: unknownEstimate(bandQuality) })), quality: unknownEstimate(quality)
  })
  return { ...tier, first: markUnknown(tier.first), escalated: markUnknown(tier.escalated) }
}

function classKey ({ team, requestClass }: { team: string, requestClass: string }): string {
  return JSON.stringify([team, requestClass])
}
