/**
 * Selects the VMs through which the others follow the store, and those that sum the load reports. If every VM of a large
 * fleet polled the store for every kind, each change of one object would cost as many calls as there are VMs. In a small
 * fleet all VMs poll the roots, which follow the store. In a large one they poll relays in their own data centre, which
 * poll the roots, so that neither the calls to the store nor the copies between data centres grow with the VMs. All VMs
 * compute the same choice from the live members; while their views differ, a few more or fewer VMs follow the store.
 */
import type { DataCentreId, VmId } from '../ids/index.ts'
import { rendezvousOrder } from '../placement/rendezvous.ts'
import { MAX_ROOT_FOLLOWERS, ROOTS, VMS_PER_RELAY } from './constants.ts'

export interface PlacedVm { vm: VmId, dataCentre: DataCentreId }

export interface RelayChoice {
  /** Whether this VM follows the store; always true if there are too few live VMs. */
  isRoot: boolean
  /** VMs to poll, in order of preference; the order differs between VMs to distribute the polls. */
  sources: VmId[]
}

export interface CollectorChoice {
  isCollector: boolean
  /** The other collectors, in order of preference of this VM. */
  others: VmId[]
}

export function chooseRelays (liveVms: readonly PlacedVm[], self: PlacedVm): RelayChoice {
  const vms = withSelf(liveVms, self)
  const roots = orderOf('feed-root', vms).slice(0, ROOTS)
  if (roots.includes(self.vm)) return { isRoot: true, sources: roots.filter(vm => vm !== self.vm) }
  const relays = vms.length - ROOTS > MAX_ROOT_FOLLOWERS ? relaysOf(vms.filter(({ vm }) => !roots.includes(vm))) : []
  const isRelay = relays.some(({ vm }) => vm === self.vm)
  return { isRoot: false, sources: isRelay || relays.length === 0 ? rendezvousOrder(self.vm, roots) : nearestFirst(relays, self) }
}

/**
 * Chooses one VM in VMS_PER_RELAY, two at least, but not more than one of each data centre, so that the messages between
 * collectors do not grow with the fleet; two of a single data centre.
 */
export function chooseCollectors (liveVms: readonly PlacedVm[], self: PlacedVm): CollectorChoice {
  const vms = withSelf(liveVms, self)
  const byDataCentre = groupByDataCentre(vms)
  const count = Math.min(byDataCentre.size, Math.max(2, Math.ceil(vms.length / VMS_PER_RELAY)))
  const dataCentres = rendezvousOrder('load-collector', [...byDataCentre.keys()]).slice(0, count)
  const collectors = dataCentres.flatMap(dataCentre => firstOf('load-collector', byDataCentre.get(dataCentre)!, count === 1 ? 2 : 1))
  return { isCollector: collectors.some(({ vm }) => vm === self.vm), others: nearestFirst(collectors, self) }
}

/** One VM in VMS_PER_RELAY of each data centre. */
function relaysOf (vms: readonly PlacedVm[]): PlacedVm[] {
  return [...groupByDataCentre(vms).values()].flatMap(local => firstOf('feed-relay', local, Math.ceil(local.length / VMS_PER_RELAY)))
}

/** All but this VM; those in its own data centre first. */
function nearestFirst (vms: readonly PlacedVm[], self: PlacedVm): VmId[] {
  const others = vms.filter(({ vm }) => vm !== self.vm)
  const isLocal = ({ dataCentre }: PlacedVm) => dataCentre === self.dataCentre
  return [...orderOf(self.vm, others.filter(isLocal)), ...orderOf(self.vm, others.filter(vm => !isLocal(vm)))]
}

function withSelf (liveVms: readonly PlacedVm[], self: PlacedVm): PlacedVm[] {
  return [...liveVms.filter(({ vm }) => vm !== self.vm), self]
}

function groupByDataCentre (vms: readonly PlacedVm[]): Map<DataCentreId, PlacedVm[]> {
  const groups = new Map<DataCentreId, PlacedVm[]>()
  for (const placed of vms) groups.set(placed.dataCentre, [...groups.get(placed.dataCentre) ?? [], placed])
  return groups
}

function orderOf (key: string, vms: readonly PlacedVm[]): VmId[] {
  return rendezvousOrder(key, vms.map(({ vm }) => vm))
}

function firstOf (key: string, vms: readonly PlacedVm[], count: number): PlacedVm[] {
  const chosen = new Set(orderOf(key, vms).slice(0, count))
  return vms.filter(({ vm }) => chosen.has(vm))
}
