/**
 * Operator HTTP API under /operator/v1. Every response is JSON; errors have the form
 * `{ error: { type, message, hint, run } }`, with `current_revision` and `accepted` on a conflict and `problems` on an
 * invalid change.
 */
import type { Request, ResponseToolkit, Server, ServerRoute } from '@hapi/hapi'
import type { ConfigChange } from '../config/types.ts'
import { ConfigConflictError } from '../config/index.ts'
import { OperatorError } from '../errors/index.ts'
import { brandId, type RequestId } from '../ids/index.ts'
import { CONFIG_KINDS } from '../object-api/types.ts'
import { changesBodySchema, inForceQuerySchema, parseInput, parseIfMatch, parseKind, rolloutBodySchema, specBodySchema, targetBodySchema, toChanges } from './bodies.ts'
import { createHandlerWrapper, createErrorResponse, type HandlerContext, type OperatorHandler } from './handler.ts'
import { drain, restore, withdrawVersion } from './intents.ts'
import type { OperatorCaller, OperatorRoutesOptions } from './types.ts'

export { createOperatorAuthenticator } from './authenticate.ts'
export type { AuthenticateOperator, OperatorCaller, OperatorRoutesOptions } from './types.ts'

const API_PREFIX = '/operator/v1'
const MAX_BODY_BYTES = 2 * 1_048_576

export function registerOperatorRoutes (server: Server, options: OperatorRoutesOptions): void {
  const routes = [...objectRoutes(options), ...changeRoutes(options), ...intentRoutes(options), ...queryRoutes(options)]
  server.route(routes.map(route => withJsonBody(route, options)))
}

/** Accepts only JSON bodies up to a maximum size. A refused body results in an error in the same format as other errors. */
function withJsonBody (route: ServerRoute, options: OperatorRoutesOptions): ServerRoute {
  if (route.method === 'GET') return route
  const failAction = (_request: Request, h: ResponseToolkit, error?: Error) => {
    const detail = error === undefined ? {} : { detail: error.message, cause: error }
    return createErrorResponse(new OperatorError('bad_request', detail), h, options).takeover()
  }
  return { ...route, options: { payload: { maxBytes: MAX_BODY_BYTES, allow: 'application/json', failAction } } }
}

function objectRoutes (options: OperatorRoutesOptions): ServerRoute[] {
  const { view, config } = options
  const wrap = createHandlerWrapper(options)
  const objectPath = `${API_PREFIX}/objects/{kind}/{name}`
  const bootstrapOptions = { allowBootstrap: (request: Request) => request.params.kind === 'Operator' }
  return [
    { method: 'GET', path: `${API_PREFIX}/kinds`, handler: wrap(() => ({ kinds: CONFIG_KINDS, revision: view.revision(), invalid: config.invalidObjects() })) },
    { method: 'GET', path: `${API_PREFIX}/objects/{kind}`, handler: wrap(({ request }) => listObjects(options, request)) },
    { method: 'GET', path: objectPath, handler: wrap(({ request }) => getObject(options, request)) },
    { method: 'PUT', path: objectPath, handler: wrap(context => putObject(options, context), bootstrapOptions) },
    { method: 'DELETE', path: objectPath, handler: wrap(context => deleteObject(options, context)) }
  ]
}

function listObjects ({ view }: OperatorRoutesOptions, request: Request): object {
  const kind = parseKind(String(request.params.kind))
  const items = view.list(kind).map(entry => ({ kind, ...entry }))
  return { items: items.sort((left, right) => left.name.localeCompare(right.name)), revision: view.revision() }
}

function parseTarget (request: Request) {
  return { kind: parseKind(String(request.params.kind)), name: String(request.params.name) }
}

function getObject ({ view }: OperatorRoutesOptions, request: Request): object {
  const { kind, name } = parseTarget(request)
  const entry = view.entry(kind, name)
  if (!entry) throw new OperatorError('config_not_found', { detail: `${kind}/${name} does not exist` })
  return { kind, ...entry }
}

function readIfMatch (request: Request): number | undefined {
  return parseIfMatch((request.headers as Record<string, string | undefined>)['if-match'])
}

async function putObject (options: OperatorRoutesOptions, { request, caller }: HandlerContext): Promise<object> {
  const { kind, name } = parseTarget(request)
  const resourceVersion = readIfMatch(request)
  const spec = parseInput(specBodySchema, request.payload)
  const change = { kind, name, spec, resourceVersion } as unknown as ConfigChange
  const [accepted] = await applyChanges(options, [change], caller)
  return { ...accepted, spec: options.view.get(kind, name) }
}

