/**
 * How much of a service's traffic a trial may use. The share of the sessions follows from the time alone, so all VMs
 * agree about a session without asking each other. The number of requests of each VM is a safeguard for the case that a
 * few sessions send most of the requests, or that the trial lasts longer than planned.
 */
import { COMPLETION_DEADLINE, FIRST_STAGE_SHARE, MAX_SECOND_STAGE_SHARE, SECOND_STAGE_START, SHARE_SAFETY_FACTOR, SHARE_TOLERANCE } from './constants.ts'

/** Maximum share of a service's requests for a version on trial, and the number of requests allowed beyond it, over all VMs. */
export interface TrialLimit { share: number, slack: number }

/**
 * Share of the sessions on the new version at a fraction of the order's duration. The average from the order to the
 * completion deadline stays below the allowed share.
 */
export function stageShare (elapsed: number, allowedShare: number): number {
  const average = allowedShare * SHARE_SAFETY_FACTOR
  const first = Math.min(average, FIRST_STAGE_SHARE)
  if (isFirstStage(elapsed)) return first
  return Math.min(MAX_SECOND_STAGE_SHARE, (average * COMPLETION_DEADLINE - first * SECOND_STAGE_START) / (COMPLETION_DEADLINE - SECOND_STAGE_START))
}

/** Whether the first stage lasts, in which no running session may be moved. */
export function isFirstStage (elapsed: number): boolean {
  return elapsed < SECOND_STAGE_START
}

export interface VmTrialState {
  /** Requests of this VM that could be put on trial. */
  ownRequests: number
  limit: TrialLimit
  vms: number
  /** Fraction of the order's duration. */
  elapsed: number
}

/**
 * Number of trial requests up to which this VM starts further sessions. Until the completion deadline, random variation
 * is tolerated: a VM with few requests would otherwise refuse sessions that other VMs have started a moment ago.
 */
export function maxTrialRequests ({ ownRequests, limit, vms, elapsed }: VmTrialState): number {
  const expected = SHARE_SAFETY_FACTOR * (limit.share * ownRequests + limit.slack / Math.max(1, vms))
  return elapsed < COMPLETION_DEADLINE ? expected + 1 + SHARE_TOLERANCE * Math.sqrt(expected) : expected
}
