/**
 * The HTTP server for callers whose requests are forwarded as they are. It uses Node's HTTP server and not hapi,
 * because path, query and body must reach the backend server byte for byte and broken answers must be visible as such
 * on the connection.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { GatewayError, type ErrorName } from '../errors/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { createCallerConnection, type CallerConnection } from './caller-connection.ts'
import { IDLE_MARGIN_MS } from './constants.ts'
import type { RouteTable } from './route-table.ts'
import type { CallerLimits, CallerRequest } from './types.ts'

/** Bound of Node's parser; the configuration's own limit is checked on top. */
const PARSER_HEADER_BYTES = 64 * 1024
/** Period of Node's check for slow callers. */
const SLOW_CHECK_MS = 500

export interface CallerServerOptions {
  decode(method: string, target: string, headers: IncomingMessage['headers'], raw: string[]): CallerRequest
  /** The configuration in force; `undefined` before the first one is known. */
  table: () => RouteTable | undefined
  /** Takes a request with its whole body. */
  handle(request: CallerRequest, body: Buffer | undefined, caller: CallerConnection): void
  isClosing: () => boolean
  metrics: Metrics
}

export interface CallerServer {
  server: Server
  applyLimits(limits: CallerLimits): void
  /** Requests that have been received, wholly or in part, and not answered. */
  open(): number
}

export function createCallerServer ({ decode, table, handle, isClosing, metrics }: CallerServerOptions): CallerServer {
  let open = 0
  const server = createServer({ maxHeaderSize: PARSER_HEADER_BYTES, connectionsCheckingInterval: SLOW_CHECK_MS, requestTimeout: 0 }, receive)
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Duplex) => {
    metrics.count('bad_input', error.code ?? 'unreadable')
    if (error.code === 'ECONNRESET' || !socket.writable) return socket.destroy()
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  })

  function receive (incoming: IncomingMessage, outgoing: ServerResponse): void {
    open++
    outgoing.once('close', () => { open-- })
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
      server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS
    },
    open: () => open
  }
}

/** Collects the body; `undefined` when it is too large. A caller that breaks off gets no callback. */
function readBody (incoming: IncomingMessage, maxBytes: number, done: (body: Buffer | undefined) => void): void {
  const chunks: Buffer[] = []
  let bytes = 0
  incoming.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes <= maxBytes) chunks.push(chunk)
    else if (bytes - chunk.length <= maxBytes) done(undefined)
  })
  incoming.on('end', () => { if (bytes <= maxBytes) done(Buffer.concat(chunks)) })
  incoming.on('error', () => {})
}

function headerBytes (raw: readonly string[]): number {
  return raw.reduce((sum, text) => sum + text.length + 2, 0)
}
