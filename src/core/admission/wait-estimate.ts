/**
 * Estimates the queue time of a new request: the number of requests ahead of it times the mean hold time of a permit,
 * divided by the number of concurrent requests that the backend servers accept now. The estimate lets the leader refuse
 * at once a request that could not start in time, and return a time after which to retry.
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

/** Expected queue time in milliseconds; 0 until a hold time is known. */
export function estimateWaitMs<Entry extends QueueEntry> ({ entry, waiting, meanHoldMs, capacity }: WaitEstimateInput<Entry>): number {
  if (meanHoldMs === undefined || capacity === 0) return 0
  return requestsAhead(entry, waiting) * meanHoldMs / capacity
}

/** Number of requests granted up to and including the entry, when the queue shares grants by weight. */
function requestsAhead<Entry extends QueueEntry> (entry: Entry, waiting: readonly Entry[]): number {
  const priorityWeight = PRIORITY_WEIGHTS[entry.priority]
  const contenders = waiting.filter(other => PRIORITY_WEIGHTS[other.priority] >= priorityWeight)
  const sameTeamAhead = contenders.filter(other => other.team === entry.team && other.priority === entry.priority && other.deadline <= entry.deadline)
  const weights = new Map(contenders.map(other => [other.team, other.weight]))
  const totalWeight = [...weights.values()].reduce((sum, weight) => sum + weight, 0)
  return Math.min(contenders.length, sameTeamAhead.length * totalWeight / entry.weight)
}
