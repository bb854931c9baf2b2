/** The caller's side of one request. If a response cannot be completed, its connection is destroyed so that the caller sees it as truncated. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LacewingError } from '../errors/index.ts'
import { FORWARDED_ERROR_HEADER, FORWARDED_UNFRAMED_HEADER } from '../peer-forwarding/message.ts'
import { RESPONSE_PIECE_BYTES, RESPONSE_PROGRESS_WINDOW_MS } from '../resource-limits/constants.ts'
import type { Blocks, ByteClaim } from '../resource-limits/index.ts'

export interface CallerConnection {
  /** What this VM holds for the request and its response. */
  claim: ByteClaim
  /**
   * Sends a response with a complete body. A body that the backend server delimited only by closing its connection is
   * sent to the caller in the same way: it may be truncated, and a Content-Length would present it as complete. Another VM
   * gets a length and a header that says so, because it could not tell the end of this process from the end of the body.
   */
  sendResponse(status: number, headers: readonly string[], body: Blocks, isFramed: boolean): void
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
  claim: ByteClaim
  /** Whether the caller is another VM, which needs the name of an error. */
  isPeer?: boolean
  /** Reads the rest of the request's body, up to a bound; `undefined` if it has none. */
  discardBody: ((onEnd: () => void) => void) | undefined
  /** Whether the connection must be closed after the response. */
  isClosing: () => boolean
  /** Called when a response starts after which the connection is closed. */
  onClosing: () => void
}

export function createCallerConnection ({ incoming, outgoing, claim, isPeer = false, discardBody, isClosing, onClosing }: CallerConnectionOptions): CallerConnection {
  let isFinished = false
  /** Charged bytes of a streamed response that the caller has not taken; `undefined` while it keeps up. */
  let unreadBytes: number | undefined

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

  /** A caller that reads nothing of its response may lose it to others in a shortage. */
  function expectReading (): void {
    claim.setEvict(() => outgoing.destroy(), { progressWindowMs: RESPONSE_PROGRESS_WINDOW_MS, onlyWithoutProgress: true })
  }

  /** Writes each piece when the one before has been taken, which shows whether the caller reads. */
  function writePieces ({ blocks }: Blocks): void {
    const pieces = piecesOf(blocks)
    function writeNext (): void {
      const { value: piece, done } = pieces.next()
      if (done) return void outgoing.end()
      outgoing.write(piece, error => {
        if (error) return
        claim.recordProgress(piece.length)
        writeNext()
      })
    }
    writeNext()
  }

  return {
    claim,
    sendResponse (status, headers, body, isFramed) {
      const framedHeaders = responseHeaders(headers)
      if (!isFramed && isPeer) framedHeaders.push(FORWARDED_UNFRAMED_HEADER, '1')
      if (!isFramed && !isPeer) {
        outgoing.useChunkedEncodingByDefault = false
        outgoing.shouldKeepAlive = false
        onClosing()
      } else if (status !== 204 && status !== 304) framedHeaders.push('Content-Length', String(body.bytes))
      outgoing.writeHead(status, framedHeaders)
      isFinished = true
      if (incoming.method === 'HEAD' || body.bytes === 0) return void outgoing.end()
      expectReading()
      if (body.bytes <= RESPONSE_PIECE_BYTES) outgoing.end(Buffer.concat(body.blocks))
      else writePieces(body)
    },
    startResponse (status, headers) {
      outgoing.writeHead(status, responseHeaders(headers))
    },
    hasStarted: () => outgoing.headersSent,
    write (bytes) {
      if (outgoing.write(bytes)) return true
      const isBlocked = unreadBytes !== undefined
      // A chunk of many events is written to its end, and each write after the first adds only its own bytes.
      const addedBytes = Math.max(0, outgoing.writableLength - (unreadBytes ?? 0))
      unreadBytes = (unreadBytes ?? 0) + addedBytes
      claim.add(addedBytes)
      if (isBlocked) return false
      expectReading()
      outgoing.once('drain', () => {
        claim.release(unreadBytes!)
        unreadBytes = undefined
        claim.setEvict(undefined)
      })
      return false
    },
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
      if (isPeer) headers.push(FORWARDED_ERROR_HEADER, kind)
      if (isClosing() || !incoming.complete) {
        headers.push('Connection', 'close')
        onClosing()
      }
      outgoing.writeHead(httpStatus, headers)
      if (incoming.complete || !discardBody) return void outgoing.end(body)
      outgoing.write(body)
      discardBody(() => outgoing.end())
    },
    onDisconnect (callback) {
      const { socket } = incoming
      const hasLeft = () => { if (!isFinished) callback() }
      // The caller may have disconnected before this registration.
      if (outgoing.destroyed || socket.readableEnded) return callback()
      // The end of what the caller sends comes some turns of the event loop before the connection is closed.
      socket.once('end', hasLeft)
      outgoing.once('close', () => {
        socket.off('end', hasLeft)
        hasLeft()
      })
    }
  }
}

function * piecesOf (blocks: readonly Buffer[]): Generator<Buffer, undefined> {
  for (const block of blocks) {
    for (let start = 0; start < block.length; start += RESPONSE_PIECE_BYTES) yield block.subarray(start, start + RESPONSE_PIECE_BYTES)
  }
}
