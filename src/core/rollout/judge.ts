/**
 * Sequential test of a new version against the old one: a cumulative sum of log-likelihood ratios (CUSUM) for each of
 * failures, slow first tokens and ratings. It compares what both versions did in the same period, so a fault that hits
 * both is no evidence, and it starts again from 0 when the evidence is negative, so that a version that turns bad late
 * is noticed as fast as one that is bad from the start.
 */
import {
  BASELINE_MARGIN, DEFAULT_TEST_POLICY, LATENCY_BUCKETS, LONG_WINDOW, MAX_UNCONTROLLED_TRIALS, MIN_CONCURRENT_TRIALS, MIN_RATING_DEVIATION, RATING_DEVIATION_FACTOR, SHORT_WINDOW, SLOW_SHARE
} from './constants.ts'
import { addTallies, emptyRolloutTally, emptyTally, scaleTally, tallySince } from './tally.ts'
import type { RolloutTally, Signal, TestPolicy, Verdict, VersionTally } from './types.ts'

const SIGNALS: readonly Signal[] = ['failures', 'latency', 'ratings']

/** Events among a number of trials. For ratings the events are the loss, 1 less the rating, with its squares. */
interface Share { events: number, trials: number, squares?: number }

export interface Judge {
  /** Takes the total counted so far; what was added since the last call is the new evidence. */
  judge(total: RolloutTally): Verdict
  /** Forgets the evidence of a time without the old version. */
  beginStage(): void
}

export function createJudge (policy: TestPolicy = DEFAULT_TEST_POLICY): Judge {
  const comparisons = {
    failures: createComparison(compareRates, policy.failureRise),
    latency: createComparison(compareRates, policy.slowRise),
    ratings: createComparison(compareRatings, policy.ratingFall)
  }
  let seen = emptyRolloutTally()
  let history = emptyTally()

  const evidenceOf = (kind: keyof Evidence): Record<Signal, number> => ({
    failures: comparisons.failures.evidence()[kind],
    latency: comparisons.latency.evidence()[kind],
    ratings: comparisons.ratings.evidence()[kind]
  })

  return {
    beginStage () {
      for (const signal of SIGNALS) comparisons[signal].forgetRemembered()
    },
    judge (total) {
      const from = tallySince(seen.from, total.from)
      const to = tallySince(seen.to, total.to)
      seen = total
      history = fade(addTallies(history, from))
      const slowFrom = slowBucket(history)
      for (const signal of SIGNALS) comparisons[signal].add(shareOf(from, signal, slowFrom), shareOf(to, signal, slowFrom))
      const evidence = evidenceOf('concurrent')
      const remembered = evidenceOf('remembered')
      const worse = SIGNALS.find(signal => evidence[signal] >= policy.stopEvidence)
      const suspect = SIGNALS.find(signal => remembered[signal] >= policy.stopEvidence)
      const mayAdvance = SIGNALS.every(signal => Math.max(evidence[signal], remembered[signal]) <= policy.waitEvidence)
      return { evidence, ...worse && { worse }, ...suspect && { suspect }, mayAdvance }
    }
  }
}

interface Evidence {
  /** From periods in which both versions served. */
  concurrent: number
  /** From a time in which only the new version served, against what is remembered of the old one. */
  remembered: number
}

/** Evidence that the trials are worse than the old version by the rise; `margin` is in standard errors of the old version's rate. */
type Compare = (trials: Share, old: Share, rise: number, margin: number) => number

const NOTHING: Share = { events: 0, trials: 0, squares: 0 }

/**
 * Collects periods in which the old version has enough trials and compares the new one with the old one in that
 * period, in a short memory and in a long one. The least evidence counts, so that a fault of both versions is none.
 */
