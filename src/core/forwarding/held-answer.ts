/**
 * Keeps a low-confidence answer while a larger model is asked, so that it can be delivered if the larger model fails or
 * does not begin to answer before the deadline. Only short answers are kept: they are complete almost at once, and the
 * engine and this VM spend next to nothing on them.
 */
import { createBlockWriter } from '../resource-limits/index.ts'
import type { CallerConnection } from './caller-connection.ts'
import { createEventSplitter } from './event-stream.ts'
import type { Exchange } from './exchange.ts'
import type { ResponseBody } from './response-body.ts'
import type { BackendResponseHead } from './types.ts'

/** Largest answer that is kept; answers up to MAX_HELD_OUTPUT_TOKENS are smaller. */
const MAX_HELD_BYTES = 16 * 1024
/** Expected output tokens up to which an answer is kept. */
export const MAX_HELD_OUTPUT_TOKENS = 64

/** Longest wait for the end of an answer when the larger model has failed; 64 tokens of a small model take at most half of it, also on a slow server. */
export const MAX_HELD_WAIT_MS = 500

export interface HeldAnswer {
  exchange: Exchange
  /** Sends the answer if it is complete; returns whether it was. */
  deliver(caller: CallerConnection): boolean
  /** Closes the connection to the backend server and frees the memory. */
  drop(): void
  /** Resolves when the backend server has finished with the answer. */
  ended: Promise<void>
}

export function holdAnswer (head: BackendResponseHead, body: ResponseBody, exchange: Exchange): HeldAnswer {
  const splitter = createEventSplitter()
  let heldBytes = 0
  const writer = createBlockWriter({ onGrow: bytes => { heldBytes += bytes } })
  let eventCount = 0
  let isComplete = false
  let isDropped = false

  function drop (): void {
    isDropped = true
    isComplete = false
    body.setHeld(0)
    exchange.abort('answer not kept')
  }

  const ended = new Promise<void>(resolve => {
    body.read({
      onData (bytes) {
        if (isDropped) return
        if (writer.bytes() + bytes.length > MAX_HELD_BYTES) return drop()
        eventCount += splitter.push(bytes).filter(({ hasContent }) => hasContent).length
        body.countLines(splitter.takeLines())
        writer.add(bytes)
        body.setHeld(heldBytes + splitter.heldBytes())
      },
      onEnd () {
        isComplete = !isDropped && body.isFramed && body.isComplete() && eventCount > 0 && splitter.bufferedBytes() === 0 && !exchange.isAborted() && !exchange.hasConnectionFailed()
        resolve()
      },
      onBroken: () => resolve()
    })
  })

  return {
    exchange,
    deliver (caller) {
      if (!isComplete || caller.hasStarted()) return false
      caller.startResponse(head.status, head.headers)
      for (const block of writer.finish().blocks) caller.write(block)
      caller.end()
      return true
    },
    drop,
    ended
  }
}
