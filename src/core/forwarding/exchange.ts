/**
 * One request to one backend server, or through another VM, on its own connection. A new connection carries no late, extra or mixed-up bytes of
 * earlier responses, and a failure to connect proves that nothing was sent. A new connection costs a fraction of
 * what repeating one request costs.
 */
import { request as httpRequest, type IncomingMessage } from 'node:http'
import { connect, type Socket } from 'node:net'
import type { Backend } from '../backend-pool/types.ts'
import { HEADER_FIELD_BYTES } from '../resource-limits/constants.ts'
import type { Blocks, ByteClaim, ReadPace } from '../resource-limits/index.ts'
import { CONNECT_TIMEOUT_MS, MAX_HEADER_FIELDS, MAX_INTERIM_RESPONSES } from './constants.ts'
import { readPendingInput } from './pending-input.ts'
import { createPacedConnection, type PacedConnection } from './paced-connection.ts'
import { createResponseBody, type ResponseBody } from './response-body.ts'
import type { BackendCall, BackendResponseHead, CallerRequest } from './types.ts'

/** Encodes and decodes headers; the platform's adapter provides it. */
export interface Codec {
  encodeBackendRequest(request: CallerRequest, call: BackendCall, bodyBytes: number): string[]
  decodeBackendHead(request: CallerRequest, status: number, headers: IncomingMessage['headers'], raw: string[]): BackendResponseHead
}

/**
 * `not_sent`: no byte of the request was sent. `not_permitted`: nor was any, because it may not be sent any more. `lost`: the
 * backend server may have run the request.
 */
export type ExchangeFailure = { kind: 'not_sent' | 'not_permitted' | 'lost', reason: string }

export type ExchangeResult = { kind: 'head', head: BackendResponseHead, body: ResponseBody } | ExchangeFailure

export interface Exchange {
  /** Resolves with the response head or with the failure; never rejects. */
  result: Promise<ExchangeResult>
  /**
   * Whether the connection has failed. Node's parser reports a body without Content-Length as complete even when its
   * connection was reset, so the end of a body alone does not prove that it is complete.
   */
  hasConnectionFailed(): boolean
  /** Whether this VM closed the connection, rather than the backend server. */
  isAborted(): boolean
  /** Closes the connection, which makes the backend server cancel the request. */
  abort(reason: string): void
}

export interface ExchangeOptions extends TransportOptions {
  backend: Backend
  request: CallerRequest
  call: BackendCall
  body: Blocks | undefined
  codec: Codec
}

interface TransportOptions {
  /** Charged with what this VM holds of the response. */
  claim: ByteClaim
  /** Limits the time that is spent on what backend servers and other VMs send. */
  pace: ReadPace
  /** Whether the request may still be sent; asked in the turn in which its bytes are written. Default: always. */
  mayStillSend?: () => boolean
  /** Open connection to the backend server that has not been used yet. Default: a new one. */
  connection?: Socket | undefined
  connectTimeoutMs?: number
  /** Called when the connection is open. */
  onConnected?: () => void
}

export interface AddressedExchangeOptions extends TransportOptions {
  /** `IP:PORT`. */
  address: string
  request: Pick<CallerRequest, 'method' | 'target'>
  /** With alternating names and values. */
  headers: string[]
  body: Blocks | undefined
  decodeHead: (status: number, headers: IncomingMessage['headers'], raw: string[]) => BackendResponseHead
}

/** Opens a connection whose own side stays open at the end of the other one, so that a reset can be told from an end. */
function connectTo (address: string): Socket {
  return connect({ ...parseAddress(address), noDelay: true, allowHalfOpen: true })
}

/** Opens a connection before the request for it is due; resolves with `undefined` if that fails or takes longer. */
export function openConnection (address: string, timeoutMs: number): Promise<Socket | undefined> {
  const socket = connectTo(address)
  return new Promise(resolve => {
    const timer = setTimeout(() => void readPendingInput().then(() => { settle(false) }), timeoutMs)
    function settle (isOpen: boolean): void {
      clearTimeout(timer)
      if (!isOpen) socket.destroy()
      resolve(isOpen ? socket : undefined)
    }
    socket.once('connect', () => { settle(true) })
    // Also keeps a connection that fails before its request from ending the process.
    socket.on('error', () => { settle(false) })
  })
}

