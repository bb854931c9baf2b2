/** This VM's part of a limit on the concurrent requests of all VMs: all get the same, and the first in rendezvous order one of the rest. */
import type { BackendServerId, VmId } from '../ids/index.ts'
import { rendezvousOrder } from '../placement/rendezvous.ts'

export function createLimitParts ({ vms, self }: { vms: () => readonly VmId[], self: VmId }) {
  /** Position of this VM among those that share the limit of a server; computed again when the VMs change. */
  const ranks = new Map<BackendServerId, number>()
  let rankedVms: readonly VmId[] = []

  return {
    /** Concurrent requests that this VM may have there. */
    partOf (id: BackendServerId, limit: number): number {
      const names = vms()
      if (names !== rankedVms) ranks.clear()
      rankedVms = names
      const rank = ranks.get(id) ?? rendezvousOrder(id, names).indexOf(self)
      ranks.set(id, rank)
      const base = Math.floor(limit / Math.max(1, names.length))
      const rest = limit - base * names.length
      return base + (rank < rest ? 1 : 0)
    },
    forget (id: BackendServerId): void { ranks.delete(id) }
  }
}
