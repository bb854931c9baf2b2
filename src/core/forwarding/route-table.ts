/** Looks up the route of a request by host and longest path prefix, and the team by key. */
import type { ServiceId } from '../ids/index.ts'
import type { CallerLimits, Route, Service, Team, TrafficConfig } from './types.ts'

export interface RouteTable {
  version: number
  limits: CallerLimits
  /** `target` may contain a query, which is ignored. */
  match(host: string, target: string): Route | undefined
  service(id: ServiceId): Service | undefined
  services(): readonly Service[]
  team(key: string): Team | undefined
  /** Whether any team is configured; without teams, no request needs a key. */
  hasTeams: boolean
}

export function createRouteTable ({ version, routes, services, teams, limits }: TrafficConfig): RouteTable {
  const byHost = new Map<string, Route[]>()
  for (const route of routes) {
    const host = normalizeHost(route.host)
    byHost.set(host, [...byHost.get(host) ?? [], route])
  }
  for (const hostRoutes of byHost.values()) hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  const byId = new Map(services.map(service => [service.id, service]))
  const byKey = new Map(teams.flatMap(team => team.keys.map(key => [key, team] as const)))

  return {
    version,
    limits,
    match (host, target) {
      const path = target.split('?', 1)[0]!
      return byHost.get(normalizeHost(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
    },
    service: id => byId.get(id),
    services: () => services,
    team: key => byKey.get(key),
    hasTeams: teams.length > 0
  }
}

/** Chooses one of the weighted services; `point` is between 0 and 1. */
export function chooseService ({ targets }: Route, point: number): ServiceId | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = point * total
  for (const { service, weight } of targets) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return targets.findLast(({ weight }) => weight > 0)?.service
}

export function urgencyOf (route: Route, team: Team | undefined): number {
  return team?.priority ?? route.priority
}

/** Whether a request may run more than once. */
export function isRepeatable ({ kind, resumable }: Route): boolean {
  return kind === 'idempotent' || (kind === 'streaming' && resumable)
}

/** Host as routes are compared by: without port, in lower case. */
export function normalizeHost (host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}
