/**
 * The body of a response of a backend server or of another VM. Everything that is read of one passes here, so that it has
 * one bound and one price however it is split: the chunks of one read are joined before they are handled, because a
 * buffer for each chunk takes hundreds of bytes and keeps the whole read in memory; all that is held is charged to the
 * claim of the request, and the connection is not read while nobody reads the body or the claim may not grow. The work on
 * it is counted, because a few bytes in each chunk or line cost as much as some KB in one.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import { LINES_PER_STEP, UNCHECKED_HELD_BYTES } from '../resource-limits/constants.ts'
import type { ByteClaim } from '../resource-limits/index.ts'
import { createChunkJoiner } from './chunk-joiner.ts'
import type { PacedConnection } from './paced-connection.ts'

export interface BodyReader {
  /** Takes bytes that are not changed any more. What it keeps of them must be compact and part of `setHeld`. */
  onData(bytes: Buffer): void
  onEnd(): void
  /** The body has ended before its end. */
  onBroken(reason: string): void
}

export interface ResponseBody {
  headers: IncomingHttpHeaders
  /** Whether the end of the body is marked by its length, chunked encoding or status, and not only by the close of its connection. */
  isFramed: boolean
  /** Whether all of it has arrived, as far as its framing shows. */
  isComplete(): boolean
  /** Sets the only reader. What has arrived is passed on in a later turn. */
  read(reader: BodyReader): void
  /** Sets how many bytes the reader holds; reading pauses while the claim may not grow. */
  setHeld(bytes: number): void
  /** Counts work on what has been read, in lines. */
  countLines(lines: number): void
  /** Whether reading is paused because the claim may not grow. */
  awaitsRoom(): boolean
  /** Pauses reading while the caller takes nothing; what has been received is still passed on. */
  holdForCaller(): void
  releaseForCaller(): void
  destroy(): void
}

export interface ResponseBodyOptions {
  incoming: IncomingMessage
  connection: PacedConnection
  claim: ByteClaim
  /** Whether this VM has closed the connection. Nothing is passed on then. */
  isAborted: () => boolean
}

export function createResponseBody ({ incoming, connection: { holds, count, wasReset }, claim, isAborted }: ResponseBodyOptions): ResponseBody {
  const { headers, statusCode } = incoming
  const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || statusCode === 204 || statusCode === 304
  const joiner = createChunkJoiner()
  let reader: BodyReader | undefined
  /** Bytes that the reader holds, and those that are charged, which include the ones that wait for a reader. */
  let heldBytes = 0
  let chargedBytes = 0
  let isFlushScheduled = false
  let outcome: 'open' | 'ended' | 'closed' = 'open'
  let failure = 'connection closed'
  /** Whether the end has been read, and may still turn out to be a reset. */
  let isEnding = false

  holds.attach(incoming)
  holds.hold('no reader')
  incoming.on('data', (chunk: Buffer) => {
    count(1)
    joiner.add(chunk)
    scheduleFlush()
  })
  incoming.on('end', () => void endInOrder())
  incoming.on('error', error => { failure = error.message })
  incoming.on('close', () => { if (!isEnding) finish('closed') })

  function scheduleFlush (): void {
    if (isFlushScheduled) return
    isFlushScheduled = true
    process.nextTick(flush)
  }

  function flush (): void {
    isFlushScheduled = false
    if (isAborted()) joiner.clear()
    const bytes = reader && joiner.take()
    charge()
    if (bytes) reader!.onData(bytes)
    if (outcome !== 'open') endReader()
  }

  async function endInOrder (): Promise<void> {
    isEnding = true
    if (isFramed || !await wasReset()) return finish('ended')
    failure = 'connection reset'
    finish('closed')
  }

  function finish (end: 'ended' | 'closed'): void {
    if (outcome === 'open') outcome = end
    flush()
  }

  function endReader (): void {
    const ended = reader
    if (!ended) return
    reader = endedReader
    if (outcome === 'ended') ended.onEnd()
    else ended.onBroken(failure)
    stopWaiting()
  }

  function stopWaiting (): void {
    if (holds.has('room')) claim.stopWaiting()
    holds.unhold('room')
  }

  function charge (): void {
    const bytes = heldBytes + joiner.heldBytes()
    if (bytes > chargedBytes) claim.add(bytes - chargedBytes)
    else if (bytes < chargedBytes) claim.release(chargedBytes - bytes)
    chargedBytes = bytes
  }

  return {
    headers,
    isFramed,
    isComplete: () => incoming.complete,
    read (newReader) {
      reader = newReader
      holds.unhold('no reader')
      scheduleFlush()
    },
    setHeld (bytes) {
      heldBytes = bytes
      charge()
      if (bytes <= UNCHECKED_HELD_BYTES || outcome !== 'open' || holds.has('room') || claim.mayGrow()) return
      holds.hold('room')
      claim.awaitRoom(() => holds.unhold('room'))
    },
    countLines: lines => count(lines / LINES_PER_STEP),
    awaitsRoom: () => holds.has('room'),
    holdForCaller: () => holds.hold('caller'),
    releaseForCaller: () => holds.unhold('caller'),
    destroy: () => { incoming.destroy() }
  }
}

const endedReader: BodyReader = { onData () {}, onEnd () {}, onBroken () {} }
