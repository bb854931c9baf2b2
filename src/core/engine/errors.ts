/**
 * Failure of a call to a backend server. Beyond the catalogue entry it says whether the connection broke, which may be
 * a crash that the request caused, and which instance failed.
 */
import { EngineError, type ErrorName } from '../errors/index.ts'

/** Why a call failed; also the counter reason. */
export type FailureReason =
  | 'connection_refused' | 'connect_timeout' | 'connection_lost' | 'first_byte_timeout' | 'idle_timeout'
  | 'error_status' | 'truncated' | 'crossed' | 'malformed' | 'line_too_long' | 'answer_too_large' | 'cancelled'

const KIND_OF_REASON: Record<FailureReason, ErrorName> = {
  connection_refused: 'backend_unreachable',
  connect_timeout: 'backend_unreachable',
  connection_lost: 'backend_failed',
  first_byte_timeout: 'backend_failed',
  idle_timeout: 'backend_failed',
  error_status: 'backend_failed',
  truncated: 'answer_truncated',
  crossed: 'backend_failed',
  malformed: 'backend_failed',
  line_too_long: 'backend_failed',
  answer_too_large: 'backend_failed',
  cancelled: 'backend_failed'
}

export interface FailureOptions {
  detail?: string
  cause?: unknown
  /** Whether bytes may have gone out; refused connections never sent any. */
  sent?: boolean
  instance?: string
  /** Status of an HTTP error answer. */
  status?: number
}

export class EngineFailure extends EngineError {
  readonly reason: FailureReason
  readonly sent: boolean
  readonly instance: string | undefined
  readonly status: number | undefined

  constructor (reason: FailureReason, { detail, cause, sent = true, instance, status }: FailureOptions = {}) {
    super(sent ? KIND_OF_REASON[reason] : 'backend_unreachable', { detail, cause })
    this.reason = reason
    this.sent = sent
    this.instance = instance
    this.status = status
  }

  /** Whether the process of the backend server may have crashed. */
  get connectionLost (): boolean {
    return this.reason === 'connection_lost'
  }
}
