/** Reads a backend server's response: buffers a plain one until it is complete, and relays a stream event by event. */
import type { Backend } from '../backend-pool/types.ts'
import type { Clock } from '../clock/index.ts'
import { compact, createBlockWriter, type Blocks, type ByteClaim } from '../resource-limits/index.ts'
import type { CallerConnection } from './caller-connection.ts'
import { MAX_BUFFERED_RESPONSE_BYTES, MAX_EARLY_COMMENT_BYTES, MAX_EVENT_BYTES, SILENT_SERVER_STALL_FACTOR, STALL_CHECK_PERIOD_MS, STALL_FACTOR } from './constants.ts'
import { createEventSplitter, type StreamEvent } from './event-stream.ts'
import type { Exchange } from './exchange.ts'
import { readPendingInput } from './pending-input.ts'
import type { ResponseBody } from './response-body.ts'
import { isRepeatable } from './route-table.ts'
import type { BackendResponseHead, Route } from './types.ts'

/** Reads the complete body; `undefined` when it was truncated or is too large to buffer. Its bytes stay charged to the claim if it is complete. */
export function readResponse (body: ResponseBody, exchange: Pick<Exchange, 'hasConnectionFailed' | 'isAborted'>, claim: Pick<ByteClaim, 'recordCopy'>): Promise<Blocks | undefined> {
  return new Promise(resolve => {
    let heldBytes = 0
    const writer = createBlockWriter({ onGrow: bytes => { heldBytes += bytes }, onCopy: claim.recordCopy })

    function giveUp (): void {
      body.setHeld(0)
      resolve(undefined)
    }

    body.read({
      onData (bytes) {
        writer.add(bytes)
        body.setHeld(heldBytes)
        if (writer.bytes() > MAX_BUFFERED_RESPONSE_BYTES) body.destroy()
      },
      onEnd () {
        if (body.isComplete() && !exchange.isAborted() && !exchange.hasConnectionFailed()) resolve(writer.finish())
        else giveUp()
      },
      onBroken: giveUp
    })
  })
}

export interface EventRelayOptions {
  /** Where the stream comes from. */
  backend: Pick<Backend, 'lastReceivedMs'>
  /** Gaps after which the stream has stalled, as multiples of the route's maximum gap. Default: those of a backend server. */
  stallFactors?: { sending: number, silent: number }
  exchange: Exchange
  head: BackendResponseHead
  body: ResponseBody
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
  /** Comments before the first event, and the memory that they take. */
  const earlyComments = createBlockWriter({ onGrow: bytes => { commentBytes += bytes } })
  let commentBytes = 0

  return new Promise(resolve => {
    let isSettled = false
    const cancelStallCheck = clock.every(STALL_CHECK_PERIOD_MS, () => void resumeIfStalled())

    function settle (kind: EventRelayResult['kind'], reason: string): void {
      if (isSettled) return
      isSettled = true
      cancelStallCheck()
      body.setHeld(0)
      const endedBeforeFirstEvent = kind === 'broken' && firstEventMs === undefined && !exchange.isAborted()
      if (kind === 'broken') exchange.abort(reason)
      resolve({ kind, reason, endedBeforeFirstEvent, lastEventId })
    }

    /** A stream stalls sooner if its backend server sends nothing on any connection. */
    function isStalled (): boolean {
      if (isSettled || firstEventMs === undefined || isCallerBlocked) return false
      // The VM itself has paused the backend server.
      if (body.awaitsRoom()) lastEventMs = clock.now()
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

    function startResponse (): void {
      if (caller.hasStarted()) return
      caller.startResponse(head.status, head.headers)
      for (const bytes of earlyComments.finish().blocks) caller.write(bytes)
      commentBytes = 0
    }

    /** Whether an event goes to the caller; `undefined` if the one before it is missing. */
    function isNext ({ id }: StreamEvent): boolean | undefined {
      if (id === undefined || lastEventId === undefined || id === lastEventId + 1) return true
      return id > lastEventId ? undefined : false
    }

    /** The response does not start with a comment, so that another backend server can still give it. */
    function keepComment ({ bytes }: StreamEvent): void {
      if (earlyComments.bytes() + bytes.length <= MAX_EARLY_COMMENT_BYTES) earlyComments.add(bytes)
    }

    /** Writes what one read has brought at once; pauses reading when the caller reads more slowly. */
    function writeToCaller (events: readonly Buffer[]): void {
      if (events.length === 0) return
      startResponse()
      if (!caller.write(events.length === 1 ? compact(events[0]!) : Buffer.concat(events))) pauseUntilDrained()
    }

    function takeEvents (chunk: Buffer): void {
      const taken: Buffer[] = []
      for (const event of splitter.push(chunk)) {
        const isTaken = isNext(event)
        if (isTaken === undefined) {
          writeToCaller(taken)
          return settle('broken', 'event missing')
        }
        if (!isTaken) continue
        if (event.hasContent) recordProgress()
        lastEventId = event.id ?? lastEventId
        if (event.hasContent || taken.length > 0 || caller.hasStarted()) taken.push(event.bytes)
        else keepComment(event)
      }
      writeToCaller(taken)
    }

    body.read({
      onData (chunk) {
        if (isSettled) return
        backend.lastReceivedMs = clock.now()
        takeEvents(chunk)
        body.countLines(splitter.takeLines())
        if (isSettled) return
        body.setHeld(splitter.heldBytes() + commentBytes)
        if (splitter.bufferedBytes() > MAX_EVENT_BYTES) settle('broken', 'event too large')
      },
      onEnd: () => void finish(),
      onBroken: reason => settle('broken', reason)
    })

    async function finish (): Promise<void> {
      // Node discards what is left of a body that has arrived completely when its request is destroyed, and then ends it.
      if (isSettled || exchange.isAborted()) return settle('broken', 'aborted')
      if (!body.isComplete() || exchange.hasConnectionFailed() || splitter.bufferedBytes() > 0) return settle('broken', 'stream truncated')
      if (!body.isFramed && await mayBeTruncated()) return settle('broken', 'stream truncated')
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
      body.holdForCaller()
      caller.onDrain(() => {
        isCallerBlocked = false
        lastEventMs = clock.now()
        body.releaseForCaller()
      })
    }
  })
}
