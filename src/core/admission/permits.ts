/**
 * Permits that a leader has granted or taken over. A permit ends with its release. A permit of a dead VM is kept,
 * because its request may have started, until the load reported by the backend server shows that it is gone.
 */
import { RELEASED_MEMORY_MS } from './constants.ts'
import type { BackendServerId, PermitId, TeamId, VmId } from '../ids/index.ts'

export interface PermitRecord {
  id: PermitId
  vm: VmId
  backendServer: BackendServerId
  team: TeamId
  fingerprint: string
  suspect: boolean
  /** Number of the grant; -1 for a permit that another leader granted. */
  grant: number
  grantedAt: number
  /** What the request is counted under, for the estimate of hold times. */
  target: string
  ask: string | undefined
  /** Prompt tokens the backend server computes before the first byte. */
  pendingTokens: number
  /** When the first byte was reported; Infinity before. */
  firstByteAt: number
  /** Set when the VM died: the time from which the permit may be reclaimed. */
  reclaimAt: number | undefined
}

export interface Permits {
  add(record: PermitRecord): void
  get(id: PermitId): PermitRecord | undefined
  /** Removes a permit and remembers its id, so that a late registration does not revive it. */
  remove(id: PermitId): PermitRecord | undefined
  wasReleased(id: PermitId): boolean
  /** Remembers a release that arrived before the registration of its permit. */
  noteReleased(id: PermitId): void
  of(backendServer: BackendServerId): PermitRecord[]
  count(backendServer: BackendServerId): number
  ofVm(vm: VmId): PermitRecord[]
  ofTeam(team: TeamId): number
  total(): number
  teams(): ReadonlyMap<TeamId, number>
}

export function createPermits (now: () => number): Permits {
  const records = new Map<PermitId, PermitRecord>()
  const byBackend = new Map<BackendServerId, Set<PermitRecord>>()
  const byTeam = new Map<TeamId, number>()
  const released = new Map<PermitId, number>()

  function noteReleased (id: PermitId): void {
    released.set(id, now())
    for (const [old, at] of released) {
      if (now() - at < RELEASED_MEMORY_MS) break
      released.delete(old)
    }
  }

  function countTeam (team: TeamId, by: number): void {
    const count = (byTeam.get(team) ?? 0) + by
    if (count > 0) byTeam.set(team, count)
    else byTeam.delete(team)
  }

  return {
    add (record) {
      records.set(record.id, record)
      const others = byBackend.get(record.backendServer) ?? new Set()
      byBackend.set(record.backendServer, others.add(record))
      countTeam(record.team, 1)
    },
    get: id => records.get(id),
    remove (id) {
      const record = records.get(id)
      if (!record) return undefined
      records.delete(id)
      byBackend.get(record.backendServer)?.delete(record)
      countTeam(record.team, -1)
      noteReleased(id)
      return record
    },
    wasReleased: id => released.has(id),
    noteReleased,
    of: backendServer => [...byBackend.get(backendServer) ?? []],
    count: backendServer => byBackend.get(backendServer)?.size ?? 0,
    ofVm: vm => [...records.values()].filter(record => record.vm === vm),
    ofTeam: team => byTeam.get(team) ?? 0,
    total: () => records.size,
    teams: () => byTeam
  }
}
