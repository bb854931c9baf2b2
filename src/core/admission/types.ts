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
  /**
   * Hash of the team, the kind of call and the body; unique if there is no body. Identical requests are preferably sent
   * to the same backend server.
   */
  fingerprint: string
  /** Hashes of the prompt's leading blocks, longest first, for prefix-cache affinity. */
  prefixHashes: string[]
  estimatedTokens: number
  /** Backend servers on which this request already failed. */
  exclude: BackendServerId[]
  /** The request was in flight when a backend server crashed. */
  suspect: boolean
  isRetry: boolean
  /** Configuration revision of the requesting VM. A leader with an older revision first waits for this one. */
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
   * The first byte must be sent within this time after the grant, in milliseconds. The entry VM counts from the time it
   * sent the permit request plus `queuedMs`. That is never later than the grant, however late the answer arrives.
   */
  startWithinMs: number
}

export type PermitRefusalReason =
  | 'no_capacity' | 'deadline' | 'team_limit' | 'withdrawn' | 'out_of_service' | 'not_leader' | 'settling'
  | 'quarantined' | 'retry_budget' | 'no_backend_server' | 'queue_full'

export interface PermitRefusal {
  reason: PermitRefusalReason
  retryAfterMs: number
  /** Backend servers that were not eligible, each with the reason, for `explain`. */
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
  /** Number of warm backend servers that can be used. */
  warm: number
  /** Number of cold backend servers that can be used. */
  cold: number
  /** Expected queue time of a new request, in milliseconds. */
  queueDelayMs: number
}

/** Sent by a leader to the VMs of its region. */
export interface LeaderSummary {
  dataCentre: DataCentreId
  leader: VmId
  epoch: number
  /** False during the takeover wait of a new leader, and after a leader has stopped or lost its lease. */
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
  /** Maximum number of concurrent requests that the backend server currently accepts. */
  allowance?: number
}

/** Requests the health of a backend server; rejects when it cannot be reached. */
export type HealthProbe = (address: string, timeoutMs: number) => Promise<HealthReport>

/** Entry VM side of admission. `acquire` returns a refusal or a permit, which must be released exactly once. */
export interface PermitClient {
  /** Requests a permit from the leader of one data centre. */
  acquire(dataCentre: DataCentreId, request: PermitRequest): Promise<PermitAnswer>
  /** Whether the permit is held and the first byte may still be sent. Callers check this immediately before sending. */
  mayStart(permit: Permit): boolean
  /**
   * Reports the first byte of the answer and the instance that sent it. A changed instance means that the backend server
   * has restarted and is cold.
   */
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

/** Change of a backend server's prefix cache. Events may arrive late or be lost; gaps in `sequence` show lost ones. */
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
  /** Withdraws a call whose answer the VM did not receive. If a permit was granted, it is released as not sent. */
  abandon(callId: string, from: VmId): void
  /** Releases a permit. A repeated release, or that of an unknown permit, does not change the granted permits. */
  release(release: PermitRelease, from: VmId): void
  /** Registers the permits that a VM holds, including those that earlier leaders granted. */
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
