/**
 * Types of admission: an entry VM requests a permit from a data centre's leader to send one request to one backend
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
  /** Maximum time in the queue, in milliseconds. */
  waitMs: number
  /** Hash of team and body; identical requests go to the same backend server. */
  fingerprint: string
  /** Hashes of the prompt's leading blocks, longest first, for prefix-cache affinity. */
  prefixHashes: string[]
  estimatedTokens: number
  /** Backend servers on which this request already failed. */
  exclude: BackendServerId[]
  /** The request was in flight when a backend server crashed. */
  suspect: boolean
  isRetry: boolean
  /** Configuration revision of the requesting VM. A leader with an older revision waits for this one first. */
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
   * The first byte must be sent within this time after the grant, in milliseconds. The entry VM counts from the time of
   * its request plus `queuedMs`, which is never later than the grant, however late the answer arrives.
   */
  startWithinMs: number
}

export type PermitRefusalReason =
  | 'no_capacity' | 'deadline' | 'team_limit' | 'withdrawn' | 'out_of_service' | 'not_leader' | 'settling'
  | 'quarantined' | 'retry_budget' | 'no_backend_server' | 'queue_full'

export interface PermitRefusal {
  reason: PermitRefusalReason
  retryAfterMs: number
  /** Reason why each backend server was passed over, for `explain`. */
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
  /** False while a new leader waits for older permits to end. */
  granting: boolean
  versions: VersionSummary[]
  services: { service: ServiceId, freeSlots: number }[]
  teamInFlight: { team: TeamId, inFlight: number }[]
  /** Backend servers that were last observed warm, for local admission during an outage of the object API. */
  warmBackendServers: BackendServerId[]
  /** Set in the last summary of a leader whose lease has ended. */
  leaseLost?: boolean
}

/** Answer of a backend server to a health probe. */
export interface HealthReport {
  instance: string
  state: 'cold' | 'warm'
  inFlight: number
  /** Limit of concurrent requests that the backend server reports for now. */
  allowance?: number
}

/** Requests the health of a backend server; rejects when it cannot be reached. */
export type HealthProbe = (address: string, timeoutMs: number) => Promise<HealthReport>

/** Entry VM side. `acquire` returns a refusal or a permit, which must be released exactly once. */
export interface PermitClient {
  /** Requests a permit from the leader of one data centre. */
  acquire(dataCentre: DataCentreId, request: PermitRequest): Promise<PermitAnswer>
  /** Whether the deadline to send the first byte has not passed yet; checked immediately before sending. */
  mayStart(permit: Permit): boolean
  /** Reports the first byte of the answer and its instance. A changed instance means that the backend server is cold. */
  reportFirstByte(permit: Permit, instance: string): void
  release(permit: Permit, release: Omit<PermitRelease, 'id'>): void
  /** Latest summary of each data centre, without stale ones. */
  summaries(): LeaderSummary[]
  heldCount(): number
  /** Starts sending summaries of the local schedulers and resending unacknowledged reports. */
  start(): void
  stop(): void
}

export interface FirstByteReport {
  id: PermitId
  instance: string
}

/** Change of a backend server's prefix cache. Events arrive late and with gaps, which `sequence` reveals. */
export interface CacheEvent {
  backendServer: BackendServerId
  instance: string
  /** Increases by one with each event of an instance. */
  sequence: number
  stored: string[]
  removed: string[]
}

/** Leader side: grants permits for the backend servers of one data centre during one epoch of its lease. */
export interface Scheduler {
  /** `callId` identifies this call, so that it can be abandoned when its answer is lost. */
  request(request: PermitRequest, from: VmId, callId?: string): Promise<PermitAnswer>
  /** Withdraws a call whose answer the VM did not receive. A permit that it produced is released as not sent. */
  abandon(callId: string, from: VmId): void
  /** Repeated releases and releases of unknown permits have no effect on the granted permits. */
  release(release: PermitRelease, from: VmId): void
  /** Registers the permits that a VM holds, no matter which leader granted them. */
  sync(sync: PermitSync): void
  handleMemberDeath(vm: VmId): void
  firstByte(report: FirstByteReport, from: VmId): void
  cacheEvent(event: CacheEvent): void
  summary(): LeaderSummary
  start(): void
  /** Refuses all queued requests with `not_leader`. */
  stop(): void
}

/** A backend server that is eligible for the request, as seen by the choice policy. */
export interface BackendCandidate {
  backendServer: BackendServerId
  warm: boolean
  slots: number
  /** Requests in flight there according to the leader's permits and the untracked load. */
  inFlight: number
  /** Prompt tokens that are expected to be computed before the prompt of a new request. */
  pendingTokens: number
  /** Share of the request's prompt that is expected in the prefix cache, from 0 to 1. */
  cachedShare: number
  /** Whether the latest identical request was sent here. */
  sentBefore: boolean
}

/** Chooses one of the candidates; there is at least one. */
export type BackendChoice = (choice: {
  request: PermitRequest
  candidates: readonly BackendCandidate[]
  random: () => number
}) => BackendCandidate
