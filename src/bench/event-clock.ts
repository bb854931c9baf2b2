/**
 * Simulated clock for benchmarks: time advances directly to the next timer, so that minutes of traffic run in seconds.
 * Timers due at the same time run in the order in which they were set, so that a run depends only on its seed.
 */
import type { Clock, TimerCancel } from '../core/clock/index.ts'

interface Timer { dueMs: number, order: number, run: () => void, isCancelled: boolean }

export interface EventClock extends Clock {
  /** Runs all timers that are due at or before this time, and then sets the clock to it. */
  runUntil(ms: number): Promise<void>
}

export function createEventClock (): EventClock {
  const heap: Timer[] = []
  let nowMs = 0
  let nextOrder = 0

  function after (ms: number, run: () => void): TimerCancel {
    const timer: Timer = { dueMs: nowMs + Math.max(0, ms), order: nextOrder++, run, isCancelled: false }
    push(heap, timer)
    return () => { timer.isCancelled = true }
  }

  function every (ms: number, run: () => void): TimerCancel {
    let cancel = after(ms, repeat)
    function repeat (): void {
      cancel = after(ms, repeat)
      run()
    }
    return () => cancel()
  }

  async function runUntil (ms: number): Promise<void> {
    while (heap.length > 0 && heap[0]!.dueMs <= ms) {
      const timer = pop(heap)
      if (timer.isCancelled) continue
      nowMs = timer.dueMs
      timer.run()
      // Lets the promise callbacks that the timer caused run before the next timer.
      await new Promise(resolve => setImmediate(resolve))
    }
    nowMs = ms
  }

  return {
    now: () => nowMs,
    wallMs: () => nowMs,
    sleep: ms => new Promise(resolve => after(ms, resolve)),
    after,
    every,
    runUntil
  }
}

function isBefore (a: Timer, b: Timer): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order)
}

function push (heap: Timer[], timer: Timer): void {
  let index = heap.push(timer) - 1
  while (index > 0) {
    const parent = (index - 1) >> 1
    if (!isBefore(timer, heap[parent]!)) break
    heap[index] = heap[parent]!
    index = parent
  }
  heap[index] = timer
}

function pop (heap: Timer[]): Timer {
  const first = heap[0]!
  const last = heap.pop()!
  if (heap.length === 0) return first
  let index = 0
  for (;;) {
    let child = 2 * index + 1
    if (child >= heap.length) break
    if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++
    if (!isBefore(heap[child]!, last)) break
    heap[index] = heap[child]!
    index = child
  }
  heap[index] = last
  return first
}
