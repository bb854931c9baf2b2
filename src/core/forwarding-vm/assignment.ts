/**
 * Which backend server a request may go to: allowed by its roll-out, with room for one more, and chosen by placement.
 * The answers depend on this VM's views alone and ask nobody.
 */
import type { Backend, BackendPool } from '../backend-pool/index.ts'
import type { ForwardedRequest } from '../forwarding/forward.ts'
import type { RouteTable } from '../forwarding/route-table.ts'
import type { DataCentreId, ModelId, ServiceId } from '../ids/index.ts'
import type { LoadExchange } from '../load-exchange/index.ts'
import { chooseBackend } from '../placement/index.ts'
import { rendezvousOrder } from '../placement/rendezvous.ts'
import type { VersionTrials } from '../version-trial/index.ts'

export interface AssignmentsOptions {
  pool: BackendPool
  trials: VersionTrials
  loads: LoadExchange
  table: () => RouteTable | undefined
  /** VMs that share the connections of a backend server. */
  vmCount: () => number
  dataCentre: DataCentreId
  random: () => number
}

export function createAssignments ({ pool, trials, loads, table, vmCount, dataCentre, random }: AssignmentsOptions) {
  function prepare ({ request, service, route }: ForwardedRequest, tried: ReadonlySet<Backend>): () => Backend | undefined {
    const rule = trials.versionRule(service, request.session ?? request.id!, tried.size > 0)
    const affinityKey = route.kind === 'streaming' ? request.prompt.at(-2)?.id ?? request.prompt.at(-1)?.id : undefined
    return () => {
      const permitted = pool.eligible(service).filter(({ entry }) => rule.allows(entry.version))
      const usable = spreadOver(permitted, rule.backendShare).filter(backend => hasRoom(backend) && pool.hasColdCapacity(backend))
      const fresh = usable.filter(backend => !tried.has(backend))
      return chooseBackend({
        candidates: fresh.length > 0 ? fresh : usable,
        affinityKey,
        dataCentre,
        othersLoad: ({ entry }) => loads.othersLoad(entry.id),
        random
      })
    }
  }

  /** Whether a backend server that is not excluded has room for a repeated request now. */
  function hasAlternative ({ request, service }: ForwardedRequest, excluded: ReadonlySet<Backend>): boolean {
    const rule = trials.versionRule(service, request.session ?? request.id!, true)
    return pool.eligible(service).some(backend =>
      !excluded.has(backend) && rule.allows(backend.entry.version) && hasRoom(backend) && pool.hasColdCapacity(backend))
  }

  /** The first backend servers in an order that all VMs share. */
  function spreadOver (backends: Backend[], share: number): Backend[] {
    if (share >= 1) return backends
    const byId = new Map(backends.map(backend => [backend.entry.id, backend]))
    const count = Math.max(1, Math.ceil(share * backends.length))
    return rendezvousOrder('trial', [...byId.keys()]).slice(0, count).map(id => byId.get(id)!)
  }

  /** This VM's part of the connections and slots of a backend server. */
  function hasRoom ({ entry, inFlight }: Backend): boolean {
    const connections = (table()?.service(entry.service)?.maxConnections ?? Infinity) / vmCount()
    return inFlight < Math.max(2, Math.min(connections, entry.slots))
  }

  /** Costs stand for the time that the models take; without costs all weigh the same. */
  function modelWeight (service: ServiceId, model: ModelId | undefined): number {
    const costs = table()?.service(service)?.engine?.modelCosts
    if (!costs || model === undefined) return 1
    return (costs.get(model) ?? 1) / Math.max(...costs.values(), Number.MIN_VALUE)
  }

  /** Mean load of the backend servers of a service, of all VMs. */
  function meanLoad (service: ServiceId): number {
    const backends = pool.eligible(service)
    return backends.reduce((sum, backend) => sum + backend.load + loads.othersLoad(backend.entry.id), 0) / Math.max(1, backends.length)
  }

  return { prepare, hasAlternative, modelWeight, meanLoad }
}
