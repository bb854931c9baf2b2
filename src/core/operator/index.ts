/**
 * The operators' HTTP API under /operator/v1. Every answer is JSON; errors have the form
 * `{ error: { type, message, hint, run } }`, with `current_revision` on a conflict and `problems` on an invalid change.
 */
import type { Request, ResponseToolkit, Server, ServerRoute } from '@hapi/hapi'
import type { ConfigChange } from '../config/types.ts'
import { ConfigConflictError } from '../config/index.ts'
import { OperatorError } from '../errors/index.ts'
import { brandId, type RequestId } from '../ids/index.ts'
import { CONFIG_KINDS } from '../object-api/types.ts'
import { changesBody, inForceQuery, parseBody, parseIfMatch, parseKind, rolloutBody, specBody, targetBody, toChanges } from './bodies.ts'
import { createWrapper, errorAnswer, type Context, type Handle } from './handler.ts'
import { drain, restore, withdrawVersion } from './intents.ts'
import type { OperatorCaller, OperatorRoutesOptions } from './types.ts'

export { createOperatorAuthenticator } from './authenticate.ts'
export type { AuthenticateOperator, OperatorCaller, OperatorRoutesOptions } from './types.ts'

const PREFIX = '/operator/v1'
const MAX_BODY_BYTES = 2 * 1_048_576

export function registerOperatorRoutes (server: Server, options: OperatorRoutesOptions): void {
  const routes = [...objectRoutes(options), ...changeRoutes(options), ...intentRoutes(options), ...reportRoutes(options)]
  server.route(routes.map(route => withJsonBody(route, options)))
}

/** A body that is not JSON is refused in the same form as every other error. */
function withJsonBody (route: ServerRoute, options: OperatorRoutesOptions): ServerRoute {
  if (route.method === 'GET') return route
  const failAction = (_request: Request, h: ResponseToolkit, error?: Error) => {
    const detail = error === undefined ? {} : { detail: error.message, cause: error }
    return errorAnswer(new OperatorError('bad_request', detail), h, options).takeover()
  }
  return { ...route, options: { payload: { maxBytes: MAX_BODY_BYTES, allow: 'application/json', failAction } } }
}

function objectRoutes (options: OperatorRoutesOptions): ServerRoute[] {
  const { view, config } = options
  const wrap = createWrapper(options)
  const member = `${PREFIX}/objects/{kind}/{name}`
  const bootstrap = { allowBootstrap: (request: Request) => request.params.kind === 'Operator' }
  return [
    { method: 'GET', path: `${PREFIX}/kinds`, handler: wrap(() => ({ kinds: CONFIG_KINDS, revision: view.revision(), invalid: config.invalidObjects() })) },
    { method: 'GET', path: `${PREFIX}/objects/{kind}`, handler: wrap(({ request }) => listObjects(options, request)) },
    { method: 'GET', path: member, handler: wrap(({ request }) => getObject(options, request)) },
    { method: 'PUT', path: member, handler: wrap(context => putObject(options, context), bootstrap) },
    { method: 'DELETE', path: member, handler: wrap(context => deleteObject(options, context)) }
  ]
}

function listObjects ({ view }: OperatorRoutesOptions, request: Request): object {
  const kind = parseKind(String(request.params.kind))
  const items = view.list(kind).map(entry => ({ kind, ...entry }))
  return { items: items.sort((left, right) => left.name.localeCompare(right.name)), revision: view.revision() }
}

function targetOf (request: Request) {
  return { kind: parseKind(String(request.params.kind)), name: String(request.params.name) }
}

function getObject ({ view }: OperatorRoutesOptions, request: Request): object {
  const { kind, name } = targetOf(request)
  const entry = view.entry(kind, name)
  if (!entry) throw new OperatorError('config_not_found', { detail: `${kind}/${name} does not exist` })
  return { kind, ...entry }
}

function ifMatchOf (request: Request): number | undefined {
  return parseIfMatch((request.headers as Record<string, string | undefined>)['if-match'])
}

async function putObject (options: OperatorRoutesOptions, { request, caller }: Context): Promise<object> {
  const { kind, name } = targetOf(request)
  const resourceVersion = ifMatchOf(request)
  const spec = parseBody(specBody, request.payload)
  const change = { kind, name, spec, resourceVersion } as unknown as ConfigChange
  const [accepted] = await applyChanges(options, [change], caller)
  return { ...accepted, spec: options.view.get(kind, name) }
}

async function deleteObject (options: OperatorRoutesOptions, { request, caller }: Context): Promise<object> {
  const { kind, name } = targetOf(request)
  const resourceVersion = ifMatchOf(request)
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
  const wrap = createWrapper(options)
  const readChanges = (request: Request) => toChanges(parseBody(changesBody, request.payload))
  const bootstrap = { allowBootstrap: (request: Request) => readChanges(request).every(change => change.kind === 'Operator' && change.spec !== null) }
  const change: Handle = async ({ request, caller }) => ({ accepted: await applyChanges(options, readChanges(request), caller) })
  const check: Handle = ({ request }) => {
    const { problems, differences } = options.config.check(readChanges(request))
    return { valid: problems.length === 0, problems, differences }
  }
  const startRollout: Handle = async ({ request, caller }) => {
    const { name, ...spec } = parseBody(rolloutBody, request.payload)
    const [accepted] = await applyChanges(options, [{ kind: 'Rollout', name, spec, resourceVersion: undefined } as unknown as ConfigChange], caller)
    return { ...accepted, spec: options.view.get('Rollout', name) }
  }
  return [
    { method: 'POST', path: `${PREFIX}/changes`, handler: wrap(change, bootstrap) },
    { method: 'POST', path: `${PREFIX}/check`, handler: wrap(check, bootstrap) },
    { method: 'POST', path: `${PREFIX}/rollouts`, handler: wrap(startRollout, { status: 201 }) }
  ]
}

function intentRoutes (options: OperatorRoutesOptions): ServerRoute[] {
  const wrap = createWrapper(options)
  const setState = (act: typeof drain): Handle => ({ request }) => {
    const { kind, name } = parseBody(targetBody, request.payload)
    return act(options, kind, name)
  }
  const withdraw: Handle = ({ request }) => withdrawVersion(options, String(request.params.name))
  return [
    { method: 'POST', path: `${PREFIX}/drain`, handler: wrap(setState(drain)) },
    { method: 'POST', path: `${PREFIX}/restore`, handler: wrap(setState(restore)) },
    { method: 'POST', path: `${PREFIX}/versions/{name}/withdraw`, handler: wrap(withdraw) }
  ]
}

function reportRoutes (options: OperatorRoutesOptions): ServerRoute[] {
  const { config, explain, status } = options
  const wrap = createWrapper(options)
  const inForce: Handle = async ({ request }) => {
    const { revision, timeout_ms: timeoutMs } = parseBody(inForceQuery, request.query)
    const { inForce, missing } = await config.waitInForce(revision, timeoutMs)
    return { revision, in_force: inForce, missing }
  }
  const trace: Handle = async ({ request }) => {
    const found = await explain.find(brandId<RequestId>(String(request.params.request)))
    if (!found) throw new OperatorError('not_found', { detail: `no trace of request ${request.params.request}; traces are kept in memory for a while` })
    return found
  }
  return [
    { method: 'GET', path: `${PREFIX}/in-force`, handler: wrap(inForce) },
    { method: 'GET', path: `${PREFIX}/status`, handler: wrap(() => status()) },
    { method: 'GET', path: `${PREFIX}/explain/{request}`, handler: wrap(trace) }
  ]
}
