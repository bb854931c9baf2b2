/**
 * Sequential test of a new version against the old one: a cumulative sum of log-likelihood ratios (CUSUM) for each of
 * failures, slow first tokens and ratings. It compares both versions over the same periods, so a fault that affects both
 * is no evidence. Negative evidence resets to 0, so that a version that degrades late is detected as fast as one that is
 * bad from the start.
 */
import {
  BASELINE_MARGIN, DEFAULT_TEST_POLICY, LATENCY_BUCKETS, LONG_WINDOW, MAX_UNCONTROLLED_TRIALS, MIN_CONCURRENT_TRIALS, MIN_RATING_DEVIATION, RATING_DEVIATION_FACTOR, SHORT_WINDOW, SLOW_SHARE
} from './constants.ts'
import { addTallies, emptyRolloutTally, emptyTally, scaleTally, tallySince } from './tally.ts'
import type { RolloutTally, Signal, TestPolicy, Verdict, VersionTally } from './types.ts'

const SIGNALS: readonly Signal[] = ['failures', 'latency', 'ratings']

/**
 * Number of events among a number of trials. For ratings, `events` is the sum of the losses (1 less the rating) and
 * `squares` the sum of their squares.
 */
interface EventCounts { events: number, trials: number, squares?: number }

export interface SequentialTest {
  /** Takes the total counted so far and tests the counts added since the last call. */
  update(total: RolloutTally): Verdict
  /** Resets the evidence from periods with too few trials of the old version. */
  beginStage(): void
}

export function createSequentialTest (policy: TestPolicy = DEFAULT_TEST_POLICY): SequentialTest {
  const comparisons = {
    failures: createComparison(compareRates, policy.failureRise),
    latency: createComparison(compareRates, policy.slowRise),
    ratings: createComparison(compareRatings, policy.ratingFall)
  }
  let previousTotal = emptyRolloutTally()
  let history = emptyTally()

  const evidenceOf = (kind: keyof Evidence): Record<Signal, number> => ({
    failures: comparisons.failures.evidence()[kind],
    latency: comparisons.latency.evidence()[kind],
    ratings: comparisons.ratings.evidence()[kind]
  })

  return {
    beginStage () {
      for (const signal of SIGNALS) comparisons[signal].resetUncontrolled()
    },
    update (total) {
      const from = tallySince(previousTotal.from, total.from)
      const to = tallySince(previousTotal.to, total.to)
      previousTotal = total
      history = decay(addTallies(history, from))
      const firstSlowBucket = findFirstSlowBucket(history)
      for (const signal of SIGNALS) comparisons[signal].add(countsOf(from, signal, firstSlowBucket), countsOf(to, signal, firstSlowBucket))
      const evidence = evidenceOf('concurrent')
      const uncontrolled = evidenceOf('uncontrolled')
      const worse = SIGNALS.find(signal => evidence[signal] >= policy.stopEvidence)
      const suspect = SIGNALS.find(signal => uncontrolled[signal] >= policy.stopEvidence)
      const mayAdvance = SIGNALS.every(signal => Math.max(evidence[signal], uncontrolled[signal]) <= policy.waitEvidence)
      return { evidence, ...worse && { worse }, ...suspect && { suspect }, mayAdvance }
    }
  }
}

interface Evidence {
  /** From periods with enough trials of the old version to compare the new one with it over the same period. */
  concurrent: number
  /** From periods with too few trials of the old version; the new one is compared with the baselines only. */
  uncontrolled: number
}

/** Evidence that the rate of the trials exceeds the baseline by `rise`; `margin` is in standard errors of the baseline. */
type Compare = (trials: EventCounts, baseline: EventCounts, rise: number, margin: number) => number

const NO_COUNTS: EventCounts = { events: 0, trials: 0, squares: 0 }

/**
 * Divides the counts into periods. A period ends when the old version has enough trials; the new version is then compared
 * with the old one in that period and with baselines of the old one over a short and a long window. The smallest evidence
 * counts, so that a fault that affects both versions is no evidence. A period also ends when the new version has many trials
 * and the old one still too few; the new version is then compared with the baselines only.
 */
