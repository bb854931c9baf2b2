/** Types of the gateway: its parts, the context of a running request, and the filters that work on it. */
import type { Server } from '@hapi/hapi'
import type { PermitClient, Priority } from '../admission/types.ts'
import type { Billing, BillingLine } from '../billing/types.ts'
import type { Budget, SpendReservation } from '../budget/types.ts'
import type { Claims } from '../claims/types.ts'
import type { Clock } from '../clock/index.ts'
import type { ConfigView, Contract } from '../config/types.ts'
import type { ChatMessage, EngineClient, ServiceClient } from '../engine/types.ts'
import type { Explain } from '../explain/types.ts'
import type { BackendServerId, ModelId, RequestId, ServiceId, TeamId, VersionId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerLinks } from '../peer/types.ts'
import type { Quarantine } from '../quarantine/types.ts'
import type { DataCentreCandidate, VersionChoice, VersionChoiceRequest, VersionOutcome, VersionRouter } from '../routing/types.ts'
import type { Settings, VmIdentity } from '../settings/index.ts'
import type { Answer, AnswerPart } from './answer.ts'

export type Limits = Settings['limits']

/** Work that needs a data centre; exactly one of version and service is set. */
export interface Placement {
  team: TeamId
  version?: VersionId
  service?: ServiceId
}

/** Returns the data centres that may serve the work, best first. */
export type ChooseDataCentres = (placement: Placement) => DataCentreCandidate[]

/** A finished answer, for a sampler that sends answers to the rating service. */
export interface FinishedAnswer {
  request: RequestId
  /** What was observed when the answer ended. */
  outcome: VersionOutcome
  /** The request was spent on learning, so its answer is worth a rating. */
  explores: boolean
  prompt: string
  text: string
}

export interface GatewayOptions {
  /** From `createCallerServer`; not started. */
  server: Server
  identity: VmIdentity
  view: ConfigView
  routing: VersionRouter
  chooseDataCentres: ChooseDataCentres
  permits: PermitClient
  claims: Claims
  billing: Billing
  budget: Budget
  quarantine: Quarantine
  engine: EngineClient
  services: ServiceClient
  explain: Explain
  /** Base URLs of other VMs that take new work. */
  entryPoints: () => readonly string[]
  peers: PeerLinks
  membership: Membership
  /** False before the configuration is loaded and once the VM is leaving. */
  isTakingWork: () => boolean
  limits: Limits
  clock: Clock
  metrics: Metrics
  log: Log
  onAnswer?: (answer: FinishedAnswer) => void
}

export interface Gateway {
  /** Resolves when no request runs. New requests are refused by `isTakingWork`, not by this call. */
  drain(): Promise<void>
  running(): number
}

/** Counts work so that a drain can wait for its end. */
export interface Work {
  track<Result>(work: Promise<Result>): Promise<Result>
}

/** What every request carries from its intake to its end. */
export interface Call {
  request: RequestId
  team: TeamId
  contract: Contract
  /** Monotonic clock, milliseconds. */
  startedAt: number
  deadline: number
  priority: Priority
  idempotencyKey?: string
  /** Request id, or a hash of team and key, so that a resend is billed under the same id. */
  billingId: string
  fingerprint: string
  /** Whether bytes may have reached a backend server. */
  sent: boolean
  abort: AbortController
  exclude: BackendServerId[]
  attempts: number
  lines: BillingLine[]
  reservations: HeldReservation[]
}

/** Money reserved for a call, which is settled at its end. */
export interface HeldReservation {
  estimateMicros: number
  reservation: SpendReservation
}

export interface ChatBody {
  model: ModelId
  messages: ChatMessage[]
  maxTokens: number
  temperature?: number
  stream: boolean
  includeUsage: boolean
}

export interface ChatCall extends Call {
  body: ChatBody
  choiceRequest: VersionChoiceRequest
  /** Set by the version filter. */
  choice?: VersionChoice
  /** Version whose unfinished answer an engine works on. */
  unbilledVersion?: VersionId
  answer: Answer
  /** Observed when a tier's answer ended; the last one belongs to the delivered answer. */
  outcome?: VersionOutcome
  /** Part of the answer that was received from another VM before it died. */
  resume?: { version: VersionId, parts: AnswerPart[] }
}

export interface ServiceRoute {
  service: ServiceId
  idempotent: boolean
  priceMicros: number
}

export interface ServiceRequest extends Call {
  route: ServiceRoute
  method: string
  /** Path and query at the service. */
  path: string
  contentType?: string
  body?: string
}

/** One step of the request path; it calls `next` once or throws. */
export type Filter<Context> = (context: Context, next: () => Promise<void>) => Promise<void>
