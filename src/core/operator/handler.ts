/** Wraps the handlers of the operator API: authentication, restrictions of bootstrap callers, and errors as JSON. */
import type { Lifecycle, Request, ResponseToolkit } from '@hapi/hapi'
import { ConfigConflictError, ConfigInvalidError } from '../config/index.ts'
import { errorMessage, LacewingError, OperatorError, type ErrorName } from '../errors/index.ts'
import type { OperatorCaller, OperatorRoutesOptions } from './types.ts'

export interface HandlerContext {
  request: Request
  caller: OperatorCaller
}

/** Returns the response body. */
export type OperatorHandler = (context: HandlerContext) => unknown | Promise<unknown>

export interface RouteOptions {
  /** Whether a bootstrap caller may make this call; not allowed by default. */
  allowBootstrap?: (request: Request) => boolean
  /** HTTP status of a successful response. */
  status?: number
}

export function createHandlerWrapper (options: OperatorRoutesOptions) {
  return (handle: OperatorHandler, { allowBootstrap = () => false, status = 200 }: RouteOptions = {}): Lifecycle.Method => async (request, h) => {
    try {
      const caller = authorize(options, request, allowBootstrap)
      const body = await handle({ request, caller })
      return h.response(body as object).code(status)
    } catch (error) {
      return createErrorResponse(error, h, options)
    }
  }
}

function authorize ({ authenticate }: OperatorRoutesOptions, request: Request, allowBootstrap: (request: Request) => boolean): OperatorCaller {
  const { authorization } = request.headers as { authorization?: string }
  const caller = authenticate({ authorization, remoteAddress: request.info.remoteAddress })
  if (caller.bootstrap && !allowBootstrap(request)) {
    throw new OperatorError('forbidden', { detail: 'No operator exists yet; create the first Operator object before anything else.' })
  }
  return caller
}

export function createErrorResponse (error: unknown, h: ResponseToolkit, { metrics, log }: Pick<OperatorRoutesOptions, 'metrics' | 'log'>) {
  const lacewingError = error instanceof LacewingError ? error : new OperatorError('internal', { cause: error })
  if (lacewingError !== error) log.error('operator call failed', { cause: errorMessage(error) })
  metrics.count('refusals', `operator_${lacewingError.kind satisfies ErrorName}`)
  const body = { type: lacewingError.kind, message: lacewingError.message, hint: lacewingError.hint, run: lacewingError.run, ...errorDetails(lacewingError) }
  return h.response({ error: body }).code(lacewingError.httpStatus)
}

function errorDetails (error: LacewingError): object {
  if (error instanceof ConfigInvalidError) return { problems: error.problems.map(({ kind, name, path, message }) => ({ kind, name, path, message })) }
  if (error instanceof ConfigConflictError) return { current_revision: error.currentRevision ?? null, accepted: error.accepted }
  return {}
}
