/** Types of the gateway: its dependencies, the context of a request, and the filters that process it. */
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

/** Describes a request that needs a data centre. Exactly one of `version` and `service` is set. */
export interface DataCentreQuery {
  team: TeamId
  version?: VersionId
  service?: ServiceId
}

/** Returns the data centres that may serve the request, best first. */
export type ChooseDataCentres = (query: DataCentreQuery) => DataCentreCandidate[]

/** A finished answer, passed to the sampler that sends answers to the rating service. */
export interface FinishedAnswer {
  request: RequestId
  /** Measurements taken when the answer ended. */
  outcome: VersionOutcome
  /** Whether the version was chosen for exploration, so that the answer should be rated. */
  explores: boolean
  prompt: string
  text: string
}

export interface GatewayOptions {
  /** Created by `createCallerServer` and not started yet. */
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
  /** Base URLs of other VMs that accept new requests. */
  entryPoints: () => readonly string[]
  peers: PeerLinks
  membership: Membership
  /** Whether the VM accepts new requests: false before the configuration is loaded and once the VM is leaving. */
  isTakingWork: () => boolean
  limits: Limits
  clock: Clock
  metrics: Metrics
  log: Log
  onAnswer?: (answer: FinishedAnswer) => void
}

export interface Gateway {
  /** Resolves when no request is running. New requests are refused through `isTakingWork`, not by this method. */
  drain(): Promise<void>
  running(): number
}

/** Counts running requests, so that a drain can wait until they have ended. */
export interface WorkTracker {
  track<Result>(promise: Promise<Result>): Promise<Result>
}

/** Context of one request, from parsing to completion. */
export interface Call {
  request: RequestId
  team: TeamId
  contract: Contract
  /** Monotonic clock, milliseconds. */
  startedAt: number
  deadline: number
  priority: Priority
  idempotencyKey?: string
  /**
   * Request id or, with an idempotency key, a hash of the team, the HTTP method (`chat` for chat requests) and the key,
   * so that a resend is billed under the same id.
   */
  billingId: string
  fingerprint: string
  /** Whether bytes of the request may have reached a backend server. */
  sent: boolean
  abort: AbortController
  exclude: BackendServerId[]
  attempts: number
  billingLines: BillingLine[]
  reservations: HeldReservation[]
}

/** Part of the budget that is reserved for a call and settled when the call ends. */
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
  /** Set by the `chooseVersion` filter, and again when another version is chosen. */
  choice?: VersionChoice
  /** Version that received the request and whose answer is not in `billingLines` yet. */
  unbilledVersion?: VersionId
  answer: Answer
  /** Measurements of the last tier that completed its answer, which is the answer delivered. */
  outcome?: VersionOutcome
  /** Part of the answer that was received from another VM before that VM failed. */
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
  /** Path and query string within the service. */
  path: string
  contentType?: string
  body?: string
}

/** One step of the request pipeline. It calls `next` at most once to run the steps after it, or throws. */
export type Filter<Context> = (context: Context, next: () => Promise<void>) => Promise<void>