async function deleteObject (options: OperatorRoutesOptions, { request, caller }: HandlerContext): Promise<object> {
  const { kind, name } = parseTarget(request)
  const resourceVersion = readIfMatch(request)
  const current = options.view.entry(kind, name)
  if (!current) throw new OperatorError('config_not_found', { detail: `${kind}/${name} does not exist` })
  if (resourceVersion === undefined) throw new ConfigConflictError(`${kind}/${name}`, current.resourceVersion)
  const [accepted] = await applyChanges(options, [{ kind, name, spec: null, resourceVersion }], caller)
  return { ...accepted, deleted: true }
}

async function applyChanges ({ config, log }: OperatorRoutesOptions, changes: ConfigChange[], caller: OperatorCaller) {
  const accepted = await config.change(changes)
  for (const { kind, name, resourceVersion } of accepted) log.info('configuration changed', { kind, name, resourceVersion, operator: caller.name })
  return accepted
}

function changeRoutes (options: OperatorRoutesOptions): ServerRoute[] {
  const wrap = createHandlerWrapper(options)
  const readChanges = (request: Request) => toChanges(parseInput(changesBodySchema, request.payload))
  const bootstrapOptions = { allowBootstrap: (request: Request) => readChanges(request).every(change => change.kind === 'Operator' && change.spec !== null) }
  const change: OperatorHandler = async ({ request, caller }) => ({ accepted: await applyChanges(options, readChanges(request), caller) })
  const check: OperatorHandler = ({ request }) => {
    const { problems, differences } = options.config.check(readChanges(request))
    return { valid: problems.length === 0, problems, differences }
  }
  const startRollout: OperatorHandler = async ({ request, caller }) => {
    const { name, ...spec } = parseInput(rolloutBodySchema, request.payload)
    const [accepted] = await applyChanges(options, [{ kind: 'Rollout', name, spec, resourceVersion: undefined } as unknown as ConfigChange], caller)
    return { ...accepted, spec: options.view.get('Rollout', name) }
  }
  return [
    { method: 'POST', path: `${API_PREFIX}/changes`, handler: wrap(change, bootstrapOptions) },
    { method: 'POST', path: `${API_PREFIX}/check`, handler: wrap(check, bootstrapOptions) },
    { method: 'POST', path: `${API_PREFIX}/rollouts`, handler: wrap(startRollout, { status: 201 }) }
  ]
}

function intentRoutes (options: OperatorRoutesOptions): ServerRoute[] {
  const wrap = createHandlerWrapper(options)
  const createStateHandler = (changeState: typeof drain): OperatorHandler => ({ request }) => {
    const { kind, name } = parseInput(targetBodySchema, request.payload)
    return changeState(options, kind, name)
  }
  const withdraw: OperatorHandler = ({ request }) => withdrawVersion(options, String(request.params.name))
  return [
    { method: 'POST', path: `${API_PREFIX}/drain`, handler: wrap(createStateHandler(drain)) },
    { method: 'POST', path: `${API_PREFIX}/restore`, handler: wrap(createStateHandler(restore)) },
    { method: 'POST', path: `${API_PREFIX}/versions/{name}/withdraw`, handler: wrap(withdraw) }
  ]
}

function queryRoutes (options: OperatorRoutesOptions): ServerRoute[] {
  const { config, explain, status } = options
  const wrap = createHandlerWrapper(options)
  const waitInForce: OperatorHandler = async ({ request }) => {
    const { revision, timeout_ms: timeoutMs } = parseInput(inForceQuerySchema, request.query)
    const { inForce, missing } = await config.waitInForce(revision, timeoutMs)
    return { revision, in_force: inForce, missing }
  }
  const getTrace: OperatorHandler = async ({ request }) => {
    const trace = await explain.find(brandId<RequestId>(String(request.params.request)))
    if (!trace) throw new OperatorError('not_found', { detail: `no trace of request ${request.params.request}; each VM keeps a limited number of recent traces in memory` })
    return trace
  }
  return [
    { method: 'GET', path: `${API_PREFIX}/in-force`, handler: wrap(waitInForce) },
    { method: 'GET', path: `${API_PREFIX}/status`, handler: wrap(() => status()) },
    { method: 'GET', path: `${API_PREFIX}/explain/{request}`, handler: wrap(getTrace) }
  ]
}
