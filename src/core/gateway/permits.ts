/** Requests a permit from the data centres in turn, best first, and combines their refusals into one error. */
import type {
  PassedOver, Permit, PermitAnswer, PermitClient, PermitOutcome, PermitRefusal, PermitRefusalReason, PermitRequest
} from '../admission/types.ts'
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import { EngineFailure } from '../engine/index.ts'
import { AdmissionError, GatewayError, type ErrorName } from '../errors/index.ts'
import type { Explain } from '../explain/types.ts'
import type { DataCentreId, ServiceId, VersionId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Quarantine } from '../quarantine/types.ts'
import type { Call, ChooseDataCentres } from './types.ts'

export interface PermitDependencies {
  permits: PermitClient
  view: ConfigView
  chooseDataCentres: ChooseDataCentres
  quarantine: Quarantine
  explain: Explain
  clock: Clock
  metrics: Metrics
}

/** Parameters of a permit request that depend on the attempt. Exactly one of `version` and `service` is set. */
export interface PermitParams {
  version?: VersionId
  service?: ServiceId
  prefixHashes: string[]
  estimatedTokens: number
  isRetry: boolean
}

/** Result of `acquirePermit` if the version was withdrawn after it was chosen. Another version has to be chosen. */
export const VERSION_WITHDRAWN = Symbol('version withdrawn')

/** Error reported to the caller for each refusal reason. If several occurred, the first in this list is used. */
const ERROR_BY_REASON: readonly [PermitRefusalReason, ErrorName][] = [
  ['quarantined', 'request_quarantined'],
  ['team_limit', 'rate_limited'],
  ['deadline', 'overloaded'],
  ['queue_full', 'overloaded'],
  ['no_capacity', 'overloaded'],
  ['retry_budget', 'overloaded'],
  ['settling', 'no_leader'],
  ['not_leader', 'no_leader'],
  ['no_backend_server', 'permit_refused'],
  ['out_of_service', 'permit_refused'],
  ['withdrawn', 'no_permitted_version']
]

/** Reasons that apply in every data centre, so that no other one is tried. */
const FINAL_REASONS: ReadonlySet<PermitRefusalReason> = new Set(['quarantined', 'team_limit'])

/**
 * Returns a permit, which must be released exactly once, or VERSION_WITHDRAWN. Throws GatewayError with the run state
 * `not_run`.
 */
export async function acquirePermit (deps: PermitDependencies, call: Call, params: PermitParams): Promise<Permit | typeof VERSION_WITHDRAWN> {
  const candidates = deps.chooseDataCentres({ team: call.team, version: params.version, service: params.service })
  const refusals: PermitRefusal[] = []
  let failure: unknown
  for (const [index, { dataCentre, reason }] of candidates.entries()) {
    const waitMs = Math.floor((call.deadline - deps.clock.now()) / (candidates.length - index))
    if (waitMs <= 0) break
    deps.explain.add(call.request, 'data_centre', `${dataCentre}: ${reason}`)
    const answer = await requestPermit(deps, dataCentre, permitRequest(deps, call, params, waitMs)).catch(error => { failure = error })
    if (!answer) continue
    if (answer.granted) return tracePermit(deps, call, answer.permit, answer.passedOver)
    const { refusal } = answer
    refusals.push(refusal)
    traceRefusal(deps, call, dataCentre, refusal)
    if (refusal.reason === 'withdrawn') return VERSION_WITHDRAWN
    if (FINAL_REASONS.has(refusal.reason)) break
  }
  throw refusalError(deps, call, refusals, failure)
}

/** Whether the permit's data centre and backend server are still in service. Checked immediately before sending. */
export function isInService (view: ConfigView, permit: Permit): boolean {
  const dataCentre = view.get('DataCentre', permit.dataCentre)
  const backendServer = view.get('BackendServer', permit.backendServer)
  return dataCentre?.state === 'in_service' && backendServer?.state === 'in_service'
}

/**
 * Returns the error to throw when a permit was refused. For a retry this is the failure of the previous attempt, which
 * tells the caller more than the refusal, unless the request was quarantined.
 */
export function preferFailure (refusal: unknown, failure: EngineFailure | undefined): unknown {
  const isRefusal = refusal instanceof GatewayError && refusal.kind !== 'request_quarantined'
  return isRefusal && failure ? failure : refusal
}

/** Returns the outcome that is reported to the leader for a failed attempt. */
export function permitOutcomeOf (error: unknown): PermitOutcome {
  if (!(error instanceof EngineFailure)) return 'failed'
  if (error.reason === 'cancelled') return error.sent ? 'cancelled' : 'not_sent'
  return error.connectionLost || !error.sent ? 'crashed' : 'failed'
}

async function requestPermit ({ permits, metrics }: PermitDependencies, dataCentre: DataCentreId, request: PermitRequest): Promise<PermitAnswer> {
  try {
    return await permits.acquire(dataCentre, request)
  } catch (error) {
    metrics.count('permits_refused', error instanceof AdmissionError ? `gateway_${error.kind}` : 'gateway_internal')
    throw error
  }
}

function permitRequest ({ quarantine, view }: PermitDependencies, call: Call, params: PermitParams, waitMs: number): PermitRequest {
  return {
    ...params,
    request: call.request,
    team: call.team,
    priority: call.priority,
    waitMs,
    fingerprint: call.fingerprint,
    exclude: [...call.exclude],
    suspect: quarantine.isSuspect(call.fingerprint),
    configRevision: view.revision()
  }
}

function tracePermit ({ explain }: PermitDependencies, call: Call, permit: Permit, passedOver: PassedOver[]): Permit {
  const passedOverText = passedOver.map(entry => `${entry.backendServer} ${entry.reason}`).join(', ')
  explain.add(call.request, 'permit', `${permit.backendServer} in ${permit.dataCentre}${passedOverText ? `; passed over: ${passedOverText}` : ''}`)
  return permit
}

function traceRefusal ({ explain, metrics }: PermitDependencies, call: Call, dataCentre: DataCentreId, refusal: PermitRefusal): void {
  metrics.count('permits_refused', `gateway_${refusal.reason}`)
  explain.add(call.request, 'refused', `${dataCentre}: ${refusal.reason}`)
}

function refusalError ({ clock }: PermitDependencies, call: Call, refusals: PermitRefusal[], failure: unknown): GatewayError {
  if (clock.now() >= call.deadline) return new GatewayError('deadline_exceeded', { cause: failure })
  for (const [reason, kind] of ERROR_BY_REASON) {
    const matching = refusals.filter(refusal => refusal.reason === reason)
    if (matching.length === 0) continue
    const retryAfterMs = Math.min(...matching.map(refusal => refusal.retryAfterMs))
    return new GatewayError(kind, { retryAfterMs, cause: failure })
  }
  return new GatewayError(failure ? 'no_leader' : 'permit_refused', { cause: failure })
}
