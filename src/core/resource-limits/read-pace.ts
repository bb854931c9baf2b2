/**
 * Limits the time that a VM spends on bytes of backend servers and of other VMs, whatever these send: one read of a connection
 * brings up to 64 KiB, which are 10,000 chunks or 60,000 lines, and a sender without end keeps its connection readable.
 * Reading is counted in steps. A turn of the event loop ends for all connections after a number of steps. A connection
 * that brings many steps in one turn is dense, and all dense connections share a rate of steps; the one that has had the
 * fewest so far goes on first, so that a long response does not wait behind senders without end.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { DENSE_STEPS, DENSE_STEPS_PER_MS, MAX_DENSE_DEBT_MS, MIN_COUNTED_STEPS, MIN_DENSE_GAP_MS, STEPS_PER_TURN } from './constants.ts'
import type { PausableReading } from './types.ts'

export interface PacedReading {
  /** Counts steps of the work that the connection brings. It may be paused by this. */
  count(steps: number): void
  /** Ends the pacing; the connection is not resumed any more. */
  end(): void
}

export interface ReadPace {
  open(reading: PausableReading): PacedReading
  /** Number of connections that wait for their share of the rate. */
  delayed(): number
}

export interface ReadPaceOptions {
  clock: Pick<Clock, 'now' | 'after'>
  /** Runs a function after the current turn of the event loop. */
  afterTurn?: (run: () => void) => void
  /** Called when a connection becomes dense. */
  onDense?: () => void
}

interface Entry {
  reading: PausableReading
  /** Steps since the connection was opened, and in this turn. */
  totalSteps: number
  turnSteps: number
  isPaused: boolean
}

export function createReadPace ({ clock, afterTurn = run => { setImmediate(run) }, onDense = () => {} }: ReadPaceOptions): ReadPace {
  /** Those that were read last come last, as connections are read in the order in which they are resumed. */
  const entries = new Set<Entry>()
  /** Those with steps in this turn. */
  const counted = new Set<Entry>()
  const dense = new Set<Entry>()
  let turnSteps = 0
  let isTurnOver = false
  let isScheduled = false
  /** Monotonic time from which one more dense connection may be read. */
  let nextDenseMs = -Infinity
  let cancelRelease: TimerCancel | undefined

  function pause (entry: Entry): void {
    if (entry.isPaused) return
    entry.isPaused = true
    entry.reading.pause()
  }

  function resume (entry: Entry): void {
    if (!entry.isPaused) return
    entry.isPaused = false
    entry.reading.resume()
  }

  function endTurn (): void {
    isTurnOver = true
    for (const entry of entries) pause(entry)
  }

  function startTurn (): void {
    isScheduled = false
    turnSteps = 0
    for (const entry of counted) {
      if (dense.has(entry)) payLater(entry.turnSteps)
      entry.turnSteps = 0
      entries.delete(entry)
      entries.add(entry)
    }
    counted.clear()
    if (isTurnOver) {
      isTurnOver = false
      for (const entry of entries) if (!dense.has(entry)) resume(entry)
    }
    scheduleRelease()
  }

  /** Moves the next read of a dense connection by the time that these steps are worth. */
  function payLater (steps: number): void {
    const nowMs = clock.now()
    nextDenseMs = Math.min(Math.max(nextDenseMs, nowMs) + steps / DENSE_STEPS_PER_MS, nowMs + MAX_DENSE_DEBT_MS)
  }

  function scheduleRelease (): void {
    if (dense.size === 0 || cancelRelease) return
    cancelRelease = clock.after(Math.max(MIN_DENSE_GAP_MS, nextDenseMs - clock.now()), release)
  }

  /** Lets one dense connection go on. If it brings many steps again, it waits again. */
  function release (): void {
    cancelRelease = undefined
    // The one before has been read meanwhile.
    if (clock.now() < nextDenseMs) return scheduleRelease()
    let next: Entry | undefined
    for (const entry of dense) if (!next || entry.totalSteps < next.totalSteps) next = entry
    if (!next) return
    dense.delete(next)
    if (!isTurnOver) resume(next)
    scheduleRelease()
  }

  function count (entry: Entry, steps: number): void {
    if (!entries.has(entry)) return
    entry.totalSteps += steps
    entry.turnSteps += steps
    turnSteps += steps
    counted.add(entry)
    if (turnSteps > MIN_COUNTED_STEPS && !isScheduled) {
      isScheduled = true
      afterTurn(startTurn)
    }
    if (entry.turnSteps > DENSE_STEPS && !dense.has(entry)) {
      dense.add(entry)
      pause(entry)
      onDense()
    }
    if (turnSteps > STEPS_PER_TURN && !isTurnOver) endTurn()
  }

  return {
    open (reading) {
      const entry: Entry = { reading, totalSteps: 0, turnSteps: 0, isPaused: false }
      entries.add(entry)
      if (isTurnOver) pause(entry)
      return {
        count: steps => count(entry, steps),
        end () {
          entries.delete(entry)
          counted.delete(entry)
          dense.delete(entry)
        }
      }
    },
    delayed: () => dense.size
  }
}
