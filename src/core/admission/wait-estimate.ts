/**
 * Estimate of the queue time of a new request: requests ahead of it times the mean time a permit is held, divided by
 * the concurrent requests that the backend servers bear now. It lets the leader refuse at once what could not start
 * in time, and say when to come back.
 */
import type { Queued } from './fair-queue.ts'
import { PRIORITY_WEIGHTS } from './fair-queue.ts'

/** Weight of the newest hold time in the moving mean. */
const NEWEST_WEIGHT = 0.05

export interface HoldTimes {
  note(target: string, ms: number): void
  /** Mean hold time; undefined before the first release. */
  mean(target: string): number | undefined
}

export function createHoldTimes (): HoldTimes {
  const means = new Map<string, number>()
  return {
    note (target, ms) {
      const mean = means.get(target)
      means.set(target, mean === undefined ? ms : mean + NEWEST_WEIGHT * (ms - mean))
    },
    mean: target => means.get(target)
  }
}

export interface WaitQuestion<Entry extends Queued> {
  entry: Entry
  /** Entries that wait for the same backend servers, the entry itself included. */
  waiting: readonly Entry[]
  meanHoldMs: number | undefined
  /** Concurrent requests that the backend servers bear now. */
  capacity: number
}

/** Expected queue time in milliseconds; 0 while nothing is known about hold times. */
export function estimateWaitMs<Entry extends Queued> ({ entry, waiting, meanHoldMs, capacity }: WaitQuestion<Entry>): number {
  if (meanHoldMs === undefined || capacity === 0) return 0
  return requestsAhead(entry, waiting) * meanHoldMs / capacity
}

/** Requests granted up to and including the entry, when the queue shares grants by weight. */
function requestsAhead<Entry extends Queued> (entry: Entry, waiting: readonly Entry[]): number {
  const rank = PRIORITY_WEIGHTS[entry.priority]
  const contenders = waiting.filter(other => PRIORITY_WEIGHTS[other.priority] >= rank)
  const own = contenders.filter(other => other.team === entry.team && other.priority === entry.priority && other.deadline <= entry.deadline)
  const weights = new Map(contenders.map(other => [other.team, other.weight]))
  const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0)
  return Math.min(contenders.length, own.length * total / entry.weight)
}