function createComparison (compare: Compare, rise: number) {
  let longBaseline = NO_COUNTS
  let shortBaseline = NO_COUNTS
  let from = NO_COUNTS
  let to = NO_COUNTS
  let evidence: Evidence = { concurrent: 0, uncontrolled: 0 }

  function compareWithBaselines (): number {
    return Math.min(compare(to, longBaseline, rise, BASELINE_MARGIN), compare(to, shortBaseline, rise, BASELINE_MARGIN))
  }

  function closePeriod (): void {
    longBaseline = addToWindow(longBaseline, from, LONG_WINDOW)
    shortBaseline = addToWindow(shortBaseline, from, SHORT_WINDOW)
    const isConcurrent = from.trials >= MIN_CONCURRENT_TRIALS
    if (isConcurrent) {
      const added = Math.min(compareWithBaselines(), compare(to, from, rise, 0))
      evidence = { concurrent: Math.max(0, evidence.concurrent + added), uncontrolled: 0 }
    } else {
      evidence = { ...evidence, uncontrolled: Math.max(0, evidence.uncontrolled + compareWithBaselines()) }
    }
    from = NO_COUNTS
    to = NO_COUNTS
  }

  return {
    add (addedFrom: EventCounts, addedTo: EventCounts): void {
      from = addCounts(from, addedFrom)
      to = addCounts(to, addedTo)
      if (from.trials >= MIN_CONCURRENT_TRIALS || to.trials >= MAX_UNCONTROLLED_TRIALS) closePeriod()
    },
    resetUncontrolled () { evidence = { ...evidence, uncontrolled: 0 } },
    evidence: () => evidence
  }
}

const compareRates: Compare = (trials, baseline, rise, margin) => logLikelihoodRatio(trials, upperRate(baseline, margin), rise)

/** Compares ratings as normally distributed, because a binomial model would overestimate their variance. */
const compareRatings: Compare = ({ events, trials }, baseline, rise, margin) => {
  const count = baseline.trials + 2
  const mean = (baseline.events + 1) / count
  const observed = Math.max(0, ((baseline.squares ?? 0) + 0.5) / count - mean * mean)
  const deviation = RATING_DEVIATION_FACTOR * Math.max(MIN_RATING_DEVIATION, Math.sqrt(observed))
  const upperMean = mean + margin * deviation / Math.sqrt(count)
  return rise / deviation ** 2 * (events - trials * upperMean - trials * rise / 2)
}

function addCounts (a: EventCounts, b: EventCounts): EventCounts {
  return { events: a.events + b.events, trials: a.trials + b.trials, squares: (a.squares ?? 0) + (b.squares ?? 0) }
}

/** Adds the newest trials; counts beyond the window are scaled down. */
function addToWindow (old: EventCounts, added: EventCounts, window: number): EventCounts {
  const retained = Math.min(1, Math.max(0, window - added.trials) / Math.max(1, old.trials))
  return {
    events: old.events * retained + added.events,
    trials: old.trials * retained + added.trials,
    squares: (old.squares ?? 0) * retained + (added.squares ?? 0)
  }
}

function decay (tally: VersionTally): VersionTally {
  return tally.requests <= LONG_WINDOW ? tally : scaleTally(tally, LONG_WINDOW / tally.requests)
}

/** First bucket that, with all higher ones, holds at most `SLOW_SHARE` of the first tokens. */
function findFirstSlowBucket ({ firstTokens }: VersionTally): number {
  const limit = SLOW_SHARE * firstTokens.reduce((sum, count) => sum + count, 0)
  let tail = 0
  for (let bucket = LATENCY_BUCKETS - 1; bucket > 0; bucket--) {
    tail += firstTokens[bucket]!
    if (tail > limit) return Math.min(LATENCY_BUCKETS - 1, bucket + 1)
  }
  return 1
}

function countsOf (tally: VersionTally, signal: Signal, firstSlowBucket: number): EventCounts {
  if (signal === 'failures') return { events: tally.failures, trials: tally.requests }
  if (signal === 'ratings') return { events: tally.ratingLoss, trials: tally.ratings, squares: tally.ratingLossSquares }
  const sum = (counts: number[]) => counts.reduce((total, count) => total + count, 0)
  return { events: sum(tally.firstTokens.slice(firstSlowBucket)), trials: sum(tally.firstTokens) }
}

/** Upper bound of the old version's rate: the estimate plus a margin in standard errors. */
export function upperRate ({ events, trials }: EventCounts, margin = BASELINE_MARGIN): number {
  // The added event overestimates the old version's rate, even when nearly all trials are events.
  const rate = (events + 1) / (trials + 1)
  return Math.min(1, rate + margin * Math.sqrt(rate * (1 - rate) / (trials + 1)))
}

/**
 * Logarithm of the likelihood of the events at a worse rate, relative to that at the baseline rate. The worse rate is the
 * baseline plus `rise`, or twice the baseline if that is more, but at most halfway from the baseline to 1. The result is
 * 0 if the baseline plus `rise` reaches 1.
 */
export function logLikelihoodRatio ({ events, trials }: EventCounts, baseline: number, rise: number): number {
  if (baseline + rise >= 1) return 0
  const worse = Math.min((1 + baseline) / 2, baseline + Math.max(rise, baseline))
  return events * Math.log(worse / baseline) + (trials - events) * Math.log((1 - worse) / (1 - baseline))
}
