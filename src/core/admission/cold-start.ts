/**
 * Cold start of one backend server. A cold one bears `coldAllowance` requests in flight. A warm one may turn cold
 * unannounced, so it gets at most `coldAllowance` grants since the last proof that its instance is warm.
 *
 * Grants, probes and turns to cold are numbered in the order in which the leader made or saw them. The proof is a health
 * probe, and it covers the grants made before it was sent; whatever was granted later may meet a backend server that
 * has turned cold in the meantime. What is older than the last turn to cold is ignored. A first byte only shows whether
 * the instance is still the same: a backend server that turned cold without a restart answers too.
 */
import { RAMP_STEP_MS } from './constants.ts'
import type { HealthReport } from './types.ts'

export interface Warmth {
  instance: string | undefined
  state: 'cold' | 'warm'
  /** Concurrent requests allowed while warm; grows to `slots`. */
  rampLimit: number
  rampedAt: number
  /** Numbers of the grants that no proof covers yet. */
  unproven: number[]
  /** Number of the last turn to cold. */
  coldSince: number
  /** What the backend server itself says it can bear, if it says so. */
  reportedAllowance: number | undefined
}

export interface Capacity {
  slots: number
  coldAllowance: number
}

export interface ProbeObservation {
  report: HealthReport
  /** Number of the probe, given when it was sent. */
  probe: number
  /** Number of this observation. */
  number: number
  now: number
}

export interface FirstByteObservation {
  instance: string
  /** Number of the grant that the first byte answers. */
  grant: number
  /** Number of this observation. */
  number: number
}

export function createWarmth (): Warmth {
  return { instance: undefined, state: 'cold', rampLimit: 0, rampedAt: -Infinity, unproven: [], coldSince: -1, reportedAllowance: undefined }
}

/** Turns the backend server cold; only proofs of later grants and probes count from now on. */
export function turnCold (warmth: Warmth, number: number): void {
  warmth.state = 'cold'
  warmth.instance = undefined
  warmth.rampLimit = 0
  warmth.reportedAllowance = undefined
  warmth.coldSince = number
}

/** Concurrent requests that the backend server may have now. */
export function inFlightLimit (warmth: Warmth, { slots, coldAllowance }: Capacity): number {
  const ramp = warmth.state === 'cold' ? coldAllowance : Math.max(coldAllowance, warmth.rampLimit)
  return Math.min(ramp, slots, warmth.reportedAllowance ?? slots)
}

/** Whether a warm backend server needs a proof before its next grant. */
export function needsProof (warmth: Warmth, { coldAllowance }: Capacity): boolean {
  return warmth.state === 'warm' && warmth.unproven.length >= coldAllowance
}

export function isRamping (warmth: Warmth, { slots }: Capacity): boolean {
  return warmth.state === 'warm' && warmth.rampLimit < slots
}

export function noteGrant (warmth: Warmth, grant: number): void {
  warmth.unproven.push(grant)
}

/** Forgets a grant whose request was never sent. */
export function forgetGrant (warmth: Warmth, grant: number): void {
  warmth.unproven = warmth.unproven.filter(number => number !== grant)
}

/** Applies a probe's answer; returns true when the backend server turned cold by it. */
export function observeProbe (warmth: Warmth, capacity: Capacity, { report, probe, number, now }: ProbeObservation): boolean {
  if (probe < warmth.coldSince) return false
  const wasWarm = warmth.state === 'warm'
  const isAnother = warmth.instance !== report.instance
  if (isAnother || report.state === 'cold') turnCold(warmth, number)
  warmth.instance = report.instance
  warmth.reportedAllowance = report.allowance
  prove(warmth, probe)
  // A warm backend server that restarted is believed to be warm again only after another probe.
  if (report.state === 'cold' || (isAnother && wasWarm)) return wasWarm
  ramp(warmth, capacity, now)
  return false
}

/** Applies a first byte; returns true when it shows that the backend server restarted and is cold. */
export function observeFirstByte (warmth: Warmth, { instance, grant, number }: FirstByteObservation): boolean {
  if (grant < warmth.coldSince || warmth.instance === instance) return false
  const wasWarm = warmth.state === 'warm'
  turnCold(warmth, number)
  warmth.instance = instance
  return wasWarm
}

function prove (warmth: Warmth, upTo: number): void {
  warmth.unproven = warmth.unproven.filter(number => number > upTo)
}

function ramp (warmth: Warmth, { slots, coldAllowance }: Capacity, now: number): void {
  if (warmth.state === 'cold') {
    warmth.state = 'warm'
    warmth.rampLimit = coldAllowance
    warmth.rampedAt = now
    return
  }
  if (warmth.rampLimit >= slots || now - warmth.rampedAt < RAMP_STEP_MS) return
  warmth.rampLimit = Math.min(slots, warmth.rampLimit + coldAllowance)
  warmth.rampedAt = now
}
