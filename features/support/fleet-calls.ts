/** Requests that integration tests send to a fleet, and counters that its stand-ins report. */
import type { BillingRecord } from '../../src/core/billing/types.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { createObjectApi } from '../../src/core/object-api/index.ts'
import { readBills } from '../../src/core/billing/index.ts'
import { SAMPLE_OPERATOR_KEY, SAMPLE_TEAM_KEY, type Fleet, type FleetBackendServer, type FleetVm } from './fleet.ts'

export interface FleetAnswer {
  vm: string
  /** 0 when the connection failed. */
  status: number
  version: string
  request: string
  body: string
  /** Value of `error.run` in an error response. */
  run?: string
  /** Value of `error.type` in an error response. */
  errorType?: string
}

export interface ChatOptions {
  model?: string
  prompt?: string
  stream?: boolean
  maxTokens?: number
  headers?: Record<string, string>
}

const CALL_TIMEOUT_MS = 20_000

export async function sendChat (vm: FleetVm, { model = 'kit-small', prompt = 'hello', stream = false, maxTokens = 16, headers = {} }: ChatOptions = {}): Promise<FleetAnswer> {
  const body = { model, stream, max_tokens: maxTokens, messages: [{ role: 'user', content: prompt }] }
  return await send(vm, 'POST', '/v1/chat/completions', JSON.stringify(body), headers)
}

export async function sendDispatch (vm: FleetVm, key: string): Promise<FleetAnswer> {
  return await send(vm, 'POST', '/v1/services/order-desk/dispatches', JSON.stringify({ key }), { 'idempotency-key': key })
}

async function send (vm: FleetVm, method: string, path: string, body: string, headers: Record<string, string>): Promise<FleetAnswer> {
  try {
    const response = await fetch(vm.url + path, {
      method,
      body,
      headers: { authorization: `Bearer ${SAMPLE_TEAM_KEY}`, 'content-type': 'application/json', ...headers },
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
    })
    return toAnswer(vm, response, await response.text())
  } catch (error) {
    return { vm: vm.id, status: 0, version: '', request: '', body: String(error) }
  }
}

function toAnswer (vm: FleetVm, response: Response, body: string): FleetAnswer {
  const answer: FleetAnswer = {
    vm: vm.id,
    status: response.status,
    version: response.headers.get('x-lacewingstage-version') ?? '',
    request: response.headers.get('x-request-id') ?? '',
    body
  }
  if (response.status < 400) return answer
  const { error } = JSON.parse(body) as { error: { type: string, run: string } }
  return { ...answer, run: error.run, errorType: error.type }
}

/** A complete answer has a finish reason; a streamed one also ends with `[DONE]`. */
export function isComplete ({ status, body }: FleetAnswer): boolean {
  if (status !== 200 || !/"finish_reason":"(stop|length)"/.test(body)) return false
  return !body.startsWith('data:') || body.trimEnd().endsWith('data: [DONE]')
}

/** Text of a chat answer, streamed or not. */
export function answerText ({ body }: FleetAnswer): string {
  if (!body.startsWith('data:')) return (JSON.parse(body) as ChatAnswer).choices[0]!.message.content
  const events = body.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice('data: '.length)) as ChatChunk)
  return events.map(event => event.choices?.[0]?.delta?.content ?? '').join('')
}

interface ChatAnswer { choices: { message: { content: string } }[] }
interface ChatChunk { choices?: { delta?: { content?: string } }[] }

export async function callOperator (vm: FleetVm, method: string, path: string, body?: unknown, headers: Record<string, string> = {}): Promise<{ status: number, body: Record<string, unknown> }> {
  const response = await fetch(`${vm.url}/operator/v1${path}`, {
    method,
    headers: { authorization: `Bearer ${SAMPLE_OPERATOR_KEY}`, 'content-type': 'application/json', ...headers },
    ...(body !== undefined && { body: JSON.stringify(body) })
  })
  return { status: response.status, body: await response.json() as Record<string, unknown> }
}

/** Waits until the newest revision of this VM is in force on the whole fleet. Throws if it is missing on some VMs. */
export async function waitUntilInForce (vm: FleetVm): Promise<void> {
  const { body: kinds } = await callOperator(vm, 'GET', '/kinds')
  const { body } = await callOperator(vm, 'GET', `/in-force?revision=${String(kinds['revision'])}`)
  if ((body['missing'] as string[]).length > 0) throw new Error(`the newest revision is not in force on ${String(body['missing'])}`)
}

export async function callControl (server: { address: string }, action: string, body: unknown = {}): Promise<Record<string, unknown>> {
  const response = await fetch(`http://${server.address}/control/${action}`, {
    method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body)
  })
  return await response.json() as Record<string, unknown>
}

export async function engineStats (engine: FleetBackendServer): Promise<{ byVersion: Record<string, number>, crashes: number, overloads: number, received: { request: string }[], inFlight: number }> {
  const response = await fetch(`http://${engine.address}/control/stats`)
  return await response.json() as Awaited<ReturnType<typeof engineStats>>
}

/** Returns how often the applications executed the dispatch with this idempotency key. */
export async function countRuns (fleet: Fleet, key: string): Promise<number> {
  const stats = await Promise.all(fleet.applications.map(application => callControl(application, 'stats')))
  return stats.reduce((sum, { runs }) => sum + ((runs as Record<string, number>)[key] ?? 0), 0)
}

export async function billedRecords (fleet: Fleet): Promise<{ records: BillingRecord[], duplicates: number }> {
  const objectApi = createObjectApi({ url: fleet.objectApi.url, clock: systemClock, metrics: createMetrics() })
  return await readBills({ objectApi })
}
