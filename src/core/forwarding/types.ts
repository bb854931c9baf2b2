/** Types of forwarding: routes, services, teams and limits, a caller's request, and a backend server's response head. */
import type { Origin } from '../peer-forwarding/message.ts'
import type { BackendServerId, ModelId, RequestId, ServiceId, SessionId, TeamId } from '../ids/index.ts'

/** Determines whether a request that may have run is sent again: idempotent ones are, streaming ones if the route is resumable. */
export type RouteKind = 'idempotent' | 'non_idempotent' | 'streaming'

export interface Route {
  name: string
  host: string
  /** Starts and ends with a slash. */
  pathPrefix: string
  kind: RouteKind
  /** Whether a broken stream may be resumed at another backend server after the last event. */
  resumable: boolean
  /** Maximum time from receiving a request to the end of its response, in milliseconds. */
  timeoutMs: number
  targetLatencyMs: number
  /** Target for the longest gap between two events, in milliseconds. */
  maxEventGapMs: number
  /** 0 is the highest priority. */
  priority: number
  /** Models that the VM may choose from, smallest first; empty if the caller names the model. */
  models: readonly ModelId[]
  targets: readonly WeightedService[]
  /** Maximum number of times that one request may be sent to a backend server. */
  maxAttempts: number
  /** Whether the route accepts requests without a key. */
  allowsAnonymous: boolean
}

export interface WeightedService { service: ServiceId, weight: number }

export interface Service {
  id: ServiceId
  /** Connections that one backend server accepts from all VMs together. */
  maxConnections: number
  /** Requests per second that one cold backend server accepts from all VMs together; 0 for no limit. */
  coldRate: number
  engine: EngineProperties | undefined
}

export interface EngineProperties {
  /** Maximum number of requests in one batch. */
  slots: number
  /** Maximum number of tokens of running requests and cached prefixes together. */
  tokenCapacity: number
  /** Cost of 1,000 generated tokens by model; also used as a measure of the engine time that a model takes. */
  modelCosts: ReadonlyMap<ModelId, number>
}

export interface Team {
  id: TeamId
  keys: readonly string[]
  /** Overrides the priority of the route. */
  priority: number | undefined
}

export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** A valid configuration; a higher version replaces a lower one. */
export interface TrafficConfig {
  version: number
  routes: readonly Route[]
  services: readonly Service[]
  teams: readonly Team[]
  limits: CallerLimits
}

export interface PromptPart { id: string, tokens: number }

/** A caller's request without its body, decoded by the platform's adapter. */
export interface CallerRequest {
  id: RequestId | undefined
  method: string
  /** Path and query as received. */
  target: string
  host: string
  key: string | undefined
  /** Time that the caller allows for the response, in milliseconds. */
  timeoutMs: number | undefined
  session: SessionId | undefined
  /** Model that the caller requests; `undefined` leaves the choice to the VM. */
  model: ModelId | undefined
  promptTokens: number
  maxOutputTokens: number
  /** The caller's estimate of the output tokens, if it sends one. */
  lengthHint?: number | undefined
  prompt: readonly PromptPart[]
  lastEventId: number | undefined
  /** Headers to forward, with alternating names and values. */
  headers: readonly string[]
  /** All headers as received from the caller, also through another VM. */
  rawHeaders?: readonly string[]
  /** Set if another VM has handed the request on. */
  origin?: Origin
}

/** What the VM adds to a request for one backend server. */
export interface BackendCall {
  backendServer: BackendServerId
  team: TeamId | undefined
  /** Time left for the response, in milliseconds. */
  remainingMs: number
  /** Priority at an engine; 0 is admitted first. */
  urgency: number | undefined
  model: ModelId | undefined
  lastEventId: number | undefined
}

/** Status and headers of a backend server's response. */
export interface BackendResponseHead {
  status: number
  /** Whether the backend server states that it did not run the request. */
  notRun: boolean
  /** Whether the response came from a different backend server than expected. */
  misdirected: boolean
  /** Whether the response belongs to this request and identifies itself as a backend server's. */
  authentic: boolean
  /** Whether the backend server states that it is leaving and must get no new requests. */
  leaving: boolean
  /** Time for which a backend server that turned the request away wants no more from this VM, in milliseconds. */
  requestedPauseMs: number | undefined
  /** Requests per second that the backend server takes from all VMs together, if it names such a limit. */
  namedLimit: number | undefined
  /** Requests per second that the backend server can reject for want of room without failing, if it says so. */
  toleratedRejections: number | 'unreadable' | undefined
  /** The model's confidence in its response, from 0 to 100. */
  confidence: number | undefined
  /** Headers for the caller, with alternating names and values and without hop-by-hop headers. */
  headers: string[]
}
