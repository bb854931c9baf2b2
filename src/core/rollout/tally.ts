/** Arithmetic on the tallies of two versions. */
import type { VersionOutcome } from '../routing/types.ts'
import { LATENCY_BUCKET_FACTOR, LATENCY_BUCKETS, SHORTEST_LATENCY_MS } from './constants.ts'
import type { RolloutTally, VersionTally } from './types.ts'

export function emptyTally (): VersionTally {
  return { requests: 0, failures: 0, firstTokens: Array.from({ length: LATENCY_BUCKETS }, () => 0), ratings: 0, ratingLoss: 0, ratingLossSquares: 0 }
}

export function emptyRolloutTally (): RolloutTally {
  return { from: emptyTally(), to: emptyTally() }
}

export function latencyBucket (ms: number): number {
  const bucket = Math.ceil(Math.log(Math.max(ms, SHORTEST_LATENCY_MS) / SHORTEST_LATENCY_MS) / Math.log(LATENCY_BUCKET_FACTOR))
  return Math.min(LATENCY_BUCKETS - 1, bucket)
}

/** Counts an outcome in place. An outcome with a rating was counted before without it, so only the rating is added. */
export function countOutcome (tally: VersionTally, { failed, firstTokenMs, rating }: Pick<VersionOutcome, 'failed' | 'firstTokenMs' | 'rating'>): void {
  if (rating !== undefined) {
    tally.ratings++
    tally.ratingLoss += 1 - rating
    tally.ratingLossSquares += (1 - rating) ** 2
    return
  }
  tally.requests++
  if (failed) tally.failures++
  if (firstTokenMs === undefined) return
  const bucket = latencyBucket(firstTokenMs)
  tally.firstTokens[bucket] = tally.firstTokens[bucket]! + 1
}

function combine (a: VersionTally, b: VersionTally, operate: (a: number, b: number) => number): VersionTally {
  return {
    requests: operate(a.requests, b.requests),
    failures: operate(a.failures, b.failures),
    firstTokens: a.firstTokens.map((count, bucket) => operate(count, b.firstTokens[bucket]!)),
    ratings: operate(a.ratings, b.ratings),
    ratingLoss: operate(a.ratingLoss, b.ratingLoss),
    ratingLossSquares: operate(a.ratingLossSquares, b.ratingLossSquares)
  }
}

export const addTallies = (a: VersionTally, b: VersionTally): VersionTally => combine(a, b, (x, y) => x + y)

/** Counts added since `earlier`. */
export const tallySince = (earlier: VersionTally, now: VersionTally): VersionTally => combine(now, earlier, (x, y) => x - y)

export const scaleTally = (tally: VersionTally, factor: number): VersionTally => combine(tally, tally, x => x * factor)
