/** Form of errors for callers. `run` says whether the request reached a backend server. */
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
  /** Whether bytes may have reached a backend server; then no error claims that the request did not run. */
  sent?: boolean
  entryPoints?: readonly string[]
}

/** Converts anything thrown into an error of the catalogue. Details of backend servers are not the caller's business. */
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

/** Answers with an error; those that may pass carry Retry-After in whole seconds. */
export function errorAnswer (h: ResponseToolkit, error: LacewingError, context: ErrorContext = {}): ResponseObject {
  const response = h.response(errorBody(error, context)).code(error.httpStatus)
  if (context.request) response.header(HEADERS.requestId, context.request)
  if ([429, 503].includes(error.httpStatus)) {
    const seconds = Math.ceil((error.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS) / 1000)
    response.header('retry-after', String(Math.max(1, seconds)))
  }
  if (error.httpStatus === 401) response.header('www-authenticate', 'Bearer')
  return response
}
