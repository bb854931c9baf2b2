/**
 * Selects the backend server for a request: one that the roll-out permits and that has capacity, chosen by placement.
 * Decisions use only the data that this VM already holds and make no calls.
 */
import type { Backend, BackendPool } from '../backend-pool/index.ts'
import type { ForwardedRequest } from '../forwarding/forward.ts'
import type { EarlierSends } from '../forwarding/request-progress.ts'
import { isRepeatable, type RouteTable } from '../forwarding/route-table.ts'
import type { DataCentreId, ModelId, ServiceId } from '../ids/index.ts'
import { MAX_DIRECT_VMS } from '../load-exchange/constants.ts'
import type { LoadExchange } from '../load-exchange/index.ts'
import type { Pacing } from '../pacing/index.ts'
import { chooseBackend, requestLoad, STALE_LOAD_SAMPLES } from '../placement/index.ts'
import { rendezvousOrder } from '../placement/rendezvous.ts'
import type { VersionTrials } from '../version-trial/index.ts'

/** Backend servers for one attempt of a request. */
export interface Assignment {
  /** Chooses one that has capacity and meets the condition, or `undefined` when there is none. */
  choose(isUsable: (backend: Backend) => boolean): Backend | undefined
  /** Whether a backend server that was chosen before is still permitted and has capacity. */
  permits(backend: Backend): boolean
}

export interface AssignmentsOptions {
  pool: BackendPool
  trials: VersionTrials
  loads: LoadExchange
  pacing: Pick<Pacing, 'speedOf' | 'permits' | 'stateOf' | 'isTrialDue' | 'recordTrial'>
  table: () => RouteTable | undefined
  /** Number of VMs that share the connections of a backend server. */
  vmCount: () => number
  dataCentre: DataCentreId
  random: () => number
}

export function createAssignments ({ pool, trials, loads, pacing, table, vmCount, dataCentre, random }: AssignmentsOptions) {
  function prepare ({ request, service, route }: ForwardedRequest, { triedBackends, hasFailed, model }: EarlierSends & { model?: ModelId | undefined }): Assignment {
    const rule = trials.versionRule(service, request.session ?? request.id!, { version: [...triedBackends].at(-1)?.entry.version, hasFailed, hasSession: request.session !== undefined })
    const affinityKey = route.kind === 'streaming' ? request.prompt.at(-2)?.id ?? request.prompt.at(-1)?.id : undefined
    const { running, prompt } = requestLoad(request.promptTokens, modelWeight(service, model))
    const listAvailable = () => {
      const connections = connectionsFor(service)
      return limitToShare(pool.eligible(service).filter(({ entry }) => rule.allows(entry.version)), rule.backendShare).filter(backend => hasCapacity(backend, connections))
    }
    return {
      choose (isUsable) {
        const available = listAvailable().filter(isUsable)
        const untried = triedBackends.size > 0 ? available.filter(backend => !triedBackends.has(backend)) : available
        const due = isRepeatable(route) && triedBackends.size === 0 ? available.find(({ entry, inFlight }) => pacing.isTrialDue(entry.id, inFlight)) : undefined
        if (due) {
          pacing.recordTrial(due.entry.id)
          return due
        }
        const candidates = preferPaced(untried.length > 0 ? untried : available)
        return chooseBackend({
          candidates,
          affinityKey,
          dataCentre,
          othersLoad: ({ entry }) => loads.othersLoad(entry.id),
          speedOf: ({ entry }) => pacing.speedOf(entry.id),
          ownLoad: running + prompt,
          // The reports are most of a second old where they go through collectors, and all VMs act on the same ones.
          samples: vmCount() - 1 > MAX_DIRECT_VMS ? STALE_LOAD_SAMPLES : undefined,
          // Only a few VMs may send to it, so they compare it more often than chance would.
          compared: pickRandom(candidates.filter(({ entry }) => pacing.stateOf(entry.id) === 'ramp')),
          random
        })
      },
      permits: backend => listAvailable().includes(backend)
    }
  }

  /** Limits the candidates to a share of the backend servers; rendezvous hashing makes all VMs select the same ones. */
  function limitToShare (backends: Backend[], share: number): Backend[] {
    if (share >= 1) return backends
    const byId = new Map(backends.map(backend => [backend.entry.id, backend]))
    const count = Math.max(1, Math.ceil(share * backends.length))
    return rendezvousOrder('trial', [...byId.keys()]).slice(0, count).map(id => byId.get(id)!)
  }

  /** Those within the limits of pacing; all if none is, because a request must not be refused for a limit that was only learned. */
  function preferPaced (backends: Backend[]): Backend[] {
    const paced = backends.filter(({ entry, inFlight }) => pacing.permits(entry.id, inFlight))
    return paced.length > 0 ? paced : backends
  }

  function pickRandom (backends: Backend[]): Backend[] {
    return backends.length > 0 ? [backends[Math.floor(random() * backends.length)]!] : []
  }

  /** This VM's part of the connections of each backend server of a service. */
  function connectionsFor (service: ServiceId): number {
    return (table()?.service(service)?.maxConnections ?? Infinity) / vmCount()
  }

  /** Whether the backend server has capacity within its slots and this VM's part of its connections; two requests are always allowed, unless it is brittle. */
  function hasCapacity (backend: Backend, connections: number): boolean {
    const { entry, inFlight } = backend
    if (pool.brittle.tolerated(entry) !== undefined) return inFlight < Math.max(1, Math.min(connections, entry.slots)) && !pool.brittle.isHeldBack(backend, loads.othersLoad(entry.id))
    return inFlight < Math.max(2, Math.min(connections, entry.slots))
  }

  /** Load of a request to a model, relative to the most expensive model, because cost is a measure of engine time; 1 if no costs are configured. */
  function modelWeight (service: ServiceId, model: ModelId | undefined): number {
    const costs = table()?.service(service)?.engine?.modelCosts
    if (!costs || model === undefined) return 1
    return (costs.get(model) ?? 1) / Math.max(...costs.values(), Number.MIN_VALUE)
  }

  /** Mean load, from all VMs, of the backend servers of a service. */
  function meanLoad (service: ServiceId): number {
    const backends = pool.eligible(service)
    return backends.reduce((sum, backend) => sum + backend.load + loads.othersLoad(backend.entry.id), 0) / Math.max(1, backends.length)
  }

  return { prepare, modelWeight, meanLoad }
}

export type Assignments = ReturnType<typeof createAssignments>
