/**
 * Clock of a process that is paused once, at a chosen reading of its monotonic clock, which may lie between any two steps
 * of a function. The code under test goes on at once, at the time of the end of the pause; `caughtUp` resolves when the
 * world has reached that time, before which no call or timer of the process may take effect.
 */
import type { Clock, ManualClock } from '../../src/core/clock/index.ts'

export interface JumpingClockOptions {
  world: ManualClock
  /** Reading of the monotonic clock before which the process is paused, from 1. */
  atReading: number
  pauseMs: number
  /** Whether the monotonic clock stops during the pause, as it does while a VM is frozen. */
  isMonotonicStopped: boolean
}

export interface JumpingClock {
  clock: Clock
  /** Whether the process is ahead of the world. */
  isAhead(): boolean
  hasJumped(): boolean
  caughtUp(): Promise<void>
  /** Runs a function whose readings are not counted. */
  uncounted<Result>(run: () => Result): Result
}

export function createJumpingClock ({ world, atReading, pauseMs, isMonotonicStopped }: JumpingClockOptions): JumpingClock {
  let readings = 0
  let isCounting = true
  /** Time of the world at which the pause ends. */
  let resumedMs = -Infinity
  const worldMs = () => Math.max(world.now(), resumedMs)
  const stoppedMs = () => (isMonotonicStopped && resumedMs !== -Infinity ? pauseMs : 0)
  const isAhead = () => world.now() < resumedMs

  async function caughtUp (): Promise<void> {
    while (isAhead()) await world.sleep(resumedMs - world.now())
  }

  const afterPause = (run: () => void) => () => {
    if (isAhead()) void caughtUp().then(run)
    else run()
  }

  const clock: Clock = {
    now () {
      if (isCounting && ++readings === atReading) resumedMs = world.now() + pauseMs
      return worldMs() - stoppedMs()
    },
    wallMs: () => world.wallMs() + worldMs() - world.now(),
    sleep: ms => world.sleep(worldMs() - world.now() + ms),
    after: (ms, run) => world.after(worldMs() - world.now() + ms, afterPause(run)),
    every: (ms, run) => world.every(ms, afterPause(run))
  }
  return {
    clock,
    isAhead,
    hasJumped: () => resumedMs !== -Infinity,
    caughtUp,
    uncounted (run) {
      isCounting = false
      try {
        return run()
      } finally {
        isCounting = true
      }
    }
  }
}
