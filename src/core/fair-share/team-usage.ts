/**
 * Usage of the services by team: requests in flight, now and as a mean. A slot is held for as long as the request runs,
 * so this measures the cost of requests without an estimate of it. Each VM reports its totals, and of its teams only those
 * near or over their share; the reports of all VMs are added up on the way.
 */
import type { Clock } from '../clock/index.ts'
import type { ServiceId, TeamId } from '../ids/index.ts'
import { NEAR_SHARE, USAGE_SMOOTHING_MS } from './constants.ts'

/** Mean requests in flight by the keys below, of one VM or added up for several. */
export type UsageReport = Record<string, number>

/** Key of the number of VMs that a report covers. */
export const VM_COUNT_KEY = ''
/** Names of services and teams contain no line break. */
const KEY_SEPARATOR = '\n'
export const serviceKey = (service: ServiceId): string => service
export const teamKey = (service: ServiceId, team: TeamId): string => `${service}${KEY_SEPARATOR}${team}`

export interface TeamUsage {
  /** Records the start of a request; the result records its end and has no effect when called again. */
  start(service: ServiceId, team: TeamId): () => void
  /** Requests of this VM that are in flight now. */
  inFlight(service: ServiceId): ReadonlyMap<TeamId, number>
  /** Mean usage by this VM. */
  own(service: ServiceId): { total: number, teams: ReadonlyMap<TeamId, number> }
  /** Totals of this VM, and the teams near or over their share for the services where `reportsTeams` says so. */
  report(reportsTeams: (service: ServiceId) => boolean): UsageReport
}

interface TeamMean { mean: number, atMs: number }
interface ServiceState { counts: Map<TeamId, number>, means: Map<TeamId, TeamMean> }

/** Means below this are forgotten; they would be reported as zero. */
const MIN_MEAN = 0.005

export function createTeamUsage (clock: Clock): TeamUsage {
  const services = new Map<ServiceId, ServiceState>()

  function stateOf (service: ServiceId): ServiceState {
    const state = services.get(service) ?? { counts: new Map<TeamId, number>(), means: new Map<TeamId, TeamMean>() }
    services.set(service, state)
    return state
  }

  /** Brings the mean up to now; must be called before each change of the count. */
  function update ({ counts, means }: ServiceState, team: TeamId): number {
    const now = clock.now()
    const count = counts.get(team) ?? 0
    const previous = means.get(team) ?? { mean: 0, atMs: now }
    const mean = count + (previous.mean - count) * Math.exp((previous.atMs - now) / USAGE_SMOOTHING_MS)
    if (count === 0 && mean < MIN_MEAN && previous.atMs < now) means.delete(team)
    else means.set(team, { mean, atMs: now })
    return mean
  }

  function own (service: ServiceId): { total: number, teams: Map<TeamId, number> } {
    const state = stateOf(service)
    const teams = new Map([...state.means.keys()].map(team => [team, update(state, team)]))
    return { teams, total: [...teams.values()].reduce((sum, mean) => sum + mean, 0) }
  }

  return {
    start (service, team) {
      const state = stateOf(service)
      update(state, team)
      state.counts.set(team, (state.counts.get(team) ?? 0) + 1)
      let hasEnded = false
      return () => {
        if (hasEnded) return
        hasEnded = true
        update(state, team)
        const count = state.counts.get(team)! - 1
        if (count > 0) state.counts.set(team, count)
        else state.counts.delete(team)
      }
    },
    inFlight: service => stateOf(service).counts,
    own,
    report (reportsTeams) {
      const report: UsageReport = { [VM_COUNT_KEY]: 1 }
      for (const service of services.keys()) {
        const { total, teams } = own(service)
        if (total < MIN_MEAN) continue
        report[serviceKey(service)] = round(total)
        if (!reportsTeams(service)) continue
        for (const [team, mean] of teams) if (mean >= NEAR_SHARE * total / teams.size) report[teamKey(service, team)] = round(mean)
      }
      return report
    }
  }
}

/** Usage of a service by team in a report. */
export function teamsIn (report: UsageReport, service: ServiceId): Map<TeamId, number> {
  const prefix = teamKey(service, '' as TeamId)
  const entries = Object.entries(report).filter(([key]) => key.startsWith(prefix))
  return new Map(entries.map(([key, usage]) => [key.slice(prefix.length) as TeamId, usage]))
}

function round (usage: number): number {
  return Math.round(usage * 100) / 100
}
