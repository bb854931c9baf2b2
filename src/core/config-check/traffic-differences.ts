/**
 * Compares two traffic configurations by meaning: the order of entries does not matter, and each difference says which
 * callers or teams lose something. All of it takes effect at once when the configuration comes into force.
 */
import { normalizeHost } from '../forwarding/route-table.ts'
import type { CallerLimits, Route, Service, Team, TrafficConfig } from '../forwarding/types.ts'
import { maskKey } from './traffic.ts'
import type { Difference } from './types.ts'

export function compareTrafficConfigs (before: TrafficConfig, after: TrafficConfig): Difference[] {
  return [
    ...compareVersions(before, after),
    ...compareEntries(withoutHidden(before.routes), withoutHidden(after.routes), routeKey, compareRoutes, key => ({ subject: `route ${key}`, loss: `requests to ${key} get 404, or match a route with a shorter prefix` })),
    ...compareEntries(before.services, after.services, ({ id }) => id, compareServices, key => ({ subject: `service ${key}`, loss: `requests of routes to ${key} are refused` })),
    ...compareEntries(before.teams, after.teams, ({ id }) => id, createTeamComparison(after.teams), key => ({ subject: `team ${key}`, loss: `requests of team ${key} get 401, or count for the team that holds their key` })),
    ...compareLimits(before.limits, after.limits)
  ]
}

const routeKey = ({ host, pathPrefix }: Route) => `${normalizeHost(host)}${pathPrefix}`

/** Of routes with the same host and prefix, only the first one matches. */
function withoutHidden (routes: readonly Route[]): Route[] {
  const keys = new Set<string>()
  return routes.filter(route => !keys.has(routeKey(route)) && keys.add(routeKey(route)))
}

function compareVersions (before: TrafficConfig, after: TrafficConfig): Difference[] {
  if (after.version > before.version) return []
  return [{ subject: 'version', change: `${before.version} -> ${after.version}`, loss: 'the configuration does not come into force, because its version is not higher' }]
}

function compareEntries<Entry> (before: readonly Entry[], after: readonly Entry[], keyOf: (entry: Entry) => string, compare: (key: string, before: Entry, after: Entry) => Difference[], describe: (key: string) => { subject: string, loss: string }): Difference[] {
  const earlier = new Map(before.map(entry => [keyOf(entry), entry]))
  const later = new Map(after.map(entry => [keyOf(entry), entry]))
  const removed = [...earlier.keys()].filter(key => !later.has(key)).map(key => ({ ...describe(key), change: 'removed' }))
  const added = [...later.keys()].filter(key => !earlier.has(key)).map(key => ({ subject: describe(key).subject, change: 'added' }))
  const changed = [...later].flatMap(([key, entry]) => earlier.has(key) ? compare(key, earlier.get(key)!, entry) : [])
  return [...removed, ...added, ...changed]
}

function compareRoutes (key: string, before: Route, after: Route): Difference[] {
  const subject = `route ${key}`
  const differences = compareNumbers(subject, before, after, {
    timeoutMs: 'requests that take longer fail',
    maxAttempts: 'requests are repeated less often',
    targetLatencyMs: undefined,
    maxEventGapMs: undefined,
    priority: undefined
  })
  const text = (route: Route) => ({
    kind: route.kind,
    resumable: String(route.resumable),
    allowsAnonymous: String(route.allowsAnonymous),
    models: route.models.join(' '),
    targets: route.targets.map(({ service, weight }) => `${service} ${weight}`).sort().join(', ')
  })
  const earlier = text(before)
  const later = text(after)
  const losses: Partial<Record<keyof typeof later, string | undefined>> = {
    allowsAnonymous: before.allowsAnonymous ? 'requests without a key get 401' : undefined,
    resumable: before.resumable ? 'streams that break are not resumed' : undefined,
    models: before.models.some(model => !after.models.includes(model)) ? 'models that are no longer named are not used' : undefined
  }
  for (const field of Object.keys(later) as (keyof typeof later)[]) {
    if (earlier[field] !== later[field]) differences.push({ subject, change: `${field}: ${earlier[field]} -> ${later[field]}`, ...losses[field] && { loss: losses[field] } })
  }
  return differences
}

function compareServices (key: string, before: Service, after: Service): Difference[] {
  const subject = `service ${key}`
  const costs = ({ engine }: Service) => [...engine?.modelCosts ?? []].map(([model, cost]) => `${model} ${cost}`).sort().join(', ')
  const flat = ({ maxConnections, coldRate, engine }: Service) => ({ maxConnections, coldRate, slots: engine?.slots ?? 0, tokenCapacity: engine?.tokenCapacity ?? 0 })
  const numbers = compareNumbers(subject, flat(before), flat(after), { maxConnections: 'fewer requests at once', coldRate: undefined, slots: 'fewer requests at once', tokenCapacity: 'larger requests are refused' })
  return costs(before) === costs(after) ? numbers : [...numbers, { subject, change: `model costs: ${costs(before)} -> ${costs(after)}` }]
}

/** `after` are all teams, which shows whether a removed key has moved to another one. */
function createTeamComparison (after: readonly Team[]) {
  const holders = new Map(after.flatMap(({ id, keys }) => keys.map(key => [key, id] as const)))
  return (id: string, before: Team, { keys, priority }: Team): Difference[] => {
    const subject = `team ${id}`
    const removed = before.keys.filter(name => !keys.includes(name)).map(name => {
      const holder = holders.get(name)
      return { subject, change: `key ${maskKey(name)} removed`, loss: holder === undefined ? 'requests with this key get 401' : `requests with this key count for team ${holder}` }
    })
    const added = keys.filter(name => !before.keys.includes(name)).map(name => ({ subject, change: `key ${maskKey(name)} added` }))
    const priorityChange = before.priority === priority ? [] : [{ subject, change: `priority: ${before.priority ?? 'of the route'} -> ${priority ?? 'of the route'}` }]
    return [...removed, ...added, ...priorityChange]
  }
}

function compareLimits (before: CallerLimits, after: CallerLimits): Difference[] {
  return compareNumbers('limits', before, after, {
    maxHeaderBytes: 'requests with larger headers get 431',
    maxBodyBytes: 'larger bodies get 413',
    headerTimeoutMs: 'slower callers get 408',
    idleTimeoutMs: 'idle connections are closed earlier'
  })
}

/** Compares the named fields; the text says what callers lose if the number falls. */
function compareNumbers<Entry extends object> (subject: string, before: Entry, after: Entry, fields: Partial<Record<keyof Entry & string, string | undefined>>): Difference[] {
  return (Object.keys(fields) as (keyof Entry & string)[]).flatMap(field => {
    const earlier = before[field] as number
    const later = after[field] as number
    if (earlier === later) return []
    const loss = later < earlier ? fields[field] : undefined
    return [{ subject, change: `${field}: ${earlier} -> ${later}`, ...loss && { loss } }]
  })
}
