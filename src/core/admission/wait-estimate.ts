/**
 * Estimates the queue time of a request: the number of grants until its turn times the mean hold time of a permit,
 * divided by the number of concurrent requests that the backend servers accept now. With the estimate, the leader can
 * immediately refuse a request that could not start in time and tell the caller when to retry.
 */
import type { QueueEntry } from './fair-queue.ts'
import { PRIORITY_WEIGHTS } from './fair-queue.ts'

/** Weight of the newest hold time in the exponential moving average. */
const SMOOTHING_FACTOR = 0.05

export interface HoldTimes {
  record(target: string, ms: number): void
  /** Mean hold time; undefined before the first release. */
  mean(target: string): number | undefined
}

export function createHoldTimes (): HoldTimes {
  const means = new Map<string, number>()
  return {
    record (target, ms) {
      const mean = means.get(target)
      means.set(target, mean === undefined ? ms : mean + SMOOTHING_FACTOR * (ms - mean))
    },
    mean: target => means.get(target)
  }
}

export interface WaitEstimateInput<Entry extends QueueEntry> {
  entry: Entry
  /** Entries that wait for the same backend servers, including the entry itself. */
  waiting: readonly Entry[]
  meanHoldMs: number | undefined
  /** Concurrent requests that the backend servers accept now. */
  capacity: number
}

/** Expected queue time in milliseconds; 0 while no hold time is known or the backend servers accept no requests. */
export function estimateWaitMs<Entry extends QueueEntry> ({ entry, waiting, meanHoldMs, capacity }: WaitEstimateInput<Entry>): number {
  if (meanHoldMs === undefined || capacity === 0) return 0
  return grantsUntilTurn(entry, waiting) * meanHoldMs / capacity
}

/**
 * Number of grants until the entry's turn, including its own, when teams share the grants by weight. Only entries of the
 * same or a higher priority count.
 */
function grantsUntilTurn<Entry extends QueueEntry> (entry: Entry, waiting: readonly Entry[]): number {
  const priorityWeight = PRIORITY_WEIGHTS[entry.priority]
  const contenders = waiting.filter(other => PRIORITY_WEIGHTS[other.priority] >= priorityWeight)
  const sameTeamAhead = contenders.filter(other => other.team === entry.team && other.priority === entry.priority && other.deadline <= entry.deadline)
  const weights = new Map(contenders.map(other => [other.team, other.weight]))
  const totalWeight = [...weights.values()].reduce((sum, weight) => sum + weight, 0)
  return Math.min(contenders.length, sameTeamAhead.length * totalWeight / entry.weight)
}
