/**
 * Timeline of a start: the time at which each step was first seen done, in milliseconds since the start of the process,
 * written as one log line. From its own steps, the VM also estimates when it will have loaded what it needs.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { Log } from '../logging/index.ts'
import { LOAD_TIME_SHARE, MAX_EXPECTED_LOAD_MS, MAX_TIMELINE_MS, MIN_EXPECTED_LOAD_MS, START_CHECK_PERIOD_MS } from './constants.ts'

/** Times of the process before the VM is created, on the VM's monotonic clock. */
export interface ProcessStart {
  startedMs: number
  /** Time at which the program began to load. */
  upMs: number
}

export interface StartTimelineOptions {
  processStart: ProcessStart
  /** Conditions of the steps that are checked periodically. */
  steps: Record<string, () => boolean>
  clock: Clock
  log: Log
}

export interface StartTimeline {
  /** Records a step that is done; only the first time counts. */
  record(step: string): void
  /** Milliseconds from the start of the process to a step; undefined before it. */
  at(step: string): number | undefined
  /** Monotonic time at which this VM expects to have loaded what it needs, while it has not. */
  expectedLoadedMs(): number
  /** Begins to check the steps. The line is written after the last one, or after a fixed time if some are missing. */
  start(): void
  /** Writes the line now if it has not been written. */
  stop(): void
}

/** Steps of the requests, which are recorded and not checked. */
const REQUEST_STEPS = ['accepted', 'served']

export function createStartTimeline ({ processStart, steps, clock, log }: StartTimelineOptions): StartTimeline {
  const { startedMs } = processStart
  const createdMs = clock.now()
  const times: Record<string, number> = { process: Math.round(processStart.upMs - startedMs), settings: Math.round(createdMs - startedMs) }
  let isWritten = false
  let cancelCheck: TimerCancel | undefined

  function record (step: string): void {
    if (times[step] !== undefined) return
    times[step] = Math.round(clock.now() - startedMs)
    if (!isWritten && REQUEST_STEPS.includes(step)) check()
  }

  function check (): void {
    for (const [step, isDone] of Object.entries(steps)) if (times[step] === undefined && isDone()) record(step)
    const isComplete = [...Object.keys(steps), ...REQUEST_STEPS].every(step => times[step] !== undefined)
    if (isComplete || clock.now() - createdMs >= MAX_TIMELINE_MS) write()
  }

  function write (): void {
    cancelCheck?.()
    if (isWritten) return
    isWritten = true
    log.info('timeline of the start, in ms since the start of the process', times)
  }

  return {
    record,
    at: step => times[step],
    expectedLoadedMs () {
      const elapsedMs = clock.now() - createdMs
      // The calls to the store and the links take about as much processor time as the program itself took to load.
      const expectedMs = Math.min(MAX_EXPECTED_LOAD_MS, Math.max(MIN_EXPECTED_LOAD_MS, (createdMs - startedMs) * LOAD_TIME_SHARE))
      if (elapsedMs < expectedMs) return createdMs + expectedMs
      // A start that takes longer than expected, for example without the store, may take half as long again.
      return clock.now() + Math.min(MAX_EXPECTED_LOAD_MS, elapsedMs / 2)
    },
    start () { cancelCheck = clock.every(START_CHECK_PERIOD_MS, check) },
    stop: write
  }
}
