/**
 * Runs one chat request. For each tier of the model cascade it acquires a permit, sends the request, and on failure
 * tries another backend server. If no token was received before the failure, the retry starts over; otherwise it
 * resumes from the received text.
 */
import type { Permit, PermitOutcome } from '../admission/types.ts'
import { EngineFailure, prefixHashes, sharedMessageHashes } from '../engine/index.ts'
import type { CompletionEvent, CompletionRequest, CompletionUsage, EngineClient } from '../engine/types.ts'
import { GatewayError } from '../errors/index.ts'
import type { VersionChoice, VersionRouter, VersionOutcome } from '../routing/types.ts'
import type { AnswerEnd, AnswerPart } from './answer.ts'
import { MAX_ATTEMPTS, MAX_CHOICES, RESUME_WAIT_MS } from './constants.ts'
import { chatBillingLine } from './bill.ts'
import { reserveForVersion, type BudgetDependencies } from './budget.ts'
import { acquirePermit, isInService, permitOutcomeOf, VERSION_WITHDRAWN, preferFailure, type PermitDependencies } from './permits.ts'
import type { ChatCall, Limits } from './types.ts'

export interface RunDependencies extends PermitDependencies, BudgetDependencies {
  routing: VersionRouter
  engine: EngineClient
  limits: Limits
}

type FinishedEvent = Extract<CompletionEvent, { type: 'finished' }>

/** Run of one tier of the cascade: the chosen version and the answer that it produces, across all attempts. */
export interface TierRun {
  choice: VersionChoice
  parts: AnswerPart[]
  tokens: number
  characters: number
  /** Whether parts are buffered instead of delivered, because the answer may still be escalated. */
  isBuffered: boolean
  finished?: FinishedEvent
  firstTokenMs?: number
}

/** Statuses that reject the request itself. They are not retried, since another engine would reject it too. */
const INVALID_REQUEST_STATUSES: ReadonlySet<number> = new Set([400, 413, 422])

/** Resolves with the end of the answer when all its parts are appended. Throws GatewayError or EngineFailure. */
export async function runAnswer (deps: RunDependencies, call: ChatCall): Promise<AnswerEnd> {
  let tier = createTierRun(call, call.choice!)
  await runTier(deps, call, tier)
  for (;;) {
    const next = await escalate(deps, call, tier)
    if (!next) break
    tier = next
  }
  await flush(call, tier)
  return { reason: tier.finished!.reason, usage: tierUsage(tier) }
}

function createTierRun (call: ChatCall, choice: VersionChoice): TierRun {
  const { resume } = call
  const tier: TierRun = { choice, parts: [], tokens: 0, characters: 0, isBuffered: choice.canEscalate && !resume }
  for (const part of resume?.parts ?? []) recordPart(tier, part)
  return tier
}

/**
 * Runs a more expensive tier if the finished answer is not good enough. If that tier has no capacity or fails before it
 * delivers a part, the cheaper answer is kept.
 */
async function escalate (deps: RunDependencies, call: ChatCall, tier: TierRun): Promise<TierRun | undefined> {
  const { routing, metrics, explain, clock } = deps
  reportOutcome(deps, call, tier, false)
  call.billingLines.push(tierBillingLine(deps, tier))
  call.unbilledVersion = undefined
  if (!tier.isBuffered) return undefined
  const remainingMs = call.deadline - clock.now()
  if (!routing.shouldEscalate(call.choiceRequest, tier.choice, tier.finished!.confidence, remainingMs)) return undefined
  try {
    call.choiceRequest.tried.push(tier.choice.version)
    const next = createTierRun(call, await routing.choose(call.choiceRequest))
    await reserveForVersion(deps, call, next.choice.version)
    call.choice = next.choice
    metrics.count('escalations', tier.choice.model)
    explain.add(call.request, 'escalate', `${tier.choice.version} to ${next.choice.version}: ${next.choice.reason}`)
    call.exclude = []
    call.attempts = 0
    await runTier(deps, call, next)
    return next
  } catch (error) {
    // Once parts of the next tier were delivered, the cheaper answer cannot replace them.
    if (isCancelled(error) || call.answer.parts().length > 0) throw error
    call.choice = tier.choice
    call.unbilledVersion = undefined
    metrics.count('escalations', 'failed')
    explain.add(call.request, 'escalate', `failed, the answer of ${tier.choice.version} is kept`)
    return undefined
  }
}

async function runTier (deps: RunDependencies, call: ChatCall, tier: TierRun): Promise<void> {
  let failure: EngineFailure | undefined
  for (;;) {
    const permit = await choosePermit(deps, call, tier).catch(error => { throw preferFailure(error, failure) })
    try {
      await attempt(deps, call, tier, permit)
      return
    } catch (error) {
      if (isVersionFault(error)) reportOutcome(deps, call, tier, true)
      if (!mayRetry(deps, call, tier, error)) throw error
      failure = error as EngineFailure
      prepareRetry(deps, call, tier, permit, failure)
    }
  }
}

