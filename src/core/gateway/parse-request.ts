/** Parses and validates a caller's HTTP request into the context that the filters process. It has no side effects. */
import { isUtf8 } from 'node:buffer'
import { createHash } from 'node:crypto'
import type { Request } from '@hapi/hapi'
import { z } from 'zod'
import type { Priority } from '../admission/types.ts'
import type { Clock } from '../clock/index.ts'
import type { ConfigView, Contract } from '../config/types.ts'
import type { ChatMessage } from '../engine/types.ts'
import { GatewayError } from '../errors/index.ts'
import { brandId, randomId, type ModelId, type RequestId, type ServiceId, type SessionId } from '../ids/index.ts'
import { createAnswer } from './answer.ts'
import {
  CHARACTERS_PER_TOKEN, DEFAULT_OUTPUT_TOKENS, HEADERS, MAX_IDEMPOTENCY_KEY_LENGTH, MAX_OUTPUT_TOKENS
} from './constants.ts'
import type { Call, ChatBody, ChatCall, ServiceRequest, ServiceRoute } from './types.ts'

const MAX_CLASS_LENGTH = 64
const MAX_SESSION_LENGTH = 256
const PRIORITIES: readonly Priority[] = ['urgent', 'normal', 'batch']

const textPart = z.object({ type: z.literal('text'), text: z.string() })
const messageSchema = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
  content: z.union([z.string(), z.array(textPart).transform(parts => parts.map(part => part.text).join(''))])
})
const tokenCount = z.number().int().min(1).max(MAX_OUTPUT_TOKENS)

/**
 * Ignores unknown fields, as OpenAI-compatible servers do. Values of `n` above 1 are refused, because each of the
 * answers would be billed.
 */
