/**
 * Time source of the process. Leases, timeouts and rates use the monotonic clock, which is not affected when the wall
 * clock is set. Wall-clock time is used for values that are compared across processes or shown to people, such as
 * expiry times, spending periods and log timestamps.
 */
import { performance } from 'node:perf_hooks'

/** Cancels a timer. Further calls have no effect. */
export type TimerCancel = () => void

export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): number
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallMs(): number
  sleep(ms: number): Promise<void>
  after(ms: number, run: () => void): TimerCancel
  /** Runs `run` every `ms`; the timer does not keep the process alive. */
  every(ms: number, run: () => void): TimerCancel
}

/** A time on both clocks. */
export interface Instant { monotonicMs: number, wallMs: number }

export function readInstant (clock: Clock): Instant {
  return { monotonicMs: clock.now(), wallMs: clock.wallMs() }
}

/**
 * Time since an instant in milliseconds, by the clock that shows more: the monotonic clock stops while a VM is frozen, and
 * the wall clock can be set back.
 */
export function longestElapsedMs (clock: Clock, { monotonicMs, wallMs }: Instant): number {
  return Math.max(clock.now() - monotonicMs, clock.wallMs() - wallMs)
}

export const systemClock: Clock = {
  now: () => performance.now(),
  wallMs: () => Date.now(),
  sleep: ms => new Promise(resolve => setTimeout(resolve, ms)),
  after (ms, run) {
    const timer = setTimeout(run, ms)
    return () => clearTimeout(timer)
  },
  every (ms, run) {
    const timer = setInterval(run, ms)
    timer.unref()
    return () => clearInterval(timer)
  }
}

/** Clock for tests and simulations that only moves when `advance` is called. */
export interface ManualClock extends Clock {
  advance(ms: number): Promise<void>
}

interface ManualTimer { dueMs: number, callback: () => void, periodMs?: number }

/** Creates a manual clock. `advance` runs due timers in order and lets queued promise callbacks run after each timer. */
export function createManualClock ({ startMs = 0, wallStartMs = 0 } = {}): ManualClock {
  let nowMs = startMs
  const timers = new Set<ManualTimer>()

  function addTimer (timer: ManualTimer): TimerCancel {
    timers.add(timer)
    return () => { timers.delete(timer) }
  }

  function nextDueTimer (untilMs: number): ManualTimer | undefined {
    let next: ManualTimer | undefined
    for (const timer of timers) {
      if (timer.dueMs <= untilMs && (!next || timer.dueMs < next.dueMs)) next = timer
    }
    return next
  }

  async function advance (ms: number): Promise<void> {
    const untilMs = nowMs + ms
    await flushPromises()
    for (let timer = nextDueTimer(untilMs); timer; timer = nextDueTimer(untilMs)) {
      nowMs = Math.max(nowMs, timer.dueMs)
      if (timer.periodMs === undefined) timers.delete(timer)
      else timer.dueMs += timer.periodMs
      timer.callback()
      await flushPromises()
    }
    nowMs = untilMs
  }

  return {
    now: () => nowMs,
    wallMs: () => wallStartMs + nowMs - startMs,
    sleep: ms => new Promise(resolve => addTimer({ dueMs: nowMs + ms, callback: resolve })),
    after: (ms, run) => addTimer({ dueMs: nowMs + ms, callback: run }),
    every: (ms, run) => addTimer({ dueMs: nowMs + ms, callback: run, periodMs: ms }),
    advance
  }
}

/** Lets queued promise callbacks run. */
async function flushPromises (): Promise<void> {
  for (let i = 0; i < 5; i++) await new Promise(resolve => setImmediate(resolve))
}
