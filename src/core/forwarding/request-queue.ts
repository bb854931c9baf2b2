/**
 * The requests of one connection, in the order in which they arrived. Node passes on requests that arrive behind one
 * another at once, and ends the connection after a response that closes it, so a later one could run without an answer.
 * Here each request is handled when the response before it has been sent, and none behind a response that closes the connection.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { MAX_WAITING_REQUESTS } from './constants.ts'

export interface QueuedRequest {
  /** Handles the request with `start` once all earlier requests of the connection have been answered. */
  run(start: () => void): void
  /** Whether the request exceeds the number that may wait; it must be refused, and nothing behind it is handled. */
  isExcess: boolean
}

export interface RequestQueue {
  /** Adds a request. Returns `undefined` if the connection handles no more requests. `onEnd` is called when the response or the connection has ended. */
  add(incoming: IncomingMessage, outgoing: ServerResponse, onEnd: () => void): QueuedRequest | undefined
  /** Whether requests wait behind the current one. */
  hasWaiting(): boolean
  /** Whether the connection must be closed after the response to the last request. */
  isFull(): boolean
  /** Records that the current response closes the connection. */
  close(): void
  /** Ends the connection with these bytes once all complete requests have been answered, because what follows them cannot be read. */
  endWith(bytes: string): void
}

interface Entry {
  /** Whether the request has arrived completely; its `start` may still be missing then, because Node passes on the end of a body later. */
  isComplete(): boolean
  start: (() => void) | undefined
  isStarted: boolean
  end(): void
}

export function createRequestQueue (socket: Socket): RequestQueue {
  const entries: Entry[] = []
  let isClosed = false
  let isFull = false
  let lastBytes: string | undefined

  socket.once('close', () => {
    isClosed = true
    for (const entry of entries.splice(0)) entry.end()
  })

  function advance (): void {
    if (isClosed || !socket.writable) return
    const [current] = entries
    if (current?.start) {
      if (current.isStarted) return
      current.isStarted = true
      current.start()
    } else if (lastBytes !== undefined && !current?.isComplete()) {
      isClosed = true
      socket.end(lastBytes)
    }
  }

  return {
    add (incoming, outgoing, onEnd) {
      if (isClosed || isFull || lastBytes !== undefined) {
        // Only reduces what is read behind the last request: Node reads on when it needs more of an earlier one.
        socket.pause()
        return undefined
      }
      isFull = entries.length > MAX_WAITING_REQUESTS
      const entry: Entry = { isComplete: () => incoming.complete, start: undefined, isStarted: false, end: onEnd }
      entries.push(entry)
      outgoing.once('close', () => {
        const index = entries.indexOf(entry)
        if (index < 0) return
        entries.splice(index, 1)
        onEnd()
        advance()
      })
      return {
        isExcess: isFull,
        run (start) {
          entry.start = start
          advance()
        }
      }
    },
    hasWaiting: () => entries.length > 1,
    isFull: () => isFull,
    close () { isClosed = true },
    endWith (bytes) {
      lastBytes ??= bytes
      advance()
    }
  }
}
