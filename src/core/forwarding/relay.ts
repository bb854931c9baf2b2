/** Reads a backend server's response: buffers a plain one until it is complete, and relays a stream event by event. */
import type { IncomingMessage } from 'node:http'
import type { Backend } from '../backend-pool/types.ts'
import type { Clock } from '../clock/index.ts'
import { createBlockWriter, type Blocks, type ByteClaim } from '../resource-limits/index.ts'
import type { CallerConnection } from './caller-connection.ts'
import { MAX_BUFFERED_RESPONSE_BYTES, MAX_EVENT_BYTES, SILENT_SERVER_STALL_FACTOR, STALL_CHECK_PERIOD_MS, STALL_FACTOR } from './constants.ts'
import { createEventSplitter } from './event-stream.ts'
import type { Exchange } from './exchange.ts'
import { readPendingInput } from './pending-input.ts'
import { isRepeatable } from './route-table.ts'
import type { BackendResponseHead, Route } from './types.ts'

/** Reads the complete body; `undefined` when it was truncated or is too large to buffer. Pauses while the claim may not grow; returns the bytes of an incomplete body to it. */
export function readResponse (body: IncomingMessage, exchange: Exchange, claim: ByteClaim): Promise<Blocks | undefined> {
  return new Promise(resolve => {
    let isSettled = false
    let chargedBytes = 0
    const writer = createBlockWriter({
      onGrow (bytes) {
        chargedBytes += bytes
        claim.add(bytes)
      },
      onCopy: claim.recordCopy
    })

    function finish (result: Blocks | undefined): void {
      if (isSettled) return
      isSettled = true
      claim.stopWaiting()
      if (!result) claim.release(chargedBytes)
      resolve(result)
    }

    body.on('data', (chunk: Buffer) => {
      writer.add(chunk)
      if (writer.bytes() > MAX_BUFFERED_RESPONSE_BYTES) return body.destroy()
      if (claim.mayGrow()) return
      body.pause()
      claim.awaitRoom(() => body.resume())
    })
    body.on('end', () => finish(body.complete && !exchange.isAborted() && !exchange.hasConnectionFailed() ? writer.finish() : undefined))
    body.on('close', () => finish(undefined))
    if (body.destroyed) finish(undefined)
  })
}

/** Whether the end of a body is marked by its length, chunked encoding or status, and not only by the close of its connection. */
export function isFramed ({ headers, statusCode }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || statusCode === 204 || statusCode === 304
}

export interface EventRelayOptions {
  /** Where the stream comes from. */
  backend: Pick<Backend, 'lastReceivedMs'>
  /** Gaps after which the stream has stalled, as multiples of the route's maximum gap. Default: those of a backend server. */
  stallFactors?: { sending: number, silent: number }
  exchange: Exchange
  head: BackendResponseHead
  body: IncomingMessage
  caller: CallerConnection
  route: Route
  /** Id of the last event that the caller received; the next event must follow it without a gap. */
  lastEventId: number | undefined
  /** Has another backend server take the request from the last event on, if it is still due then; after true, the stream must be resumed there in the same turn. */
  reserveFailover(isDue: () => boolean, lastEventId: number | undefined): Promise<boolean>
  /** Whether the process of the backend server has ended. */
  hasBackendEnded(): Promise<boolean>
  /** Removes the load of the prompt from the backend server; called at the first event. */
  endPrompt(): void
  cancelResponseTimer(): void
  onFirstEvent(): void
  recordEvent(): void
  clock: Clock
}

export interface EventRelayResult {
  kind: 'complete' | 'broken'
  reason: string
  /** Whether the backend server ended the response before its first event. */
  endedBeforeFirstEvent: boolean
  lastEventId: number | undefined
}