function parseAddress (address: string): { host: string, port: number } {
  const [host, port] = address.split(':')
  return { host: host!, port: Number(port) }
}

export function startExchange ({ backend, request, call, body, codec, ...transport }: ExchangeOptions): Exchange {
  return startAddressedExchange({
    address: backend.entry.address,
    request,
    headers: codec.encodeBackendRequest(request, call, body?.bytes ?? 0),
    body,
    decodeHead: (status, headers, raw) => codec.decodeBackendHead(request, status, headers, raw),
    ...transport
  })
}

export function startAddressedExchange ({ address, request, headers, body, decodeHead, claim, pace, mayStillSend = () => true, connection, connectTimeoutMs = CONNECT_TIMEOUT_MS, onConnected = () => {} }: AddressedExchangeOptions): Exchange {
  const { host, port } = parseAddress(address)
  const createConnection = () => connection ?? connectTo(address)
  let isOpen = connection !== undefined
  /** Whether the request has been sent. */
  let isSent = false
  let connectionFailed = false
  let aborted = false
  let isSettled = false
  let settle: (result: ExchangeResult) => void = () => {}
  const result = new Promise<ExchangeResult>(resolve => { settle = resolve })

  const outgoing = httpRequest({ createConnection, host, port, method: request.method, path: request.target, headers, setHost: false } as object, incoming => {
    const { rawHeaders } = incoming
    // Also prevents an unhandled 'error' event.
    const responseBody = createResponseBody({ incoming, connection: paced!, claim, isAborted: () => aborted })
    if (rawHeaders.length > 2 * MAX_HEADER_FIELDS) return fail('too many header fields')
    claim.add(rawHeaders.reduce((sum, { length }) => sum + length + HEADER_FIELD_BYTES / 2, 0))
    settle({ kind: 'head', head: decodeHead(incoming.statusCode!, incoming.headers, rawHeaders), body: responseBody })
  })
  let paced: PacedConnection | undefined
  outgoing.on('socket', socket => {
    paced = createPacedConnection(socket, pace)
    if (socket.connecting) socket.once('connect', () => void sendAfterInput())
    else send()
  })
  let interimResponses = 0
  outgoing.on('information', () => { if (++interimResponses > MAX_INTERIM_RESPONSES) fail('too many interim responses') })
  outgoing.on('error', error => {
    connectionFailed = true
    fail(error.message)
  })
  outgoing.on('close', () => fail('connection closed'))
  const timer = setTimeout(() => {
    void readPendingInput().then(() => { if (!isOpen) fail('connect timeout') })
  }, connectTimeoutMs)

  /** The connection may have opened in a late turn of the event loop, in which the caller's leaving is still to be read. */
  async function sendAfterInput (): Promise<void> {
    isOpen = true
    await readPendingInput()
    if (!isSettled) send()
  }

  /** The headers are sent with the body, so nothing leaves before this. */
  function send (): void {
    if (!connection) onConnected()
    if (!mayStillSend()) return fail('not permitted any more', 'not_permitted')
    isSent = true
    clearTimeout(timer)
    const blocks = body?.blocks ?? []
    // Node sends the headers and a single block in one write.
    if (blocks.length <= 1) return void outgoing.end(blocks[0])
    outgoing.cork()
    for (const block of blocks) outgoing.write(block)
    outgoing.end()
    outgoing.uncork()
  }

  function fail (reason: string, kind: ExchangeFailure['kind'] = isSent ? 'lost' : 'not_sent'): void {
    isSettled = true
    clearTimeout(timer)
    settle({ kind, reason })
    outgoing.destroy()
  }

  return {
    result,
    hasConnectionFailed: () => connectionFailed,
    isAborted: () => aborted,
    abort (reason) {
      aborted = true
      fail(reason)
    }
  }
}
