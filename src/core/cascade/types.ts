/** Types of the cascade: which tier answers first and when its answer is escalated to a more expensive one. */
import type { Version } from '../config/types.ts'
import type { TeamId, VersionId } from '../ids/index.ts'
import type { VersionOutcome } from '../routing/types.ts'

export interface Tier extends Pick<Version, 'inputMicrosPerToken' | 'outputMicrosPerToken' | 'priorQuality'> {
  version: VersionId
}

/** How the cascade weighs quality, cost and time. */
export interface CascadePolicy {
  /** Answers that the prior expectation of a version's quality counts for. */
  priorStrength: number
  /** Answers that other teams' experience with the version in a class of the same name counts for at most. */
  poolStrength: number
  /** Answers that the class's quality counts for in each band of confidence. */
  bandStrength: number
  /** Standard errors by which the estimated quality must exceed the target. */
  margin: number
  /**
   * Ratings a tier needs in the class before its answers are kept in place of a more expensive tier's. 0 trusts the configured
   * expectation, which is right only without a rating service.
   */
  provenRatings: number
  /** Standard errors by which an estimate may be too low in the optimistic view that guides exploration. */
  optimism: number
  /** Share of a plan's cost that the optimistic view must save to be explored. */
  worthwhileSaving: number
  /** Ratings are forgotten beyond this effective number, so that a changed version is noticed. */
  memory: number
  /** Time that must be left to escalate, milliseconds. */
  minimumTimeLeftMs: number
  /** Assumed length of an answer until the class has been observed, tokens. */
  assumedOutputTokens: number
}

export interface CascadeQuestion {
  team: TeamId
  requestClass: string
  qualityTarget: number
  explorationShare: number
  promptTokens: number
  /** Time the request has in all, milliseconds. */
  deadlineMs: number
  /** Permitted tiers, cheapest first. */
  tiers: Tier[]
}

export interface CascadeDecision {
  /** Index of the tier that answers first. */
  tier: number
  /** The request is spent on learning: its answers should be rated, and one below the plan's tier is escalated. */
  explores: boolean
  why: string
}

export interface EscalationQuestion extends CascadeQuestion {
  /** Tier that gave the answer. */
  tier: number
  confidence: number | undefined
  remainingMs: number
}

export interface Cascade {
  decide(question: CascadeQuestion): CascadeDecision
  shouldEscalate(question: EscalationQuestion): boolean
  /** Tier that an answer of `tier` is escalated to. */
  next(question: CascadeQuestion, tier: number): number
  observe(outcome: VersionOutcome): void
}