/** Relays complete events until the stream is complete, breaks or stalls. The response to the caller starts with the first event. */
export function relayEvents (options: EventRelayOptions): Promise<EventRelayResult> {
  const { backend, exchange, head, body, caller, route, reserveFailover, clock, stallFactors = { sending: STALL_FACTOR, silent: SILENT_SERVER_STALL_FACTOR } } = options
  const splitter = createEventSplitter()
  let { lastEventId } = options
  let firstEventMs: number | undefined
  let lastEventMs = clock.now()
  let isCallerBlocked = false
  /** Comments before the first event. */
  const earlyComments: Buffer[] = []
  let chargedBytes = 0

  return new Promise(resolve => {
    let isSettled = false
    const cancelStallCheck = clock.every(STALL_CHECK_PERIOD_MS, () => void resumeIfStalled())

    function settle (kind: EventRelayResult['kind'], reason: string): void {
      if (isSettled) return
      isSettled = true
      cancelStallCheck()
      charge(0)
      const endedBeforeFirstEvent = kind === 'broken' && firstEventMs === undefined && !exchange.isAborted()
      if (kind === 'broken') exchange.abort(reason)
      resolve({ kind, reason, endedBeforeFirstEvent, lastEventId })
    }

    /** A stream stalls sooner if its backend server sends nothing on any connection. */
    function isStalled (): boolean {
      if (isSettled || firstEventMs === undefined || isCallerBlocked) return false
      const gapMs = clock.now() - lastEventMs
      const isServerSilent = clock.now() - backend.lastReceivedMs > route.maxEventGapMs * stallFactors.silent
      return gapMs > route.maxEventGapMs * (isServerSilent ? stallFactors.silent : stallFactors.sending)
    }

    /** Ends a stalled stream so that it is resumed at another backend server. */
    async function resumeIfStalled (): Promise<void> {
      if (!isStalled()) return
      await readPendingInput()
      if (isStalled() && await reserveFailover(isStalled, lastEventId)) settle('broken', 'stalled')
    }

    /** A comment is no progress: a stalled backend server may go on sending them. */
    function recordProgress (): void {
      if (firstEventMs === undefined) {
        firstEventMs = clock.now()
        options.cancelResponseTimer()
        options.endPrompt()
        options.onFirstEvent()
      }
      options.recordEvent()
      lastEventMs = clock.now()
    }

    /** Charges the bytes that wait for the end of their event or for the first event. */
    function charge (heldBytes: number): void {
      if (heldBytes > chargedBytes) caller.claim.add(heldBytes - chargedBytes)
      else if (heldBytes < chargedBytes) caller.claim.release(chargedBytes - heldBytes)
      chargedBytes = heldBytes
    }

    function startResponse (): void {
      if (caller.hasStarted()) return
      caller.startResponse(head.status, head.headers)
      for (const bytes of earlyComments.splice(0)) caller.write(bytes)
    }

    /** Returns false when the caller reads more slowly than data arrives. */
    function writeToCaller (bytes: Buffer): boolean {
      startResponse()
      return caller.write(bytes)
    }

    body.on('data', (chunk: Buffer) => {
      backend.lastReceivedMs = clock.now()
      for (const event of splitter.push(chunk)) {
        if (isSettled) return
        if (event.id !== undefined && lastEventId !== undefined) {
          if (event.id <= lastEventId) continue
          if (event.id > lastEventId + 1) return settle('broken', 'event missing')
        }
        if (event.hasContent) recordProgress()
        if (event.id !== undefined) lastEventId = event.id
        // The response does not start with a comment, so that another backend server can still give it.
        if (!event.hasContent && !caller.hasStarted()) earlyComments.push(event.bytes)
        else if (!writeToCaller(event.bytes)) pauseUntilDrained()
      }
      const heldBytes = splitter.bufferedBytes() + earlyComments.reduce((sum, { length }) => sum + length, 0)
      charge(heldBytes)
      if (heldBytes > MAX_EVENT_BYTES) settle('broken', 'event too large')
    })
    body.on('end', () => void finish())
    // The end comes before the close and may still be checked then.
    body.on('close', () => { if (!body.readableEnded) settle('broken', 'connection closed') })
    body.on('error', error => settle('broken', error.message))
    // The connection may have ended while a replacement was being reserved.
    if (body.destroyed) settle('broken', 'connection closed')

    async function finish (): Promise<void> {
      // Node discards what is left of a body that has arrived completely when its request is destroyed, and then ends it.
      if (isSettled || exchange.isAborted()) return settle('broken', 'aborted')
      if (!body.complete || exchange.hasConnectionFailed() || splitter.bufferedBytes() > 0) return settle('broken', 'stream truncated')
      if (!isFramed(body) && await mayBeTruncated()) return settle('broken', 'stream truncated')
      if (isSettled || exchange.isAborted() || exchange.hasConnectionFailed()) return settle('broken', 'aborted')
      startResponse()
      caller.end()
      settle('complete', 'complete')
    }

    /**
     * Whether a stream whose end is marked by its connection alone may have been truncated between two events. One that may
     * be resumed is resumed at another backend server to find its end. Of any other, an orderly close is the end, unless
     * the backend server has crashed.
     */
    async function mayBeTruncated (): Promise<boolean> {
      return isRepeatable(route) || await options.hasBackendEnded()
    }

    function pauseUntilDrained (): void {
      if (isCallerBlocked) return
      isCallerBlocked = true
      body.pause()
      caller.onDrain(() => {
        isCallerBlocked = false
        lastEventMs = clock.now()
        body.resume()
      })
    }
  })
}