function createComparison (compare: Compare, rise: number) {
  let long = NOTHING
  let short = NOTHING
  let from = NOTHING
  let to = NOTHING
  let evidence: Evidence = { concurrent: 0, remembered: 0 }

  function againstMemory (): number {
    return Math.min(compare(to, long, rise, BASELINE_MARGIN), compare(to, short, rise, BASELINE_MARGIN))
  }

  function closePeriod (): void {
    long = remember(long, from, LONG_WINDOW)
    short = remember(short, from, SHORT_WINDOW)
    const isConcurrent = from.trials >= MIN_CONCURRENT_TRIALS
    if (isConcurrent) {
      const added = Math.min(againstMemory(), compare(to, from, rise, 0))
      evidence = { concurrent: Math.max(0, evidence.concurrent + added), remembered: 0 }
    } else {
      evidence = { ...evidence, remembered: Math.max(0, evidence.remembered + againstMemory()) }
    }
    from = NOTHING
    to = NOTHING
  }

  return {
    add (addedFrom: Share, addedTo: Share): void {
      from = addShares(from, addedFrom)
      to = addShares(to, addedTo)
      if (from.trials >= MIN_CONCURRENT_TRIALS || to.trials >= MAX_UNCONTROLLED_TRIALS) closePeriod()
    },
    forgetRemembered () { evidence = { ...evidence, remembered: 0 } },
    evidence: () => evidence
  }
}

const compareRates: Compare = (trials, old, rise, margin) => logLikelihoodRatio(trials, upperRate(old, margin), rise)

/** Ratings are compared as normally distributed; yes-or-no rules would ignore how little they vary. */
const compareRatings: Compare = ({ events, trials }, old, rise, margin) => {
  const count = old.trials + 2
  const mean = (old.events + 1) / count
  const observed = Math.max(0, ((old.squares ?? 0) + 0.5) / count - mean * mean)
  const deviation = RATING_DEVIATION_FACTOR * Math.max(MIN_RATING_DEVIATION, Math.sqrt(observed))
  const upper = mean + margin * deviation / Math.sqrt(count)
  return rise / deviation ** 2 * (events - trials * upper - trials * rise / 2)
}

function addShares (a: Share, b: Share): Share {
  return { events: a.events + b.events, trials: a.trials + b.trials, squares: (a.squares ?? 0) + (b.squares ?? 0) }
}

/** Adds the newest trials; older ones fade beyond the window. */
function remember (old: Share, added: Share, window: number): Share {
  const keep = Math.min(1, Math.max(0, window - added.trials) / Math.max(1, old.trials))
  return {
    events: old.events * keep + added.events,
    trials: old.trials * keep + added.trials,
    squares: (old.squares ?? 0) * keep + (added.squares ?? 0)
  }
}

function fade (tally: VersionTally): VersionTally {
  return tally.requests <= LONG_WINDOW ? tally : scaleTally(tally, LONG_WINDOW / tally.requests)
}

/** First bucket of which all and higher ones hold at most the slow share of first tokens. */
function slowBucket ({ firstTokens }: VersionTally): number {
  const limit = SLOW_SHARE * firstTokens.reduce((sum, count) => sum + count, 0)
  let tail = 0
  for (let bucket = LATENCY_BUCKETS - 1; bucket > 0; bucket--) {
    tail += firstTokens[bucket]!
    if (tail > limit) return Math.min(LATENCY_BUCKETS - 1, bucket + 1)
  }
  return 1
}

function shareOf (tally: VersionTally, signal: Signal, slowFrom: number): Share {
  if (signal === 'failures') return { events: tally.failures, trials: tally.requests }
  if (signal === 'ratings') return { events: tally.ratingLoss, trials: tally.ratings, squares: tally.ratingLossSquares }
  const sum = (counts: number[]) => counts.reduce((total, count) => total + count, 0)
  return { events: sum(tally.firstTokens.slice(slowFrom)), trials: sum(tally.firstTokens) }
}

/** Rate of the old version, with a margin for what its own sample leaves open. */
export function upperRate ({ events, trials }: Share, margin = BASELINE_MARGIN): number {
  // One more event errs towards a worse old version, also when nearly all trials are events.
  const rate = (events + 1) / (trials + 1)
  return Math.min(1, rate + margin * Math.sqrt(rate * (1 - rate) / (trials + 1)))
}

/**
 * Logarithm of the likelihood of the events under a rate that is worse by the rise, relative to the baseline. It is 0
 * when the old version is too bad for a worse rate to exist.
 */
export function logLikelihoodRatio ({ events, trials }: Share, baseline: number, rise: number): number {
  if (baseline + rise >= 1) return 0
  const worse = Math.min((1 + baseline) / 2, baseline + Math.max(rise, baseline))
  return events * Math.log(worse / baseline) + (trials - events) * Math.log((1 - worse) / (1 - baseline))
}
