/**
 * The HTTP server for callers whose requests are forwarded unchanged. It uses Node's HTTP server instead of hapi,
 * because path, query and body must reach the backend server byte for byte and a truncated response must be detectable
 * on the connection.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '../clock/index.ts'
import { errorMessage, GatewayError, type ErrorName } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { CONNECTION_BYTES, DEFAULT_HEADER_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS, DEFAULT_MAX_BODY_BYTES, PROGRESS_WINDOW_MS, REQUEST_OVERHEAD_BYTES, SMALL_CLAIM_BYTES } from '../resource-limits/constants.ts'
import { createReadTurns, type Blocks, type ByteBudget, type UnknownSender } from '../resource-limits/index.ts'
import { createCallerConnection, type CallerConnection } from './caller-connection.ts'
import { IDLE_TIMEOUT_MARGIN_MS, RETRY_AFTER_JITTER_S, RETRY_AFTER_S } from './constants.ts'
import { isSendableRequest } from './message-head.ts'
import { readInTurns } from './new-connection.ts'
import { readPendingInput } from './pending-input.ts'
import { createRequestBody } from './request-body.ts'
import { createRequestQueue, type RequestQueue } from './request-queue.ts'
import type { RouteTable } from './route-table.ts'
import type { CallerLimits, CallerRequest } from './types.ts'

/** Header limit of Node's parser; the configured limit is checked in addition. */
const MAX_PARSER_HEADER_BYTES = 64 * 1024
/** Period in which Node checks connections for header timeouts. */
const CONNECTION_CHECK_PERIOD_MS = 500

export interface ReceivedRequest {
  request: CallerRequest
  body: Blocks | undefined
  caller: CallerConnection
  /** Monotonic time at which it was received. */
  receivedMs: number
  /** Checks the request against the limits in force, which may not have been known when it was received. */
  limitError: () => ErrorName | undefined
}

export interface CallerServerOptions {
  decode(method: string, target: string, headers: IncomingMessage['headers'], raw: string[]): CallerRequest
  /** The route table of the current configuration; `undefined` before the first one is loaded. */
  table: () => RouteTable | undefined
  /**
   * Handles a request after its body has been received completely, which was at the monotonic time `receivedMs`, and after
   * the earlier requests of its connection have been answered. A rejection fails this request only.
   */
  handle(received: ReceivedRequest): Promise<void>
  isClosing: () => boolean
  budget: ByteBudget
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
}

export interface CallerServer {
  server: Server
  applyLimits(limits: CallerLimits): void
  /** Number of requests whose headers have been received and whose response is not finished. */
  openRequests(): number
  /** Number of connections that have been accepted and of requests whose headers have been received. */
  arrivals(): number
}