const chatBodySchema = z.object({
  model: z.string().min(1).max(128),
  messages: z.array(messageSchema).min(1).max(2048),
  max_tokens: tokenCount.optional(),
  max_completion_tokens: tokenCount.optional(),
  temperature: z.number().min(0).max(2).optional(),
  n: z.literal(1).optional(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish()
})

const deadlineSchema = z.coerce.number().int().min(1).max(86_400_000)

export interface CallerInput {
  contract: Contract
  /** Empty if the request has no body. */
  body: Buffer
}

export interface ParseOptions extends CallerInput {
  clock: Clock
  view: ConfigView
}

/** Throws GatewayError `bad_request`. */
export function readChatRequest (request: Request, { clock, contract, body: raw }: ParseOptions): ChatCall {
  const body = parseChatBody(raw)
  const call = createCall(request, contract, clock, { kind: 'chat', content: raw })
  return {
    ...call,
    body,
    answer: createAnswer(),
    choiceRequest: {
      contract,
      model: body.model,
      promptTokens: estimateTokens(body.messages),
      requestClass: readHeader(request, HEADERS.requestClass, MAX_CLASS_LENGTH) ?? 'default',
      session: readHeader(request, HEADERS.sessionId, MAX_SESSION_LENGTH) as SessionId | undefined,
      token: readHeader(request, HEADERS.session, 4096),
      tried: []
    }
  }
}

/** Throws GatewayError `unknown_service`, `forbidden`, `not_found`, `idempotency_key_required` or `bad_request`. */
export function readServiceRequest (request: Request, { clock, view, contract, body: content }: ParseOptions): ServiceRequest {
  const { service, path } = splitServicePath(request)
  const method = request.method.toUpperCase()
  const route = findRoute(view, contract, { service, method, path: decodePath(path.split('?')[0]!) })
  if (!isUtf8(content)) throw new GatewayError('bad_request', { detail: 'The body is not valid UTF-8.' })
  const call = createCall(request, contract, clock, { kind: `${method} ${service}${path}`, content })
  if (!route.idempotent && call.idempotencyKey === undefined) throw new GatewayError('idempotency_key_required')
  return {
    ...call,
    route,
    method,
    path,
    contentType: readHeader(request, 'content-type', 256),
    body: content.length > 0 ? content.toString('utf8') : undefined
  }
}

interface CallContent {
  /** Distinguishes requests of different kinds that have the same idempotency key or the same body. */
  kind: string
  content: Buffer
}

function createCall (request: Request, contract: Contract, clock: Clock, { kind, content }: CallContent): Call {
  const id = randomId<RequestId>('req')
  const idempotencyKey = readHeader(request, HEADERS.idempotencyKey, MAX_IDEMPOTENCY_KEY_LENGTH)
  const { team } = contract
  const startedAt = clock.now()
  return {
    request: id,
    team,
    contract,
    startedAt,
    deadline: startedAt + readDeadline(request, contract),
    priority: readPriority(request, contract),
    idempotencyKey,
    billingId: idempotencyKey === undefined ? id : hash(team, kind.split(' ')[0]!, idempotencyKey),
    // Requests without a body, such as reads, can be identical without being resends, so each gets its own fingerprint.
    fingerprint: content.length === 0 ? hash(team, id) : hash(team, kind, content),
    sent: false,
    abort: new AbortController(),
    exclude: [],
    attempts: 0,
    billingLines: [],
    reservations: []
  }
}

function parseChatBody (raw: Buffer): ChatBody {
  const result = chatBodySchema.safeParse(parseJson(raw))
  if (!result.success) {
    const problems = result.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    throw new GatewayError('bad_request', { detail: problems.slice(0, 5).join('; ') })
  }
  const { model, messages, temperature, stream, stream_options: streamOptions, ...tokens } = result.data
  return {
    model: brandId<ModelId>(model),
    messages: messages.map(toMessage),
    maxTokens: tokens.max_completion_tokens ?? tokens.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
    temperature,
    stream: stream === true,
    includeUsage: streamOptions?.include_usage === true
  }
}

function toMessage ({ role, content }: z.infer<typeof messageSchema>): ChatMessage {
  return { role: role === 'developer' ? 'system' : role, content }
}

function parseJson (raw: Buffer): unknown {
  try {
    return JSON.parse(raw.toString('utf8'))
  } catch (error) {
    throw new GatewayError('bad_request', { detail: 'The body is not valid JSON.', cause: error })
  }
}

function estimateTokens (messages: readonly ChatMessage[]): number {
  const characters = messages.reduce((sum, message) => sum + message.content.length, 0)
  return Math.ceil(characters / CHARACTERS_PER_TOKEN)
}

function readHeader (request: Request, name: string, maxLength: number): string | undefined {
  const value: unknown = request.headers[name]
  if (typeof value !== 'string' || value === '') return undefined
  if (value.length > maxLength) throw new GatewayError('bad_request', { detail: `Header ${name} is longer than ${maxLength} characters.` })
  return value
}

function readDeadline (request: Request, contract: Contract): number {
  const value = readHeader(request, HEADERS.deadline, 16)
  if (value === undefined) return contract.deadlineMs
  const result = deadlineSchema.safeParse(value)
  if (!result.success) throw new GatewayError('bad_request', { detail: `Header ${HEADERS.deadline} must be a number of milliseconds.` })
  return result.data
}

/** A caller may lower the priority that its contract grants, but not raise it. */
function readPriority (request: Request, contract: Contract): Priority {
  const value = readHeader(request, HEADERS.priority, 16)
  if (value === undefined) return contract.priority
  const requested = PRIORITIES.indexOf(value as Priority)
  if (requested < 0) throw new GatewayError('bad_request', { detail: `Header ${HEADERS.priority} must be urgent, normal or batch.` })
  return PRIORITIES[Math.max(requested, PRIORITIES.indexOf(contract.priority))]!
}

function splitServicePath (request: Request): { service: ServiceId, path: string } {
  const prefix = '/v1/services/'
  const rest = request.url.pathname.slice(prefix.length)
  const slash = rest.indexOf('/')
  const service = brandId<ServiceId>(slash < 0 ? rest : rest.slice(0, slash))
  const path = slash < 0 ? '/' : rest.slice(slash)
  return { service, path: path + request.url.search }
}

/**
 * Decodes a path. An application runner may decode it too, so routes are matched on the decoded form, and paths with
 * `..` segments are refused.
 */
function decodePath (path: string): string {
  try {
    const decoded = decodeURIComponent(path)
    if (!decoded.split(/[/\\]/).includes('..')) return decoded
  } catch {
    // Malformed percent-encoding is refused below.
  }
  throw new GatewayError('bad_request', { detail: 'The path is not valid.' })
}

interface RouteQuery {
  service: ServiceId
  method: string
  path: string
}

function findRoute (view: ConfigView, contract: Contract, { service, method, path }: RouteQuery): ServiceRoute {
  const spec = view.get('Service', service)
  if (!spec) throw new GatewayError('unknown_service')
  if (!contract.services.includes(service)) throw new GatewayError('forbidden', { detail: 'The contract of your team does not permit this service.' })
  const matching = spec.routes.filter(route => route.method === method && isPrefix(route.path, path))
  const [longest] = matching.sort((a, b) => b.path.length - a.path.length)
  if (!longest) throw new GatewayError('not_found', { detail: `Service ${service} has no route ${method} ${path}.` })
  return { service, idempotent: longest.idempotent, priceMicros: longest.priceMicros }
}

function isPrefix (prefix: string, path: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}

function hash (...parts: (string | Buffer)[]): string {
  const digest = createHash('sha256')
  for (const part of parts) digest.update(part).update('\n')
  return digest.digest('hex')
}
