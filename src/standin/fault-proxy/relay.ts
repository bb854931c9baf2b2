/** Relays one connection through the faults that are set at the time of each chunk. */
import type { Socket } from 'node:net'
import type { Direction, Faults } from './types.ts'

/** libuv reports an orderly end when it reads the last bytes and the reset at once, so the reset follows later. */
const RESET_DELAY_MS = 20

export interface Relay {
  /** Applies changed faults. */
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
  /** Chunks that wait for their delay, in order; null ends the stream. */
  waiting: { dueMs: number, chunk: Buffer | null }[]
  timer: NodeJS.Timeout | undefined
}

export function startRelay (client: Socket, target: Socket, faults: () => Faults, { onLost, onEnd }: RelayEvents): Relay {
  const flows: Flow[] = [
    { direction: 'request', from: client, to: target, waiting: [], timer: undefined },
    { direction: 'answer', from: target, to: client, waiting: [], timer: undefined }
  ]
  let ended = false
  let answered = 0
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

  function accept (flow: Flow, chunk: Buffer | null): void {
    if (ended) return
    if (isCut(flow.direction)) {
      hasLostBytes = true
      onLost(chunk?.length ?? 0)
      return
    }
    if (flow.direction === 'answer' && chunk && faults().dropAnswer) return destroy()
    flow.waiting.push({ dueMs: performance.now() + faults().delayMs, chunk })
    drain(flow)
  }

  function drain (flow: Flow): void {
    clearTimeout(flow.timer)
    while (canForward() && flow.waiting.length > 0) {
      const { dueMs, chunk } = flow.waiting[0]!
      const waitMs = dueMs - performance.now()
      if (waitMs > 0) {
        flow.timer = setTimeout(() => drain(flow), Math.ceil(waitMs))
        return
      }
      flow.waiting.shift()
      forward(flow, chunk)
    }
  }

  function canForward (): boolean {
    return !ended && !faults().frozen
  }

  function forward (flow: Flow, chunk: Buffer | null): void {
    if (!chunk) return void flow.to.end()
    const { resetAfterBytes } = faults()
    const left = resetAfterBytes - answered
    if (flow.direction === 'answer' && resetAfterBytes > 0 && chunk.length >= left) {
      flow.to.write(chunk.subarray(0, Math.max(0, left)), () => setTimeout(destroy, RESET_DELAY_MS))
      return
    }
    if (flow.direction === 'answer') answered += chunk.length
    if (flow.to.write(chunk)) return
    flow.from.pause()
    flow.to.once('drain', () => { if (!faults().frozen) flow.from.resume() })
  }

  function update (): void {
    const { refuse, frozen, cut } = faults()
    if (refuse || (hasLostBytes && cut === 'none' && !frozen)) return destroy()
    for (const flow of flows) {
      // A frozen connection stops reading, so that the sender meets a full window as it would with a stopped process.
      if (frozen) flow.from.pause()
      else flow.from.resume()
      drain(flow)
    }
  }

  for (const flow of flows) {
    flow.from.on('data', (chunk: Buffer) => accept(flow, chunk))
    flow.from.on('end', () => accept(flow, null))
    flow.from.on('error', () => lose(flow))
    flow.from.on('close', () => { if (client.destroyed && target.destroyed) destroy() })
  }
  update()

  /** A reset passes the proxy unless the packets of this direction are lost or held. */
  function lose (flow: Flow): void {
    if (!isCut(flow.direction) && !faults().frozen) return destroy()
    hasLostBytes = true
  }
  return { update, destroy }
}
