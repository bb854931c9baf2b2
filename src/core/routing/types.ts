/** Types of the choice of version and data centre. */
import type { Contract } from '../config/types.ts'
import type { DataCentreId, ModelId, SessionId, VersionId } from '../ids/index.ts'

export interface VersionChoiceRequest {
  contract: Contract
  /** Model or alias the caller named. */
  model: ModelId
  promptTokens: number
  /** Class of request for learning, for example a tag the caller sends in `x-request-class`. */
  requestClass: string
  session?: SessionId
  token?: string
  /** Versions already tried and escalated from. */
  tried: VersionId[]
}

export interface VersionChoice {
  version: VersionId
  model: ModelId
  sessionToken?: string
  movedFrom?: VersionId
  /** Whether a more expensive tier remains to escalate to. */
  canEscalate: boolean
  /** The request is spent on learning, so its answers should be rated. */
  explores?: boolean
  why: string
}

/** Errors: RoutingError `unknown_model`, `model_not_permitted`, `no_permitted_version`, `prompt_too_large`. */
export interface VersionRouter {
  choose(request: VersionChoiceRequest): Promise<VersionChoice>
  /** Checks again immediately before dispatch that the version is still active and permitted. */
  isStillPermitted(contract: Contract, version: VersionId): boolean
  /** Model and alias names that the contract permits. */
  permittedModels(contract: Contract): string[]
  /** Feeds the learner and the roll-out judge. */
  observe(outcome: VersionOutcome): void
  /** Whether a finished answer should be escalated to a more expensive tier. */
  shouldEscalate(request: VersionChoiceRequest, choice: VersionChoice, confidence: number | undefined, remainingMs: number): boolean
}

/**
 * Observed once without a rating when the answer ends, and again with a rating when the rating service has judged
 * it. The second observation only adds the rating.
 */
export interface VersionOutcome {
  team: string
  requestClass: string
  version: VersionId
  failed: boolean
  firstTokenMs?: number
  costMicros: number
  confidence?: number
  /** The request had been escalated to this version from a cheaper tier. */
  escalated?: boolean
  /** From the rating service; arrives later than the rest, for a sample only. */
  rating?: number
}

export interface DataCentreCandidate {
  dataCentre: DataCentreId
  why: string
}
