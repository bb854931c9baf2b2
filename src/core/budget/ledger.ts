/**
 * Pure functions on the Spend object: the size of a chunk, and the content of the object after a VM reserved or
 * returned an amount. The sum of all reservations in a period never exceeds the limit.
 */
import type { TeamId } from '../ids/index.ts'
import { REMAINING_SHARE } from './constants.ts'
import type { SpendSpec } from './types.ts'

/** Returns the start of the period that contains a wall-clock time. */
export function periodStart (wallMs: number, periodMs: number): number {
  return Math.floor(wallMs / periodMs) * periodMs
}

/** Returns the team's spending state for a period; an object of an older period counts as empty. */
export function spendInPeriod (spec: SpendSpec | undefined, team: TeamId, periodStartWallMs: number): SpendSpec {
  if (spec && spec.periodStartWallMs >= periodStartWallMs) return spec
  return { team, periodStartWallMs, reservedMicros: 0, holders: {} }
}

interface ChunkOptions {
  spend: SpendSpec
  limitMicros: number
  chunkShare: number
  /** Minimum size that the VM needs now. */
  neededMicros: number
}

/** Returns the size of the next chunk; 0 when the remaining limit does not cover the needed amount. */
export function chunkSize ({ spend, limitMicros, chunkShare, neededMicros }: ChunkOptions): number {
  const remaining = limitMicros - spend.reservedMicros
  if (remaining <= 0 || remaining < neededMicros) return 0
  const defaultMicros = Math.floor(Math.min(limitMicros * chunkShare, remaining * REMAINING_SHARE))
  return Math.min(remaining, Math.max(defaultMicros, neededMicros))
}

/** Returns the object after `holder` reserved `micros` more, or returned a part if the amount is negative. */
export function withReservation (spend: SpendSpec, holder: string, micros: number): SpendSpec {
  const reservedByHolder = (spend.holders[holder] ?? 0) + micros
  return { ...spend, reservedMicros: spend.reservedMicros + micros, holders: { ...spend.holders, [holder]: reservedByHolder } }
}

/** Returns the object without the entry of `holder`; the unused part of its reservation is released. */
export function withoutHolder (spend: SpendSpec, holder: string, unusedMicros: number): SpendSpec {
  const { [holder]: _, ...holders } = spend.holders
  return { ...spend, reservedMicros: spend.reservedMicros - unusedMicros, holders }
}