/** Returns a permit that may be used now. Tries again if the version was withdrawn or the permit is outdated. */
async function choosePermit (deps: RunDependencies, call: ChatCall, tier: TierRun): Promise<Permit> {
  const { routing, permits, metrics, clock } = deps
  for (let choices = 0; choices < MAX_CHOICES; choices++) {
    if (call.abort.signal.aborted) throw new EngineFailure('cancelled', { sent: false })
    if (clock.now() >= call.deadline) throw new GatewayError('deadline_exceeded')
    if (!routing.isStillPermitted(call.contract, tier.choice.version)) {
      metrics.count('retries', 'version_withdrawn')
      await chooseVersionAgain(deps, call, tier)
    }
    const permit = await acquirePermit(deps, call, {
      version: tier.choice.version,
      prefixHashes: prefixHashes(call.body.messages),
      estimatedTokens: call.choiceRequest.promptTokens + call.body.maxTokens,
      isRetry: call.attempts > 0
    })
    if (permit === VERSION_WITHDRAWN) {
      // The leader has applied a withdrawal that this VM may not have received yet. Until it does, the same version may
      // be chosen again, at most MAX_CHOICES times.
      metrics.count('retries', 'version_withdrawn')
      await chooseVersionAgain(deps, call, tier)
      continue
    }
    if (mayDispatch(deps, call, tier, permit)) return permit
    permits.release(permit, { outcome: 'not_sent' })
    metrics.count('retries', 'permit_outdated')
  }
  throw new GatewayError('permit_refused')
}

/** Checks the conditions that may have changed while the permit was being acquired. */
function mayDispatch ({ routing, permits, view }: RunDependencies, call: ChatCall, tier: TierRun, permit: Permit): boolean {
  if (call.abort.signal.aborted || !routing.isStillPermitted(call.contract, tier.choice.version)) return false
  return isInService(view, permit) && permits.mayStart(permit)
}

async function chooseVersionAgain (deps: RunDependencies, call: ChatCall, tier: TierRun): Promise<void> {
  const { routing, explain } = deps
  const choice = await routing.choose(call.choiceRequest)
  explain.add(call.request, 'version', `${choice.version}: ${choice.reason}`)
  if (choice.version === tier.choice.version) return
  await reserveForVersion(deps, call, choice.version)
  if (call.answer.parts().length > 0) {
    throw new GatewayError('answer_truncated', { detail: `Version ${tier.choice.version} was withdrawn during the answer.` })
  }
  call.resume = undefined
  call.choice = choice
  Object.assign(tier, createTierRun(call, choice))
}

async function attempt (deps: RunDependencies, call: ChatCall, tier: TierRun, permit: Permit): Promise<void> {
  const { permits, engine, quarantine, clock, explain } = deps
  const tokensBefore = tier.tokens
  const startedAt = clock.now()
  let firstTokenMs: number | undefined
  let outcome: PermitOutcome = 'failed'
  let instance: string | undefined
  call.attempts++
  explain.add(call.request, tokensBefore > 0 ? 'resume' : 'dispatch', `${permit.backendServer} runs ${tier.choice.version}`)
  try {
    for await (const event of engine.complete(permit.address, completionRequest(call, tier, permit), call.abort.signal)) {
      markSent(call, tier)
      if (event.type === 'started') {
        instance = event.instance
        permits.reportFirstByte(permit, instance)
      } else if (event.type === 'delta') {
        if (firstTokenMs === undefined) quarantine.parts.recordSurvival(sharedMessageHashes(call.body.messages), clock.now())
        firstTokenMs ??= clock.now() - startedAt
        tier.firstTokenMs ??= clock.now() - call.startedAt
        await deliver(deps, call, tier, event)
      } else {
        tier.finished = withTotalUsage(event, tokensBefore)
      }
    }
    outcome = 'completed'
  } catch (error) {
    if (!(error instanceof EngineFailure) || error.sent) markSent(call, tier)
    outcome = permitOutcomeOf(error)
    reportCrash(deps, call, { permit, error, instance, hasToken: firstTokenMs !== undefined })
    throw error
  } finally {
    permits.release(permit, { outcome, instance, firstTokenMs, tokens: tier.tokens - tokensBefore })
  }
}

function markSent (call: ChatCall, tier: TierRun): void {
  call.sent = true
  call.answer.markSent()
  call.unbilledVersion = tier.choice.version
}

interface FailedAttempt { permit: Permit, error: unknown, instance: string | undefined, hasToken: boolean }

/** Reports a lost connection to the quarantine, which decides whether this request causes crashes. */
function reportCrash ({ quarantine, metrics }: RunDependencies, call: ChatCall, { permit, error, instance = 'unknown', hasToken }: FailedAttempt): void {
  if (!(error instanceof EngineFailure) || !error.connectionLost) return
  metrics.count('backend_crashes', permit.backendServer)
  const crash = { backendServer: permit.backendServer, instance: error.instance ?? instance }
  quarantine.reportCrash({ fingerprint: call.fingerprint, ...crash })
  if (!hasToken) quarantine.parts.recordCrash(crash, sharedMessageHashes(call.body.messages))
}

