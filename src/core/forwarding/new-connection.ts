/** A connection of which no request has been received, for the load of callers that come together with bodies in tiny chunks. */
import type { Socket } from 'node:net'
import type { ReadTurns, UnknownSender } from '../resource-limits/index.ts'

/** Has the connection read in turns until the returned sender ends or the connection closes. */
export function readInTurns (socket: Socket, turns: ReadTurns): UnknownSender {
  let isPaused = false
  // The server resumes a new connection after the listeners have seen it, even if one of them has paused it.
  socket.on('resume', () => { if (isPaused) socket.emit('pause') })
  const sender = turns.addUnknown({
    pause () {
      isPaused = true
      socket.pause()
    },
    resume () {
      isPaused = false
      socket.resume()
    }
  })
  socket.once('close', sender.end)
  return sender
}
