/** Builds error responses for callers. The field `run` states whether the request may have run on a backend server. */
import type { ResponseObject, ResponseToolkit } from '@hapi/hapi'
import { EngineError, GatewayError, LacewingError, type RunState } from '../errors/index.ts'
import type { RequestId } from '../ids/index.ts'
import { DEFAULT_RETRY_AFTER_MS, HEADERS } from './constants.ts'

export interface ErrorBody {
  error: {
    type: string
    message: string
    hint: string
    run: RunState
    request_id?: string
    entry_points?: readonly string[]
  }
}

export interface ErrorContext {
  request?: RequestId
  /** Whether bytes may have reached a backend server. If so, `not_run` is reported as `may_have_run`. */
  sent?: boolean
  entryPoints?: readonly string[]
}

/**
 * Converts any thrown value to a LacewingError. Only the kind of an engine error is exposed, so that callers see no
 * details of the backend server.
 */
export function toLacewingError (error: unknown): LacewingError {
  if (error instanceof EngineError) return new GatewayError(error.kind, { cause: error })
  return error instanceof LacewingError ? error : new GatewayError('internal', { cause: error })
}

export function runState (error: LacewingError, sent: boolean): RunState {
  return error.run === 'not_run' && sent ? 'may_have_run' : error.run
}

export function errorBody (error: LacewingError, { request, sent = false, entryPoints }: ErrorContext = {}): ErrorBody {
  return {
    error: {
      type: error.kind,
      message: error.message,
      hint: error.hint,
      run: runState(error, sent),
      ...(request ? { request_id: request } : {}),
      ...(entryPoints && entryPoints.length > 0 ? { entry_points: entryPoints } : {})
    }
  }
}

/** Creates an error response. Responses with status 429 or 503 carry Retry-After in whole seconds. */
export function errorResponse (h: ResponseToolkit, error: LacewingError, context: ErrorContext = {}): ResponseObject {
  const response = h.response(errorBody(error, context)).code(error.httpStatus)
  if (context.request) response.header(HEADERS.requestId, context.request)
  if ([429, 503].includes(error.httpStatus)) {
    const seconds = Math.ceil((error.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS) / 1000)
    response.header('retry-after', String(Math.max(1, seconds)))
  }
  if (error.httpStatus === 401) response.header('www-authenticate', 'Bearer')
  return response
}
