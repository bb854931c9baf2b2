/** What is forwarded: routes, services, teams and limits, and a caller's request as the forwarder sees it. */
import type { BackendServerId, ModelId, RequestId, ServiceId, SessionId, TeamId } from '../ids/index.ts'

/** What may be repeated: a streaming request may be resumed only where its route says so. */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'streaming'

export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Whether a broken stream may go on at another backend server after the last event. */
  resumable: boolean
  /** Longest time that a caller is kept waiting, in milliseconds. */
  timeoutMs: number
  targetLatencyMs: number
  /** Longest pause between two events that is still on time, in milliseconds. */
  longestPauseMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Models that the router may choose from, smallest first; empty where the caller names the model. */
  models: readonly ModelId[]
  targets: readonly WeightedService[]
  /** Backend servers that one request may be sent to. */
  maxAttempts: number
  /** Whether the route takes requests without a key. */
  anonymous: boolean
}

export interface WeightedService { service: ServiceId, weight: number }

export interface Service {
  id: ServiceId
  /** Connections that one backend server accepts from all VMs together. */
  maxConnections: number
  /** Requests a second that one cold backend server bears from all VMs together; 0 when a cold start needs no care. */
  coldRate: number
  engine: EngineTraits | undefined
}

export interface EngineTraits {
  /** Requests in one batch. */
  slots: number
  /** Tokens of running requests and cached prefixes together. */
  tokenCapacity: number
  /** Cost of 1,000 generated tokens by model; it also stands for how much of an engine's time a model takes. */
  modelCosts: ReadonlyMap<ModelId, number>
}

export interface Team {
  id: TeamId
  keys: readonly string[]
  /** Takes precedence over the priority of the route. */
  priority: number | undefined
}

export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** One accepted configuration; a higher version replaces a lower one. */
export interface TrafficConfig {
  version: number
  routes: readonly Route[]
  services: readonly Service[]
  teams: readonly Team[]
  limits: CallerLimits
}

export interface PromptPart { id: string, tokens: number }

/** The parts of a caller's request that decide how it is forwarded. */
export interface CallerRequest {
  id: RequestId | undefined
  method: string
  /** Path and query as they were received. */
  target: string
  host: string
  key: string | undefined
  /** Time that the caller waits, in milliseconds. */
  waitMs: number | undefined
  session: SessionId | undefined
  /** Model that the caller names; `undefined` leaves the choice to the router. */
  model: ModelId | undefined
  promptTokens: number
  maxOutputTokens: number
  prompt: readonly PromptPart[]
  lastEventId: number | undefined
  /** Headers to pass on, as name and value in turn. */
  headers: readonly string[]
}

/** What the router adds to a request for one backend server. */
export interface BackendCall {
  backendServer: BackendServerId
  team: TeamId | undefined
  /** Time left for the answer, in milliseconds. */
  remainingMs: number
  /** Admission order at an engine: 0 is first. */
  urgency: number | undefined
  model: ModelId | undefined
  lastEventId: number | undefined
}

/** The head of a backend server's answer. */
export interface BackendHead {
  status: number
  /** Whether the backend server states that it did not run the request. */
  notRun: boolean
  /** Whether another backend server than the expected one answered. */
  misdirected: boolean
  /** Whether the answer belongs to this request and carries the mark of a backend server. */
  authentic: boolean
  /** The model's own opinion of its answer, 0 to 100. */
  confidence: number | undefined
  /** Headers for the caller, as name and value in turn, without those of one connection. */
  headers: string[]
}
