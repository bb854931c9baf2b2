/**
 * Order in which the feeds of one VM call a store that does not answer: one at a time, at growing intervals, until a call
 * is answered; then all at once. If each feed retried by itself, an outage would cost as many calls as there are VMs
 * times kinds. The turn goes round, because the store may fail for one kind only.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { MAX_TURN_DELAY_MS, MIN_RETRY_DELAY_MS } from './constants.ts'

export interface RetryTurnsOptions {
  clock: Clock
  random: () => number
  /** Mean time between two turns, in milliseconds; doubled after each turn up to the maximum. */
  minDelayMs?: number
  maxDelayMs?: number
  /** Monotonic time of the latest confirmation by the store that another VM has passed on. Default: never. */
  relayedMs?: () => number
}

interface Waiting { isNeeded(): boolean, resume(failingSinceMs: number | undefined): void }

export function createRetryTurns ({ clock, random, minDelayMs = MIN_RETRY_DELAY_MS, maxDelayMs = MAX_TURN_DELAY_MS, relayedMs = () => -Infinity }: RetryTurnsOptions) {
  let state: 'answers' | 'unknown' | 'fails' = 'answers'
  let waiting: Waiting[] = []
  /** Monotonic time of the last answer before the first failed call; `undefined` unless the store fails. */
  let failingSinceMs: number | undefined
  let lastAnswerMs = clock.now()
  let turns = 0
  let nextTurnMs = -Infinity
  let cancelTimer: TimerCancel | undefined

  function lastContactMs (): number {
    return Math.max(lastAnswerMs, relayedMs())
  }

  function leaveAnswering (next: 'unknown' | 'fails'): void {
    if (state === 'answers') {
      turns = 0
      nextTurnMs = clock.now()
    }
    state = next
  }

  function schedule (): void {
    if (cancelTimer || waiting.length === 0) return
    cancelTimer = clock.after(Math.max(0, nextTurnMs - clock.now()), () => {
      cancelTimer = undefined
      const unneeded = waiting.filter(({ isNeeded }) => !isNeeded())
      waiting = waiting.filter(entry => !unneeded.includes(entry))
      for (const { resume } of [...unneeded, ...waiting.splice(0, 1)]) resume(failingSinceMs)
      nextTurnMs = clock.now() + Math.min(maxDelayMs, minDelayMs * 2 ** turns++) * (0.5 + random())
      schedule()
    })
  }

  return {
    /**
     * Resolves when the caller may call the store, at once while the store answers. If calls have failed since the store
     * last answered, returns the monotonic time from which it may have been away. `isNeeded` tells whether the caller still
     * wants the turn.
     */
    next (isNeeded: () => boolean): Promise<number | undefined> {
      if (state === 'answers') return Promise.resolve(undefined)
      return new Promise(resolve => {
        waiting.push({ isNeeded, resume: resolve })
        schedule()
      })
    },
    recordAnswer (): void {
      const sinceMs = failingSinceMs
      state = 'answers'
      failingSinceMs = undefined
      lastAnswerMs = clock.now()
      const resumed = waiting
      waiting = []
      cancelTimer?.()
      cancelTimer = undefined
      for (const { resume } of resumed) resume(sinceMs)
    },
    recordFailure (): void {
      leaveAnswering('fails')
      failingSinceMs ??= lastContactMs()
    },
    /** Monotonic time at which the store, or another VM that follows it, last answered. */
    lastContactMs,
    /** Makes the next calls wait for the answer to the first of them, if it is not known whether the store answers. */
    recordUnknown (): void { if (state === 'answers') leaveAnswering('unknown') }
  }
}

export type RetryTurns = ReturnType<typeof createRetryTurns>
