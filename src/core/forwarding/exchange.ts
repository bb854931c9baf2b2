/**
 * One request to one backend server on a connection of its own. A fresh connection carries no late, extra or crossed
 * bytes of earlier answers, and a failure to connect proves that nothing was sent. Measured: a new connection costs a
 * fraction of what one repeated request costs.
 */
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http'
import type { Backend } from '../backend-pool/types.ts'
import { CONNECT_TIMEOUT_MS } from './constants.ts'
import type { BackendCall, BackendHead, CallerRequest } from './types.ts'

/** Encodes and decodes headers; the platform's adapter provides it. */
export interface Codec {
  encodeBackendRequest(request: CallerRequest, call: BackendCall, bodyBytes: number): string[]
  decodeBackendHead(request: CallerRequest, status: number, headers: IncomingMessage['headers'], raw: string[]): BackendHead
}

/** `not_sent`: no byte left this VM. `lost`: the backend server may have run the request. */
export type ExchangeFailure = { kind: 'not_sent' | 'lost', reason: string }

export type ExchangeResult = { kind: 'head', head: BackendHead, body: IncomingMessage } | ExchangeFailure

export interface Exchange {
  /** Settles with the answer's head or with the failure; never rejects. */
  result: Promise<ExchangeResult>
  /**
   * Whether the connection has failed. Node's parser reports a body without length as complete also when its
   * connection was reset, so the end of a body proves nothing by itself.
   */
  isBroken(): boolean
  /** Closes the connection, which makes the backend server drop the request. */
  abort(reason: string): void
}

export interface ExchangeOptions {
  backend: Backend
  request: CallerRequest
  call: BackendCall
  body: Buffer | undefined
  codec: Codec
  connectTimeoutMs?: number
}

const agent = new Agent({ keepAlive: false, maxSockets: Infinity })

export function startExchange ({ backend, request, call, body, codec, connectTimeoutMs = CONNECT_TIMEOUT_MS }: ExchangeOptions): Exchange {
  const [host, port] = backend.entry.address.split(':')
  let connected = false
  let broken = false
  let settle: (result: ExchangeResult) => void = () => {}
  const result = new Promise<ExchangeResult>(resolve => { settle = resolve })

  const headers = codec.encodeBackendRequest(request, call, body?.length ?? 0)
  const outgoing = httpRequest({ agent, host, port, method: request.method, path: request.target, headers, setHost: false } as object, incoming => {
    const head = codec.decodeBackendHead(request, incoming.statusCode!, incoming.headers, incoming.rawHeaders)
    // An error after the head reaches the reader of the body.
    incoming.on('error', () => {})
    settle({ kind: 'head', head, body: incoming })
  })
  outgoing.on('socket', socket => {
    if (!socket.connecting) connected = true
    else socket.once('connect', () => { connected = true; clearTimeout(timer) })
  })
  outgoing.on('error', error => {
    broken = true
    fail(error.message)
  })
  outgoing.on('close', () => fail('closed'))
  const timer = setTimeout(() => { if (!connected) fail('connect timeout') }, connectTimeoutMs)
  outgoing.end(body)

  function fail (reason: string): void {
    clearTimeout(timer)
    settle({ kind: connected ? 'lost' : 'not_sent', reason })
    outgoing.destroy()
  }

  return { result, isBroken: () => broken, abort: fail }
}
