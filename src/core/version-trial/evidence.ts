/**
 * Computes the evidence that a version on trial is worse than the old one. It works with the few tens of requests that a
 * trial gets in total; the sequential test of model roll-outs needs hundreds. Both versions are compared over the same
 * period, so a fault that affects both is no evidence. The whole trial and its most recent part are evaluated separately,
 * so that a good start does not mask a later degradation. Each route is also evaluated separately, because a version that
 * fails on a single route can look good in total.
 */
import { addTallies, emptyRolloutTally, tallySince } from '../rollout/tally.ts'
import type { RolloutTally, VersionTally } from '../rollout/types.ts'

export interface Evidence { failures: number, latency: number }

/** Tallies by route name. */
export type RouteTallies = Record<string, RolloutTally>

export interface TrialEvaluator {
  /** Takes the totals since the start of the trial and the monotonic time; returns the strongest evidence per signal. */
  evaluate(totals: RouteTallies, nowMs: number): Evidence
}

/** Length of the most recent part of a trial, which is evaluated separately. */
const RECENT_MS = 8000
/** Minimum requests on the old version for its recent part to serve as baseline; during a takeover it gets none. */
const MIN_RECENT_BASELINE_REQUESTS = 20
/**
 * Quantile of the old version's first-event latency that is the baseline. Latency buckets grow by a factor of 1.5, so
 * three buckets above it means 3.4 times slower.
 */
const BASELINE_QUANTILE = 0.75
const SLOW_BUCKET_OFFSET = 3

export function createTrialEvaluator (): TrialEvaluator {
  let snapshots: { atMs: number, totals: RouteTallies }[] = []

  return {
    evaluate (totals, nowMs) {
      while (snapshots.length > 1 && nowMs - snapshots[1]!.atMs >= RECENT_MS) snapshots.shift()
      const before = snapshots[0]?.totals ?? {}
      snapshots = [...snapshots, { atMs: nowMs, totals }]
      const recent = Object.fromEntries(Object.entries(totals).map(([route, tally]) => [route, recentTally(before[route], tally)]))
      const comparisons = [totals, recent].flatMap(tallies => [sumTallies(Object.values(tallies)), ...Object.values(tallies)]).map(compareVersions)
      return { failures: Math.max(...comparisons.map(comparison => comparison.failures)), latency: Math.max(...comparisons.map(comparison => comparison.latency)) }
    }
  }
}

/** Tally since the snapshot; if the old version had too few requests since then, its whole tally is the baseline. */
function recentTally (before: RolloutTally | undefined, tally: RolloutTally): RolloutTally {
  if (!before) return tally
  const from = tallySince(before.from, tally.from)
  return { from: from.requests < MIN_RECENT_BASELINE_REQUESTS ? tally.from : from, to: tallySince(before.to, tally.to) }
}

export function sumTallies (tallies: Iterable<RolloutTally>): RolloutTally {
  let sum = emptyRolloutTally()
  for (const { from, to } of tallies) sum = { from: addTallies(sum.from, from), to: addTallies(sum.to, to) }
  return sum
}

/** Adds the tallies of all VMs, route by route. */
export function sumByRoute (reports: Iterable<RouteTallies>): RouteTallies {
  const sums: RouteTallies = {}
  for (const report of reports) {
    for (const [route, tally] of Object.entries(report)) sums[route] = sumTallies(sums[route] ? [sums[route], tally] : [tally])
  }
  return sums
}

/**
 * Whether the new version has served enough requests in total, and on every route with at least `minRouteShare` of the
 * old version's traffic.
 */
export function hasEnoughRequests (totals: RouteTallies, { minRequests, minRouteRequests, minRouteShare }: { minRequests: number, minRouteRequests: number, minRouteShare: number }): boolean {
  const all = sumTallies(Object.values(totals))
  if (all.to.requests < minRequests) return false
  return Object.values(totals).every(({ from, to }) => from.requests < minRouteShare * all.from.requests || to.requests >= minRouteRequests)
}

function compareVersions ({ from, to }: RolloutTally): Evidence {
  const firstSlowBucket = findFirstSlowBucket(from)
  const countSlow = ({ firstTokens }: VersionTally) => firstTokens.slice(firstSlowBucket).reduce((sum, count) => sum + count, 0)
  const countAll = ({ firstTokens }: VersionTally) => firstTokens.reduce((sum, count) => sum + count, 0)
  return {
    failures: rateEvidence(to.failures, to.requests, from.failures, from.requests),
    latency: rateEvidence(countSlow(to), countAll(to), countSlow(from), countAll(from))
  }
}

function findFirstSlowBucket ({ firstTokens }: VersionTally): number {
  const total = firstTokens.reduce((sum, count) => sum + count, 0)
  let cumulative = 0
  for (let bucket = 0; bucket < firstTokens.length; bucket++) {
    cumulative += firstTokens[bucket]!
    if (cumulative >= BASELINE_QUANTILE * total) return bucket + SLOW_BUCKET_OFFSET
  }
  return firstTokens.length
}

/** Minimum increase of the rate of failures or slow first events that callers notice. */
const MIN_RATE_RISE = 0.1

/**
 * Log-likelihood ratio of the observed rate against the old version's rate. It is 0 unless the observed rate is at least
 * twice the old one and exceeds it by the minimum rise. The old rate is overestimated by one event.
 */
export function rateEvidence (events: number, trials: number, baselineEvents: number, baselineTrials: number): number {
  if (trials === 0) return 0
  const baselineRate = (baselineEvents + 1) / (baselineTrials + 2)
  const observed = events / trials
  if (observed < baselineRate + MIN_RATE_RISE || observed < 2 * baselineRate) return 0
  const term = (share: number, expected: number) => (share === 0 ? 0 : share * Math.log(share / expected))
  return trials * (term(observed, baselineRate) + term(1 - observed, 1 - baselineRate))
}
