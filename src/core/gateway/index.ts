/**
 * The callers' side of an entry VM: routes for chat completions, models and plain services on the caller server, and
 * the filter chain behind them.
 */
import type { Readable } from 'node:stream'
import type { Lifecycle, Request, ResponseObject, ResponseToolkit, RouteOptions } from '@hapi/hapi'
import type { Contract } from '../config/types.ts'
import { GatewayError, type ErrorName } from '../errors/index.ts'
import { createAnswerBook } from './answer-book.ts'
import { createAuthenticate } from './authenticate.ts'
import { readCallerBody } from './body.ts'
import { CallFailure } from './call-failure.ts'
import { createChatHandler } from './chat-handler.ts'
import { HEADERS } from './constants.ts'
import { readServiceRequest, type CallerInput } from './intake.ts'
import { createJoins } from './joins.ts'
import { errorAnswer, toLacewingError } from './responses.ts'
import { createServiceRun } from './service-run.ts'
import type { Gateway, GatewayOptions, Work } from './types.ts'

export type * from './types.ts'
export { createCallerServer, type CallerServerOptions } from './server.ts'

interface CallerState {
  contract?: Contract
}

/** Errors that are the caller's to mend; they are counted as bad input. */
const MAX_CLIENT_STATUS = 499

/** Registers the routes of the gateway on a caller server. */
export function createGateway (options: GatewayOptions): Gateway {
  const { server, metrics, peers, membership, clock, limits } = options
  const { work, running, drain } = createWork()
  const authenticate = createAuthenticate(options)
  const book = createAnswerBook({ clock })
  const joins = createJoins({ peers, membership, book, clock, metrics })
  const handleChat = createChatHandler({ ...options, book, joins, work })
  const handleService = createServiceHandler(options, work)

  const admitted: RouteOptions = { ext: { onPreAuth: { method: admit } } }
  const withBody: RouteOptions = { ...admitted, payload: { parse: false, output: 'stream' } }

  /** Runs before the body is read, so that a caller without a key cannot make this VM hold its body. */
  function admit (request: Request, h: ResponseToolkit): symbol {
    const state = request.app as CallerState
    state.contract = authenticate(request.headers.authorization as string | undefined)
    return h.continue
  }

  /** Passes an admitted request on, and answers with an error of the catalogue when it is refused. */
  function guarded (handle: (request: Request, h: ResponseToolkit, input: CallerInput) => Promise<Lifecycle.ReturnValue>): Lifecycle.Method {
    return async (request, h) => {
      const { contract } = request.app as CallerState
      try {
        requireTakingWork(options, running())
        const body = await readCallerBody(request.payload as Readable | null, limits.max_body_bytes)
        return await work.track(handle(request, h, { contract: contract!, body }))
      } catch (error) {
        return refuse(options, h, error)
      }
    }
  }

  server.route([
    { method: 'POST', path: '/v1/chat/completions', options: withBody, handler: guarded(handleChat) },
    { method: ['POST', 'PUT', 'DELETE'], path: '/v1/services/{service}/{path*}', options: withBody, handler: guarded(handleService) },
    { method: 'GET', path: '/v1/services/{service}/{path*}', options: admitted, handler: guarded(handleService) },
    { method: 'GET', path: '/v1/models', options: admitted, handler: request => listModels(options, request) },
    { method: 'GET', path: '/health', handler: (_, h) => health(options, h, running()) },
    { method: 'GET', path: '/metrics', handler: async (_, h) => h.response(await metrics.render()).type('text/plain; version=0.0.4') }
  ])
  server.events.on('response', request => countBadInput(options, request))
  metrics.gauge('running_requests', 'Requests that run now', running)
  return { drain, running }
}

function createWork () {
  let count = 0
  let waiters: (() => void)[] = []
  const work: Work = {
    async track (promise) {
      count++
      try {
        return await promise
      } finally {
        count--
        if (count === 0) wake()
      }
    }
  }

  function wake (): void {
    const woken = waiters
    waiters = []
    for (const waiter of woken) waiter()
  }

  return {
    work,
    running: () => count,
    drain: () => count === 0 ? Promise.resolve() : new Promise<void>(resolve => waiters.push(resolve))
  }
}

/** Throws GatewayError when this VM takes no new work now. */
function requireTakingWork (options: GatewayOptions, running: number): void {
  const { isTakingWork, membership, limits } = options
  if (membership.isIsolated()) throw new GatewayError('vm_isolated')
  if (isLeaving(options)) throw new GatewayError('vm_leaving')
  if (!isTakingWork()) throw new GatewayError('vm_not_ready')
  if (running >= limits.max_connections) throw new GatewayError('overloaded')
}

function isLeaving ({ membership, view, identity }: GatewayOptions): boolean {
  if (membership.self().state === 'leaving') return true
  return view.get('VirtualMachine', identity.vm)?.state === 'leaving' || view.get('DataCentre', identity.dataCentre)?.state === 'out_of_service'
}

function refuse ({ entryPoints, metrics }: GatewayOptions, h: ResponseToolkit, thrown: unknown): ResponseObject {
  const call = thrown instanceof CallFailure ? thrown.call : undefined
  const error = toLacewingError(thrown instanceof CallFailure ? thrown.cause : thrown)
  if (!call) metrics.count('refusals', error.kind)
  return errorAnswer(h, error, {
    request: call?.request,
    sent: call?.sent,
    entryPoints: error.httpStatus === 503 ? entryPoints() : undefined
  })
}

function createServiceHandler (options: GatewayOptions, work: Work) {
  const run = createServiceRun(options)
  return async (request: Request, h: ResponseToolkit, input: CallerInput): Promise<ResponseObject> => {
    const call = readServiceRequest(request, { ...options, ...input })
    options.metrics.count('requests', 'service')
    const { res } = request.raw
    res.once('close', () => { if (!res.writableFinished) call.abort.abort() })
    try {
      const { status, contentType, body } = await work.track(run(call))
      return h.response(body).code(status).type(contentType).header(HEADERS.requestId, call.request)
    } catch (error) {
      throw new CallFailure(call, error)
    }
  }
}

function listModels ({ routing }: GatewayOptions, request: Request): object {
  const { contract } = request.app as CallerState
  const data = routing.permittedModels(contract!).map(id => ({ id, object: 'model', owned_by: 'lacewingstage' }))
  return { object: 'list', data }
}

function health ({ identity, isTakingWork, membership }: GatewayOptions, h: ResponseToolkit, running: number): ResponseObject {
  const isTaking = isTakingWork() && !membership.isIsolated()
  const body = { status: isTaking ? 'ok' : 'not_taking_work', vm: identity.vm, boot: identity.boot, data_centre: identity.dataCentre, running }
  return h.response(body).code(isTaking ? 200 : 503)
}

function countBadInput ({ metrics }: GatewayOptions, { response }: Request): void {
  // The response of a stream that was written directly is a symbol.
  if (typeof response !== 'object' || ('isBoom' in response && response.isBoom)) return
  const { statusCode, source } = response as ResponseObject
  if (statusCode < 400 || statusCode > MAX_CLIENT_STATUS) return
  const { error } = (source ?? {}) as { error?: { type?: ErrorName } }
  if (error?.type) metrics.count('bad_input', error.type)
}
