/**
 * Selects the VMs that follow the store directly. If every VM of a large fleet polled the store for every kind, each
 * change of one object would cost as many calls as there are VMs. All VMs compute the same relays from the live members;
 * while their views of the membership differ, a few more or fewer VMs follow the store.
 */
import type { VmId } from '../ids/index.ts'
import { rendezvousOrder } from '../placement/rendezvous.ts'
import { MIN_RELAYS, VMS_PER_RELAY } from './constants.ts'

export interface RelayChoice {
  /** Whether this VM is a relay; always true if there are too few live VMs. */
  isRelay: boolean
  /** Relays to poll, in order of preference; the order differs between VMs to distribute the polls. */
  relays: VmId[]
}

export function chooseRelays (liveVms: readonly VmId[], self: VmId): RelayChoice {
  const count = Math.max(MIN_RELAYS, Math.ceil(liveVms.length / VMS_PER_RELAY))
  const relays = rendezvousOrder('feed-relay', [...new Set([...liveVms, self])]).slice(0, count)
  return { isRelay: relays.includes(self), relays: rendezvousOrder(self, relays.filter(vm => vm !== self)) }
}