function completionRequest (call: ChatCall, tier: TierRun, permit: Permit): CompletionRequest {
  const { body, choiceRequest } = call
  return {
    request: call.request,
    version: tier.choice.version,
    messages: body.messages,
    maxTokens: body.maxTokens,
    temperature: body.temperature,
    priority: call.priority,
    session: choiceRequest.session,
    resumeFrom: tier.tokens > 0 ? { text: tier.parts.map(part => part.text).join(''), tokens: tier.tokens } : undefined,
    epoch: permit.epoch
  }
}

async function deliver ({ limits, clock, metrics }: RunDependencies, call: ChatCall, tier: TierRun, event: AnswerPart): Promise<void> {
  const part = { text: event.text, tokens: event.tokens }
  recordPart(tier, part)
  if (tier.characters > limits.max_buffered_bytes_per_stream) throw new EngineFailure('answer_too_large')
  if (tier.isBuffered) return
  if (call.answer.parts().length === 0) {
    call.answer.setMeta(tier.choice)
    metrics.latency('first_token', clock.now() - call.startedAt)
  }
  await call.answer.append(part)
}

function recordPart (tier: TierRun, part: AnswerPart): void {
  tier.parts.push(part)
  tier.tokens += part.tokens
  tier.characters += part.text.length
}

/** Sets the metadata of the answer and appends the buffered parts. */
async function flush (call: ChatCall, tier: TierRun): Promise<void> {
  call.answer.setMeta(tier.choice)
  if (!tier.isBuffered) return
  tier.isBuffered = false
  for (const part of tier.parts) {
    if (call.abort.signal.aborted) throw new EngineFailure('cancelled')
    await call.answer.append(part)
  }
}

function mayRetry ({ clock }: RunDependencies, call: ChatCall, tier: TierRun, error: unknown): boolean {
  if (!(error instanceof EngineFailure) || error.reason === 'cancelled' || error.reason === 'answer_too_large') return false
  if (error.status !== undefined && INVALID_REQUEST_STATUSES.has(error.status)) return false
  if (call.attempts >= MAX_ATTEMPTS || tier.tokens >= call.body.maxTokens) return false
  // The deadline applies to the start, so an answer that has begun may be resumed after it.
  return tier.tokens > 0 || clock.now() < call.deadline
}

function prepareRetry (deps: RunDependencies, call: ChatCall, tier: TierRun, permit: Permit, failure: EngineFailure): void {
  const { metrics, explain, quarantine, clock } = deps
  call.exclude.push(permit.backendServer)
  const isResume = tier.tokens > 0
  if (isResume) call.deadline = Math.max(call.deadline, clock.now() + RESUME_WAIT_MS)
  metrics.count(isResume ? 'resumes' : 'retries', failure.reason)
  explain.add(call.request, 'retry', `${permit.backendServer}: ${failure.message}`)
  const isQuarantined = quarantine.isQuarantined(call.fingerprint) || quarantine.parts.remainingMs(sharedMessageHashes(call.body.messages)) > 0
  if (isQuarantined) throw new GatewayError('request_quarantined', { cause: failure })
}

/**
 * Error statuses and invalid answers are attributed to the version, crashes and refused connections to the backend
 * server.
 */
function isVersionFault (error: unknown): boolean {
  return error instanceof EngineFailure && ['error_status', 'truncated', 'malformed'].includes(error.reason)
}

export function isCancelled (error: unknown): boolean {
  return error instanceof EngineFailure && error.reason === 'cancelled'
}

/** Adds the output tokens of earlier attempts, since the engine reports only the tokens of its own attempt. */
function withTotalUsage (event: FinishedEvent, tokensBefore: number): FinishedEvent {
  const usage: CompletionUsage = { ...event.usage, outputTokens: event.usage.outputTokens + tokensBefore }
  return { ...event, usage }
}

function tierUsage (tier: TierRun): CompletionUsage {
  return tier.finished!.usage
}

function tierBillingLine ({ view }: RunDependencies, tier: TierRun) {
  return chatBillingLine(view, tier.choice.version, tierUsage(tier))
}

function reportOutcome (deps: RunDependencies, call: ChatCall, tier: TierRun, failed: boolean): void {
  const outcome: VersionOutcome = {
    team: call.team,
    requestClass: call.choiceRequest.requestClass,
    version: tier.choice.version,
    failed,
    firstTokenMs: tier.firstTokenMs,
    costMicros: failed ? 0 : tierBillingLine(deps, tier).costMicros,
    confidence: tier.finished?.confidence,
    escalated: call.choiceRequest.tried.length > 0
  }
  if (!failed) call.outcome = outcome
  deps.routing.observe(outcome)
}
