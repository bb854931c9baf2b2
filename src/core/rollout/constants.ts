/** Constants of roll-outs. */
import type { TestPolicy } from './types.ts'

export const CONTROLLER_PERIOD_MS = 1000
export const REPORT_PERIOD_MS = 1000
/**
 * Reporting period per VM of the region. A report has about 400 bytes, so the controller receives at most about 4 KB a
 * second.
 */
export const REPORT_PERIOD_PER_VM_MS = 100

/** Latency buckets start at 20 ms and grow by a factor of 1.5; the last one holds all longer times. */
export const LATENCY_BUCKETS = 24
export const SHORTEST_LATENCY_MS = 20
export const LATENCY_BUCKET_FACTOR = 1.5

/** Lengths, in trials of the old version, of the long and the short window over which its rates are estimated. */
export const LONG_WINDOW = 2000
export const SHORT_WINDOW = 100
/** Minimum trials of the old version in a period for a concurrent comparison. */
export const MIN_CONCURRENT_TRIALS = 20
/** Trials of the new version after which a period ends even without enough trials of the old one. */
export const MAX_UNCONTROLLED_TRIALS = 100
/**
 * Minimum time in a stage before the roll-out returns to the previous one. Until the weights of the stage are in force
 * everywhere, which takes up to 9 s, the old version may still get too few requests for a comparison.
 */
export const GO_BACK_AFTER_MS = 10_000
/** The highest latency buckets that together hold at most this share of the old version's first tokens count as slow. */
export const SLOW_SHARE = 0.1
/** Minimum standard deviation assumed for ratings, and the factor by which the deviation is multiplied. */
export const MIN_RATING_DEVIATION = 0.1
export const RATING_DEVIATION_FACTOR = 1.25
/** Standard errors added to the old version's rate before the new one is compared with it. */
export const BASELINE_MARGIN = 2

/**
 * Each time the evidence restarts at 0, a false stop follows with a probability of at most exp(-12), about 1 in 160,000,
 * provided that requests fail independently. The roll-out benchmark reports the rate of false stops per roll-out.
 */
export const DEFAULT_TEST_POLICY: TestPolicy = {
  stopEvidence: 12,
  waitEvidence: 5,
  failureRise: 0.05,
  slowRise: 0.1,
  ratingFall: 0.1
}
