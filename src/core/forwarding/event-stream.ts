/**
 * Splits a stream of server-sent events into complete events. The bytes of an incomplete event are buffered, so that a
 * stream that breaks in the middle of an event can be resumed at another backend server with the next complete event.
 */

export interface StreamEvent {
  /** The bytes of the event, including the blank line that terminates it. */
  bytes: Buffer
  id: number | undefined
  /** Whether it is an event for the caller, and not a comment that only keeps the connection open. */
  hasContent: boolean
}

export interface EventSplitter {
  push(chunk: Buffer): StreamEvent[]
  /** Number of bytes of the incomplete event. */
  bufferedBytes(): number
}

const LF = 0x0a
const CR = 0x0d
/** A line with a field; comments begin with a colon. */
const CONTENT_LINE = /^[^:\r\n]/m

export function createEventSplitter (): EventSplitter {
  let buffered: Buffer = Buffer.alloc(0)

  return {
    push (chunk) {
      const data = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk])
      const events: StreamEvent[] = []
      let start = 0
      for (let end = findEventEnd(data, start); end !== -1; end = findEventEnd(data, start)) {
        const bytes = data.subarray(start, end)
        const text = bytes.toString('latin1')
        events.push({ bytes, id: parseEventId(text), hasContent: CONTENT_LINE.test(text) })
        start = end
      }
      buffered = data.subarray(start)
      return events
    },
    bufferedBytes: () => buffered.length
  }
}

/** Index after the blank line that terminates the event, or -1. */
function findEventEnd (data: Buffer, start: number): number {
  for (let lineFeed = data.indexOf(LF, start); lineFeed !== -1; lineFeed = data.indexOf(LF, lineFeed + 1)) {
    const nextLine = data[lineFeed + 1] === CR ? lineFeed + 2 : lineFeed + 1
    if (data[nextLine] === LF) return nextLine + 1
  }
  return -1
}

function parseEventId (text: string): number | undefined {
  const match = /^id: ?(\d+)\s*$/m.exec(text)
  return match ? Number(match[1]) : undefined
}
