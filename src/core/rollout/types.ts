/** Types of roll-outs: the tallies of two versions and the reports that VMs send to the region's controller. */
import type { AcceptedChange, ConfigChange, ConfigView } from '../config/types.ts'
import type { BootId, VmId } from '../ids/index.ts'

/** Counts of one version; all values increase monotonically. */
export interface VersionTally {
  requests: number
  failures: number
  /** Number of first tokens per latency bucket, see `latencyBucket`. */
  firstTokens: number[]
  ratings: number
  /** Sum of 1 less the rating. */
  ratingLoss: number
  /** Sum of the squares of 1 less the rating. */
  ratingLossSquares: number
}

export interface RolloutTally {
  from: VersionTally
  to: VersionTally
}

/** Message `rollout.outcomes`: totals that this boot of the VM has counted since the roll-out began. */
export interface OutcomeReport {
  rollout: string
  /** The two versions compared; a report for another pair than the current one is ignored. */
  pair: string
  vm: VmId
  boot: BootId
  tally: RolloutTally
}

export interface Outcomes {
  /** Sum of this VM's counts and all reports; `undefined` when the roll-out is not in progress. */
  total(rollout: string): RolloutTally | undefined
}

export interface RolloutConfig {
  view: ConfigView
  /** Conditional update; throws ConfigError `config_conflict` when the object has changed. */
  change(change: ConfigChange): Promise<AcceptedChange>
}

/** Limits of the sequential test. */
export interface TestPolicy {
  /** Evidence, as a natural logarithm of a likelihood ratio, at which a roll-out is stopped. */
  stopEvidence: number
  /** Evidence above which the next stage does not begin. */
  waitEvidence: number
  /** Smallest increase of the failure rate that the test is designed to detect. */
  failureRise: number
  /** Smallest increase of the share of slow first tokens that the test is designed to detect. */
  slowRise: number
  /** Smallest decrease of the mean rating that the test is designed to detect. */
  ratingFall: number
}

export type Signal = 'failures' | 'latency' | 'ratings'

export interface Verdict {
  evidence: Record<Signal, number>
  /** Signal in which the new version is worse than the old one over the same periods. */
  worse?: Signal
  /** Signal that got worse while the old version served too few requests for a comparison. */
  suspect?: Signal
  /** Whether the evidence permits the next stage. */
  mayAdvance: boolean
}

export interface RolloutController {
  start(): void
  stop(): void
  /** Performs at most one step per roll-out; called by the timer. */
  tick(): Promise<void>
}
