/**
 * Control connections: whether this VM reaches a service at all at this moment. A refused connection proves that a backend
 * server has crashed only if another one of the service accepts a connection, because a partition may refuse all of them.
 */
import type { Backend } from '../backend-pool/types.ts'
import type { Clock } from '../clock/index.ts'
import type { BackendServerId, ServiceId } from '../ids/index.ts'
import { CONTROL_TIMEOUT_MS, MAX_CONTROL_SERVERS, MISSING_MEMORY_MS } from './constants.ts'

export interface ControlOptions {
  /** Backend servers of a service that may get requests, unless they are suspended. */
  backendServers: (service: ServiceId) => readonly Backend[]
  /** Opens a connection and closes it; resolves with whether it was opened in time. */
  connect: (backend: Backend, timeoutMs: number) => Promise<boolean>
  clock: Pick<Clock, 'now'>
  random: () => number
}

export interface Control {
  /**
   * Whether a backend server of the service accepts a connection, besides one that has just refused one. Also true if
   * there is none that could tell.
   */
  reachesService(refusing: Backend): Promise<boolean>
}

export function createControl ({ backendServers, connect, clock, random }: ControlOptions): Control {
  /** Backend servers that were missing while others could be reached, and when; they cannot tell. */
  const missingMs = new Map<BackendServerId, number>()
  /** Checks that have not ended yet: a partition or a crash breaks all streams at once, and one connection tells. */
  const openChecks = new Map<ServiceId, Promise<boolean>>()

  function isMissing (id: BackendServerId): boolean {
    return clock.now() - (missingMs.get(id) ?? -Infinity) <= MISSING_MEMORY_MS
  }

  async function reachesAny (candidates: readonly Backend[]): Promise<boolean> {
    // All streams that end at the same time would otherwise ask the same server.
    const first = Math.floor(random() * candidates.length)
    const chosen = [...candidates.slice(first), ...candidates.slice(0, first)].slice(0, MAX_CONTROL_SERVERS)
    for (const backend of chosen) if (await connect(backend, CONTROL_TIMEOUT_MS)) return true
    return false
  }

  return {
    async reachesService ({ entry: { id, service } }) {
      const candidates = backendServers(service).filter(({ entry }) => entry.id !== id && !isMissing(entry.id))
      if (candidates.length === 0) return true
      const check = openChecks.get(service) ?? reachesAny(candidates).finally(() => openChecks.delete(service))
      openChecks.set(service, check)
      const isReached = await check
      for (const known of missingMs.keys()) if (!isMissing(known)) missingMs.delete(known)
      if (isReached) missingMs.set(id, clock.now())
      return isReached
    }
  }
}
