/** Wraps the handlers of the operators' API: authentication, the limits of a bootstrap caller, and errors as JSON. */
import type { Lifecycle, Request, ResponseToolkit } from '@hapi/hapi'
import { ConfigConflictError, ConfigInvalidError } from '../config/index.ts'
import { errorMessage, LacewingError, OperatorError, type ErrorName } from '../errors/index.ts'
import type { OperatorCaller, OperatorRoutesOptions } from './types.ts'

export interface Context {
  request: Request
  caller: OperatorCaller
}

/** Returns the body of the answer. */
export type Handle = (context: Context) => unknown | Promise<unknown>

export interface RouteGuard {
  /** Whether a bootstrap caller may make this call; by default never. */
  allowBootstrap?: (request: Request) => boolean
  status?: number
}

export function createWrapper (options: OperatorRoutesOptions) {
  return (handle: Handle, { allowBootstrap = () => false, status = 200 }: RouteGuard = {}): Lifecycle.Method => async (request, h) => {
    try {
      const caller = authorize(options, request, allowBootstrap)
      const body = await handle({ request, caller })
      return h.response(body as object).code(status)
    } catch (error) {
      return errorAnswer(error, h, options)
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

export function errorAnswer (error: unknown, h: ResponseToolkit, { metrics, log }: Pick<OperatorRoutesOptions, 'metrics' | 'log'>) {
  const known = error instanceof LacewingError ? error : new OperatorError('internal', { cause: error })
  if (known !== error) log.error('operator call failed', { cause: errorMessage(error) })
  metrics.count('refusals', `operator_${known.kind satisfies ErrorName}`)
  const body = { type: known.kind, message: known.message, hint: known.hint, run: known.run, ...detailsOf(known) }
  return h.response({ error: body }).code(known.httpStatus)
}

function detailsOf (error: LacewingError): object {
  if (error instanceof ConfigInvalidError) return { problems: error.problems.map(({ kind, name, path, message }) => ({ kind, name, path, message })) }
  if (error instanceof ConfigConflictError) return { current_revision: error.currentRevision ?? null, accepted: error.accepted }
  return {}
}
