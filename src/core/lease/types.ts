/** Interface of the leader leases of data centres. */
import type { DataCentreId, VmId } from '../ids/index.ts'

/** Content of the object `Lease/<data centre>`. */
export interface LeaseSpec {
  holder: VmId
  /** Increases with each acquisition of the lease; it is the fencing token of commands to engines. */
  epoch: number
  ttlMs: number
  /** Increases with each renewal, so that observers see that the holder is active. */
  renewal: number
}

export interface LeaseState {
  dataCentre: DataCentreId
  holder: VmId | undefined
  epoch: number
}

export interface LeaderLease {
  /** Whether this VM holds a lease that has not expired on the monotonic clock; must be called before each action under it. */
  isHeld(dataCentre: DataCentreId): boolean
  /** Epoch of the lease that this VM holds; undefined when it holds none. */
  heldEpoch(dataCentre: DataCentreId): number | undefined
  /** Last known holder, from the object API or from a newer announcement by the leader. */
  leader(dataCentre: DataCentreId): LeaseState | undefined
  /** Records the lease state from a leader's message; an older epoch than the known one is ignored. */
  observe(state: LeaseState): void
  onAcquired(listener: (dataCentre: DataCentreId, epoch: number) => void): void
  onLost(listener: (dataCentre: DataCentreId) => void): void
  start(): void
  /** Releases all leases so that another VM can acquire them immediately. */
  release(): Promise<void>
}
