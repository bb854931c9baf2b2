/** Types of claims, which prevent a non-idempotent call from running twice. */
import type { BackendServerId, BootId, RequestId, TeamId, VmId } from '../ids/index.ts'

export interface StoredAnswer {
  status: number
  contentType: string
  /** Body as text; at most 256 KB. */
  body: string
}

/** Content of the object `Claim/<team>.<hash of the key>`. */
export interface ClaimSpec {
  team: TeamId
  request: RequestId
  /**
   * Hash of team, method, service, path and body; unique if there is no body. A key reused with another fingerprint is
   * rejected.
   */
  fingerprint: string
  owner: VmId
  boot: BootId
  /** `not_run` means that no byte was sent and the key may be claimed again. */
  state: 'dispatched' | 'done' | 'not_run'
  attempt: number
  backendServer?: BackendServerId
  /** The call may have been sent and its owner will receive no answer; only with state `dispatched`. */
  outcomeUnknown?: boolean
  answer?: StoredAnswer
  claimedAtWallMs: number
}

export interface ClaimRequest {
  team: TeamId
  idempotencyKey: string
  request: RequestId
  fingerprint: string
  /** The caller's deadline on the monotonic clock, milliseconds. */
  deadline: number
}

/** A claim that this VM holds. Exactly one of `markNotRun`, `complete` and `markUnknown` must be called, once. */
export interface HeldClaim {
  /** Whether the deadline has not passed; must be checked immediately before sending. */
  maySend(): boolean
  /** Records that no byte was sent, so that the key may be claimed again. */
  markNotRun(): Promise<void>
  /** Stores the answer for resends. If storing fails, the claim stays `dispatched`, which prevents a second run. */
  complete(answer: StoredAnswer): Promise<void>
  /** Records that bytes may have been sent and no answer was received. */
  markUnknown(): Promise<void>
}

export type ClaimResult =
  | { state: 'acquired', claim: HeldClaim }
  | { state: 'replayed', answer: StoredAnswer }
  /** The owner is alive and is still running the request. */
  | { state: 'in_progress', owner: VmId }

/**
 * Methods throw ClaimError: `claim_unavailable` (the call has not run), `outcome_unknown` or `idempotency_key_reused`.
 */
export interface Claims {
  acquire(request: ClaimRequest): Promise<ClaimResult>
  /** Returns an existing claim without acquiring it; undefined when there is none. */
  find(team: TeamId, idempotencyKey: string): Promise<ClaimSpec | undefined>
  stop(): Promise<void>
}
