/** Clients of backend servers: model engines with an OpenAI-style API, and plain application runners. */
import { z } from 'zod'
import type { HealthReport } from '../admission/types.ts'
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import {
  CANCEL_TIMEOUT_MS, FIRST_BYTE_TIMEOUT_MS, IDLE_TIMEOUT_MS, MAX_ERROR_BYTES, MAX_SERVICE_ANSWER_BYTES
} from './constants.ts'
import { EngineFailure } from './errors.ts'
import { readEvents } from './events.ts'
import { createHttpCaller, readBody, type HttpAnswer } from './http.ts'
import type {
  ChatMessage, CompletionEvent, CompletionRequest, EngineClient, EngineOrder, ServiceAnswer, ServiceCall, ServiceClient
} from './types.ts'

export type * from './types.ts'
export { EngineFailure } from './errors.ts'
export { prefixHashes } from './prefix.ts'

export interface ClientOptions {
  clock: Clock
  metrics: Metrics
  /** Default 10,000. */
  firstByteTimeoutMs?: number
  /** Default 5,000. */
  idleTimeoutMs?: number
}

/** Numbers that engines use for priorities; lower ones go first. */
const PRIORITY_NUMBER = { urgent: 0, normal: 1, batch: 2 } as const

const healthSchema = z.object({
  instance: z.string(),
  state: z.enum(['cold', 'warm']),
  inFlight: z.number().default(0),
  allowance: z.number().optional()
})

const ORDER_PATHS: Record<EngineOrder['type'], string> = {
  load: 'load',
  unload: 'unload',
  load_adapter: 'adapters',
  role: 'role',
  kv_export: 'kv-export',
  kv_import: 'kv-import'
}

/** Creates the client of model engines. Failures are EngineFailure and counted by reason. */
export function createEngineClient (options: ClientOptions): EngineClient {
  const { clock, metrics, firstByteTimeoutMs = FIRST_BYTE_TIMEOUT_MS, idleTimeoutMs = IDLE_TIMEOUT_MS } = options
  const call = createHttpCaller({ clock })

  async function * complete (address: string, request: CompletionRequest, signal: AbortSignal): AsyncGenerator<CompletionEvent> {
    let isRunning = true
    let sent = false
    try {
      const answer = await call({
        method: 'POST',
        url: `http://${address}/v1/chat/completions`,
        headers: { 'content-type': 'application/json', 'x-request-id': request.request, 'x-session-id': request.session },
        body: JSON.stringify(completionBody(request)),
        signal,
        firstByteTimeoutMs
      })
      sent = true
      yield { type: 'started', instance: answer.instance }
      if (answer.status !== 200) throw await errorStatus(answer)
      yield * readEvents(answer, `chatcmpl-${request.request}`, { clock, idleTimeoutMs, signal })
      isRunning = false
    } catch (error) {
      if (!(error instanceof EngineFailure)) throw error
      sent ||= error.sent
      // An engine that crashed or refused the request has nothing to cancel.
      if (error.connectionLost || error.reason === 'error_status') isRunning = false
      metrics.count('backend_failures', `engine_${error.reason}`)
      throw error
    } finally {
      if (isRunning && sent) void cancel(address, request)
    }
  }

  /** Tells the engine that nobody reads the answer any more; an engine may go on after its connection has closed. */
  async function cancel (address: string, { request, epoch }: CompletionRequest): Promise<void> {
    try {
      await post(address, 'cancel', { request, epoch }, CANCEL_TIMEOUT_MS)
    } catch {
      metrics.count('backend_failures', 'engine_cancel_failed')
    }
  }

  async function post (address: string, path: string, body: object, timeoutMs: number): Promise<void> {
    const answer = await call({
      method: 'POST',
      url: `http://${address}/admin/${path}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: new AbortController().signal,
      firstByteTimeoutMs: timeoutMs,
      reuseConnection: true
    })
    if (answer.status !== 200) throw await errorStatus(answer)
    answer.message.resume()
  }

  return {
    complete,
    async health (address, timeoutMs): Promise<HealthReport> {
      const answer = await call({
        method: 'GET',
        url: `http://${address}/health`,
        signal: AbortSignal.timeout(timeoutMs),
        firstByteTimeoutMs: timeoutMs,
        reuseConnection: true
      })
      if (answer.status !== 200) throw await errorStatus(answer)
      return parseHealth(await readBody(answer, MAX_ERROR_BYTES), answer.instance)
    },
    async order (address, order, epoch) {
      const { type, ...fields } = order
      await post(address, ORDER_PATHS[type], { ...fields, epoch }, firstByteTimeoutMs)
    }
  }
}

/** Creates the client of application runners. Each call goes out at most once. */
export function createServiceClient (options: ClientOptions): ServiceClient {
  const { clock, metrics, firstByteTimeoutMs = FIRST_BYTE_TIMEOUT_MS, idleTimeoutMs = IDLE_TIMEOUT_MS } = options
  const call = createHttpCaller({ clock })

  async function send (address: string, { request, method, path, contentType, body, idempotencyKey }: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
    const timeout = new AbortController()
    const answer = await call({
      method,
      url: `http://${address}${path}`,
      headers: { 'content-type': contentType, 'x-request-id': request, 'idempotency-key': idempotencyKey },
      body,
      signal,
      firstByteTimeoutMs
    })
    const cancelTimer = clock.after(idleTimeoutMs, () => {
      timeout.abort()
      answer.message.destroy()
    })
    try {
      return {
        status: answer.status,
        contentType: answer.message.headers['content-type'] ?? 'application/octet-stream',
        body: await readBody(answer, MAX_SERVICE_ANSWER_BYTES),
        instance: answer.instance
      }
    } catch (error) {
      throw timeout.signal.aborted ? new EngineFailure('idle_timeout', { cause: error, instance: answer.instance }) : error
    } finally {
      cancelTimer()
    }
  }

  return {
    async call (address, serviceCall, signal) {
      try {
        return await send(address, serviceCall, signal)
      } catch (error) {
        if (error instanceof EngineFailure) metrics.count('backend_failures', `service_${error.reason}`)
        throw error
      }
    }
  }
}

/** A resumed answer is asked for by sending the delivered text as the last message, which the engine continues. */
function completionBody (request: CompletionRequest): object {
  const { version, messages, maxTokens, temperature, priority, resumeFrom } = request
  return {
    model: version,
    messages: resumeFrom ? [...messages, continued(resumeFrom.text)] : messages,
    max_tokens: maxTokens - (resumeFrom?.tokens ?? 0),
    temperature,
    stream: true,
    stream_options: { include_usage: true },
    priority: PRIORITY_NUMBER[priority],
    ...(resumeFrom ? { continue_final_message: true, add_generation_prompt: false } : {})
  }
}

function continued (text: string): ChatMessage {
  return { role: 'assistant', content: text }
}

async function errorStatus (answer: HttpAnswer): Promise<EngineFailure> {
  const { status, instance } = answer
  const body = await readBody(answer, MAX_ERROR_BYTES).catch(() => '')
  return new EngineFailure('error_status', { status, instance, detail: `the backend server answered ${status}: ${body.slice(0, 200)}` })
}

function parseHealth (body: string, instance: string): HealthReport {
  try {
    return healthSchema.parse(JSON.parse(body))
  } catch (error) {
    throw new EngineFailure('malformed', { cause: error, instance })
  }
}
