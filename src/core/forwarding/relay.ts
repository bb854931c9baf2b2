/** Passes a backend server's answer on: a held one when it is complete, a stream event by event. */
import type { IncomingMessage } from 'node:http'
import type { Backend } from '../backend-pool/types.ts'
import type { Clock } from '../clock/index.ts'
import type { CallerConnection } from './caller-connection.ts'
import { MAX_HELD_ANSWER_BYTES, SILENT_SERVER_FACTOR, STALL_CHECK_MS, STALL_FACTOR } from './constants.ts'
import { createEventSplitter } from './event-stream.ts'
import type { Exchange } from './exchange.ts'
import type { BackendHead, Route } from './types.ts'

/** The whole body, or `undefined` when it was cut off or is too large to hold. */
export function readAnswer (body: IncomingMessage, exchange: Exchange): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let bytes = 0
    body.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > MAX_HELD_ANSWER_BYTES) return body.destroy()
      chunks.push(chunk)
    })
    body.on('end', () => resolve(body.complete && !exchange.isBroken() ? Buffer.concat(chunks) : undefined))
    body.on('close', () => resolve(undefined))
  })
}

/** Whether the end of a body is marked by more than the end of its connection. */
export function isFramed ({ headers, statusCode }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || statusCode === 204 || statusCode === 304
}

export interface EventRelay {
  backend: Backend
  exchange: Exchange
  head: BackendHead
  body: IncomingMessage
  caller: CallerConnection
  route: Route
  /** Last event that the caller has; the next one must follow it. */
  lastEventId: number | undefined
  /** Whether the stream can go on at another backend server; when true, it has to. */
  tryMove(): boolean
  /** Called at the first event. */
  endPrefill(): void
  cancelWait(): void
  clock: Clock
}

export interface EventRelayEnd {
  kind: 'complete' | 'broken'
  reason: string
  lastEventId: number | undefined
  firstEventMs: number | undefined
}

/** Relays whole events until the stream is complete, breaks or stalls. The caller's answer begins with the first event. */
export function relayEvents (relay: EventRelay): Promise<EventRelayEnd> {
  const { backend, exchange, head, body, caller, route, tryMove, clock } = relay
  const splitter = createEventSplitter()
  let { lastEventId } = relay
  let firstEventMs: number | undefined
  let lastEventMs = clock.now()
  let blocked = false

  return new Promise(resolve => {
    let settled = false
    const cancelStallCheck = clock.every(STALL_CHECK_MS, checkStall)

    function end (kind: EventRelayEnd['kind'], reason: string): void {
      if (settled) return
      settled = true
      cancelStallCheck()
      if (kind === 'broken') exchange.abort(reason)
      resolve({ kind, reason, lastEventId, firstEventMs })
    }

    /** A stream that pauses for too long goes on elsewhere, sooner when its backend server sends nothing at all. */
    function checkStall (): void {
      if (firstEventMs === undefined || blocked) return
      const pauseMs = clock.now() - lastEventMs
      const silent = clock.now() - backend.lastReceivedMs > route.longestPauseMs * SILENT_SERVER_FACTOR
      if (pauseMs > route.longestPauseMs * (silent ? SILENT_SERVER_FACTOR : STALL_FACTOR) && tryMove()) end('broken', 'stalled')
    }

    body.on('data', (chunk: Buffer) => {
      backend.lastReceivedMs = clock.now()
      for (const event of splitter.push(chunk)) {
        if (settled) return
        if (event.id !== undefined && lastEventId !== undefined) {
          if (event.id <= lastEventId) continue
          if (event.id > lastEventId + 1) return end('broken', 'an event is missing')
        }
        if (firstEventMs === undefined) {
          firstEventMs = clock.now()
          relay.cancelWait()
          relay.endPrefill()
        }
        lastEventMs = clock.now()
        if (!caller.hasBegun()) caller.begin(head.status, head.headers)
        if (event.id !== undefined) lastEventId = event.id
        if (!caller.write(event.bytes)) waitForCaller()
      }
    })
    body.on('end', () => {
      // A stream without length may have been cut off between two events; the next backend server tells.
      if (!isFramed(body) || !body.complete || exchange.isBroken() || splitter.pendingBytes() > 0) return end('broken', 'the stream was cut off')
      if (!caller.hasBegun()) caller.begin(head.status, head.headers)
      caller.end()
      end('complete', 'complete')
    })
    body.on('close', () => end('broken', 'the connection closed'))
    body.on('error', error => end('broken', error.message))

    function waitForCaller (): void {
      blocked = true
      body.pause()
      caller.onDrain(() => {
        blocked = false
        lastEventMs = clock.now()
        body.resume()
      })
    }
  })
}
