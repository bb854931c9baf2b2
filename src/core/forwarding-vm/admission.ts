/**
 * Decides whether a caller's request may be forwarded: this VM must accept requests, know the configuration and be able to
 * prove the caller's key, and the request must be within the limits and belong to a route and a service.
 */
import { GatewayError, type ErrorName } from '../errors/index.ts'
import type { ConfigLease } from '../forwarding/config-lease.ts'
import { CONFIRMATION_WAIT_MS, DEFAULT_TIMEOUT_MS, RETRY_AFTER_S } from '../forwarding/constants.ts'
import type { ForwardedRequest } from '../forwarding/forward.ts'
import { chooseService, type RouteTable } from '../forwarding/route-table.ts'
import type { ReceivedRequest } from '../forwarding/server.ts'
import type { CallerRequest } from '../forwarding/types.ts'
import type { ServiceId } from '../ids/index.ts'
import type { DecisionLog } from '../logging/decision-log.ts'
import type { Metrics } from '../metrics/index.ts'
import { hashFraction } from '../placement/rendezvous.ts'
import type { Startup } from './startup.ts'

export interface AdmissionOptions {
  table: () => RouteTable | undefined
  /** Whether a request that was received at this monotonic time came too late into a planned stop. */
  isTooLate: (receivedMs: number) => boolean
  /** Whether everything that requests need has been loaded. */
  isLoaded: () => boolean
  startup: Pick<Startup, 'waitToServe' | 'retryAfterMs' | 'areLimitsUsable'>
  configLease: ConfigLease
  /** Whether this VM is cut off from a service that others reach. Default: never. */
  isCutOff?: (service: ServiceId) => boolean
  forward(forwarded: ForwardedRequest): Promise<void>
  metrics: Metrics
  log: DecisionLog
}

export function createAdmission ({ table, isTooLate, isLoaded, startup, configLease, isCutOff = () => false, forward, metrics, log }: AdmissionOptions) {
  /** Without teams, no request needs a key. */
  function needsKey (allowsAnonymous: boolean): boolean {
    return table()!.hasTeams && !allowsAnonymous
  }

  /** The route's limit is not known before the configuration is loaded. */
  function timeLimitMs ({ host, target, timeoutMs = DEFAULT_TIMEOUT_MS }: CallerRequest): number {
    return Math.min(timeoutMs, table()?.match(host, target)?.timeoutMs ?? Infinity)
  }

  /** Whether this VM has loaded what it needs, and may use its share of the limits of the request's service. */
  function mayServe (request: CallerRequest): boolean {
    if (!isLoaded()) return false
    if (startup.areLimitsUsable()) return true
    const route = table()!.match(request.host, request.target)
    const service = route && chooseService(route, hashFraction(request.session ?? request.id ?? ''))
    return service === undefined || (table()!.service(service)?.coldRate ?? 0) === 0
  }

  async function admit ({ request, body, caller, receivedMs, limitError }: ReceivedRequest): Promise<void> {
    const refuse = (error: ErrorName, retryAfterMs = RETRY_AFTER_S * 1000) => {
      metrics.count('refusals', error)
      log.request('refused', { id: request.id, error, configVersion: table()?.version, proofAgeMs: Math.round(configLease.ageMs()) })
      caller.fail(new GatewayError(error, { retryAfterMs }))
    }
    if (isTooLate(receivedMs)) return refuse('vm_leaving')
    const isOpen = await startup.waitToServe({
      isOpen: () => mayServe(request), receivedMs, timeLimitMs: () => timeLimitMs(request), bytes: body?.bytes ?? 0, onDisconnect: caller.onDisconnect
    })
    if (!table() || !isOpen) return refuse('vm_not_ready', startup.retryAfterMs())
    // A VM that knows less would judge by what is no longer valid.
    if (request.origin && request.origin.configVersion > table()!.version) return refuse('vm_outdated')
    const exceededLimit = limitError()
    if (exceededLimit) return refuse(exceededLimit)
    const allowsAnonymous = table()!.match(request.host, request.target)?.allowsAnonymous ?? false
    // Requests with an unknown route or key wait as well, because a newer configuration may contain it.
    if (needsKey(allowsAnonymous) && !await configLease.waitUntilValid(CONFIRMATION_WAIT_MS)) return refuse('keys_unproven')
    const current = table()!
    const route = current.match(request.host, request.target)
    if (!route) return refuse('unknown_route')
    if (request.id === undefined) return refuse('bad_request')
    const team = request.key === undefined ? undefined : current.team(request.key)
    if (!team && needsKey(route.allowsAnonymous)) return refuse('unauthenticated')
    // Backend servers would refuse it one after the other.
    if (request.model !== undefined && route.models.length > 0 && !route.models.includes(request.model)) return refuse('model_not_on_route')
    const service = chooseService(route, hashFraction(request.session ?? request.id))
    if (!service) return refuse('permit_refused')
    if (request.origin && isCutOff(service)) return refuse('vm_cut_off')
    await forward({ request, route, service, team, body, receivedMs, caller })
  }

  /** Checks access again before a request is sent, because the configuration may have changed while it waited. */
  function recheckAccess ({ request, route, team }: ForwardedRequest): ErrorName | undefined {
    if (!needsKey(route.allowsAnonymous)) return undefined
    if (!configLease.isValid()) return 'keys_unproven'
    return request.key !== undefined && table()!.team(request.key)?.id === team?.id ? undefined : 'unauthenticated'
  }

  return { admit, recheckAccess }
}
