/**
 * Decides whether a VM may admit locally to a data centre: the object API must be down, and the leader must certainly
 * have stopped granting. That is certain when its lease is known to have ended, from its own last summary or from the
 * lease module, or when it is dead and has sent nothing for as long as its lease can last. A leader that is alive but
 * silent may be disconnected from this VM alone and still grant permits to others, so this VM does not admit locally to
 * its data centre.
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
      const last = exchange.latest(dataCentre)
      if (!last || objectApiAvailable() || membership.isIsolated() || lease.isHeld(dataCentre)) return false
      const state = lease.leader(dataCentre)
      if (state && state.epoch > last.summary.epoch) return false
      if (last.summary.leaseLost || (state && state.holder === undefined)) return true
      const holder = membership.get(last.summary.leader)
      const isDead = holder === undefined || holder.state === 'dead'
      return isDead && clock.now() - last.receivedAt >= leaseTtlMs
    }
  }
}
