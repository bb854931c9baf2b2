/**
 * HTTP calls to backend servers through wreck, with agents of their own. A call that fails before its connection is
 * established has sent nothing; every later failure may have run.
 */
import { Agent, type IncomingMessage } from 'node:http'
import { Agent as HttpsAgent } from 'node:https'
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
  /** Milliseconds until the headers of the answer must be there. */
  firstByteTimeoutMs: number
  /**
   * Reuses an idle connection. One that breaks just as the request goes out cannot be told apart from a crash that
   * the request caused, so only calls without side effects reuse connections.
   */
  reuseConnection?: boolean
}

export interface HttpAnswer {
  status: number
  instance: string
  message: IncomingMessage
}

type RequestOptions = NonNullable<Parameters<typeof Wreck.request>[2]>

export type HttpCaller = (call: HttpCall) => Promise<HttpAnswer>

/** Creates a caller with its own keep-alive connections. */
export function createHttpCaller ({ clock }: { clock: Clock }): HttpCaller {
  const agents = {
    http: new Agent({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: 64 }),
    https: new HttpsAgent({ keepAlive: true }),
    httpsAllowUnauthorized: new HttpsAgent({ keepAlive: true })
  }
  const client = Wreck.defaults({ agents })
  return call => send(client, call, clock)
}

async function send (client: typeof Wreck, call: HttpCall, clock: Clock): Promise<HttpAnswer> {
  if (call.signal.aborted) throw new EngineFailure('cancelled', { sent: false })
  const { method, url, headers, body, reuseConnection = false } = call
  const pending = client.request(method, url, { headers, payload: body, ...(reuseConnection ? {} : { agent: false }) } as RequestOptions)
  const { req } = pending
  let connected = false
  let stopReason: FailureReason | undefined

  const stop = (reason: FailureReason) => {
    stopReason ??= reason
    req.destroy()
  }
  const cancelConnectTimer = clock.after(CONNECT_TIMEOUT_MS, () => { if (!connected) stop('connect_timeout') })
  const cancelByteTimer = clock.after(call.firstByteTimeoutMs, () => stop('first_byte_timeout'))
  const onAbort = () => stop('cancelled')
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
    return { status: message.statusCode!, instance: instanceOf(message), message }
  } catch (error) {
    call.signal.removeEventListener('abort', onAbort)
    const reason = stopReason ?? (connected ? 'connection_lost' : 'connection_refused')
    throw new EngineFailure(reason, { cause: error, sent: connected, detail: describe(reason, url) })
  } finally {
    cancelConnectTimer()
    cancelByteTimer()
  }
}

function instanceOf (message: IncomingMessage): string {
  const header = message.headers[INSTANCE_HEADER]
  return typeof header === 'string' ? header : 'unknown'
}

function describe (reason: FailureReason, url: string): string {
  return `call to ${new URL(url).host} failed: ${reason.replaceAll('_', ' ')}`
}

/** Reads a body up to a limit. Throws EngineFailure `answer_too_large` or `connection_lost`. */
export async function readBody (answer: HttpAnswer, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  const { instance, message } = answer
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
