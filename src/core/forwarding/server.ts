/**
 * The HTTP server for callers whose requests are forwarded unchanged. It uses Node's HTTP server instead of hapi,
 * because path, query and body must reach the backend server byte for byte and a truncated response must be detectable
 * on the connection.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { GatewayError, type ErrorName } from '../errors/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { createCallerConnection, type CallerConnection } from './caller-connection.ts'
import { IDLE_TIMEOUT_MARGIN_MS } from './constants.ts'
import type { RouteTable } from './route-table.ts'
import type { CallerLimits, CallerRequest } from './types.ts'

/** Header limit of Node's parser; the configured limit is checked in addition. */
const MAX_PARSER_HEADER_BYTES = 64 * 1024
/** Period in which Node checks connections for header timeouts. */
const CONNECTION_CHECK_PERIOD_MS = 500

export interface CallerServerOptions {
  decode(method: string, target: string, headers: IncomingMessage['headers'], raw: string[]): CallerRequest
  /** The route table of the current configuration; `undefined` before the first one is loaded. */
  table: () => RouteTable | undefined
  /** Handles a request after its body has been received completely. */
  handle(request: CallerRequest, body: Buffer | undefined, caller: CallerConnection): void
  isClosing: () => boolean
  metrics: Metrics
}

export interface CallerServer {
  server: Server
  applyLimits(limits: CallerLimits): void
  /** Number of requests whose headers have been received and whose response is not finished. */
  openRequests(): number
}

export function createCallerServer ({ decode, table, handle, isClosing, metrics }: CallerServerOptions): CallerServer {
  let openRequests = 0
  const server = createServer({ maxHeaderSize: MAX_PARSER_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_PERIOD_MS, requestTimeout: 0 }, receive)
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    metrics.count('bad_input', error.code ?? 'unreadable')
    if (error.code === 'ECONNRESET' || !socket.writable) return socket.destroy()
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  })

  function receive (incoming: IncomingMessage, outgoing: ServerResponse): void {
    openRequests++
    outgoing.once('close', () => { openRequests-- })
    const caller = createCallerConnection({ incoming, outgoing, isClosing })
    const request = decode(incoming.method!, incoming.url!, incoming.headers, incoming.rawHeaders)
    const limits = table()?.limits
    if (limits && headerBytes(incoming.rawHeaders) > limits.maxHeaderBytes) return refuse(caller, 'headers_too_large')
    const maxBytes = limits?.maxBodyBytes ?? 0
    if (limits && Number(incoming.headers['content-length'] ?? 0) > maxBytes) return refuse(caller, 'body_too_large')
    const hasBody = incoming.headers['content-length'] !== undefined || incoming.headers['transfer-encoding'] !== undefined
    if (!hasBody) {
      incoming.resume()
      handle(request, undefined, caller)
      return
    }
    readBody(incoming, limits ? maxBytes : Infinity, body => {
      if (body) handle(request, body, caller)
      else refuse(caller, 'body_too_large')
    })
  }

  function refuse (caller: CallerConnection, error: ErrorName): void {
    metrics.count('refusals', error)
    caller.fail(new GatewayError(error))
  }

  return {
    server,
    applyLimits ({ headerTimeoutMs, idleTimeoutMs }) {
      server.headersTimeout = headerTimeoutMs
      server.keepAliveTimeout = idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS
    },
    openRequests: () => openRequests
  }
}

/** Reads the body and passes it to the callback, or `undefined` when it is too large. The callback is not called if the caller disconnects. */
function readBody (incoming: IncomingMessage, maxBytes: number, onBody: (body: Buffer | undefined) => void): void {
  const chunks: Buffer[] = []
  let bytes = 0
  incoming.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes <= maxBytes) chunks.push(chunk)
    else if (bytes - chunk.length <= maxBytes) onBody(undefined)
  })
  incoming.on('end', () => { if (bytes <= maxBytes) onBody(Buffer.concat(chunks)) })
  incoming.on('error', () => {})
}

function headerBytes (raw: readonly string[]): number {
  return raw.reduce((sum, field) => sum + field.length + 2, 0)
}
