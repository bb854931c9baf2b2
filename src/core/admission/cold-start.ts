/**
 * Cold start of one backend server. A cold backend server is limited to `coldAllowance` requests in flight. A warm one
 * may become cold without notice, so it gets at most `coldAllowance` grants after the last confirmation that its instance
 * is warm.
 *
 * Grants, probes and transitions to cold carry sequence numbers in the order in which the leader made or observed them.
 * A health probe is the confirmation, and it covers the grants made before it was sent: a later grant may reach a backend
 * server that has become cold in the meantime. Anything older than the last transition to cold is ignored. A first byte
 * only shows whether the instance is still the same, because a backend server that became cold without a restart also
 * answers.
 */
import { RAMP_STEP_MS } from './constants.ts'
import type { HealthReport } from './types.ts'

export interface WarmupState {
  instance: string | undefined
  state: 'cold' | 'warm'
  /** Concurrent requests allowed while warm; grows to `slots`. */
  rampLimit: number
  lastRampAt: number
  /** Sequence numbers of the grants that no probe has confirmed yet. */
  unconfirmedGrants: number[]
  /** Sequence number of the last transition to cold. */
  lastColdSequence: number
  /** Maximum number of concurrent requests that the backend server last reported, if any. */
  reportedAllowance: number | undefined
}

export interface Capacity {
  slots: number
  coldAllowance: number
}

export interface ProbeObservation {
  report: HealthReport
  /** Sequence number that the probe got when it was sent. */
  probeSequence: number
  /** Sequence number of this observation. */
  sequence: number
  now: number
}

export interface FirstByteObservation {
  instance: string
  /** Sequence number of the grant whose request got the first byte. */
  grantSequence: number
  /** Sequence number of this observation. */
  sequence: number
}

export function createWarmupState (): WarmupState {
  return { instance: undefined, state: 'cold', rampLimit: 0, lastRampAt: -Infinity, unconfirmedGrants: [], lastColdSequence: -1, reportedAllowance: undefined }
}

/** Marks the backend server cold. From now on only later grants and probes are taken into account. */
export function markCold (warmup: WarmupState, sequence: number): void {
  warmup.state = 'cold'
  warmup.instance = undefined
  warmup.rampLimit = 0
  warmup.reportedAllowance = undefined
  warmup.lastColdSequence = sequence
}

/** Maximum number of requests that the backend server may have in flight now. */
export function inFlightLimit (warmup: WarmupState, { slots, coldAllowance }: Capacity): number {
  const limit = warmup.state === 'cold' ? coldAllowance : Math.max(coldAllowance, warmup.rampLimit)
  return Math.min(limit, slots, warmup.reportedAllowance ?? slots)
}

/** Whether a warm backend server must be confirmed warm before its next grant. */
export function needsConfirmation (warmup: WarmupState, { coldAllowance }: Capacity): boolean {
  return warmup.state === 'warm' && warmup.unconfirmedGrants.length >= coldAllowance
}

export function isRamping (warmup: WarmupState, { slots }: Capacity): boolean {
  return warmup.state === 'warm' && warmup.rampLimit < slots
}

export function recordGrant (warmup: WarmupState, grantSequence: number): void {
  warmup.unconfirmedGrants.push(grantSequence)
}

/** Drops a grant whose request was never sent. */
export function discardGrant (warmup: WarmupState, grantSequence: number): void {
  warmup.unconfirmedGrants = warmup.unconfirmedGrants.filter(granted => granted !== grantSequence)
}

/** Applies the answer to a probe; returns true when it turned a warm backend server cold. */
export function observeProbe (warmup: WarmupState, capacity: Capacity, { report, probeSequence, sequence, now }: ProbeObservation): boolean {
  if (probeSequence < warmup.lastColdSequence) return false
  const wasWarm = warmup.state === 'warm'
  const instanceChanged = warmup.instance !== report.instance
  if (instanceChanged || report.state === 'cold') markCold(warmup, sequence)
  warmup.instance = report.instance
  warmup.reportedAllowance = report.allowance
  confirmGrants(warmup, probeSequence)
  // A backend server that was warm and restarted counts as warm again only after another probe.
  if (report.state === 'cold' || (instanceChanged && wasWarm)) return wasWarm
  advanceRamp(warmup, capacity, now)
  return false
}

/** Applies a first byte; returns true when it shows that a warm backend server restarted and is cold. */
export function observeFirstByte (warmup: WarmupState, { instance, grantSequence, sequence }: FirstByteObservation): boolean {
  if (grantSequence < warmup.lastColdSequence || warmup.instance === instance) return false
  const wasWarm = warmup.state === 'warm'
  markCold(warmup, sequence)
  warmup.instance = instance
  return wasWarm
}

function confirmGrants (warmup: WarmupState, upToSequence: number): void {
  warmup.unconfirmedGrants = warmup.unconfirmedGrants.filter(granted => granted > upToSequence)
}

function advanceRamp (warmup: WarmupState, { slots, coldAllowance }: Capacity, now: number): void {
  if (warmup.state === 'cold') {
    warmup.state = 'warm'
    warmup.rampLimit = coldAllowance
    warmup.lastRampAt = now
    return
  }
  if (warmup.rampLimit >= slots || now - warmup.lastRampAt < RAMP_STEP_MS) return
  warmup.rampLimit = Math.min(slots, warmup.rampLimit + coldAllowance)
  warmup.lastRampAt = now
}
