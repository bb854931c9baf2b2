/** Types for choosing a version and a data centre. */
import type { Contract } from '../config/types.ts'
import type { DataCentreId, ModelId, SessionId, VersionId } from '../ids/index.ts'

export interface VersionChoiceRequest {
  contract: Contract
  /** Model or alias given by the caller. */
  model: ModelId
  promptTokens: number
  /** Class whose outcomes are learned from together, for example a tag that the caller sends in `x-request-class`. */
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
  /** Whether a more expensive tier is left to escalate to. */
  canEscalate: boolean
  /** Whether the request is used for exploration; its answers should be rated. */
  explores?: boolean
  reason: string
}

export interface VersionRouter {
  /** Throws RoutingError `unknown_model`, `model_not_permitted`, `no_permitted_version` or `prompt_too_large`. */
  choose(request: VersionChoiceRequest): Promise<VersionChoice>
  /** Checks again immediately before dispatch that the version is still active and permitted. */
  isStillPermitted(contract: Contract, version: VersionId): boolean
  /** Model and alias names that the contract permits. */
  permittedModels(contract: Contract): string[]
  /** Passes an outcome to the cascade and to the comparison of versions in roll-outs. */
  observe(outcome: VersionOutcome): void
  /** Whether a finished answer should be escalated to a more expensive tier. */
  shouldEscalate(request: VersionChoiceRequest, choice: VersionChoice, confidence: number | undefined, remainingMs: number): boolean
}

/**
 * Observed once without a rating when the answer ends, and again with a rating when the rating service has rated it.
 * The second observation only adds the rating.
 */
export interface VersionOutcome {
  team: string
  requestClass: string
  version: VersionId
  failed: boolean
  firstTokenMs?: number
  costMicros: number
  confidence?: number
  /** Whether the request was escalated to this version from a cheaper tier. */
  escalated?: boolean
  /** From the rating service; arrives later, and only for a sample of the answers. */
  rating?: number
}

export interface DataCentreCandidate {
  dataCentre: DataCentreId
  reason: string
}
