/**
 * Encoding of frames on an authenticated connection: MessagePack arrays in binary WebSocket messages. A frame that does
 * not have the expected shape decodes to undefined. Bodies are validated by the message handlers.
 */
import { Packr } from 'msgpackr'

const REQUEST = 0
const ANSWER = 1
const FAILURE = 2
const NOTIFICATION = 3

const MAX_TYPE_LENGTH = 64
const MAX_FAILURE_MESSAGE_LENGTH = 500

export type Frame =
  | { kind: 'request', id: number, type: string, body: unknown }
  | { kind: 'answer', id: number, body: unknown }
  | { kind: 'failure', id: number, message: string }
  | { kind: 'notification', type: string, body: unknown }

const codec = new Packr({ useRecords: false, mapsAsObjects: true })

export function encodeFrame (frame: Frame): Buffer {
  return codec.pack(frameFields(frame))
}

function frameFields (frame: Frame): unknown[] {
  switch (frame.kind) {
    case 'request': return [REQUEST, frame.id, frame.type, frame.body]
    case 'answer': return [ANSWER, frame.id, frame.body]
    case 'failure': return [FAILURE, frame.id, frame.message.slice(0, MAX_FAILURE_MESSAGE_LENGTH)]
    case 'notification': return [NOTIFICATION, frame.type, frame.body]
  }
}

/** Returns undefined when the bytes are not a valid frame. */
export function decodeFrame (bytes: Uint8Array): Frame | undefined {
  const fields = unpackArray(bytes)
  if (!fields) return undefined
  const [kind, first, second, third] = fields
  switch (kind) {
    case REQUEST:
      return isRequestId(first) && isMessageType(second) && fields.length === 4 ? { kind: 'request', id: first, type: second, body: third } : undefined
    case ANSWER:
      return isRequestId(first) && fields.length === 3 ? { kind: 'answer', id: first, body: second } : undefined
    case FAILURE:
      return isRequestId(first) && typeof second === 'string' && fields.length === 3 ? { kind: 'failure', id: first, message: second } : undefined
    case NOTIFICATION:
      return isMessageType(first) && fields.length === 3 ? { kind: 'notification', type: first, body: second } : undefined
    default:
      return undefined
  }
}

function unpackArray (bytes: Uint8Array): unknown[] | undefined {
  try {
    const value: unknown = codec.unpack(bytes)
    return Array.isArray(value) ? value : undefined
  } catch {
    return undefined
  }
}

function isRequestId (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

function isMessageType (value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= MAX_TYPE_LENGTH
}
