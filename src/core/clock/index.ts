/**
 * Time source of the process. Leases, timeouts and rates use the monotonic clock, which does not jump when the
 * wall clock is set; wall-clock time is only written into records that people read.
 */
import { performance } from 'node:perf_hooks'

/** Cancels a timer. Calling it twice has no effect. */
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

/** A clock that tests move by hand with `advance`. */
export interface ManualClock extends Clock {
  advance(ms: number): Promise<void>
}

interface ManualTimer { due: number, run: () => void, periodMs?: number }

/** Creates a manual clock; `advance` runs the due timers in order and lets pending promises settle between them. */
export function createManualClock ({ startMs = 0, wallStartMs = 0 } = {}): ManualClock {
  let nowMs = startMs
  const timers = new Set<ManualTimer>()

  function add (timer: ManualTimer): TimerCancel {
    timers.add(timer)
    return () => { timers.delete(timer) }
  }

  function nextDue (untilMs: number): ManualTimer | undefined {
    let next: ManualTimer | undefined
    for (const timer of timers) {
      if (timer.due <= untilMs && (!next || timer.due < next.due)) next = timer
    }
    return next
  }

  async function advance (ms: number): Promise<void> {
    const untilMs = nowMs + ms
    await settle()
    for (let timer = nextDue(untilMs); timer; timer = nextDue(untilMs)) {
      nowMs = Math.max(nowMs, timer.due)
      if (timer.periodMs === undefined) timers.delete(timer)
      else timer.due += timer.periodMs
      timer.run()
      await settle()
    }
    nowMs = untilMs
  }

  return {
    now: () => nowMs,
    wallMs: () => wallStartMs + nowMs - startMs,
    sleep: ms => new Promise(resolve => add({ due: nowMs + ms, run: resolve })),
    after: (ms, run) => add({ due: nowMs + ms, run }),
    every: (ms, run) => add({ due: nowMs + ms, run, periodMs: ms }),
    advance
  }
}

/** Lets promise callbacks that are already queued run. */
async function settle (): Promise<void> {
  for (let i = 0; i < 5; i++) await new Promise(resolve => setImmediate(resolve))
}
