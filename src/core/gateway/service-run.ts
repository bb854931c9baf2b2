/**
 * Runs one service call: an HTTP request that is passed on to an application runner. Idempotent calls are retried. A
 * non-idempotent call is claimed immediately before it is sent, and it is retried only if no byte of it was sent.
 */
import type { Permit, PermitClient, PermitOutcome } from '../admission/types.ts'
import type { Claims, HeldClaim } from '../claims/types.ts'
import { EngineFailure } from '../engine/index.ts'
import type { ServiceResponse, ServiceClient } from '../engine/types.ts'
import { ClaimError, GatewayError } from '../errors/index.ts'
import { recordBill, type BillDependencies } from './bill.ts'
import { reserve, settleBudget, type BudgetDependencies } from './budget.ts'
import { traceCall, refuseQuarantined, requireBilling } from './chat.ts'
import { compose } from './compose.ts'
import { MAX_ATTEMPTS, MAX_CHOICES } from './constants.ts'
import { acquirePermit, isInService, permitOutcomeOf, VERSION_WITHDRAWN, preferFailure, type PermitDependencies } from './permits.ts'
import type { Filter, ServiceRequest } from './types.ts'

export interface ServiceDependencies extends PermitDependencies, BillDependencies, BudgetDependencies {
  permits: PermitClient
  claims: Claims
  services: ServiceClient
}

export type ServiceResult = Omit<ServiceResponse, 'instance'> & { instance?: string }

interface ServiceContext extends ServiceRequest {
  result?: ServiceResult
}

/** Creates a function that runs a call. Throws LacewingError. */
export function createServiceRun (deps: ServiceDependencies): (call: ServiceRequest) => Promise<ServiceResult> {
  const chain = compose<ServiceContext>([
    traceCall(deps), refuseQuarantined(deps), replayClaimed(deps), withBudget(deps), withBilling(deps), send(deps)
  ])
  return async call => {
    const context: ServiceContext = call
    await chain(context)
    return context.result!
  }
}

/** Responds to a resend with the result stored in its claim, without acquiring a permit. */
function replayClaimed (deps: ServiceDependencies): Filter<ServiceContext> {
  return async (call, next) => {
    if (call.route.idempotent) return next()
    const existing = await deps.claims.find(call.team, call.idempotencyKey!)
    if (!existing || existing.state === 'not_run') return next()
    const claim = await claimCall(deps, call)
    if (!claim) return
    // The claim changed to `not_run` in the meantime. Release it and continue as for a new request.
    await claim.markNotRun()
    await next()
  }
}

function withBudget ({ budget }: ServiceDependencies): Filter<ServiceContext> {
  return async (call, next) => {
    await reserve(budget, call, call.route.priceMicros)
    try {
      await next()
    } finally {
      settleBudget(call)
    }
  }
}

/**
 * Completes the call only after its billing record is durable. Calls without a price also run while billing is
 * unavailable, without a record.
 */
function withBilling (deps: ServiceDependencies): Filter<ServiceContext> {
  return async (call, next) => {
    const isFree = call.route.priceMicros === 0
    if (!isFree) requireBilling(deps.billing)
    await next()
    if (isFree && !deps.billing.canAccept()) return
    await billCall(deps, call)
  }
}

async function billCall (deps: ServiceDependencies, call: ServiceContext): Promise<void> {
  const { service, priceMicros } = call.route
  call.billingLines = [{ service, inputTokens: 0, outputTokens: 0, costMicros: priceMicros }]
  await recordBill(deps, call, 'completed')
}

function send (deps: ServiceDependencies): Filter<ServiceContext> {
  return async call => {
    if (call.route.idempotent) call.result = await sendIdempotent(deps, call)
    else await sendOnce(deps, call)
  }
}

async function sendIdempotent (deps: ServiceDependencies, call: ServiceContext): Promise<ServiceResult> {
  let failure: EngineFailure | undefined
  for (;;) {
    const permit = await choosePermit(deps, call).catch(error => { throw preferFailure(error, failure) })
    try {
      return await attempt(deps, call, permit, call.abort.signal)
    } catch (error) {
      if (!mayRetry(deps, call, error)) throw error
      failure = error as EngineFailure
      prepareRetry(deps, call, permit, failure)
    }
  }
}

/**
 * Makes attempts until one succeeds or may have run, and sets `call.result`. Throws if another request holds the claim
 * or the outcome is unknown.
 */
async function sendOnce (deps: ServiceDependencies, call: ServiceContext): Promise<void> {
  let claim: HeldClaim | undefined
  let failure: EngineFailure | undefined
  try {
    for (;;) {
      const permit = await choosePermit(deps, call).catch(error => { throw preferFailure(error, failure) })
      claim ??= await claimOrReleasePermit(deps, call, permit)
      if (!claim) return
      if (!mayStart(deps, call, permit) || !claim.maySend()) {
        deps.permits.release(permit, { outcome: 'not_sent' })
        if (!claim.maySend()) throw new GatewayError('deadline_exceeded')
        deps.metrics.count('retries', 'permit_outdated')
        continue
      }
      const result = await attemptOnce(deps, call, permit)
      if (result instanceof EngineFailure) {
        failure = result
        continue
      }
      const held = claim
      claim = undefined
      await held.complete({ status: result.status, contentType: result.contentType, body: result.body })
      call.result = result
      return
    }
  } catch (error) {
    if (claim) await (call.sent ? claim.markUnknown() : claim.markNotRun())
    if (call.sent && error instanceof EngineFailure) throw new ClaimError('outcome_unknown', { cause: error })
    throw error
  }
}

