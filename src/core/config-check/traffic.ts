/**
 * Looks for entries of a traffic configuration that can never match and for limits that contradict each other. The
 * product accepts all of these, and callers find out at runtime, so they are warnings.
 */
import type { EngineProperties, Route, Service, TrafficConfig } from '../forwarding/types.ts'
import { normalizeHost } from '../forwarding/route-table.ts'
import type { ModelId, ServiceId } from '../ids/index.ts'
import type { DeploymentLimits, Finding } from './types.ts'

/** Largest part of a VM's memory that one body may take; the process itself and other requests need the rest. */
const MAX_BODY_SHARE = 0.25
/** A cold backend server that gets fewer requests a second than this is not warmed up in its cold time. */
const MIN_COLD_RATE = 1

type Report = (path: string, message: string, hint: string, value?: unknown) => void

export function checkTrafficConfig (config: TrafficConfig, limits: DeploymentLimits = {}): Finding[] {
  const findings: Finding[] = []
  const report: Report = (path, message, hint, value) => findings.push({ severity: 'warning', path, message, hint, ...value !== undefined && { value } })
  checkReferences(config, report)
  checkHiddenRoutes(config, report)
  checkTeams(config, report)
  for (const [index, route] of config.routes.entries()) checkRouteLimits(`routes.${index}`, route, limits, report)
  for (const [index, service] of config.services.entries()) checkColdRate(`services.${index}`, service, report)
  checkBodyLimit(config, limits, report)
  return findings
}

function checkReferences ({ routes, services }: TrafficConfig, report: Report): void {
  const known = new Map(services.map(service => [service.id, service]))
  const used = new Set<ServiceId>()
  const usedModels = new Map<ServiceId, Set<ModelId>>()
  for (const [index, { name, targets, models }] of routes.entries()) {
    const path = `routes.${index}`
    if (!targets.some(({ weight }) => weight > 0)) report(path, `route ${name} has no service with a weight`, 'name a service, or remove the route')
    for (const { service, weight } of targets) {
      used.add(service)
      if (!known.has(service)) report(path, `route ${name} names service ${service}, which does not exist`, 'add the service or correct the name', service)
      if (weight === 0) report(path, `service ${service} has the weight 0 and gets no requests of route ${name}`, 'raise the weight or remove the entry', weight)
      usedModels.set(service, new Set([...usedModels.get(service) ?? [], ...models]))
      checkModelCosts(path, models, known.get(service)?.engine, report)
    }
  }
  for (const [index, { id, engine }] of services.entries()) {
    const path = `services.${index}`
    if (!used.has(id)) report(path, `no route leads to service ${id}`, 'add a route or remove the service')
    const namedModels = usedModels.get(id)
    // A service whose routes leave the model to the caller may run any model.
    if (!namedModels || namedModels.size === 0) continue
    for (const model of engine?.modelCosts.keys() ?? []) {
      if (!namedModels.has(model)) report(path, `no route names model ${model} of service ${id}`, 'add the model to a route, or remove it', model)
    }
  }
}

function checkModelCosts (path: string, models: readonly ModelId[], engine: EngineProperties | undefined, report: Report): void {
  if (!engine || engine.modelCosts.size === 0) return
  const missing = models.filter(model => !engine.modelCosts.has(model))
  for (const model of missing) report(path, `the service has no model ${model}`, `use one of ${[...engine.modelCosts.keys()].join(', ')}`, model)
}

/** Of two routes with the same host and prefix, the first one matches. */
function checkHiddenRoutes ({ routes }: TrafficConfig, report: Report): void {
  const first = new Map<string, string>()
  for (const [index, { name, host, pathPrefix }] of routes.entries()) {
    const key = `${normalizeHost(host)}${pathPrefix}`
    const other = first.get(key)
    if (other === undefined) first.set(key, name)
    else report(`routes.${index}`, `route ${name} is hidden by route ${other} of the same host and prefix`, 'change the prefix or remove one of them', key)
  }
}

function checkTeams ({ routes, teams }: TrafficConfig, report: Report): void {
  const holders = new Map<string, string>()
  for (const [index, { id, keys }] of teams.entries()) {
    if (keys.length === 0) report(`teams.${index}`, `team ${id} has no keys and cannot send requests`, 'add a key or remove the team')
    for (const key of keys) {
      const holder = holders.get(key)
      if (holder !== undefined) report(`teams.${index}`, `teams ${holder} and ${id} hold the same key; the last one is charged`, 'give each team keys of its own', maskKey(key))
      holders.set(key, id)
    }
  }
  if (teams.length === 0 && routes.some(({ allowsAnonymous }) => !allowsAnonymous)) report('teams', 'without teams, no request needs a key', 'add the teams, or allow anonymous requests explicitly')
}

function checkRouteLimits (path: string, route: Route, { retryShare, retrySlack = 0 }: DeploymentLimits, report: Report): void {
  const { name, kind, timeoutMs, targetLatencyMs, maxEventGapMs, maxAttempts } = route
  if (targetLatencyMs > timeoutMs) report(path, `the latency target of route ${name} lies above its timeout of ${timeoutMs} ms`, 'lower the target or raise the timeout', targetLatencyMs)
  if (Number.isFinite(maxEventGapMs) && maxEventGapMs > timeoutMs) report(path, `the gap between events of route ${name} may be longer than its timeout of ${timeoutMs} ms`, 'lower the gap', maxEventGapMs)
  if (kind === 'non_idempotent' && maxAttempts > 1) report(path, `route ${name} must not repeat a request that may have run; more than one attempt is of use only where backend servers refuse`, 'allow one attempt', maxAttempts)
  if (maxAttempts > 1 && retryShare === 0 && retrySlack < 1) report(path, `the retry allowance never permits the further attempts of route ${name}`, 'raise the allowance or allow one attempt', maxAttempts)
}

function checkColdRate (path: string, { id, coldRate, engine }: Service, report: Report): void {
  if (coldRate > 0 && coldRate < MIN_COLD_RATE) report(path, `a cold backend server of service ${id} gets less than one request a second`, 'raise the rate; 0 means no limit', coldRate)
  if (coldRate === 0 && engine) report(path, `cold engines of service ${id} get full load, because a rate of 0 means no limit`, 'set the rate that a cold engine bears', coldRate)
}

function checkBodyLimit ({ limits: { maxBodyBytes } }: TrafficConfig, { memoryBytes }: DeploymentLimits, report: Report): void {
  if (memoryBytes === undefined || maxBodyBytes <= memoryBytes * MAX_BODY_SHARE) return
  report('limits.maxBodyBytes', `one body may take more than a quarter of the memory of the smallest VM, ${memoryBytes} bytes`, `lower the limit to ${Math.floor(memoryBytes * MAX_BODY_SHARE)}`, maxBodyBytes)
}

/** Keys are secrets; a few characters are enough to find one. */
export function maskKey (key: string): string {
  return `${key.slice(0, 4)}…`
}
