/**
 * Pure rules of the Spend object: how large a chunk may be, and what the object is after a VM reserved or returned
 * money. The sum of all reservations never exceeds the limit in the same period.
 */
import type { TeamId } from '../ids/index.ts'
import { REMAINING_SHARE } from './constants.ts'
import type { SpendSpec } from './types.ts'

/** Start of the period that contains a wall-clock time. */
export function periodStart (wallMs: number, periodMs: number): number {
  return Math.floor(wallMs / periodMs) * periodMs
}

/** State of the team for a period; an object of an older period counts as empty. */
export function spendInPeriod (spec: SpendSpec | undefined, team: TeamId, periodStartWallMs: number): SpendSpec {
  if (spec && spec.periodStartWallMs >= periodStartWallMs) return spec
  return { team, periodStartWallMs, reservedMicros: 0, holders: {} }
}

interface ChunkOptions {
  spend: SpendSpec
  limitMicros: number
  chunkShare: number
  /** What the VM needs at once. */
  neededMicros: number
}

/** Size of the next chunk; 0 when the limit does not leave what is needed. */
export function chunkSize ({ spend, limitMicros, chunkShare, neededMicros }: ChunkOptions): number {
  const remaining = limitMicros - spend.reservedMicros
  if (remaining <= 0 || remaining < neededMicros) return 0
  const usual = Math.floor(Math.min(limitMicros * chunkShare, remaining * REMAINING_SHARE))
  return Math.min(remaining, Math.max(usual, neededMicros))
}

/** Object after `holder` reserved more, or returned a part when the amount is negative. */
export function withReservation (spend: SpendSpec, holder: string, micros: number): SpendSpec {
  const own = (spend.holders[holder] ?? 0) + micros
  return { ...spend, reservedMicros: spend.reservedMicros + micros, holders: { ...spend.holders, [holder]: own } }
}

/** Object after `holder` left: its unused part is free again and its entry is gone. */
export function withoutHolder (spend: SpendSpec, holder: string, unusedMicros: number): SpendSpec {
  const { [holder]: _, ...holders } = spend.holders
  return { ...spend, reservedMicros: spend.reservedMicros - unusedMicros, holders }
}
