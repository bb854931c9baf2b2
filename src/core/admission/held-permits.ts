/** Permits that an entry VM holds, each with the deadline for the start of its request. */
import type { DataCentreId, PermitId, TeamId } from '../ids/index.ts'
import type { HeldPermit, Permit } from './types.ts'

export interface HeldRecord {
  permit: Permit
  team: TeamId
  fingerprint: string
  suspect: boolean
  startDeadline: number
  firstByteSeen: boolean
}

export interface HeldPermits {
  add(record: HeldRecord): void
  get(id: PermitId): HeldRecord | undefined
  /** Removes a permit; false when it is not held, for example because it was released before. */
  remove(id: PermitId): boolean
  all(): Iterable<HeldRecord>
  /** Held permits in the form in which they are registered with the leader of a data centre. */
  toRegister(dataCentre: DataCentreId): HeldPermit[]
  size(): number
}

export function createHeldPermits (): HeldPermits {
  const records = new Map<PermitId, HeldRecord>()
  return {
    add: record => { records.set(record.permit.id, record) },
    get: id => records.get(id),
    remove: id => records.delete(id),
    all: () => records.values(),
    toRegister: dataCentre => [...records.values()]
      .filter(({ permit }) => permit.dataCentre === dataCentre)
      .map(({ permit, team, fingerprint, suspect, firstByteSeen }) =>
        ({ id: permit.id, backendServer: permit.backendServer, team, fingerprint, suspect, firstByteSeen })),
    size: () => records.size
  }
}
