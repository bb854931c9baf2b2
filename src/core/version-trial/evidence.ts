/**
 * Evidence that a version on trial is worse, from few requests. The load it answers: a trial gets some tens of requests
 * in all, where the sequential test of the product's own roll-outs needs hundreds. Both versions are compared over the
 * same time, so a fault that hits both is none; the whole trial and its latest part are judged apart, so that a version
 * that turns bad late is not excused by its good start.
 */
import { addTallies, emptyRolloutTally, tallySince } from '../rollout/tally.ts'
import type { RolloutTally, VersionTally } from '../rollout/types.ts'

export interface Evidence { failures: number, latency: number }

export interface TrialJudge {
  /** Takes the total so far at a monotonic time and returns the strongest evidence. */
  judge(total: RolloutTally, nowMs: number): Evidence
}

/** Latest part of a trial that is judged by itself. */
const RECENT_MS = 8000
/** Part of the old version's first events that is compared, and how much slower, in buckets of half as much more each, counts as slow: 3.4 times. */
const COMPARED_QUANTILE = 0.75
const SLOWER_BUCKETS = 3

export function createTrialJudge (): TrialJudge {
  let snapshots: { atMs: number, total: RolloutTally }[] = []

  return {
    judge (total, nowMs) {
      while (snapshots.length > 1 && nowMs - snapshots[1]!.atMs >= RECENT_MS) snapshots.shift()
      const before = snapshots[0]?.total ?? emptyRolloutTally()
      snapshots = [...snapshots, { atMs: nowMs, total }]
      const recent = { from: tallySince(before.from, total.from), to: tallySince(before.to, total.to) }
      const parts = [total, recent].map(compare)
      return { failures: Math.max(...parts.map(part => part.failures)), latency: Math.max(...parts.map(part => part.latency)) }
    }
  }
}

/** Adds the tallies of all VMs. */
export function sumTallies (tallies: Iterable<RolloutTally>): RolloutTally {
  let sum = emptyRolloutTally()
  for (const { from, to } of tallies) sum = { from: addTallies(sum.from, from), to: addTallies(sum.to, to) }
  return sum
}

function compare ({ from, to }: RolloutTally): Evidence {
  const slow = slowBucket(from)
  const countSlow = ({ firstTokens }: VersionTally) => firstTokens.slice(slow).reduce((sum, count) => sum + count, 0)
  const countAll = ({ firstTokens }: VersionTally) => firstTokens.reduce((sum, count) => sum + count, 0)
  return {
    failures: rateEvidence(to.failures, to.requests, from.failures, from.requests),
    latency: rateEvidence(countSlow(to), countAll(to), countSlow(from), countAll(from))
  }
}

function slowBucket ({ firstTokens }: VersionTally): number {
  const total = firstTokens.reduce((sum, count) => sum + count, 0)
  let below = 0
  for (let bucket = 0; bucket < firstTokens.length; bucket++) {
    below += firstTokens[bucket]!
    if (below >= COMPARED_QUANTILE * total) return bucket + SLOWER_BUCKETS
  }
  return firstTokens.length
}

/** Rise of a rate that matters: a share of failures, or of slow first events, that callers notice. */
const SMALLEST_RISE = 0.1

/**
 * Logarithm of the likelihood ratio between the observed rate and the old version's; 0 unless the rate is higher by
 * the smallest rise that matters and twice as high. The old rate errs upwards by one event.
 */
export function rateEvidence (events: number, trials: number, oldEvents: number, oldTrials: number): number {
  if (trials === 0) return 0
  const old = (oldEvents + 1) / (oldTrials + 2)
  const observed = events / trials
  if (observed < old + SMALLEST_RISE || observed < 2 * old) return 0
  const term = (share: number, expected: number) => (share === 0 ? 0 : share * Math.log(share / expected))
  return trials * (term(observed, old) + term(1 - observed, 1 - old))
}
