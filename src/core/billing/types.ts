/** Types of billing. Amounts are in micro-units of the contract's currency. */
import type { BootId, RequestId, TeamId, VersionId, ServiceId, VmId } from '../ids/index.ts'

export type BilledOutcome = 'completed' | 'partial' | 'cancelled'

export interface BillingLine {
  version?: VersionId
  service?: ServiceId
  inputTokens: number
  outputTokens: number
  costMicros: number
}

export interface BillingRecord {
  /** Request id or, with an idempotency key, a hash of team, method and key; readers count one record per id. */
  id: string
  request: RequestId
  team: TeamId
  outcome: BilledOutcome
  /** One line per cascade tier whose answer was completed and one for a partial answer; a service call has one line. */
  lines: BillingLine[]
  costMicros: number
  atWallMs: number
}

/** Content of the object `BillingBatch/<vm>-<boot>-<sequence>`. */
export interface BillingBatchSpec {
  vm: VmId
  boot: BootId
  sequence: number
  records: BillingRecord[]
}

export interface Billing {
  /** Whether new requests can be billed now: a witness or the object API seems reachable and the outbox is not full. */
  canAccept(): boolean
  /** Resolves when a witness or the object API holds the record. Throws BillingError `billing_unavailable`. */
  record(record: BillingRecord): Promise<void>
  /** Number of records that the object API has not stored yet. */
  pending(): number
  start(): void
  /** Flushes own and held records until none is left or the timeout expires; returns the number of own records left. */
  drain(timeoutMs: number): Promise<number>
}
