/**
 * Estimates how long a request will wait for capacity. It answers a queue that is longer than its requests can wait: these
 * are refused on arrival. The estimate is the number of requests ahead times the measured interval between two placements:
 * those of the team, or those of the service while too few of the team are known. The mean difference between actual waits
 * and estimates corrects it, and the variance of the placements says how early a request may start at best.
 */
import type { Clock } from '../clock/index.ts'
import type { ServiceId, TeamId } from '../ids/index.ts'
import { DOUBT_DEVIATIONS, DOUBT_FACTOR, MAX_CORRECTION, MIN_CORRECTION, MIN_PLACEMENTS, RATE_MEMORY_MS, STALL_FACTOR, WAIT_MEMORY_MS, WAIT_SMOOTHING_FACTOR } from './constants.ts'

/** Requests that are placed before a new one: those of its team, and those of all teams (default: the same). */
export interface RequestsAhead { ahead: number, aheadInOrder?: number }

export interface WaitEstimate {
  /** In milliseconds; 0 while nothing is known. */
  expectedMs: number
  /** The wait if placements are as fast as the measurements leave possible, in milliseconds; 0 while too few are known. */
  earliestMs: number
  /** Requests ahead that were counted. */
  ahead: number
}

/** Comparison of the estimates for a service with the waits, in milliseconds; absent while none was compared. */
export interface EstimateQuality {
  /** Time that is added to the estimate because earlier waits were longer; negative if they were shorter. */
  offsetMs: number
  /** Mean difference between wait and estimate. */
  errorMs: number
}

export interface WaitEstimates {
  estimate(service: ServiceId, team: TeamId, requests: RequestsAhead): WaitEstimate
  /** Expected wait in milliseconds of a request with `ahead` requests before it; 0 while nothing is known. */
  expectedMs(service: ServiceId, team: TeamId, ahead: number): number
  /** Records that no request of the team waits now, or none of the service. */
  recordIdle(service: ServiceId, team?: TeamId): void
  /** Records a request that was placed after waiting since `sinceMs`, with the wait that was expected. */
  recordPlaced(service: ServiceId, team: TeamId, wait: MeasuredWait): void
  /** Records a request that was not placed in its time. */
  recordTimeout(service: ServiceId, team: TeamId, wait: MeasuredWait): void
  /** Records that the process was paused until now; requests that waited meanwhile say nothing about the capacity. */
  recordPause(): void
  /** Quality of the estimates by service. */
  quality(): ReadonlyMap<ServiceId, EstimateQuality>
}

export interface MeasuredWait {
  sinceMs: number
  expectedMs: number
}

interface Measured {
  /** Placements, and the time in which requests waited for them; both decay with that time. */
  placed: number
  waitingMs: number
  /** Sum of the squares of the intervals; decays in the same way. */
  squaredMs: number
  /** Longest recent interval between two placements; it decays with time. */
  longestIntervalMs: number
  lastPlacedMs: number
  /** Time up to which the waiting time is added. */
  addedUntilMs: number
  /** Last time at which no request waited; there was nothing to place before it. */
  lastIdleMs: number
  /** Last time at which a request gave up. */
  lastLostMs: number
  /** Mean difference between the actual waits and their uncorrected estimates, in milliseconds. */
  offsetMs: number
  lastUsedMs: number
}

