/**
 * Divides the rate limits that backend servers have for all VMs together. If a limit has a request for each VM, all VMs
 * get equal shares. Otherwise a few of them, the lenders, get a few requests each and lend them to the others. All VMs
 * compute the same shares from the registered VMs. Around a change of these, a VM that gains requests waits until those
 * that lose them have read the change.
 */
import type { Clock } from '../clock/index.ts'
import type { BackendServerId, VmId } from '../ids/index.ts'
import { hashText, rendezvousOrder } from '../placement/rendezvous.ts'
import { LENDER_GROUPS, MAX_CACHED_ORDERS, REQUESTS_PER_LENDER, SHARE_HANDOVER_MS } from './constants.ts'

export interface LimitShares {
  /** This VM's share of a number of requests to a backend server. */
  shareOf(backend: BackendServerId, limit: number): number
  /** Whether a number of requests is held by lenders. */
  isLent(limit: number): boolean
  /** The VMs that lend requests to a backend server whose smallest limit is `limit`. */
  lendersOf(backend: BackendServerId, limit: number): readonly VmId[]
}

export interface LimitSharesOptions {
  /** Registered VMs, this one included; returns the same array until they change. */
  vms: () => readonly VmId[]
  self: VmId
  clock: Clock
}

/** The registered VMs at one time, with the orders in which they get shares. */
interface FleetView {
  vms: readonly VmId[]
  orders: Map<string, readonly VmId[]>
  /** Positions of this VM in them. */
  ranks: Map<string, number>
  /** Monotonic time at which a later view replaced it. */
  replacedMs: number
}

export function createLimitShares ({ vms, self, clock }: LimitSharesOptions): LimitShares {
  /** The current view first, then those whose shares other VMs may still use. */
  let views: FleetView[] = []

  function currentViews (): readonly FleetView[] {
    const [current] = views
    if (current?.vms !== vms()) {
      if (current) current.replacedMs = clock.now()
      views.unshift({ vms: vms(), orders: new Map(), ranks: new Map(), replacedMs: Infinity })
    }
    if (views.length > 1) views = views.filter(({ replacedMs }) => clock.now() - replacedMs < SHARE_HANDOVER_MS)
    return views
  }

  /** Cached, because ordering all VMs for each request would take most of the CPU time in a large fleet. */
  function orderIn (view: FleetView, key: string): readonly VmId[] {
    const cached = view.orders.get(key)
    if (cached) return cached
    const order = rendezvousOrder(key, view.vms)
    if (view.orders.size >= MAX_CACHED_ORDERS) view.orders.clear()
    view.orders.set(key, order)
    return order
  }

  /** Cached as well, because the search through the order takes longer than all else in a share. */
  function rankIn (view: FleetView, key: string): number {
    const cached = view.ranks.get(key)
    if (cached !== undefined) return cached
    const rank = orderIn(view, key).indexOf(self)
    if (view.ranks.size >= MAX_CACHED_ORDERS) view.ranks.clear()
    view.ranks.set(key, rank)
    return rank
  }

  /** Many backend servers have the same lenders, so that a VM needs links to few of them. */
  const lenderKey = (backend: BackendServerId) => `lenders-${hashText(backend) % LENDER_GROUPS}`

  function shareIn (view: FleetView, backend: BackendServerId, limit: number): number {
    const holders = countHolders(limit, view.vms.length)
    const rank = rankIn(view, isLentAmong(limit, view.vms.length) ? lenderKey(backend) : backend)
    if (rank >= holders) return 0
    const basePerVm = Math.floor(limit / holders)
    return basePerVm + (rank < limit - basePerVm * holders ? 1 : 0)
  }

  const isLentInAny = (limit: number, among: readonly FleetView[]) => among.some(view => isLentAmong(limit, view.vms.length))

  return {
    shareOf (backend, limit) {
      const recent = currentViews()
      // Called for each backend server of each request; there is a single view except around a change of the VMs.
      if (recent.length === 1) return shareIn(recent[0]!, backend, limit)
      const effective = isLentInAny(limit, recent) ? recent : recent.slice(0, 1)
      return Math.min(...effective.map(view => shareIn(view, backend, limit)))
    },
    isLent: limit => isLentAmong(limit, vms().length),
    lendersOf (backend, limit) {
      const [current] = currentViews()
      return orderIn(current!, lenderKey(backend)).slice(0, countHolders(limit, current!.vms.length))
    }
  }
}

function isLentAmong (limit: number, vmCount: number): boolean {
  return limit < vmCount
}

/** All VMs if there is a request for each; otherwise as many as get a few each, so that one of them can lend a request at once. */
function countHolders (limit: number, vmCount: number): number {
  return isLentAmong(limit, vmCount) ? Math.max(1, Math.ceil(limit / REQUESTS_PER_LENDER)) : Math.max(1, vmCount)
}
