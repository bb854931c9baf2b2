/**
 * Splits a stream of server-sent events into complete events. The bytes of an incomplete event are copied into blocks, so
 * that a stream that breaks in the middle of an event can be resumed at another backend server with the next complete
 * event. Each byte is looked at once, however the stream is split into chunks.
 */
import { createBlockWriter, type BlockWriter } from '../resource-limits/index.ts'

export interface StreamEvent {
  /** The bytes of the event, including the blank line that terminates it. */
  bytes: Buffer
  id: number | undefined
  /** Whether it is an event for the caller, and not one or several comments that only keep the connection open. */
  hasContent: boolean
}

export interface EventSplitter {
  /** The returned events refer to the chunk. Comments that follow each other are one event. */
  push(chunk: Buffer): StreamEvent[]
  /** Number of bytes of the incomplete event. */
  bufferedBytes(): number
  /** Memory that the incomplete event takes. */
  heldBytes(): number
  /** Number of lines since the last call. */
  takeLines(): number
}

const LF = 0x0a
const CR = 0x0d
const COLON = 0x3a

export function createEventSplitter (): EventSplitter {
  /** Of the incomplete event: its bytes, the memory that they take, and whether one of its lines is no comment. */
  let partial: BlockWriter | undefined
  let heldBytes = 0
  let hasContent = false
  /** Of the incomplete line: its length and its first byte. */
  let lineBytes = 0
  let firstByte = 0
  let lines = 0

  function takePartial (end: Buffer): Buffer {
    if (!partial) return end
    partial.add(end)
    const { blocks } = partial.finish()
    partial = undefined
    heldBytes = 0
    return blocks.length === 1 ? blocks[0]! : Buffer.concat(blocks)
  }

  function keepPartial (bytes: Buffer): void {
    if (bytes.length === 0) return
    partial ??= createBlockWriter({ onGrow: grown => { heldBytes += grown } })
    partial.add(bytes)
  }

  /** Whether the line that ends before `lineFeed` is blank. */
  function endLine (chunk: Buffer, lineStart: number, lineFeed: number): boolean {
    if (lineBytes === 0) firstByte = chunk[lineStart]!
    lineBytes += lineFeed - lineStart
    const isBlank = lineBytes === 0 || (lineBytes === 1 && firstByte === CR)
    if (!isBlank && firstByte !== COLON) hasContent = true
    lineBytes = 0
    lines++
    return isBlank
  }

  return {
    push (chunk) {
      const events: StreamEvent[] = []
      /** Start of the comments that the last event consists of, if they are all in this chunk. */
      let commentsStart: number | undefined
      let eventStart = 0
      let lineStart = 0
      for (let lineFeed = chunk.indexOf(LF); lineFeed !== -1; lineFeed = chunk.indexOf(LF, lineStart)) {
        const isBlank = endLine(chunk, lineStart, lineFeed)
        lineStart = lineFeed + 1
        if (!isBlank) continue
        if (hasContent) {
          const bytes = takePartial(chunk.subarray(eventStart, lineStart))
          events.push({ bytes, id: parseEventId(bytes.toString('latin1')), hasContent })
          commentsStart = undefined
        } else if (commentsStart !== undefined) {
          events.at(-1)!.bytes = chunk.subarray(commentsStart, lineStart)
        } else {
          commentsStart = partial ? undefined : eventStart
          events.push({ bytes: takePartial(chunk.subarray(eventStart, lineStart)), id: undefined, hasContent })
        }
        eventStart = lineStart
        hasContent = false
      }
      if (lineBytes === 0 && lineStart < chunk.length) firstByte = chunk[lineStart]!
      lineBytes += chunk.length - lineStart
      keepPartial(chunk.subarray(eventStart))
      return events
    },
    bufferedBytes: () => partial?.bytes() ?? 0,
    heldBytes: () => heldBytes,
    takeLines () {
      const taken = lines
      lines = 0
      return taken
    }
  }
}

function parseEventId (text: string): number | undefined {
  const match = /^id: ?(\d+)\s*$/m.exec(text)
  return match ? Number(match[1]) : undefined
}