export function createWaitEstimates (clock: Clock): WaitEstimates {
  const measured = new Map<string, Measured>()
  const qualities = new Map<ServiceId, EstimateQuality>()
  /** Time at which the process went on after a pause. */
  let resumedMs = -Infinity

  function entryOf (service: ServiceId, team?: TeamId): Measured {
    const key = team === undefined ? service : `${service}\n${team}`
    const now = clock.now()
    const known = measured.get(key)
    const entry = known && now - known.lastUsedMs < WAIT_MEMORY_MS
      ? known
      : { placed: 0, waitingMs: 0, squaredMs: 0, longestIntervalMs: 0, lastPlacedMs: -Infinity, addedUntilMs: -Infinity, lastIdleMs: -Infinity, lastLostMs: -Infinity, offsetMs: 0, lastUsedMs: now }
    measured.set(key, entry)
    return entry
  }

  /** The measurements of the team, or those of the service while few of the team are known, with the requests ahead. */
  function basisOf (service: ServiceId, team: TeamId, { ahead, aheadInOrder = ahead }: RequestsAhead): { entry: Measured, ahead: number } {
    const ofTeam = entryOf(service, team)
    const ofService = entryOf(service)
    return ofTeam.placed < MIN_PLACEMENTS && ofService.placed > ofTeam.placed ? { entry: ofService, ahead: aheadInOrder } : { entry: ofTeam, ahead }
  }

  function estimate (service: ServiceId, team: TeamId, requests: RequestsAhead): WaitEstimate {
    const { entry, ahead } = basisOf(service, team, requests)
    const { placed, waitingMs, squaredMs, lastPlacedMs, longestIntervalMs, offsetMs } = entry
    if (placed === 0) return { expectedMs: 0, earliestMs: 0, ahead }
    const intervalMs = waitingMs / placed
    const pauseMs = ahead > 0 ? clock.now() - Math.max(lastPlacedMs, entry.lastIdleMs, resumedMs) : 0
    // A pause much longer than all recent ones shows that capacity is gone; a shorter one says nothing, because reports and
    // limits that are counted over a second permit several requests at once, then none.
    if (placed >= MIN_PLACEMENTS && pauseMs > STALL_FACTOR * longestIntervalMs * Math.exp((lastPlacedMs - clock.now()) / WAIT_MEMORY_MS)) {
      const expectedMs = (ahead + 1) * Math.max(intervalMs, pauseMs)
      return { expectedMs, earliestMs: expectedMs, ahead }
    }
    if (waitingMs === 0) return { expectedMs: 0, earliestMs: 0, ahead }
    // Placements that come in groups let a request wait longer for the first of them than for the others.
    const expectedMs = Math.max(0, squaredMs / waitingMs / 2 + ahead * intervalMs + offsetMs)
    // Variance of the number of placements, relative to the number: 1 for regular ones, 2 for random ones, more in groups.
    const dispersion = squaredMs * placed / waitingMs ** 2
    const mostPlaced = placed + DOUBT_DEVIATIONS * Math.sqrt(placed * dispersion)
    return { expectedMs, earliestMs: placed < MIN_PLACEMENTS ? 0 : Math.min(expectedMs, (ahead + 1) * waitingMs / mostPlaced), ahead }
  }

  /** Adds the time in which requests waited since the last placement or time-out. */
  function addWaitingTime (entry: Measured): void {
    const now = clock.now()
    const addedMs = now - Math.max(entry.addedUntilMs, entry.lastIdleMs, resumedMs)
    entry.addedUntilMs = entry.lastUsedMs = now
    const kept = Math.exp(-addedMs / RATE_MEMORY_MS)
    entry.placed *= kept
    entry.waitingMs = entry.waitingMs * kept + addedMs
    entry.squaredMs = entry.squaredMs * kept + addedMs ** 2
  }

  function recordPlacement (entry: Measured): void {
    const now = clock.now()
    // The first placement shows no interval, because the time before it may have been without any capacity.
    if (entry.lastPlacedMs > -Infinity) {
      addWaitingTime(entry)
      entry.placed++
      entry.longestIntervalMs = Math.max(now - Math.max(entry.lastPlacedMs, entry.lastIdleMs, resumedMs), entry.longestIntervalMs * Math.exp((entry.lastPlacedMs - now) / WAIT_MEMORY_MS))
    }
    entry.lastPlacedMs = entry.addedUntilMs = entry.lastUsedMs = now
  }

  function recordLost (entry: Measured): void {
    entry.lastLostMs = entry.lastUsedMs = clock.now()
    // Without the time that ends without a placement, a team with few placements would seem to get them faster.
    if (entry.lastPlacedMs > -Infinity) addWaitingTime(entry)
  }

  function compare (service: ServiceId, entry: Measured, actualMs: number, { sinceMs, expectedMs }: MeasuredWait): void {
    if (expectedMs <= 0 || sinceMs < resumedMs) return
    const errorMs = actualMs - expectedMs
    const uncorrectedMs = Math.max(1, expectedMs - entry.offsetMs)
    const boundedMs = Math.min(MAX_CORRECTION * uncorrectedMs, Math.max(MIN_CORRECTION * uncorrectedMs, actualMs))
    entry.offsetMs = smooth(entry.offsetMs, boundedMs - uncorrectedMs)
    const { errorMs: meanErrorMs } = qualities.get(service) ?? { errorMs: 0 }
    qualities.set(service, { offsetMs: entry.offsetMs, errorMs: smooth(meanErrorMs, Math.abs(errorMs)) })
  }

  return {
    estimate,
    expectedMs: (service, team, ahead) => estimate(service, team, { ahead }).expectedMs,
    recordIdle (service, team) { entryOf(service, team).lastIdleMs = clock.now() },
    recordPlaced (service, team, wait) {
      // The entry that the estimate was taken from is compared, before a first interval of the team replaces it.
      const { entry } = basisOf(service, team, { ahead: 0 })
      for (const each of [entryOf(service), entryOf(service, team)]) recordPlacement(each)
      // A wait that became shorter because requests ahead gave up says nothing about the placements.
      const isShortened = entry.lastLostMs >= wait.sinceMs && clock.now() - wait.sinceMs < wait.expectedMs
      if (!isShortened) compare(service, entry, clock.now() - wait.sinceMs, wait)
    },
    recordTimeout (service, team, wait) {
      const { entry } = basisOf(service, team, { ahead: 0 })
      for (const each of [entryOf(service), entryOf(service, team)]) recordLost(each)
      if (clock.now() - wait.sinceMs > wait.expectedMs) compare(service, entry, clock.now() - wait.sinceMs, wait)
    },
    recordPause () { resumedMs = clock.now() },
    quality: () => qualities
  }
}

function smooth (mean: number, value: number): number {
  return mean + WAIT_SMOOTHING_FACTOR * (value - mean)
}

/**
 * Whether a request is refused on arrival: its expected wait is beyond its time by a factor, and it would not start in time
 * either if the estimate were wrong by its usual error. The first one in order always waits, because only a placement shows
 * that there is capacity again.
 */
export function isHopeless ({ expectedMs, earliestMs = expectedMs, timeoutMs, ahead }: { expectedMs: number, earliestMs?: number, timeoutMs: number, ahead: number }): boolean {
  return ahead > 0 && expectedMs > DOUBT_FACTOR * timeoutMs && earliestMs > timeoutMs
}
