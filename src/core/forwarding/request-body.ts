/**
 * Receives the body of a caller's request within the byte budget. Reading from the connection pauses while there is no
 * room, and after many tiny chunks until the connection's next turn. The rest of a refused body is discarded up to a
 * bound, because the response to it could be lost if the connection were closed with unread bytes.
 */
import type { IncomingMessage } from 'node:http'
import type { Clock } from '../clock/index.ts'
import { MAX_DISCARD_MS, MAX_DISCARDED_BYTES, TINY_CHUNK_BYTES } from '../resource-limits/constants.ts'
import { createBlockWriter, type Blocks, type ByteClaim, type ReadTurns, type UnknownSender } from '../resource-limits/index.ts'

export interface RequestBodyOptions {
  incoming: IncomingMessage
  claim: ByteClaim
  turns: ReadTurns
  /** The connection of a body that comes in chunks of the caller's choice; ends with the body. */
  sender?: UnknownSender | undefined
  clock: Clock
}

export interface BodyReception {
  maxBytes: number
  /** Not called if the caller disconnects. */
  onComplete(body: Blocks): void
  onTooLarge(): void
  /** Called for a body of too many tiny chunks while others wait for their turns. */
  onTooManyChunks?(): void
}

export interface RequestBody {
  receive(reception: BodyReception): void
  /** Stops receiving; the connection stays paused. */
  stop(): void
  /** Reads and drops the rest up to a bound, then calls `onEnd`. */
  discard(onEnd: () => void): void
}

export function createRequestBody ({ incoming, claim, turns, sender, clock }: RequestBodyOptions): RequestBody {
  const { socket } = incoming
  const holds = new Set<'room' | 'turn' | 'stopped'>()
  let consume: (chunk: Buffer) => void = () => {}
  let finish: () => void = () => {}
  let tinyChunks = 0
  let awaitsTurn = false

  // Node's own `_read` resumes the connection whenever the message could take more.
  const readOn = incoming._read
  incoming._read = size => { if (holds.size === 0) readOn.call(incoming, size) }

  function hold (reason: 'room' | 'turn' | 'stopped'): void {
    holds.add(reason)
    // A resumption that was scheduled before the pause starts the reading again, although the socket counts as paused.
    if (socket.isPaused()) socket.emit('pause')
    else socket.pause()
  }

  function unhold (reason: 'room' | 'turn' | 'stopped'): void {
    if (holds.delete(reason) && holds.size === 0) socket.resume()
  }

  function holdTurn (): void {
    hold('turn')
    claim.suspendProgress()
  }

  function endTurnHold (): void {
    claim.restartProgress()
    unhold('turn')
  }

  function recordOrdinary (): void {
    sender?.end()
    if (holds.has('turn') && !awaitsTurn) endTurnHold()
  }

  function waitForTurn (): void {
    sender?.end()
    holdTurn()
    if (awaitsTurn) return
    awaitsTurn = true
    turns.wait(() => {
      awaitsTurn = false
      endTurnHold()
    })
  }

  function waitForRoom (): void {
    const isWaiting = holds.has('room')
    hold('room')
    if (!isWaiting) claim.awaitRoom(() => unhold('room'))
  }

  function start (): void {
    sender?.pauseBy({ pause: holdTurn, resume: endTurnHold })
    incoming.on('data', (chunk: Buffer) => {
      if (chunk.length < TINY_CHUNK_BYTES) tinyChunks++
      else recordOrdinary()
      consume(chunk)
      if (turns.count(chunk.length)) waitForTurn()
    })
    incoming.on('end', () => {
      sender?.end()
      claim.stopWaiting()
      for (const reason of holds) unhold(reason)
      finish()
    })
    incoming.on('error', () => {})
    incoming.once('close', () => {
      sender?.end()
      finish()
    })
  }

  return {
    receive ({ maxBytes, onComplete, onTooLarge, onTooManyChunks = () => {} }) {
      const announced = incoming.headers['content-length']
      const writer = createBlockWriter({ expectedBytes: announced === undefined ? undefined : Number(announced), onGrow: bytes => claim.add(bytes), onCopy: claim.recordCopy })
      consume = chunk => {
        if (writer.bytes() + chunk.length > maxBytes) {
          this.stop()
          return onTooLarge()
        }
        if (turns.refuses(tinyChunks)) {
          this.stop()
          return onTooManyChunks()
        }
        writer.add(chunk)
        claim.recordProgress(chunk.length)
        if (!claim.mayGrow()) waitForRoom()
      }
      finish = () => {
        finish = () => {}
        if (incoming.complete) onComplete(writer.finish())
      }
      start()
    },
    stop () {
      consume = () => {}
      finish = () => {}
      hold('stopped')
    },
    discard (onEnd) {
      let bytes = 0
      const cancelTimer = clock.after(MAX_DISCARD_MS, () => finish())
      finish = () => {
        finish = () => {}
        cancelTimer()
        onEnd()
      }
      consume = chunk => {
        // While others wait for their turns, a tiny chunk counts as a larger one, because it takes as much time.
        bytes += turns.refuses(tinyChunks) ? Math.max(chunk.length, TINY_CHUNK_BYTES) : chunk.length
        claim.recordGarbage(chunk.length)
        if (bytes > MAX_DISCARDED_BYTES) finish()
      }
      for (const reason of holds) if (reason !== 'turn') unhold(reason)
      if (incoming.listenerCount('data') === 0) start()
      if (incoming.complete || incoming.destroyed) finish()
    }
  }
}
