/**
 * Decides whether a VM may admit locally to a data centre: the object API is down and the leader has certainly
 * stopped granting. That is so when its lease is known to have ended, by its own last summary or by the lease
 * module, or when it is dead and has been silent for the time its lease can last. A leader that is alive but silent
 * may only be cut off from this VM, so its data centre is left alone.
 */
import type { Clock } from '../clock/index.ts'
import type { DataCentreId } from '../ids/index.ts'
import type { LeaderLease } from '../lease/types.ts'
import type { Membership } from '../membership/types.ts'
import type { SummaryExchange } from './summary-exchange.ts'

export interface OutageCheck {
  mayAdmitLocally(dataCentre: DataCentreId): boolean
}

export interface OutageCheckOptions {
  lease: LeaderLease
  membership: Membership
  exchange: SummaryExchange
  objectApiAvailable: () => boolean
  leaseTtlMs: number
  clock: Clock
}

export function createOutageCheck ({ lease, membership, exchange, objectApiAvailable, leaseTtlMs, clock }: OutageCheckOptions): OutageCheck {
  return {
    mayAdmitLocally (dataCentre) {
      const known = exchange.latest(dataCentre)
      if (!known || objectApiAvailable() || membership.isIsolated() || lease.isHeld(dataCentre)) return false
      const state = lease.leader(dataCentre)
      if (state && state.epoch > known.summary.epoch) return false
      if (known.summary.leaseLost || (state && state.holder === undefined)) return true
      const holder = membership.get(known.summary.leader)
      const isDead = holder === undefined || holder.state === 'dead'
      return isDead && clock.now() - known.receivedAt >= leaseTtlMs
    }
  }
}
