/**
 * Splits a stream of server-sent events into whole events. Bytes of an event that did not end are kept back, so that
 * a stream that breaks in the middle of an event can go on at another backend server with the next whole one.
 */

export interface StreamEvent {
  /** The event's bytes with its closing blank line. */
  bytes: Buffer
  id: number | undefined
}

export interface EventSplitter {
  push(chunk: Buffer): StreamEvent[]
  /** Bytes of the event that has not ended. */
  pendingBytes(): number
}

const LF = 0x0a
const CR = 0x0d

export function createEventSplitter (): EventSplitter {
  let pending: Buffer = Buffer.alloc(0)

  return {
    push (chunk) {
      const data = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const events: StreamEvent[] = []
      let start = 0
      for (let end = eventEnd(data, start); end !== -1; end = eventEnd(data, start)) {
        const bytes = data.subarray(start, end)
        events.push({ bytes, id: eventId(bytes) })
        start = end
      }
      pending = data.subarray(start)
      return events
    },
    pendingBytes: () => pending.length
  }
}

/** Index after the blank line that closes the event, or -1. */
function eventEnd (data: Buffer, start: number): number {
  for (let at = data.indexOf(LF, start); at !== -1; at = data.indexOf(LF, at + 1)) {
    const next = data[at + 1] === CR ? at + 2 : at + 1
    if (data[next] === LF) return next + 1
  }
  return -1
}

function eventId (bytes: Buffer): number | undefined {
  const match = /^id: ?(\d+)\s*$/m.exec(bytes.toString('latin1'))
  return match ? Number(match[1]) : undefined
}
