/**
 * HTTP server for callers and operators. Sets the limits for headers, bodies, connections and slow senders, and
 * converts every error response to the format of the error catalogue.
 */
import { readFileSync } from 'node:fs'
import { createServer as createHttpServer, type RequestListener, type ServerOptions } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { Duplex } from 'node:stream'
import Hapi, { type Request, type ResponseObject, type ResponseToolkit, type Server } from '@hapi/hapi'
import type { Boom } from '@hapi/boom'
import { GatewayError, LacewingError, type ErrorName } from '../errors/index.ts'
import { errorResponse, errorBody } from './responses.ts'
import type { Limits } from './types.ts'

export interface CallerServerOptions {
  host: string
  /** 0 selects a free port. */
  port: number
  limits: Limits
  tls?: { certFile: string, keyFile: string }
}

/** Creates the server without starting it. */
export function createCallerServer ({ host, port, limits, tls }: CallerServerOptions): Server {
  const listener = createListener(limits, tls)
  listener.maxConnections = limits.max_connections
  const server = Hapi.server({
    host,
    port,
    listener: listener as ReturnType<typeof createHttpServer>,
    tls: tls !== undefined,
    compression: false,
    debug: false,
    routes: {
      payload: { maxBytes: limits.max_body_bytes, timeout: limits.header_timeout_ms },
      state: { parse: false, failAction: 'ignore' }
    }
  })
  server.ext('onPreResponse', toCatalogueError)
  // hapi responds to every invalid request with 400, so that callers could not recognize exceeded limits and timeouts.
  listener.removeAllListeners('clientError')
  listener.on('clientError', respondToInvalidRequest)
  return server
}

const STATUS_BY_CLIENT_ERROR: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/** Responds to a request that the HTTP server rejected as invalid or too slow. It was not run. */
function respondToInvalidRequest (error: NodeJS.ErrnoException, socket: Duplex): void {
  if (!socket.writable) return void socket.destroy()
  const status = STATUS_BY_CLIENT_ERROR[error.code ?? ''] ?? '400 Bad Request'
  const body = JSON.stringify(errorBody(new GatewayError('bad_request', { detail: status.slice(4) })))
  const head = `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n`
  socket.end(head + body)
}

function createListener (limits: Limits, tls: CallerServerOptions['tls']) {
  const options: ServerOptions = {
    maxHeaderSize: limits.max_header_bytes,
    headersTimeout: limits.header_timeout_ms,
    requestTimeout: limits.header_timeout_ms * 2,
    connectionsCheckingInterval: Math.max(100, limits.header_timeout_ms / 2)
  }
  const ignore: RequestListener = () => {}
  if (!tls) return createHttpServer(options).off('request', ignore)
  const files = { cert: readFileSync(tls.certFile), key: readFileSync(tls.keyFile) }
  return createHttpsServer({ ...options, ...files })
}

const ERROR_BY_STATUS: Record<number, ErrorName> = {
  400: 'bad_request',
  401: 'unauthenticated',
  403: 'forbidden',
  404: 'not_found',
  405: 'not_found',
  408: 'bad_request',
  413: 'body_too_large',
  415: 'bad_request'
}

function toCatalogueError (request: Request, h: ResponseToolkit): ResponseObject | symbol {
  const { response } = request
  if (typeof response !== 'object' || !('isBoom' in response) || !response.isBoom) return h.continue
  return errorResponse(h, fromBoom(response))
}

function fromBoom (error: Boom): LacewingError {
  if (error instanceof LacewingError) return error
  const kind = ERROR_BY_STATUS[error.output.statusCode] ?? 'internal'
  const detail = kind === 'internal' ? undefined : error.message
  return new GatewayError(kind, { detail, cause: error })
}
