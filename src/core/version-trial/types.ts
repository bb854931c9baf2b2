/** Interface of version trials: the traffic of a service moves to a new version that is watched meanwhile. */
import type { ServiceId, VersionId } from '../ids/index.ts'

/** An operator's order to move a service to a version. */
export interface RolloutOrder {
  name: string
  /** Revision of the order's object in the store. */
  revision: number
  service: ServiceId
  target: VersionId
  durationMs: number
  /** `undefined` until the router has accepted the order. */
  state: 'running' | 'completed' | 'rolled_back' | undefined
}
