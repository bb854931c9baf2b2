/** Asks the data centres for a permit, best first, and turns their refusals into one error for the caller. */
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

export interface PermitWork {
  version?: VersionId
  service?: ServiceId
  prefixHashes: string[]
  estimatedTokens: number
  isRetry: boolean
}

/** The version was withdrawn between its choice and the permit; the caller chooses again. */
export const VERSION_WITHDRAWN = Symbol('version withdrawn')

/** What the caller is told for each reason; the first one that was met counts. */
const ERROR_OF_REASON: readonly [PermitRefusalReason, ErrorName][] = [
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

/** Refusals that hold in every data centre. */
const FINAL_REASONS: ReadonlySet<PermitRefusalReason> = new Set(['quarantined', 'team_limit'])

/** Throws GatewayError (not run), or returns a permit that must be released exactly once. */
export async function acquirePermit (deps: PermitDependencies, call: Call, work: PermitWork): Promise<Permit | typeof VERSION_WITHDRAWN> {
  const candidates = deps.chooseDataCentres({ team: call.team, version: work.version, service: work.service })
  const refusals: PermitRefusal[] = []
  let failure: unknown
  for (const [index, { dataCentre, reason: why }] of candidates.entries()) {
    const waitMs = Math.floor((call.deadline - deps.clock.now()) / (candidates.length - index))
    if (waitMs <= 0) break
    deps.explain.add(call.request, 'data_centre', `${dataCentre}: ${why}`)
    const answer = await ask(deps, dataCentre, permitRequest(deps, call, work, waitMs)).catch(error => { failure = error })
    if (!answer) continue
    if (answer.granted) return explainPermit(deps, call, answer.permit, answer.passedOver)
    const { refusal } = answer
    refusals.push(refusal)
    explainRefusal(deps, call, dataCentre, refusal)
    if (refusal.reason === 'withdrawn') return VERSION_WITHDRAWN
    if (FINAL_REASONS.has(refusal.reason)) break
  }
  throw refusalError(deps, call, refusals, failure)
}

/** Whether the data centre of a permit still takes new work; checked immediately before sending. */
export function isInService (view: ConfigView, permit: Permit): boolean {
  const dataCentre = view.get('DataCentre', permit.dataCentre)
  const backendServer = view.get('BackendServer', permit.backendServer)
  return dataCentre?.state === 'in_service' && backendServer?.state === 'in_service'
}

/** When a retry gets no permit, the failure that made it necessary says more than the refusal. */
export function withoutPermit (refusal: unknown, failure: EngineFailure | undefined): unknown {
  const isRefusal = refusal instanceof GatewayError && refusal.kind !== 'request_quarantined'
  return isRefusal && failure ? failure : refusal
}

/** What the leader is told about an attempt that failed. */
export function outcomeOf (error: unknown): PermitOutcome {
  if (!(error instanceof EngineFailure)) return 'failed'
  if (error.reason === 'cancelled') return error.sent ? 'cancelled' : 'not_sent'
  return error.connectionLost || !error.sent ? 'crashed' : 'failed'
}

async function ask ({ permits, metrics }: PermitDependencies, dataCentre: DataCentreId, request: PermitRequest): Promise<PermitAnswer> {
  try {
    return await permits.acquire(dataCentre, request)
  } catch (error) {
    metrics.count('permits_refused', error instanceof AdmissionError ? `gateway_${error.kind}` : 'gateway_internal')
    throw error
  }
}

function permitRequest ({ quarantine, view }: PermitDependencies, call: Call, work: PermitWork, waitMs: number): PermitRequest {
  return {
    ...work,
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

function explainPermit ({ explain }: PermitDependencies, call: Call, permit: Permit, passedOver: PassedOver[]): Permit {
  const skipped = passedOver.map(entry => `${entry.backendServer} ${entry.reason}`).join(', ')
  explain.add(call.request, 'permit', `${permit.backendServer} in ${permit.dataCentre}${skipped ? `; passed over: ${skipped}` : ''}`)
  return permit
}

function explainRefusal ({ explain, metrics }: PermitDependencies, call: Call, dataCentre: DataCentreId, refusal: PermitRefusal): void {
  metrics.count('permits_refused', `gateway_${refusal.reason}`)
  explain.add(call.request, 'refused', `${dataCentre}: ${refusal.reason}`)
}

function refusalError ({ clock }: PermitDependencies, call: Call, refusals: PermitRefusal[], failure: unknown): GatewayError {
  if (clock.now() >= call.deadline) return new GatewayError('deadline_exceeded', { cause: failure })
  for (const [reason, kind] of ERROR_OF_REASON) {
    const matching = refusals.filter(refusal => refusal.reason === reason)
    if (matching.length === 0) continue
    const retryAfterMs = Math.min(...matching.map(refusal => refusal.retryAfterMs))
    return new GatewayError(kind, { retryAfterMs, cause: failure })
  }
  return new GatewayError(failure ? 'no_leader' : 'permit_refused', { cause: failure })
}
