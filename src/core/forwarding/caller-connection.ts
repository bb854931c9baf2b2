/** The caller's side of one request. If a response cannot be completed, its connection is destroyed so that the caller sees it as truncated. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LacewingError } from '../errors/index.ts'

export interface CallerConnection {
  /**
   * Sends a response with a complete body. A body that the backend server delimited only by closing its connection is
   * sent to the caller in the same way: it may be truncated, and a Content-Length would present it as complete.
   */
  sendResponse(status: number, headers: readonly string[], body: Buffer, isFramed: boolean): void
  /** Sends the head of a streamed response. */
  startResponse(status: number, headers: readonly string[]): void
  hasStarted(): boolean
  /** Returns false when the write buffer is full because the caller reads more slowly than data arrives. */
  write(bytes: Buffer): boolean
  onDrain(callback: () => void): void
  end(): void
  /** Sends an error response, or destroys the connection when a part of a response has been sent. Has no effect after a complete response. */
  fail(error: LacewingError): void
  /** Registers a callback for a caller that disconnects before its response is complete. */
  onDisconnect(callback: () => void): void
}

/** Status that tells the caller that the request was not run; only errors with this status carry Retry-After. */
const NOT_RUN_STATUS = 503

export interface CallerConnectionOptions {
  incoming: IncomingMessage
  outgoing: ServerResponse
  /** Whether the connection must be closed after the response. */
  isClosing: () => boolean
  /** Called when a response starts after which the connection is closed. */
  onClosing: () => void
}

export function createCallerConnection ({ incoming, outgoing, isClosing, onClosing }: CallerConnectionOptions): CallerConnection {
  let isFinished = false

  function responseHeaders (headers: readonly string[]): string[] {
    const result: string[] = []
    for (let i = 0; i < headers.length; i += 2) {
      if (headers[i]!.toLowerCase() !== 'content-length') result.push(headers[i]!, headers[i + 1]!)
    }
    if (isClosing()) {
      result.push('Connection', 'close')
      onClosing()
    }
    return result
  }

  return {
    sendResponse (status, headers, body, isFramed) {
      const framedHeaders = responseHeaders(headers)
      if (!isFramed) {
        outgoing.useChunkedEncodingByDefault = false
        outgoing.shouldKeepAlive = false
        onClosing()
      } else if (status !== 204 && status !== 304) framedHeaders.push('Content-Length', String(body.length))
      outgoing.writeHead(status, framedHeaders)
      isFinished = true
      outgoing.end(incoming.method === 'HEAD' ? undefined : body)
    },
    startResponse (status, headers) {
      outgoing.writeHead(status, responseHeaders(headers))
    },
    hasStarted: () => outgoing.headersSent,
    write: bytes => outgoing.write(bytes),
    onDrain: callback => { outgoing.once('drain', callback) },
    end () {
      isFinished = true
      outgoing.end()
    },
    fail ({ kind, message, hint, httpStatus, retryAfterMs }) {
      if (isFinished) return
      isFinished = true
      if (outgoing.headersSent) {
        outgoing.destroy()
        return
      }
      const body = Buffer.from(JSON.stringify({ error: { type: kind, message, hint } }))
      const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)]
      if (httpStatus === NOT_RUN_STATUS && retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1000).toFixed(2))
      if (isClosing() || !incoming.complete) {
        headers.push('Connection', 'close')
        onClosing()
      }
      outgoing.writeHead(httpStatus, headers)
      outgoing.end(body)
    },
    onDisconnect (callback) {
      // The caller may have disconnected before this registration.
      if (outgoing.destroyed) callback()
      else outgoing.once('close', () => { if (!isFinished) callback() })
    }
  }
}
