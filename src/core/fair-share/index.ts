/**
 * Divides a service that is short of capacity among the teams. It answers overload by one or a few teams: a team over its
 * fair share of the slots waits, and the others are served at once. Usage comes from the load reports, which are up to
 * 1.5 s old, so each VM scales its own use of a team by the same factor instead of taking what looks free. A VM that
 * reports do not reach divides its part of the fleet.
 */
import type { Clock } from '../clock/index.ts'
import { brandId, type ServiceId, type TeamId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import { REPORTS_REUSE_MS, FULL_COVERAGE_SHARE, NEAR_SHARE, SHORTAGE_HOLD_MS, SLOT_HEADROOM, TEAM_REPORT_SHARE } from './constants.ts'
import { maxMinLevel } from './max-min.ts'
import { createTeamUsage, serviceKey, teamsIn, VM_COUNT_KEY, type TeamUsage, type UsageReport } from './team-usage.ts'

export type { UsageReport } from './team-usage.ts'

/** Team of requests without a key. */
export const ANONYMOUS_TEAM = brandId<TeamId>('anonymous')

export interface FairSharesOptions {
  /** Requests that the backend servers of a service run concurrently; 0 if none are known. */
  slots(service: ServiceId): number
  /** Number of VMs that share the slots, this one included. */
  vmCount: () => number
  /** Usage by the other VMs, as last reported. */
  othersUsage(): UsageReport
  clock: Clock
  log: Log
}

export interface FairShares {
  usage: TeamUsage
  /** Usage by this VM for the other VMs. */
  report(): UsageReport
  /** Whether a team may start one more request now; always while the service is not short of capacity. */
  mayStart(service: ServiceId, team: TeamId): boolean
  /** Requests in flight of a team over the fleet, by which the queue orders the teams. */
  fleetUsage(service: ServiceId, team: TeamId): number
  /** The most requests that a team may have in flight over the part of the fleet that is known; `undefined` while the service is not short of capacity. */
  share(service: ServiceId): number | undefined
  /** Services that are short of capacity. */
  shortServices(): ServiceId[]
}

/** Usage of a service by the other VMs, read from their reports at one time. */
interface OthersUsage { atMs: number, vms: number, total: number, teams: ReadonlyMap<TeamId, number> }

/** How the capacity that this VM knows of is divided. */
interface Division {
  level: number
  coveredVms: number
  others: OthersUsage
  isShort: boolean
  /** Whether enough is in flight for the use by team to matter soon. */
  isNearlyShort: boolean
}

export function createFairShares ({ slots, vmCount, othersUsage, clock, log }: FairSharesOptions): FairShares {
  const usage = createTeamUsage(clock)
  const othersByService = new Map<ServiceId, OthersUsage>()
  /** Monotonic time until which a service counts as short of capacity. */
  const shortUntilMs = new Map<ServiceId, number>()

  function othersOf (service: ServiceId): OthersUsage {
    const now = clock.now()
    const known = othersByService.get(service)
    if (known && now - known.atMs < REPORTS_REUSE_MS) return known
    const report = othersUsage()
    const others = { atMs: now, vms: report[VM_COUNT_KEY] ?? 0, total: report[serviceKey(service)] ?? 0, teams: teamsIn(report, service) }
    othersByService.set(service, others)
    return others
  }

  function divide (service: ServiceId): Division {
    const others = othersOf(service)
    const coveredVms = 1 + others.vms
    const covered = coveredVms / Math.max(1, vmCount())
    const capacity = SLOT_HEADROOM * slots(service) * (covered >= FULL_COVERAGE_SHARE ? 1 : covered)
    const own = usage.inFlight(service)
    const total = others.total + sum(own.values())
    const teams = new Map(others.teams)
    for (const [team, count] of own) teams.set(team, (teams.get(team) ?? 0) + count)
    // The reports omit teams far below their share; they get all that they use.
    const unreported = Math.max(0, others.total - sum(others.teams.values()))
    const level = maxMinLevel([...teams.values()], capacity - unreported)
    // Teams that reports omit have less than half of the use; while the omitted use is higher, the VMs do not report teams yet.
    const isDivisible = unreported <= (1 - NEAR_SHARE) * total
    return {
      level,
      coveredVms,
      others,
      isShort: updateShortage(service, { isFull: capacity > 0 && total >= capacity, total, level }) && isDivisible,
      isNearlyShort: total >= TEAM_REPORT_SHARE * capacity
    }
  }

  function updateShortage (service: ServiceId, { isFull, total, level }: { isFull: boolean, total: number, level: number }): boolean {
    const now = clock.now()
    const untilMs = shortUntilMs.get(service)
    if (isFull) {
      if (untilMs === undefined) log.info('service is short of capacity', { service, inFlight: Math.round(total), teamShare: Math.round(level * 10) / 10 })
      shortUntilMs.set(service, now + SHORTAGE_HOLD_MS)
      return true
    }
    if (untilMs === undefined || untilMs > now) return untilMs !== undefined
    shortUntilMs.delete(service)
    log.info('service has capacity again', { service, inFlight: Math.round(total) })
    return false
  }

  return {
    usage,
    report: () => usage.report(service => divide(service).isNearlyShort),
    mayStart (service, team) {
      const { level, coveredVms, others, isShort } = divide(service)
      if (!isShort) return true
      const ownCount = usage.inFlight(service).get(team) ?? 0
      const ownMean = usage.own(service).teams.get(team) ?? 0
      const othersCount = others.teams.get(team) ?? 0
      const fleetCount = othersCount + ownCount
      if (fleetCount < NEAR_SHARE * level) return true
      // What this VM may use if all VMs scale their use of the team by the same factor; at least its part of the fleet.
      const limit = Math.max(level / coveredVms, ownMean * level / Math.max(othersCount + ownMean, Number.MIN_VALUE))
      // A team below its share may use more than its mean here, because requests come to the VMs unevenly.
      const burst = 1 + Math.max(0, 1 - fleetCount / level) / (1 - NEAR_SHARE)
      // The mean bounds the use by a VM whose limit is less than one request.
      return ownMean < burst * limit && ownCount < Math.ceil(burst * limit)
    },
    fleetUsage: (service, team) => (othersOf(service).teams.get(team) ?? 0) + (usage.inFlight(service).get(team) ?? 0),
    share (service) {
      const { isShort, level } = divide(service)
      return isShort ? level : undefined
    },
    shortServices: () => [...shortUntilMs.keys()]
  }
}

function sum (values: Iterable<number>): number {
  return [...values].reduce((total, value) => total + value, 0)
}
