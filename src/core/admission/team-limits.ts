/**
 * Team limit `maxConcurrent` across the data centres of a region. Each leader grants at most the limit divided by the
 * number of data centres, rounded up, so the sum exceeds the limit by at most the number of data centres minus 1,
 * however late summaries arrive. Within its share, a leader also stops granting when its own count and the in-flight
 * counts reported by the others reach the limit. A VM whose team has used up a share tries another data centre.
 */
import type { ConfigView } from '../config/types.ts'
import type { DataCentreId, RegionId, TeamId } from '../ids/index.ts'
import type { LeaderSummary } from './types.ts'

export type TeamAvailability =
  | 'room'
  /** This data centre's share is used up; others may have capacity left. */
  | 'share_used'
  /** The whole limit is used up. */
  | 'limit_used'

export interface TeamLimits {
  availability(team: TeamId, inFlight: number): TeamAvailability
}

export interface TeamLimitsOptions {
  view: ConfigView
  dataCentre: DataCentreId
  peerSummaries: () => readonly LeaderSummary[]
}

/** Number of data centres of the region that are in service and have a backend server in service. */
export function servingDataCentres (view: ConfigView, region: RegionId | undefined): number {
  const dataCentresWithServers = new Set<string>()
  for (const { spec } of view.list('BackendServer')) {
    if (spec.state === 'in_service') dataCentresWithServers.add(spec.dataCentre)
  }
  const serving = view.list('DataCentre').filter(({ name, spec }) =>
    spec.region === region && spec.state === 'in_service' && dataCentresWithServers.has(name))
  return serving.length
}

/** Maximum number of requests of a team in flight in one data centre. */
export function teamShare (maxConcurrent: number, dataCentres: number): number {
  return Math.ceil(maxConcurrent / Math.max(1, dataCentres))
}

/** Requests of the team in flight in all other data centres, as last reported by their leaders. */
export function inFlightElsewhere (summaries: readonly LeaderSummary[], dataCentre: DataCentreId, team: TeamId): number {
  const others = summaries.filter(summary => summary.dataCentre !== dataCentre)
  return others.reduce((sum, { teamInFlight }) => sum + (teamInFlight.find(entry => entry.team === team)?.inFlight ?? 0), 0)
}

export function createTeamLimits ({ view, dataCentre, peerSummaries }: TeamLimitsOptions): TeamLimits {
  let revision = -1
  let serving = 1

  function dataCentres (): number {
    if (view.revision() !== revision) {
      revision = view.revision()
      serving = servingDataCentres(view, view.get('DataCentre', dataCentre)?.region)
    }
    return serving
  }

  return {
    availability (team, inFlight) {
      const contract = view.get('Contract', team)
      if (!contract) return 'room'
      const total = inFlight + inFlightElsewhere(peerSummaries(), dataCentre, team)
      if (total >= contract.maxConcurrent) return 'limit_used'
      return inFlight < teamShare(contract.maxConcurrent, dataCentres()) ? 'room' : 'share_used'
    }
  }
}
