/**
 * Computes the evidence that a version on trial is worse than the old one. It works with the few tens of requests that a
 * trial gets in total; the sequential test of model roll-outs needs hundreds. Both versions are compared over the same
 * period, so a fault that affects both is no evidence. The whole trial and its most recent part are evaluated separately,
 * so that a good start does not mask a later degradation. Each route is also evaluated separately, because a version that
 * fails on a single route can look good in total. Requests under way that have waited long are compared with those of the
 * old version at the same time, because a surge of load delays the answers of both.
 */
import { LATENCY_BUCKETS } from '../rollout/constants.ts'
import { addSpeeds, countsSince, emptySpeed, sumTrialCounts, type LatencyCounts, type RouteCounts, type SpeedCounts, type SpeedSignal, type TrialCounts, type VersionCounts } from './counts.ts'

export interface Evidence {
  failures: number
  /** Slow first events, or slow events after the first. */
  latency: number
  /**
   * Evidence of slowness if those requests under way turn out slow that have already waited longer than most requests on
   * the old version, as far as they are more than the old version has in proportion; at least `latency`.
   */
  possibleLatency: number
}

export interface TrialEvaluator {
  /** Takes the totals since the start of the trial and the monotonic time; returns the strongest evidence per signal. */
  evaluate(totals: RouteCounts, nowMs: number): Evidence
}

/** Length of the most recent part of a trial, which is evaluated separately. */
const RECENT_MS = 8000
/** Minimum requests on the old version for its recent part to serve as baseline; during a takeover it gets none. */
const MIN_RECENT_BASELINE_REQUESTS = 20
/** Minimum requests under way on the old version to compare with at the moment; during a takeover it has none. */
const MIN_OPEN_BASELINE = 20
/**
 * Quantile of the old version's latency that is the baseline. Latency buckets grow by a factor of 1.5, so three buckets
 * above it means 3.4 times slower.
 */
const BASELINE_QUANTILE = 0.75
const SLOW_BUCKET_OFFSET = 3

export function createTrialEvaluator (): TrialEvaluator {
  let snapshots: { atMs: number, totals: RouteCounts }[] = []
  /** Requests under way on the old version, by route, added up over all evaluations. */
  const openSums = new Map<string, SpeedCounts>()

  return {
    evaluate (totals, nowMs) {
      while (snapshots.length > 1 && nowMs - snapshots[1]!.atMs >= RECENT_MS) snapshots.shift()
      const before = snapshots[0]?.totals ?? {}
      snapshots = [...snapshots, { atMs: nowMs, totals }]
      const recent = Object.fromEntries(Object.entries(totals).map(([route, counts]) => [route, recentCounts(before[route], counts)]))
      for (const [route, { from }] of Object.entries(totals)) openSums.set(route, addSpeeds(openSums.get(route) ?? emptySpeed(), from.open))
      const allOpen = [...openSums.values()].reduce(addSpeeds, emptySpeed())
      const comparisons = [totals, recent].flatMap(counts => [
        compareVersions(sumTrialCounts(Object.values(counts)), allOpen),
        ...Object.entries(counts).map(([route, routeCounts]) => compareVersions(routeCounts, openSums.get(route)!))
      ])
      return {
        failures: Math.max(...comparisons.map(({ failures }) => failures)),
        latency: Math.max(...comparisons.map(({ latency }) => latency)),
        possibleLatency: Math.max(...comparisons.map(({ possibleLatency }) => possibleLatency))
      }
    }
  }
}

/** Counts since the snapshot; if the old version had too few requests since then, all its counts are the baseline. */
function recentCounts (before: TrialCounts | undefined, counts: TrialCounts): TrialCounts {
  if (!before) return counts
  const from = countsSince(before.from, counts.from)
  return { from: from.requests < MIN_RECENT_BASELINE_REQUESTS ? counts.from : from, to: countsSince(before.to, counts.to) }
}

/**
 * Whether the new version has served enough requests in total, and on every route with at least `minRouteShare` of the
 * old version's traffic.
 */
export function hasEnoughRequests (totals: RouteCounts, { minRequests, minRouteRequests, minRouteShare }: { minRequests: number, minRouteRequests: number, minRouteShare: number }): boolean {
  const all = sumTrialCounts(Object.values(totals))
  if (all.to.requests < minRequests) return false
  return Object.values(totals).every(({ from, to }) => from.requests < minRouteShare * all.from.requests || to.requests >= minRouteRequests)
}

function compareVersions (counts: TrialCounts, usualOpen: SpeedCounts): Evidence {
  const { from, to } = counts
  const comparisons = [compareSpeed(counts, usualOpen, 'firstEvent'), compareSpeed(counts, usualOpen, 'eventGap')]
  return {
    failures: rateEvidence(to.failures, to.requests, from.failures, from.requests),
    latency: Math.max(...comparisons.map(({ latency }) => latency)),
    possibleLatency: Math.max(...comparisons.map(({ possibleLatency }) => possibleLatency))
  }
}

/** `usualOpen`: requests under way on the old version in the whole trial, for times when it has few. */
function compareSpeed ({ from, to }: TrialCounts, usualOpen: SpeedCounts, signal: SpeedSignal): Pick<Evidence, 'latency' | 'possibleLatency'> {
  const baselineBucket = findQuantile(from.measured[signal], BASELINE_QUANTILE)
  const slowBucket = baselineBucket + SLOW_BUCKET_OFFSET
  /** Slow requests, and all of which it is known whether they are slow; those that are still open once they are slow. */
  const countSlow = ({ measured, open }: VersionCounts) => {
    const slowOpen = countFrom(open[signal], slowBucket)
    return { slow: countFrom(measured[signal], slowBucket) + slowOpen, all: countFrom(measured[signal], 0) + slowOpen }
  }
  const baseline = countSlow(from)
  const observed = countSlow(to)
  const countDoubtful = (open: LatencyCounts) => countFrom(open, baselineBucket + 1) - countFrom(open, slowBucket)
  const oldOpen = countFrom(from.open[signal], 0) >= MIN_OPEN_BASELINE ? from.open[signal] : usualOpen[signal]
  const expectedShare = countDoubtful(oldOpen) / Math.max(1, countFrom(oldOpen, 0))
  const doubtful = Math.max(0, countDoubtful(to.open[signal]) - expectedShare * countFrom(to.open[signal], 0))
  const latency = rateEvidence(observed.slow, observed.all, baseline.slow, baseline.all)
  const possible = rateEvidence(observed.slow + doubtful, observed.all + doubtful, baseline.slow, baseline.all)
  return { latency, possibleLatency: Math.max(latency, possible) }
}

function countFrom (counts: LatencyCounts, firstBucket: number): number {
  return Object.entries(counts).reduce((sum, [bucket, count]) => sum + (Number(bucket) >= firstBucket ? count : 0), 0)
}

/** The lowest bucket at or below which the share of the requests is reached; beyond all buckets if there are none. */
function findQuantile (counts: LatencyCounts, share: number): number {
  const total = countFrom(counts, 0)
  if (total === 0) return LATENCY_BUCKETS
  let cumulative = 0
  for (let bucket = 0; bucket < LATENCY_BUCKETS; bucket++) {
    cumulative += counts[bucket] ?? 0
    if (cumulative >= share * total) return bucket
  }
  return LATENCY_BUCKETS
}

/** Minimum increase of the rate of failures or slow requests that callers notice. */
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
