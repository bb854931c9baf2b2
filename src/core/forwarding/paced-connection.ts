/**
 * A connection to a backend server or another VM whose reading can be paused, and is paced by the work that it brings.
 * Its bytes count whether or not they belong to a response: Node's parser also takes some without end, such as the zeros of
 * a chunk size.
 *
 * It also tells a reset from an end. If a reset arrives with the last bytes, Node reports an ordinary end, but the next write
 * fails; a write of zero bytes shows this and adds none.
 */
import type { Socket } from 'node:net'
import { RECEIVED_BYTES_PER_STEP } from '../resource-limits/constants.ts'
import type { ReadPace } from '../resource-limits/index.ts'
import { readPendingInput } from './pending-input.ts'
import { createReadHolds, type ReadHolds } from './read-holds.ts'

export interface PacedConnection {
  holds: ReadHolds
  /** Counts steps of the work on what was received. */
  count(steps: number): void
  /** Whether a connection that has ended was reset; to be asked after its end. */
  wasReset(): Promise<boolean>
}

const NO_BYTES = Buffer.alloc(0)
/** Errors of a write to a connection that the other side has reset. */
const RESET_ERRORS = new Set(['ECONNRESET', 'EPIPE'])

function isReset (error: NodeJS.ErrnoException | null | undefined): boolean {
  return RESET_ERRORS.has(error?.code ?? '')
}

export function createPacedConnection (socket: Socket, pace: ReadPace): PacedConnection {
  const holds = createReadHolds(socket)
  const { count, end } = pace.open({ pause: () => holds.hold('pace'), resume: () => holds.unhold('pace') })
  socket.on('data', ({ length }: Buffer) => { count(length / RECEIVED_BYTES_PER_STEP) })
  socket.once('close', end)
  let resetCheck = Promise.resolve(false)
  // Before Node ends its own side, after which nothing can be written.
  socket.prependOnceListener('end', () => { resetCheck = writeNothing(socket) })
  return { holds, count, wasReset: () => resetCheck }
}

/** Whether a write of zero bytes shows a reset. */
async function writeNothing (socket: Socket): Promise<boolean> {
  if (!socket.writable) return isReset(socket.errored)
  const isSending = socket.writableLength > 0
  const written = new Promise<boolean>(resolve => { socket.write(NO_BYTES, error => { resolve(isReset(error)) }) })
  if (!isSending) return await written
  // Node destroys the connection at this end, although the write of the request fails or succeeds only later in this turn.
  const destroy = deferDestroy(socket)
  const wasReset = await Promise.race([written, readPendingInput().then(() => isReset(socket.errored))])
  destroy()
  return wasReset || isReset(socket.errored)
}

/** Keeps a connection from being destroyed, unless by an error, until the returned function destroys it. */
function deferDestroy (socket: Socket): () => void {
  const { destroy } = socket
  socket.destroy = error => error ? destroy.call(socket, error) : socket
  return () => {
    socket.destroy = destroy
    socket.destroy()
  }
}
