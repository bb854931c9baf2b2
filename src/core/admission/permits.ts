/**
 * Permits that a leader granted or took over by registration. A permit ends with its release. A permit of a dead VM is
 * kept, because its request may have started, until the load reported by the backend server shows that it has ended.
 */
import { RELEASED_ID_RETENTION_MS } from './constants.ts'
import type { BackendServerId, PermitId, TeamId, VmId } from '../ids/index.ts'

export interface PermitRecord {
  id: PermitId
  vm: VmId
  backendServer: BackendServerId
  team: TeamId
  fingerprint: string
  suspect: boolean
  /** Sequence number of the grant; -1 for a permit that another leader granted. */
  grantSequence: number
  grantedAt: number
  /** Key under which hold times are averaged; empty for a permit that another leader granted. */
  target: string
  callId: string | undefined
  /** Prompt tokens expected not to be cached, which the backend server computes before the first byte. */
  pendingTokens: number
  /** When the first byte was reported; Infinity until then. */
  firstByteAt: number
  /** Set when the VM died or restarted: the earliest time at which the permit may be reclaimed. */
  reclaimAt: number | undefined
}

export interface Permits {
  add(record: PermitRecord): void
  get(id: PermitId): PermitRecord | undefined
  /** Removes a permit but remembers its id, so that a late registration does not add the permit again. */
  remove(id: PermitId): PermitRecord | undefined
  wasReleased(id: PermitId): boolean
  /** Remembers the id of a permit whose release arrived before its registration. */
  markReleased(id: PermitId): void
  ofBackendServer(backendServer: BackendServerId): PermitRecord[]
  count(backendServer: BackendServerId): number
  ofVm(vm: VmId): PermitRecord[]
  countOfTeam(team: TeamId): number
  total(): number
  countsByTeam(): ReadonlyMap<TeamId, number>
}

export function createPermits (now: () => number): Permits {
  const records = new Map<PermitId, PermitRecord>()
  const byBackend = new Map<BackendServerId, Set<PermitRecord>>()
  const byTeam = new Map<TeamId, number>()
  const released = new Map<PermitId, number>()

  function markReleased (id: PermitId): void {
    released.set(id, now())
    for (const [releasedId, at] of released) {
      if (now() - at < RELEASED_ID_RETENTION_MS) break
      released.delete(releasedId)
    }
  }

  function addToTeamCount (team: TeamId, by: number): void {
    const count = (byTeam.get(team) ?? 0) + by
    if (count > 0) byTeam.set(team, count)
    else byTeam.delete(team)
  }

  return {
    add (record) {
      records.set(record.id, record)
      const others = byBackend.get(record.backendServer) ?? new Set()
      byBackend.set(record.backendServer, others.add(record))
      addToTeamCount(record.team, 1)
    },
    get: id => records.get(id),
    remove (id) {
      const record = records.get(id)
      if (!record) return undefined
      records.delete(id)
      byBackend.get(record.backendServer)?.delete(record)
      addToTeamCount(record.team, -1)
      markReleased(id)
      return record
    },
    wasReleased: id => released.has(id),
    markReleased,
    ofBackendServer: backendServer => [...byBackend.get(backendServer) ?? []],
    count: backendServer => byBackend.get(backendServer)?.size ?? 0,
    ofVm: vm => [...records.values()].filter(record => record.vm === vm),
    countOfTeam: team => byTeam.get(team) ?? 0,
    total: () => records.size,
    countsByTeam: () => byTeam
  }
}
