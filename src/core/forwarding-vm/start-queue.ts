/**
 * Requests that arrive before this VM may serve them, while it starts. After a power loss of all VMs, callers return
 * within a few hundred milliseconds and retry only once, so a request waits if the VM is expected to serve it within its
 * time. It is refused as soon as that is no longer expected, when the queue is full or when the VM stops. Requests leave in the order of
 * their arrival.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { MAX_START_QUEUE_BYTES, MAX_START_QUEUE_REQUESTS, START_CHECK_PERIOD_MS } from './constants.ts'

export interface StartWait {
  /** Whether the request may be served now. */
  isOpen(): boolean
  /** Latest monotonic time until which it may wait; read again at each step, as the configuration may shorten it. */
  latestMs(): number
  /** Size of its body. */
  bytes: number
  /** Registers a callback for a caller that disconnects. */
  onDisconnect(callback: () => void): void
}

export interface StartQueueOptions {
  /** Rises with each step after which more requests may be served; `isOpen` is evaluated again only then. */
  phase: () => number
  /** Monotonic time at which this VM expects the next such step. */
  expectedMs: () => number
  maxRequests?: number
  maxBytes?: number
  clock: Clock
  metrics: Metrics
}

export interface StartQueue {
  /** Resolves with whether the request may be served. */
  wait(request: StartWait): Promise<boolean>
  /** Refuses the requests that wait, and all later ones that would have to. */
  stop(): void
}

interface Waiter { request: StartWait, latestMs: number, finish(result: StartWaitResult): void }

type StartWaitResult = 'served' | 'too_late' | 'caller_gone' | 'stopped'

export function createStartQueue (options: StartQueueOptions): StartQueue {
  const { phase, expectedMs, maxRequests = MAX_START_QUEUE_REQUESTS, maxBytes = MAX_START_QUEUE_BYTES, clock, metrics } = options
  const waiters = new Set<Waiter>()
  let waitingBytes = 0
  let checkedPhase = phase()
  let cancelCheck: TimerCancel | undefined
  let isStopped = false

  function check (): void {
    const hasProgress = phase() !== checkedPhase
    checkedPhase = phase()
    const nextStepMs = Math.max(clock.now(), expectedMs())
    for (const waiter of [...waiters]) {
      if (hasProgress) waiter.latestMs = waiter.request.latestMs()
      if (hasProgress && waiter.request.isOpen()) waiter.finish('served')
      else if (nextStepMs > waiter.latestMs) waiter.finish('too_late')
    }
    if (waiters.size > 0) return
    cancelCheck?.()
    cancelCheck = undefined
  }

  return {
    wait (request) {
      // Requests that have waited for the same step are served first.
      if (waiters.size > 0 && phase() !== checkedPhase) check()
      if (request.isOpen()) return Promise.resolve(true)
      if (isStopped) {
        metrics.count('start_waits', 'stopped')
        return Promise.resolve(false)
      }
      const isFull = waiters.size >= maxRequests || waitingBytes + request.bytes > maxBytes
      const latestMs = request.latestMs()
      if (isFull || expectedMs() > latestMs) {
        metrics.count('start_waits', isFull ? 'full' : 'not_begun')
        return Promise.resolve(false)
      }
      if (waiters.size === 0) checkedPhase = phase()
      cancelCheck ??= clock.every(START_CHECK_PERIOD_MS, check)
      return new Promise(resolve => {
        const waiter: Waiter = {
          request,
          latestMs,
          finish (result) {
            if (!waiters.delete(waiter)) return
            waitingBytes -= request.bytes
            metrics.count('start_waits', result)
            resolve(result === 'served')
          }
        }
        waiters.add(waiter)
        waitingBytes += request.bytes
        request.onDisconnect(() => waiter.finish('caller_gone'))
      })
    },
    stop () {
      isStopped = true
      cancelCheck?.()
      for (const waiter of [...waiters]) waiter.finish('stopped')
    }
  }
}
