/**
 * Failure of a call to a backend server. In addition to the error's catalogue entry it carries the failed instance and
 * whether the connection was lost, which may be due to a crash that the request caused.
 */
import { EngineError, type ErrorName } from '../errors/index.ts'

/**
 * Reason why a call failed; also used in the reason labels of counters. `crossed` means that the engine sent a chunk of
 * another request.
 */
export type FailureReason =
  | 'connection_refused' | 'connect_timeout' | 'connection_lost' | 'first_byte_timeout' | 'idle_timeout'
  | 'error_status' | 'truncated' | 'crossed' | 'malformed' | 'line_too_long' | 'answer_too_large' | 'cancelled'

const ERROR_NAME_BY_REASON: Record<FailureReason, ErrorName> = {
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
  /** Whether bytes of the request may have been sent; false if no connection was established. Default true. */
  sent?: boolean
  instance?: string
  /** Status code of an HTTP error response. */
  status?: number
}

export class EngineFailure extends EngineError {
  readonly reason: FailureReason
  readonly sent: boolean
  readonly instance: string | undefined
  readonly status: number | undefined

  constructor (reason: FailureReason, { detail, cause, sent = true, instance, status }: FailureOptions = {}) {
    super(sent ? ERROR_NAME_BY_REASON[reason] : 'backend_unreachable', { detail, cause })
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