/**
 * Makes one attempt. Returns the failure instead of throwing it if no byte was sent and another backend server may be
 * tried.
 */
async function attemptOnce (deps: ServiceDependencies, call: ServiceContext, permit: Permit): Promise<ServiceResult | EngineFailure> {
  try {
    // The call is not aborted when the caller disconnects, since the caller may resend it to learn the outcome.
    return await attempt(deps, call, permit, new AbortController().signal)
  } catch (error) {
    if (call.sent || !(error instanceof EngineFailure) || !mayRetry(deps, call, error)) throw error
    prepareRetry(deps, call, permit, error)
    return error
  }
}

/** Claims the call, and releases the permit if no claim is acquired. */
async function claimOrReleasePermit (deps: ServiceDependencies, call: ServiceContext, permit: Permit): Promise<HeldClaim | undefined> {
  let claim: HeldClaim | undefined
  try {
    claim = await claimCall(deps, call)
    return claim
  } finally {
    if (!claim) deps.permits.release(permit, { outcome: 'not_sent' })
  }
}

/** Returns a new claim, or sets `call.result` from the claim of an earlier send. Throws ClaimError or GatewayError. */
async function claimCall (deps: ServiceDependencies, call: ServiceContext): Promise<HeldClaim | undefined> {
  const { claims, explain, metrics, clock } = deps
  const startedAt = clock.now()
  const result = await claims.acquire({
    team: call.team,
    idempotencyKey: call.idempotencyKey!,
    request: call.request,
    fingerprint: call.fingerprint,
    deadline: call.deadline
  })
  metrics.latency('claim', clock.now() - startedAt)
  explain.add(call.request, 'claim', result.state)
  if (result.state === 'acquired') return result.claim
  if (result.state === 'in_progress') throw new GatewayError('in_progress', { detail: `VM ${result.owner} still runs a request with this Idempotency-Key.` })
  call.result = result.answer
  // The VM that ran the call may have failed before it recorded the bill. Records with the same id are counted once.
  await billCall(deps, call)
  call.billingLines = []
  return undefined
}

async function choosePermit (deps: ServiceDependencies, call: ServiceContext): Promise<Permit> {
  for (let choices = 0; choices < MAX_CHOICES; choices++) {
    if (call.abort.signal.aborted) throw new EngineFailure('cancelled', { sent: false })
    if (deps.clock.now() >= call.deadline) throw new GatewayError('deadline_exceeded')
    const permit = await acquirePermit(deps, call, {
      service: call.route.service, prefixHashes: [], estimatedTokens: 0, isRetry: call.attempts > 0
    })
    if (permit === VERSION_WITHDRAWN) continue
    if (mayStart(deps, call, permit)) return permit
    deps.permits.release(permit, { outcome: 'not_sent' })
    deps.metrics.count('retries', 'permit_outdated')
  }
  throw new GatewayError('permit_refused')
}

function mayStart ({ permits, view }: ServiceDependencies, call: ServiceContext, permit: Permit): boolean {
  return !call.abort.signal.aborted && isInService(view, permit) && permits.mayStart(permit)
}

async function attempt (deps: ServiceDependencies, call: ServiceContext, permit: Permit, signal: AbortSignal): Promise<ServiceResult> {
  const { permits, services, explain, clock } = deps
  const startedAt = clock.now()
  let outcome: PermitOutcome = 'failed'
  let instance: string | undefined
  call.attempts++
  explain.add(call.request, 'dispatch', `${permit.backendServer} runs ${call.method} ${call.path}`)
  try {
    const response = await services.call(permit.address, {
      request: call.request,
      method: call.method,
      path: call.path,
      contentType: call.contentType,
      body: call.body,
      idempotencyKey: call.idempotencyKey,
      epoch: permit.epoch
    }, signal)
    call.sent = true
    instance = response.instance
    permits.reportFirstByte(permit, instance)
    outcome = 'completed'
    return response
  } catch (error) {
    call.sent ||= !(error instanceof EngineFailure) || error.sent
    outcome = permitOutcomeOf(error)
    reportCrash(deps, call, permit, error)
    throw error
  } finally {
    permits.release(permit, { outcome, instance, firstTokenMs: clock.now() - startedAt })
  }
}

function reportCrash ({ quarantine, metrics }: ServiceDependencies, call: ServiceContext, permit: Permit, error: unknown): void {
  if (!(error instanceof EngineFailure) || !error.connectionLost) return
  metrics.count('backend_crashes', permit.backendServer)
  quarantine.reportCrash({ fingerprint: call.fingerprint, backendServer: permit.backendServer, instance: error.instance ?? 'unknown' })
}

function mayRetry ({ clock }: ServiceDependencies, call: ServiceContext, error: unknown): boolean {
  if (!(error instanceof EngineFailure) || error.reason === 'cancelled' || error.reason === 'answer_too_large') return false
  return call.attempts < MAX_ATTEMPTS && clock.now() < call.deadline
}

function prepareRetry ({ metrics, explain, quarantine }: ServiceDependencies, call: ServiceContext, permit: Permit, failure: EngineFailure): void {
  call.exclude.push(permit.backendServer)
  metrics.count('retries', failure.reason)
  explain.add(call.request, 'retry', `${permit.backendServer}: ${failure.message}`)
  if (quarantine.isQuarantined(call.fingerprint)) throw new GatewayError('request_quarantined', { cause: failure })
}
