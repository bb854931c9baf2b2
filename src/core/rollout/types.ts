/** Types of roll-outs: what is counted about two versions, and how VMs report it to the region's controller. */
import type { AcceptedChange, ConfigChange, ConfigView } from '../config/types.ts'
import type { BootId, VmId } from '../ids/index.ts'

/** Counts of one version; all values only grow. */
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

/** Message `rollout.outcomes`: everything this run of the VM has counted since the roll-out began. */
export interface OutcomeReport {
  rollout: string
  /** Versions compared; a report about an earlier pair is ignored. */
  pair: string
  vm: VmId
  boot: BootId
  tally: RolloutTally
}

/** Sum of all reports; undefined until one arrived. */
export interface Outcomes {
  total(rollout: string): RolloutTally | undefined
}

export interface RolloutConfig {
  view: ConfigView
  /** Conditional update; throws ConfigError `config_conflict` when the object has changed. */
  change(change: ConfigChange): Promise<AcceptedChange>
}

/** Limits of the sequential test. */
export interface TestPolicy {
  /** Evidence, as a natural logarithm of a likelihood ratio, at which a version is stopped. */
  stopEvidence: number
  /** Evidence above which no further stage begins. */
  waitEvidence: number
  /** Smallest rise of the failure share that matters. */
  failureRise: number
  /** Smallest rise of the share of slow first tokens that matters. */
  slowRise: number
  /** Smallest fall of the mean rating that matters. */
  ratingFall: number
}

export type Signal = 'failures' | 'latency' | 'ratings'

export interface Verdict {
  evidence: Record<Signal, number>
  /** Signal that shows that the new version is worse. */
  worse?: Signal
  /** Signal that got worse while the old version served too little to compare with. */
  suspect?: Signal
  /** Whether a further stage may begin as far as the evidence goes. */
  mayAdvance: boolean
}

export interface RolloutController {
  start(): void
  stop(): void
  /** Takes at most one step for each roll-out; the timer calls it. */
  tick(): Promise<void>
}
