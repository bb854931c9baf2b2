/** The caller's side of one request. An answer that cannot be completed is broken off, so that it does not look whole. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LacewingError } from '../errors/index.ts'

export interface CallerConnection {
  /**
   * Answers with a whole body. A body that was only ended by its connection is passed on in the same way, because it
   * may have been cut off and must not look surer than it is.
   */
  answer(status: number, headers: readonly string[], body: Buffer, isFramed: boolean): void
  /** Begins a streamed answer. */
  begin(status: number, headers: readonly string[]): void
  hasBegun(): boolean
  /** Returns false when the caller reads more slowly than the answer comes. */
  write(bytes: Buffer): boolean
  onDrain(run: () => void): void
  end(): void
  /** Answers with an error, or breaks the answer off when it has begun. */
  fail(error: LacewingError): void
  /** Calls back when the caller closes before its answer is complete. */
  onGone(run: () => void): void
}

/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUS = 503

export interface CallerConnectionOptions {
  incoming: IncomingMessage
  outgoing: ServerResponse
  /** Whether the connection must be closed after the answer. */
  isClosing: () => boolean
}

export function createCallerConnection ({ incoming, outgoing, isClosing }: CallerConnectionOptions): CallerConnection {
  let finished = false

  function withoutLength (headers: readonly string[]): string[] {
    const kept: string[] = []
    for (let i = 0; i < headers.length; i += 2) {
      if (headers[i]!.toLowerCase() !== 'content-length') kept.push(headers[i]!, headers[i + 1]!)
    }
    if (isClosing()) kept.push('Connection', 'close')
    return kept
  }

  return {
    answer (status, headers, body, isFramed) {
      finished = true
      const all = withoutLength(headers)
      if (!isFramed) {
        outgoing.useChunkedEncodingByDefault = false
        outgoing.shouldKeepAlive = false
      } else if (status !== 204 && status !== 304) all.push('Content-Length', String(body.length))
      outgoing.writeHead(status, all)
      outgoing.end(incoming.method === 'HEAD' ? undefined : body)
    },
    begin (status, headers) {
      outgoing.writeHead(status, withoutLength(headers))
    },
    hasBegun: () => outgoing.headersSent,
    write: bytes => outgoing.write(bytes),
    onDrain: run => { outgoing.once('drain', run) },
    end () {
      finished = true
      outgoing.end()
    },
    fail ({ kind, message, hint, httpStatus, retryAfterMs }) {
      finished = true
      if (outgoing.headersSent) {
        outgoing.destroy()
        return
      }
      const body = Buffer.from(JSON.stringify({ error: { type: kind, message, hint } }))
      const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)]
      if (httpStatus === NOT_RUN_STATUS && retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1000).toFixed(2))
      if (isClosing() || !incoming.complete) headers.push('Connection', 'close')
      outgoing.writeHead(httpStatus, headers)
      outgoing.end(body)
    },
    onGone (run) {
      // A caller may have left while its request waited for something.
      if (outgoing.destroyed) run()
      else outgoing.once('close', () => { if (!finished) run() })
    }
  }
}