export function createCallerServer ({ decode, table, handle, isClosing, budget, clock, log, metrics, random }: CallerServerOptions): CallerServer {
  let openRequests = 0
  let arrivals = 0
  const server = createServer({ maxHeaderSize: MAX_PARSER_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_PERIOD_MS, requestTimeout: 0 }, receive)
  applyTimeouts(DEFAULT_HEADER_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS)
  const turns = createReadTurns({ afterTurn: run => { setImmediate(run) } })
  const requestQueues = new WeakMap<Duplex, RequestQueue>()
  const senders = new WeakMap<Duplex, UnknownSender>()
  server.on('connection', (socket: Socket) => {
    arrivals++
    requestQueues.set(socket, createRequestQueue(socket))
    const claim = budget.open({ connection: socket, address: socket.remoteAddress, team: undefined })
    claim.add(CONNECTION_BYTES)
    socket.once('close', claim.end)
    senders.set(socket, readInTurns(socket, turns))
  })
  // After a pause of the process, the idle timeout of a connection is checked before its next request is read.
  server.on('timeout', (socket: Socket) => {
    const { bytesRead } = socket
    void readPendingInput().then(() => { if (socket.bytesRead === bytesRead) socket.destroy() })
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    metrics.count('bad_input', error.code ?? 'unreadable')
    if (error.code === 'ECONNRESET' || !socket.writable) return socket.destroy()
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
    requestQueues.get(socket)!.endWith(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  })

  function receive (incoming: IncomingMessage, outgoing: ServerResponse): void {
    arrivals++
    const queue = requestQueues.get(incoming.socket)!
    const request = decode(incoming.method!, incoming.url!, incoming.headers, incoming.rawHeaders)
    const claim = budget.open({ connection: incoming.socket, address: incoming.socket.remoteAddress, team: request.key })
    const queued = queue.add(incoming, outgoing, () => {
      openRequests--
      claim.end()
    })
    if (!queued) {
      claim.end()
      return metrics.count('refusals', 'connection_closing')
    }
    openRequests++
    const announcedBytes = Number(incoming.headers['content-length'] ?? 0)
    const isChunked = incoming.headers['transfer-encoding'] !== undefined
    const hasBody = incoming.headers['content-length'] !== undefined || isChunked
    const sender = senders.get(incoming.socket)!
    if (!isChunked) sender.end()
    const requestBody = hasBody ? createRequestBody({ incoming, claim, turns, sender: isChunked ? sender : undefined, clock }) : undefined
    const caller = createCallerConnection({
      incoming,
      outgoing,
      claim,
      isPeer: request.origin !== undefined,
      discardBody: requestBody?.discard,
      // The last response that is due closes the connection, so that all requests that were received are answered.
      isClosing: () => (isClosing() || queue.isFull()) && !queue.hasWaiting(),
      onClosing: queue.close
    })
    const refuse = (error: ErrorName) => queued.run(() => {
      metrics.count('refusals', error)
      caller.fail(new GatewayError(error, { retryAfterMs: (RETRY_AFTER_S + random() * RETRY_AFTER_JITTER_S) * 1000 }))
    })
    if (queued.isExcess) return refuse('overloaded')
    if (!isSendableRequest(incoming.url!, incoming.rawHeaders)) return refuse('bad_request')
    const limits = table()?.limits
    const receivedHeaderBytes = headerBytes(request.rawHeaders ?? incoming.rawHeaders)
    if (limits && receivedHeaderBytes > limits.maxHeaderBytes) return refuse('headers_too_large')
    // A body over the default limit may be legal under the configuration that has not been loaded yet.
    const tooLarge = limits ? 'body_too_large' : 'vm_not_ready'
    const maxBytes = limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES
    if (announcedBytes > maxBytes) return refuse(tooLarge)
    claim.add(REQUEST_OVERHEAD_BYTES + receivedHeaderBytes)
    const accept = (body?: Blocks) => {
      const receivedMs = clock.now()
      const limitError = () => {
        const known = table()?.limits
        if (known && receivedHeaderBytes > known.maxHeaderBytes) return 'headers_too_large'
        return known && body && body.bytes > known.maxBodyBytes ? 'body_too_large' : undefined
      }
      // Behind an earlier request of the connection, the request may still be refused.
      if (body) claim.setEvict(() => refuse('memory_short'))
      queued.run(() => {
        claim.setEvict(undefined)
        handle({ request, body, caller, receivedMs, limitError }).catch((error: unknown) => failUnexpectedly(caller, request, error))
      })
    }
    if (!requestBody) {
      incoming.resume()
      accept()
      return
    }
    if (announcedBytes > SMALL_CLAIM_BYTES && budget.refusesMore()) return refuse('memory_short')
    claim.setEvict(() => {
      requestBody.stop()
      refuse('memory_short')
    }, { progressWindowMs: PROGRESS_WINDOW_MS })
    requestBody.receive({
      maxBytes,
      onComplete: accept,
      onTooLarge () {
        claim.end()
        refuse(tooLarge)
      },
      onTooManyChunks () {
        claim.end()
        metrics.count('resource_limits', 'tiny_chunks')
        refuse('overloaded')
      }
    })
  }

  function applyTimeouts (headerTimeoutMs: number, idleTimeoutMs: number): void {
    server.headersTimeout = headerTimeoutMs
    server.keepAliveTimeout = idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS
  }

  function failUnexpectedly (caller: CallerConnection, { id, target }: CallerRequest, error: unknown): void {
    metrics.count('requests', 'internal_error')
    log.error('a request failed by an error of this VM', { id, target, error: errorMessage(error), stack: error instanceof Error ? error.stack : undefined })
    caller.fail(new GatewayError('internal'))
  }

  return {
    server,
    applyLimits ({ headerTimeoutMs, idleTimeoutMs }) { applyTimeouts(headerTimeoutMs, idleTimeoutMs) },
    openRequests: () => openRequests,
    arrivals: () => arrivals
  }
}

function headerBytes (raw: readonly string[]): number {
  return raw.reduce((sum, field) => sum + field.length + 2, 0)
}
