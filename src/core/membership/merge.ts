/**
 * Merge of records about one member. Records of one VM form a lattice: the higher incarnation replaces the lower one;
 * at the same incarnation, the boot id that sorts later wins; within one incarnation of one boot, the health only moves
 * from live to suspect to dead, and `leaving` only from false to true. The merge is the join of this lattice and so
 * commutative, associative and idempotent. Only the member itself raises its incarnation.
 */
import type { BootId, DataCentreId, RegionId, VmId } from '../ids/index.ts'
import type { Member, MemberState } from './types.ts'

export const LIVE = 0
export const SUSPECT = 1
export const DEAD = 2
export type Health = typeof LIVE | typeof SUSPECT | typeof DEAD

export interface MemberRecord {
  vm: VmId
  boot: BootId
  region: RegionId
  dataCentre: DataCentreId
  peerAddress: string
  callerUrl: string
  incarnation: number
  health: Health
  leaving: boolean
}

/** Returns the join of two records of one VM; returns `current` itself when `received` changes nothing. */
export function mergeRecords (current: MemberRecord, received: MemberRecord): MemberRecord {
  const order = compareIncarnations(current, received)
  if (order !== 0) return order > 0 ? current : received
  const health = Math.max(current.health, received.health) as Health
  const leaving = current.leaving || received.leaving
  const base = addressKey(current) >= addressKey(received) ? current : received
  if (base === current && health === current.health && leaving === current.leaving) return current
  return { ...base, health, leaving }
}

/** Orders two records by incarnation, then by boot id; returns 0 for the same incarnation of the same boot. */
export function compareIncarnations (left: MemberRecord, right: MemberRecord): number {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation
  if (left.boot === right.boot) return 0
  return left.boot < right.boot ? -1 : 1
}

/**
 * Key by which the merge chooses between different addresses at the same incarnation of the same boot. A VM keeps its
 * addresses for a whole boot, so the key only ensures that the merge does not depend on the order of messages.
 */
function addressKey ({ dataCentre, peerAddress, callerUrl }: MemberRecord): string {
  return JSON.stringify([dataCentre, peerAddress, callerUrl])
}

/** Returns the public state of a member; `platformLeaving` means that the platform's list shows the VM as leaving. */
export function memberState ({ health, leaving }: MemberRecord, platformLeaving: boolean): MemberState {
  if (health === DEAD) return 'dead'
  if (leaving || platformLeaving) return 'leaving'
  return health === SUSPECT ? 'suspect' : 'live'
}

export function toMember (record: MemberRecord, platformLeaving: boolean): Member {
  const { vm, boot, region, dataCentre, peerAddress, callerUrl, incarnation } = record
  return { vm, boot, region, dataCentre, peerAddress, callerUrl, incarnation, state: memberState(record, platformLeaving) }
}

/** 32-bit FNV-1a hash of a record; the digest of a list is the sum over its members, so it is independent of their order. */
export function recordHash ({ vm, boot, incarnation, health, leaving }: MemberRecord): number {
  const text = `${vm} ${boot} ${incarnation} ${health} ${leaving ? 1 : 0}`
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193)
  return hash >>> 0
}
