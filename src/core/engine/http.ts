/**
 * HTTP calls to backend servers through wreck. A call that fails before its connection is established has sent nothing;
 * after any later failure the request may have run. Each call opens a connection: one that breaks just as a request is
 * sent cannot be distinguished from a crash that the request caused, and on a connection that is used again a second
 * copy of a response would be taken for that to the next request.
 */
import type { IncomingMessage } from 'node:http'
import Wreck from '@hapi/wreck'
import type { Clock } from '../clock/index.ts'
import { CONNECT_TIMEOUT_MS, INSTANCE_HEADER } from './constants.ts'
import { EngineFailure, type FailureReason } from './errors.ts'

export interface HttpCall {
  method: string
  url: string
  headers?: Record<string, string | undefined>
  body?: string
  /** Aborting destroys the connection. */
  signal: AbortSignal
  /** Maximum time until the response headers arrive, milliseconds. */
  firstByteTimeoutMs: number
}

export interface HttpResponse {
  status: number
  instance: string
  message: IncomingMessage
}

type RequestOptions = NonNullable<Parameters<typeof Wreck.request>[2]>

export type HttpClient = (call: HttpCall) => Promise<HttpResponse>

export function createHttpClient ({ clock }: { clock: Clock }): HttpClient {
  return call => sendRequest(call, clock)
}

async function sendRequest (call: HttpCall, clock: Clock): Promise<HttpResponse> {
  if (call.signal.aborted) throw new EngineFailure('cancelled', { sent: false })
  const { method, url, headers, body } = call
  const pending = Wreck.request(method, url, { headers, payload: body, agent: false } as RequestOptions)
  const { req } = pending
  let connected = false
  let failureReason: FailureReason | undefined

  const abort = (reason: FailureReason) => {
    failureReason ??= reason
    req.destroy()
  }
  const cancelConnectTimer = clock.after(CONNECT_TIMEOUT_MS, () => { if (!connected) abort('connect_timeout') })
  const cancelFirstByteTimer = clock.after(call.firstByteTimeoutMs, () => abort('first_byte_timeout'))
  const onAbort = () => abort('cancelled')
  const onConnect = () => {
    connected = true
    cancelConnectTimer()
  }
  req.once('socket', socket => {
    if (socket.connecting) socket.once('connect', onConnect)
    else onConnect()
  })
  call.signal.addEventListener('abort', onAbort, { once: true })
  try {
    const message = await pending
    message.once('close', () => call.signal.removeEventListener('abort', onAbort))
    return { status: message.statusCode!, instance: readInstance(message), message }
  } catch (error) {
    call.signal.removeEventListener('abort', onAbort)
    const reason = failureReason ?? (connected ? 'connection_lost' : 'connection_refused')
    throw new EngineFailure(reason, { cause: error, sent: connected, detail: describeFailure(reason, url) })
  } finally {
    cancelConnectTimer()
    cancelFirstByteTimer()
  }
}

function readInstance (message: IncomingMessage): string {
  const header = message.headers[INSTANCE_HEADER]
  return typeof header === 'string' ? header : 'unknown'
}

function describeFailure (reason: FailureReason, url: string): string {
  return `call to ${new URL(url).host} failed: ${reason.replaceAll('_', ' ')}`
}

/** Reads a body up to a limit. Throws EngineFailure `answer_too_large` or `connection_lost`. */
export async function readBody (response: HttpResponse, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  const { instance, message } = response
  try {
    for await (const chunk of message) {
      size += (chunk as Buffer).length
      if (size > maxBytes) throw new EngineFailure('answer_too_large', { instance })
      chunks.push(chunk as Buffer)
    }
  } catch (error) {
    if (error instanceof EngineFailure) throw error
    throw new EngineFailure('connection_lost', { cause: error, instance })
  }
  if (!message.complete) throw new EngineFailure('connection_lost', { instance })
  return Buffer.concat(chunks).toString('utf8')
}
