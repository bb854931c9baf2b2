/** Interface of the data centre leader lease. */
import type { DataCentreId, VmId } from '../ids/index.ts'

/** Content of the object `Lease/<data centre>`. */
export interface LeaseSpec {
  holder: VmId
  /** Grows with each change of holder; it is the fencing number of orders to engines. */
  epoch: number
  ttlMs: number
  /** Grows with each renewal, so that observers see that the holder is active. */
  renewal: number
}

export interface LeaseState {
  dataCentre: DataCentreId
  holder: VmId | undefined
  epoch: number
}

export interface LeaderLease {
  /** Checks the monotonic clock; must be called before each act that needs the lease. */
  isHeld(dataCentre: DataCentreId): boolean
  /** Epoch of the lease this VM holds; undefined when it holds none now. */
  heldEpoch(dataCentre: DataCentreId): number | undefined
  /** Last known holder, from the object API or a newer announcement by the leader itself. */
  leader(dataCentre: DataCentreId): LeaseState | undefined
  /** Records what a leader's message says about its epoch; older epochs are ignored. */
  observe(state: LeaseState): void
  onAcquired(listener: (dataCentre: DataCentreId, epoch: number) => void): void
  onLost(listener: (dataCentre: DataCentreId) => void): void
  start(): void
  /** Gives up all leases so that another VM can take them at once. */
  release(): Promise<void>
}
