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
  /** The first byte must be sent within this time after the answer was received, milliseconds. */
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
}
