/**
 * Team limit `maxConcurrent` over the data centres of a region. Each leader grants at most the limit divided by the
 * number of data centres, rounded up, so the sum exceeds the limit by at most the number of data centres minus 1,
 * however late the leaders hear of each other. Within its share a leader also stops when the in-flight counts that
 * the others report reach the limit. A VM that meets a used-up share asks another data centre.
 */
import type { ConfigView } from '../config/types.ts'
import type { DataCentreId, RegionId, TeamId } from '../ids/index.ts'
import type { LeaderSummary } from './types.ts'

export type TeamRoom =
  | 'room'
  /** This data centre's share is used up and others may have room. */
  | 'share_used'
  /** The whole limit is used. */
  | 'limit_used'

export interface TeamLimits {
  roomFor(team: TeamId, inFlight: number): TeamRoom
}

export interface TeamLimitsOptions {
  view: ConfigView
  dataCentre: DataCentreId
  peerSummaries: () => readonly LeaderSummary[]
}

/** Data centres of the region that are in service and have a backend server in service. */
export function servingDataCentres (view: ConfigView, region: RegionId | undefined): number {
  const withServers = new Set<string>()
  for (const { spec } of view.list('BackendServer')) {
    if (spec.state === 'in_service') withServers.add(spec.dataCentre)
  }
  const serving = view.list('DataCentre').filter(({ name, spec }) =>
    spec.region === region && spec.state === 'in_service' && withServers.has(name))
  return serving.length
}

/** Requests of a team that one data centre may have in flight. */
export function teamShare (maxConcurrent: number, dataCentres: number): number {
  return Math.ceil(maxConcurrent / Math.max(1, dataCentres))
}

/** Requests of the team in flight in all data centres but one, as their leaders reported last. */
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
    roomFor (team, inFlight) {
      const contract = view.get('Contract', team)
      if (!contract) return 'room'
      const total = inFlight + inFlightElsewhere(peerSummaries(), dataCentre, team)
      if (total >= contract.maxConcurrent) return 'limit_used'
      return inFlight < teamShare(contract.maxConcurrent, dataCentres()) ? 'room' : 'share_used'
    }
  }
}
