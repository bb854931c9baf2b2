/** Types of the cascade, which chooses the first tier for a request and decides when its answer is escalated. */
import type { Version } from '../config/types.ts'
import type { TeamId, VersionId } from '../ids/index.ts'
import type { VersionOutcome } from '../routing/types.ts'

export interface Tier extends Pick<Version, 'inputMicrosPerToken' | 'outputMicrosPerToken' | 'priorQuality'> {
  version: VersionId
}

/** Parameters for the trade-off between quality, cost and time. */
export interface CascadePolicy {
  /** Weight of a version's configured quality, as a number of answers. */
  priorStrength: number
  /** Maximum weight of all teams' statistics for the version in a class of the same name, as a number of answers. */
  poolStrength: number
  /** Weight of the class's quality in each confidence band, as a number of answers. */
  bandStrength: number
  /** Standard errors by which the estimated quality must exceed the target. */
  margin: number
  /**
   * Ratings that a tier needs in the class before its answers are kept instead of those of a more expensive tier. 0 trusts
   * the configured quality, which is appropriate only without a rating service.
   */
  minimumRatings: number
  /** Standard errors added to the estimates in the optimistic plan that guides exploration. */
  optimism: number
  /** Minimum saving of the optimistic plan, as a share of the plan's cost, for exploration. */
  worthwhileSaving: number
  /** Effective number of ratings beyond which older ones decay, so that a change in a version is noticed. */
  memory: number
  /** Minimum remaining time for an escalation, in milliseconds. */
  minimumTimeLeftMs: number
  /** Answer length in tokens assumed until the class has been observed. */
  assumedOutputTokens: number
}

export interface CascadeRequest {
  team: TeamId
  requestClass: string
  qualityTarget: number
  explorationShare: number
  promptTokens: number
  /** Total time for the request, in milliseconds. */
  deadlineMs: number
  /** Permitted tiers, cheapest first. */
  tiers: Tier[]
}

export interface CascadeDecision {
  /** Index of the first tier. */
  tier: number
  /**
   * Whether the request is used for exploration: its answers are rated, and an answer below the plan's first tier is
   * escalated.
   */
  explores: boolean
  reason: string
}

export interface EscalationRequest extends CascadeRequest {
  /** Index of the tier that gave the answer. */
  tier: number
  confidence: number | undefined
  remainingMs: number
}

export interface Cascade {
  decide(request: CascadeRequest): CascadeDecision
  shouldEscalate(request: EscalationRequest): boolean
  /** Index of the tier that an answer of `tier` is escalated to. */
  next(request: CascadeRequest, tier: number): number
  observe(outcome: VersionOutcome): void
}
