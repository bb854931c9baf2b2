/**
 * A connection to a backend server or another VM whose reading can be paused, and is paced by the work that it brings.
 * Its bytes count whether or not they belong to a response: Node's parser also takes some without end, such as the zeros of
 * a chunk size.
 */
import type { Socket } from 'node:net'
import { RECEIVED_BYTES_PER_STEP } from '../resource-limits/constants.ts'
import type { ReadPace } from '../resource-limits/index.ts'
import { createReadHolds, type ReadHolds } from './read-holds.ts'

export interface PacedConnection {
  holds: ReadHolds
  /** Counts steps of the work on what was received. */
  count(steps: number): void
}

export function createPacedConnection (socket: Socket, pace: ReadPace): PacedConnection {
  const holds = createReadHolds(socket)
  const { count, end } = pace.open({ pause: () => holds.hold('pace'), resume: () => holds.unhold('pace') })
  socket.on('data', ({ length }: Buffer) => { count(length / RECEIVED_BYTES_PER_STEP) })
  socket.once('close', end)
  return { holds, count }
}
