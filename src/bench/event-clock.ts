/**
 * Clock of the benchmarks: jumps from timer to timer, so that minutes of traffic take seconds. Timers of equal time run
 * in the order in which they were set, which makes a run depend on its seed only.
 */
import type { Clock, TimerCancel } from '../core/clock/index.ts'

interface Timer { due: number, order: number, run: () => void, isCancelled: boolean }

export interface EventClock extends Clock {
  /** Runs all timers up to a time. */
  runUntil(ms: number): Promise<void>
}

export function createEventClock (): EventClock {
  const heap: Timer[] = []
  let nowMs = 0
  let order = 0

  function after (ms: number, run: () => void): TimerCancel {
    const timer: Timer = { due: nowMs + Math.max(0, ms), order: order++, run, isCancelled: false }
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
    while (heap.length > 0 && heap[0]!.due <= ms) {
      const timer = pop(heap)
      if (timer.isCancelled) continue
      nowMs = timer.due
      timer.run()
      // Promise callbacks that the timer caused run before the next timer.
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
  return a.due < b.due || (a.due === b.due && a.order < b.order)
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
