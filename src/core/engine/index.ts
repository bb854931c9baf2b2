/** Clients of backend servers: model engines with an OpenAI-compatible API, and application runners. */
import { z } from 'zod'
import type { HealthReport } from '../admission/types.ts'
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import {
  CANCEL_TIMEOUT_MS, FIRST_BYTE_TIMEOUT_MS, IDLE_TIMEOUT_MS, MAX_ERROR_BYTES, MAX_SERVICE_RESPONSE_BYTES
} from './constants.ts'
import { EngineFailure } from './errors.ts'
import { readEvents } from './events.ts'
import { createHttpClient, readBody, type HttpResponse } from './http.ts'
import type {
  ChatMessage, CompletionEvent, CompletionRequest, EngineClient, EngineCommand, ServiceResponse, ServiceCall, ServiceClient
} from './types.ts'

export type * from './types.ts'
export { EngineFailure } from './errors.ts'
export { prefixHashes, sharedMessageHashes } from './prefix.ts'

export interface ClientOptions {
  clock: Clock
  metrics: Metrics
  /** Default 10,000. */
  firstByteTimeoutMs?: number
  /** Default 5,000. */
  idleTimeoutMs?: number
}

/** Priority values of the engine API; lower values are scheduled first. */
const ENGINE_PRIORITY = { urgent: 0, normal: 1, batch: 2 } as const

const healthSchema = z.object({
  instance: z.string(),
  state: z.enum(['cold', 'warm']),
  inFlight: z.number().default(0),
  allowance: z.number().optional()
})

const COMMAND_PATHS: Record<EngineCommand['type'], string> = {
  load: 'load',
  unload: 'unload',
  load_adapter: 'adapters',
  role: 'role',
  kv_export: 'kv-export',
  kv_import: 'kv-import'
}

/** Creates the client of model engines. It throws EngineFailure and counts failed completions by reason. */
export function createEngineClient (options: ClientOptions): EngineClient {
  const { clock, metrics, firstByteTimeoutMs = FIRST_BYTE_TIMEOUT_MS, idleTimeoutMs = IDLE_TIMEOUT_MS } = options
  const call = createHttpClient({ clock })

  async function * complete (address: string, request: CompletionRequest, signal: AbortSignal): AsyncGenerator<CompletionEvent> {
    let mayBeRunning = true
    let sent = false
    try {
      const response = await call({
        method: 'POST',
        url: `http://${address}/v1/chat/completions`,
        headers: { 'content-type': 'application/json', 'x-request-id': request.request, 'x-session-id': request.session },
        body: JSON.stringify(buildCompletionBody(request)),
        signal,
        firstByteTimeoutMs
      })
      sent = true
      yield { type: 'started', instance: response.instance }
      if (response.status !== 200) throw await createStatusError(response)
      yield * readEvents(response, `chatcmpl-${request.request}`, { clock, idleTimeoutMs, signal })
      mayBeRunning = false
    } catch (error) {
      if (!(error instanceof EngineFailure)) throw error
      sent ||= error.sent
      // An engine that crashed or returned an error status has nothing to cancel.
      if (error.connectionLost || error.reason === 'error_status') mayBeRunning = false
      metrics.count('backend_failures', `engine_${error.reason}`)
      throw error
    } finally {
      if (mayBeRunning && sent) void cancel(address, request)
    }
  }

  /** Cancels a request whose answer is no longer read; an engine may continue it after the connection has closed. */
  async function cancel (address: string, { request, epoch }: CompletionRequest): Promise<void> {
    try {
      await post(address, 'cancel', { request, epoch }, CANCEL_TIMEOUT_MS)
    } catch {
      metrics.count('backend_failures', 'engine_cancel_failed')
    }
  }

  async function post (address: string, path: string, body: object, timeoutMs: number): Promise<void> {
    const response = await call({
      method: 'POST',
      url: `http://${address}/admin/${path}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      signal: new AbortController().signal,
      firstByteTimeoutMs: timeoutMs
    })
    if (response.status !== 200) throw await createStatusError(response)
    response.message.resume()
  }

  return {
    complete,
    async health (address, timeoutMs): Promise<HealthReport> {
      const response = await call({
        method: 'GET',
        url: `http://${address}/health`,
        signal: AbortSignal.timeout(timeoutMs),
        firstByteTimeoutMs: timeoutMs
      })
      if (response.status !== 200) throw await createStatusError(response)
      return parseHealth(await readBody(response, MAX_ERROR_BYTES), response.instance)
    },
    async sendCommand (address, command, epoch) {
      const { type, ...fields } = command
      await post(address, COMMAND_PATHS[type], { ...fields, epoch }, firstByteTimeoutMs)
    }
  }
}

/** Creates the client of application runners. Each call is sent at most once; failures are counted by reason. */
export function createServiceClient (options: ClientOptions): ServiceClient {
  const { clock, metrics, firstByteTimeoutMs = FIRST_BYTE_TIMEOUT_MS, idleTimeoutMs = IDLE_TIMEOUT_MS } = options
  const call = createHttpClient({ clock })

  async function send (address: string, { request, method, path, contentType, body, idempotencyKey }: ServiceCall, signal: AbortSignal): Promise<ServiceResponse> {
    const timeout = new AbortController()
    const response = await call({
      method,
      url: `http://${address}${path}`,
      headers: { 'content-type': contentType, 'x-request-id': request, 'idempotency-key': idempotencyKey },
      body,
      signal,
      firstByteTimeoutMs
    })
    const cancelTimer = clock.after(idleTimeoutMs, () => {
      timeout.abort()
      response.message.destroy()
    })
    try {
      return {
        status: response.status,
        contentType: response.message.headers['content-type'] ?? 'application/octet-stream',
        body: await readBody(response, MAX_SERVICE_RESPONSE_BYTES),
        instance: response.instance
      }
    } catch (error) {
      throw timeout.signal.aborted ? new EngineFailure('idle_timeout', { cause: error, instance: response.instance }) : error
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

/** To resume an answer, the text received so far is sent as the last message, which the engine continues. */
function buildCompletionBody (request: CompletionRequest): object {
  const { version, messages, maxTokens, temperature, priority, resumeFrom } = request
  return {
    model: version,
    messages: resumeFrom ? [...messages, partialAnswerMessage(resumeFrom.text)] : messages,
    max_tokens: maxTokens - (resumeFrom?.tokens ?? 0),
    temperature,
    stream: true,
    stream_options: { include_usage: true },
    priority: ENGINE_PRIORITY[priority],
    ...(resumeFrom ? { continue_final_message: true, add_generation_prompt: false } : {})
  }
}

function partialAnswerMessage (text: string): ChatMessage {
  return { role: 'assistant', content: text }
}

async function createStatusError (response: HttpResponse): Promise<EngineFailure> {
  const { status, instance } = response
  const body = await readBody(response, MAX_ERROR_BYTES).catch(() => '')
  return new EngineFailure('error_status', { status, instance, detail: `the backend server answered ${status}: ${body.slice(0, 200)}` })
}

function parseHealth (body: string, instance: string): HealthReport {
  try {
    return healthSchema.parse(JSON.parse(body))
  } catch (error) {
    throw new EngineFailure('malformed', { cause: error, instance })
  }
}
