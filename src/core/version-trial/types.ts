/** Types of version trials: a service moves to a new version in stages while failures and latency are compared. */
import type { ServiceId, VersionId } from '../ids/index.ts'
import type { Revision } from '../object-feed/index.ts'

/** An operator's order to move a service to a version. */
export interface RolloutOrder {
  name: string
  /** Revision of the order's object in the store. */
  revision: Revision
  service: ServiceId
  target: VersionId
  durationMs: number
  /** `undefined` until a VM has accepted the order. */
  state: RolloutState | undefined
}

/**
 * In `taking_over`, all requests go to the new version while the old backend servers still run, so that every session
 * has moved before the old backend servers stop.
 */
export type RolloutState = 'running' | 'taking_over' | FinalState

export type FinalState = 'completed' | 'rolled_back'
