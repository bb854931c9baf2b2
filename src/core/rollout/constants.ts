/** Constants of roll-outs. */
import type { TestPolicy } from './types.ts'

export const CONTROLLER_PERIOD_MS = 1000
export const REPORT_PERIOD_MS = 1000
/** A report has about 400 bytes; with this period per VM the controller receives at most about 4 KB a second. */
export const REPORT_PERIOD_PER_VM_MS = 100

/** Latency buckets grow by half from 20 ms; the last one holds all longer times. */
export const LATENCY_BUCKETS = 24
export const SHORTEST_LATENCY_MS = 20
export const LATENCY_BUCKET_FACTOR = 1.5

/** Trials of the old version that the long and the short memory of its rates go back. */
export const LONG_WINDOW = 2000
export const SHORT_WINDOW = 100
/** Trials of the old version that a period needs to be compared with. */
export const MIN_CONCURRENT_TRIALS = 20
/** After so many trials of the new version a period ends also without the old one. */
export const MAX_UNCONTROLLED_TRIALS = 100
/** Until the weights of a stage are in force everywhere, the old version may still serve too little; 9 s at worst. */
export const GO_BACK_AFTER_MS = 10_000
/** Share of the old version's first tokens that counts as slow. */
export const SLOW_SHARE = 0.1
/** Smallest standard deviation assumed for ratings, and the factor by which the observed one is widened. */
export const MIN_RATING_DEVIATION = 0.1
export const RATING_DEVIATION_FACTOR = 1.25
/** Standard errors added to the old version's rate before the new one is compared with it. */
export const BASELINE_MARGIN = 2

/**
 * Each restart of the evidence at 0 ends in a false stop with a probability of at most exp(-12), about 1 in 160,000,
 * as far as requests fail independently; the benchmark shows the rate per roll-out.
 */
export const DEFAULT_TEST_POLICY: TestPolicy = {
  stopEvidence: 12,
  waitEvidence: 5,
  failureRise: 0.05,
  slowRise: 0.1,
  ratingFall: 0.1
}
