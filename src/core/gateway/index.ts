/**
 * Registers the routes for callers of a VM (chat completions, models, services, health and metrics) and connects them
 * to the filter chains.
 */
import type { Readable } from 'node:stream'
import type { Lifecycle, Request, ResponseObject, ResponseToolkit, RouteOptions } from '@hapi/hapi'
import type { Contract } from '../config/types.ts'
import { GatewayError, type ErrorName } from '../errors/index.ts'
import { createAnswerRegistry } from './answer-registry.ts'
import { createAuthenticate } from './authenticate.ts'
import { readCallerBody } from './body.ts'
import { CallFailure } from './call-failure.ts'
import { createChatHandler } from './chat-handler.ts'
import { HEADERS } from './constants.ts'
import { readServiceRequest, type CallerInput } from './parse-request.ts'
import { createRemoteAnswers } from './remote-answers.ts'
import { errorResponse, toLacewingError } from './responses.ts'
import { createServiceRun } from './service-run.ts'
import type { Gateway, GatewayOptions, WorkTracker } from './types.ts'

export type * from './types.ts'
export { createCallerServer, type CallerServerOptions } from './server.ts'

interface CallerState {
  contract?: Contract
}

/** Highest status of client errors, which are counted as `bad_input`. */
const MAX_CLIENT_ERROR_STATUS = 499

/** Registers the routes of the gateway on a caller server. */
export function createGateway (options: GatewayOptions): Gateway {
  const { server, metrics, peers, membership, clock, limits } = options
  const { tracker, running, drain } = createWorkTracker()
  const authenticate = createAuthenticate(options)
  const registry = createAnswerRegistry({ clock })
  const remoteAnswers = createRemoteAnswers({ peers, membership, registry, clock, metrics })
  const handleChat = createChatHandler({ ...options, registry, remoteAnswers, tracker })
  const handleService = createServiceHandler(options, tracker)

  const authenticated: RouteOptions = { ext: { onPreAuth: { method: authenticateCaller } } }
  const withBody: RouteOptions = { ...authenticated, payload: { parse: false, output: 'stream' } }

  /** Runs before the body is read, so that an unauthenticated caller cannot make this VM buffer a body. */
  function authenticateCaller (request: Request, h: ResponseToolkit): symbol {
    const state = request.app as CallerState
    state.contract = authenticate(request.headers.authorization as string | undefined)
    return h.continue
  }

  /** Wraps a handler: checks that the VM accepts requests, reads the body, and converts errors to error responses. */
  function guardHandler (handle: (request: Request, h: ResponseToolkit, input: CallerInput) => Promise<Lifecycle.ReturnValue>): Lifecycle.Method {
    return async (request, h) => {
      const { contract } = request.app as CallerState
      try {
        assertAcceptsRequests(options, running())
        const body = await readCallerBody(request.payload as Readable | null, limits.max_body_bytes)
        return await tracker.track(handle(request, h, { contract: contract!, body }))
      } catch (error) {
        return respondWithError(options, h, error)
      }
    }
  }

  server.route([
    { method: 'POST', path: '/v1/chat/completions', options: withBody, handler: guardHandler(handleChat) },
    { method: ['POST', 'PUT', 'DELETE'], path: '/v1/services/{service}/{path*}', options: withBody, handler: guardHandler(handleService) },
    { method: 'GET', path: '/v1/services/{service}/{path*}', options: authenticated, handler: guardHandler(handleService) },
    { method: 'GET', path: '/v1/models', options: authenticated, handler: request => listModels(options, request) },
    { method: 'GET', path: '/health', handler: (_, h) => healthResponse(options, h, running()) },
    { method: 'GET', path: '/metrics', handler: async (_, h) => h.response(await metrics.render()).type('text/plain; version=0.0.4') }
  ])
  server.events.on('response', request => countBadInput(options, request))
  metrics.gauge('running_requests', 'Requests that are running', running)
  return { drain, running }
}

function createWorkTracker () {
  let count = 0
  let drainWaiters: (() => void)[] = []
  const tracker: WorkTracker = {
    async track (promise) {
      count++
      try {
        return await promise
      } finally {
        count--
        if (count === 0) notifyDrained()
      }
    }
  }

  function notifyDrained (): void {
    const woken = drainWaiters
    drainWaiters = []
    for (const waiter of woken) waiter()
  }

  return {
    tracker,
    running: () => count,
    drain: () => count === 0 ? Promise.resolve() : new Promise<void>(resolve => drainWaiters.push(resolve))
  }
}

/** Throws GatewayError if this VM does not accept new requests. */
function assertAcceptsRequests (options: GatewayOptions, running: number): void {
  const { isAcceptingRequests, membership, limits } = options
  if (membership.isIsolated()) throw new GatewayError('vm_isolated')
  if (isLeaving(options)) throw new GatewayError('vm_leaving')
  if (!isAcceptingRequests()) throw new GatewayError('vm_not_ready')
  if (running >= limits.max_connections) throw new GatewayError('overloaded')
}

function isLeaving ({ membership, view, identity }: GatewayOptions): boolean {
  if (membership.self().state === 'leaving') return true
  return view.get('VirtualMachine', identity.vm)?.state === 'leaving' || view.get('DataCentre', identity.dataCentre)?.state === 'out_of_service'
}

function respondWithError ({ entryPoints, metrics }: GatewayOptions, h: ResponseToolkit, thrown: unknown): ResponseObject {
  const call = thrown instanceof CallFailure ? thrown.call : undefined
  const error = toLacewingError(thrown instanceof CallFailure ? thrown.cause : thrown)
  if (!call) metrics.count('refusals', error.kind)
  return errorResponse(h, error, {
    request: call?.request,
    sent: call?.sent,
    entryPoints: error.httpStatus === 503 ? entryPoints() : undefined
  })
}

function createServiceHandler (options: GatewayOptions, tracker: WorkTracker) {
  const run = createServiceRun(options)
  return async (request: Request, h: ResponseToolkit, input: CallerInput): Promise<ResponseObject> => {
    const call = readServiceRequest(request, { ...options, ...input })
    options.metrics.count('requests', 'service')
    const { res } = request.raw
    res.once('close', () => { if (!res.writableFinished) call.abort.abort() })
    try {
      const { status, contentType, body } = await tracker.track(run(call))
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

function healthResponse ({ identity, isAcceptingRequests, membership }: GatewayOptions, h: ResponseToolkit, running: number): ResponseObject {
  const isAccepting = isAcceptingRequests() && !membership.isIsolated()
  const body = { status: isAccepting ? 'ok' : 'not_taking_work', vm: identity.vm, boot: identity.boot, data_centre: identity.dataCentre, running }
  return h.response(body).code(isAccepting ? 200 : 503)
}

function countBadInput ({ metrics }: GatewayOptions, { response }: Request): void {
  // The response is a symbol if the handler wrote it directly, as for streams.
  if (typeof response !== 'object' || ('isBoom' in response && response.isBoom)) return
  const { statusCode, source } = response as ResponseObject
  if (statusCode < 400 || statusCode > MAX_CLIENT_ERROR_STATUS) return
  const { error } = (source ?? {}) as { error?: { type?: ErrorName } }
  if (error?.type) metrics.count('bad_input', error.type)
}
