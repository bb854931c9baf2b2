/** Relays one connection and applies the current faults to each chunk. */
import type { Socket } from 'node:net'
import type { Direction, Faults } from './types.ts'

/** libuv reports a clean end of stream when it reads the last bytes together with the reset, so the reset is delayed. */
const RESET_DELAY_MS = 20

export interface Relay {
  /** Applies the current faults after a change. */
  update(): void
  destroy(): void
}

export interface RelayEvents {
  onLost(bytes: number): void
  onEnd(): void
}

interface Flow {
  direction: Direction
  from: Socket
  to: Socket
  /** Chunks that are delayed or held back, in order; null is the end of the stream. */
  queue: { dueMs: number, chunk: Buffer | null }[]
  timer: NodeJS.Timeout | undefined
}

export function startRelay (client: Socket, target: Socket, faults: () => Faults, { onLost, onEnd }: RelayEvents): Relay {
  const flows: Flow[] = [
    { direction: 'request', from: client, to: target, queue: [], timer: undefined },
    { direction: 'answer', from: target, to: client, queue: [], timer: undefined }
  ]
  let ended = false
  let answerBytes = 0
  let hasLostBytes = false

  function destroy (): void {
    if (ended) return
    ended = true
    for (const { timer } of flows) clearTimeout(timer)
    client.resetAndDestroy()
    target.resetAndDestroy()
    onEnd()
  }

  function isCut (direction: Direction): boolean {
    const { cut } = faults()
    return cut === 'both' || cut === direction
  }

  function receive (flow: Flow, chunk: Buffer | null): void {
    if (ended) return
    if (isCut(flow.direction)) {
      hasLostBytes = true
      onLost(chunk?.length ?? 0)
      return
    }
    if (flow.direction === 'answer' && chunk && faults().dropAnswer) return destroy()
    flow.queue.push({ dueMs: performance.now() + faults().delayMs, chunk })
    drain(flow)
  }

  function drain (flow: Flow): void {
    clearTimeout(flow.timer)
    while (canForward() && flow.queue.length > 0) {
      const { dueMs, chunk } = flow.queue[0]!
      const waitMs = dueMs - performance.now()
      if (waitMs > 0) {
        flow.timer = setTimeout(() => drain(flow), Math.ceil(waitMs))
        return
      }
      flow.queue.shift()
      forward(flow, chunk)
    }
  }

  function canForward (): boolean {
    return !ended && !faults().frozen
  }

  function forward (flow: Flow, chunk: Buffer | null): void {
    if (!chunk) return void flow.to.end()
    const { resetAfterBytes } = faults()
    const remainingBytes = resetAfterBytes - answerBytes
    if (flow.direction === 'answer' && resetAfterBytes > 0 && chunk.length >= remainingBytes) {
      flow.to.write(chunk.subarray(0, Math.max(0, remainingBytes)), () => setTimeout(destroy, RESET_DELAY_MS))
      return
    }
    if (flow.direction === 'answer') answerBytes += chunk.length
    if (flow.to.write(chunk)) return
    flow.from.pause()
    flow.to.once('drain', () => { if (!faults().frozen) flow.from.resume() })
  }

  function update (): void {
    const { refuse, frozen, cut } = faults()
    if (refuse || (hasLostBytes && cut === 'none' && !frozen)) return destroy()
    for (const flow of flows) {
      // A frozen connection is not read, so that the sender's TCP window fills up as it does with a stopped process.
      if (frozen) flow.from.pause()
      else flow.from.resume()
      drain(flow)
    }
  }

  for (const flow of flows) {
    flow.from.on('data', (chunk: Buffer) => receive(flow, chunk))
    flow.from.on('end', () => receive(flow, null))
    flow.from.on('error', () => handleConnectionError(flow))
    flow.from.on('close', () => { if (client.destroyed && target.destroyed) destroy() })
  }
  update()

  /** Forwards a connection error as a reset, unless this direction is cut or the connection is frozen. */
  function handleConnectionError (flow: Flow): void {
    if (!isCut(flow.direction) && !faults().frozen) return destroy()
    hasLostBytes = true
  }
  return { update, destroy }
}
