/**
 * Pauses the reading from a connection to a backend server or another VM while there is a reason to. Node's `pause` goes on
 * reading until the buffer of the connection is full, 64 KiB and more, so reading from the handle stops as well.
 */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Part of Node's handle of a connection. */
interface ReadHandle { reading: boolean, readStop(): void, readStart(): void }

export type HoldReason = 'no reader' | 'caller' | 'room' | 'pace'

export interface ReadHolds {
  hold(reason: HoldReason): void
  unhold(reason: HoldReason): void
  has(reason: HoldReason): boolean
  /** Keeps Node from resuming the connection for its message. */
  attach(incoming: IncomingMessage): void
}

export function createReadHolds (socket: Socket): ReadHolds {
  const reasons = new Set<HoldReason>()
  const handle = () => (socket as Socket & { _handle?: ReadHandle | null })._handle

  return {
    hold (reason) {
      const isFirst = reasons.size === 0
      reasons.add(reason)
      if (!isFirst || socket.destroyed) return
      socket.pause()
      // The handle still counts as reading, so that Node does not start it again by itself.
      if (handle()?.reading) handle()!.readStop()
    },
    unhold (reason) {
      if (!reasons.delete(reason) || reasons.size > 0 || socket.destroyed) return
      if (handle()?.reading) handle()!.readStart()
      socket.resume()
    },
    has: reason => reasons.has(reason),
    attach (incoming) {
      const readOn = incoming._read
      incoming._read = size => { if (reasons.size === 0) readOn.call(incoming, size) }
    }
  }
}
