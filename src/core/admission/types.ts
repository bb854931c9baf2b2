/**
 * Types of admission: an entry VM asks a data centre's leader for a permit to send one request to one backend
 * server.
 */
import type {
  BackendServerId, BootId, DataCentreId, PermitId, RequestId, ServiceId, TeamId, VersionId, VmId
} from '../ids/index.ts'

export type Priority = 'urgent' | 'normal' | 'batch'

export interface PermitRequest {
  request: RequestId
  team: TeamId
  /** Exactly one of version and service is set. */
  version?: VersionId
  service?: ServiceId
  priority: Priority
  /** Time that may pass in the queue, milliseconds. */
  waitMs: number
  /** Hash of team and body; identical requests go to the same backend server. */
  fingerprint: string
  /** Hash of the prompt's leading blocks, longest first, for prefix-cache affinity. */
  prefixHashes: string[]
  estimatedTokens: number
  /** Backend servers that already failed this request. */
  exclude: BackendServerId[]
  /** The request was in flight when a backend server crashed. */
  suspect: boolean
  isRetry: boolean
  /** Configuration revision of the asking VM; a leader that is behind catches up first. */
  configRevision: number
}

export interface Permit {
  id: PermitId
  dataCentre: DataCentreId
  epoch: number
  backendServer: BackendServerId
  address: string
  version?: VersionId
  /**
   * The first byte must be sent within this time after the grant, milliseconds. The entry VM counts from the time it
   * asked plus `queuedMs`, which is never later than the grant, however late the answer arrives.
   */
  startWithinMs: number
}

export type PermitRefusalReason =
  | 'no_capacity' | 'deadline' | 'team_limit' | 'withdrawn' | 'out_of_service' | 'not_leader' | 'settling'
  | 'quarantined' | 'retry_budget' | 'no_backend_server' | 'queue_full'

export interface PermitRefusal {
  reason: PermitRefusalReason
  retryAfterMs: number
  /** Why each backend server was passed over, for `explain`. */
  passedOver: PassedOver[]
}

export interface PassedOver {
  backendServer: BackendServerId
  reason: 'excluded' | 'cold' | 'unproven' | 'full' | 'leaving' | 'suspect' | 'version_not_loaded' | 'unreachable'
}

export type PermitAnswer =
  | { granted: true, permit: Permit, passedOver: PassedOver[], queuedMs: number }
  | { granted: false, refusal: PermitRefusal }

export type PermitOutcome = 'completed' | 'cancelled' | 'not_sent' | 'failed' | 'crashed'

export interface PermitRelease {
  id: PermitId
  outcome: PermitOutcome
  /** Instance id that the backend server sent with its answer. */
  instance?: string
  firstTokenMs?: number
  tokens?: number
}

/** A permit that a VM holds when it registers with a new leader. */
export interface HeldPermit {
  id: PermitId
  backendServer: BackendServerId
  team: TeamId
  fingerprint: string
  suspect: boolean
  /** The first byte of the answer has arrived, so the backend server's load report includes the request. */
  firstByteSeen?: boolean
}

export interface PermitSync {
  vm: VmId
  boot: BootId
  held: HeldPermit[]
}

export interface VersionSummary {
  version: VersionId
  freeSlots: number
  warm: number
  cold: number
  queueDelayMs: number
}

/** Sent by a leader to the VMs of its region. */
export interface LeaderSummary {
  dataCentre: DataCentreId
  leader: VmId
  epoch: number
  /** False while the new leader waits for older permits to end. */
  granting: boolean
  versions: VersionSummary[]
  services: { service: ServiceId, freeSlots: number }[]
  teamInFlight: { team: TeamId, inFlight: number }[]
  /** Backend servers last seen warm, for local admission during an outage of the object API. */
  warmBackendServers: BackendServerId[]
  /** Set in the last summary of a leader whose lease has ended. */
  leaseLost?: boolean
}

/** Answer of a backend server to a health probe. */
export interface HealthReport {
  instance: string
  state: 'cold' | 'warm'
  inFlight: number
  /** Concurrent requests the backend server can bear now, as it reports. */
  allowance?: number
}

/** Asks a backend server for its health; rejects when it cannot be reached. */
export type HealthProbe = (address: string, timeoutMs: number) => Promise<HealthReport>

/** Entry VM side. `acquire` throws AdmissionError or returns a permit that must be released exactly once. */
export interface PermitClient {
  /** Asks the leader of one data centre. */
  acquire(dataCentre: DataCentreId, request: PermitRequest): Promise<PermitAnswer>
  /** Whether the time to send the first byte has not passed yet; checked immediately before sending. */
  mayStart(permit: Permit): boolean
  /** Reports the first byte of the answer, which proves the instance warm or cold. */
  reportFirstByte(permit: Permit, instance: string): void
  release(permit: Permit, release: Omit<PermitRelease, 'id'>): void
  /** Latest summary of each data centre. */
  summaries(): LeaderSummary[]
  heldCount(): number
  /** Starts sending summaries of the local schedulers and resending releases. */
  start(): void
  stop(): void
}

export interface FirstByteReport {
  id: PermitId
  instance: string
}

/** Change of a backend server's prefix cache. Events come late and with gaps, which `sequence` shows. */
export interface CacheEvent {
  backendServer: BackendServerId
  instance: string
  /** Grows by one with each event of an instance. */
  sequence: number
  stored: string[]
  removed: string[]
}

/** Leader side: admits work to every backend server of one data centre during one epoch of its lease. */
export interface Scheduler {
  /** `ask` identifies this call, so that it can be abandoned when its answer is lost. */
  request(request: PermitRequest, from: VmId, ask?: string): Promise<PermitAnswer>
  /** Withdraws a call whose answer the VM did not receive; a permit it produced is released as not sent. */
  abandon(ask: string, from: VmId): void
  /** Repeated and unknown releases have no effect. */
  release(release: PermitRelease, from: VmId): void
  /** Registers the permits a VM holds, whoever granted them. */
  sync(sync: PermitSync): void
  memberDead(vm: VmId): void
  firstByte(report: FirstByteReport, from: VmId): void
  cacheEvent(event: CacheEvent): void
  summary(): LeaderSummary
  start(): void
  /** Refuses what is queued with `not_leader`. */
  stop(): void
}

/** What the choice of backend server knows about one that may take the request now. */
export interface BackendCandidate {
  backendServer: BackendServerId
  warm: boolean
  slots: number
  /** Requests that the leader knows or assumes to be in flight there. */
  inFlight: number
  /** Prompt tokens that are expected to be computed before a new request's own. */
  pendingTokens: number
  /** Share of the request's prompt that is expected in the prefix cache, 0 to 1. */
  cachedShare: number
  /** An identical request was sent here before. */
  sentBefore: boolean
}

/** Chooses one of the candidates, of which there is at least one. */
export type BackendChoice = (choice: {
  request: PermitRequest
  candidates: readonly BackendCandidate[]
  random: () => number
}) => BackendCandidate
