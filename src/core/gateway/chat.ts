/** Filter chain of chat requests, from the parsed request to the billed answer. */
import type { Billing } from '../billing/types.ts'
import { sharedMessageHashes } from '../engine/index.ts'
import { GatewayError } from '../errors/index.ts'
import type { VersionChoice } from '../routing/types.ts'
import { chatBillingLine, recordBill, type BillDependencies } from './bill.ts'
import { reserveForVersion, settleBudget } from './budget.ts'
import { compose } from './compose.ts'
import { isCancelled, runAnswer, type RunDependencies } from './run.ts'
import { toLacewingError } from './responses.ts'
import type { Call, ChatCall, FinishedAnswer, Filter } from './types.ts'

export interface ChatDependencies extends RunDependencies, BillDependencies {
  onAnswer?: (answer: FinishedAnswer) => void
}

/** Creates a function that produces `call.answer`. The function never rejects: errors fail the answer. */
export function createChatRun (deps: ChatDependencies): (call: ChatCall) => Promise<void> {
  const chain = compose<ChatCall>([
    traceCall(deps), refuseQuarantined(deps), refuseQuarantinedMessages(deps), chooseVersion(deps), withBudget(deps), withBilling(deps), produceAnswer(deps)
  ])
  return async call => {
    try {
      await chain(call)
    } catch (error) {
      call.answer.fail(error)
    }
  }
}

/** Begins the trace of a call. If the call fails, counts the error and adds it to the trace. */
export function traceCall<Context extends Call> ({ explain, metrics }: Pick<ChatDependencies, 'explain' | 'metrics'>): Filter<Context> {
  return async (call, next) => {
    explain.begin(call.request, call.team)
    try {
      await next()
    } catch (error) {
      const reason = isCancelled(error) ? 'cancelled' : toLacewingError(error).kind
      metrics.count('refusals', reason)
      explain.add(call.request, 'refused', reason)
      throw error
    }
  }
}

export function refuseQuarantined<Context extends Call> ({ quarantine }: Pick<ChatDependencies, 'quarantine'>): Filter<Context> {
  return async (call, next) => {
    if (quarantine.isQuarantined(call.fingerprint)) {
      throw new GatewayError('request_quarantined', { retryAfterMs: quarantine.remainingMs(call.fingerprint) })
    }
    await next()
  }
}

/** Refuses prompts with messages that have crashed engines in other requests. */
function refuseQuarantinedMessages ({ quarantine }: ChatDependencies): Filter<ChatCall> {
  return async (call, next) => {
    const retryAfterMs = quarantine.parts.remainingMs(sharedMessageHashes(call.body.messages))
    if (retryAfterMs > 0) throw new GatewayError('request_quarantined', { retryAfterMs })
    await next()
  }
}

function chooseVersion (deps: ChatDependencies): Filter<ChatCall> {
  const { routing, explain } = deps
  return async (call, next) => {
    const choice = keepResumedVersion(deps, call, await routing.choose(call.choiceRequest))
    call.choice = choice
    explain.add(call.request, 'version', `${choice.version}: ${choice.reason}`)
    await next()
  }
}

/** Keeps the version of an answer that another VM began. Throws `answer_truncated` if it is no longer permitted. */
function keepResumedVersion ({ routing, view }: ChatDependencies, call: ChatCall, choice: VersionChoice): VersionChoice {
  if (!call.resume) return choice
  const { version } = call.resume
  const model = view.get('Version', version)?.model
  if (!model || !routing.isStillPermitted(call.contract, version)) {
    throw new GatewayError('answer_truncated', { detail: `Version ${version} was withdrawn during the answer.` })
  }
  return { ...choice, version, model, canEscalate: false, reason: 'continues an answer that a failed VM began' }
}

function withBudget (deps: ChatDependencies): Filter<ChatCall> {
  return async (call, next) => {
    await reserveForVersion(deps, call, call.choice!.version)
    try {
      await next()
    } finally {
      settleBudget(call)
    }
  }
}

export function requireBilling (billing: Billing): void {
  if (!billing.canAccept()) throw new GatewayError('billing_unavailable')
}

/** Checks that billing is available, and bills the partial answer if the request fails. */
function withBilling (deps: ChatDependencies): Filter<ChatCall> {
  return async (call, next) => {
    requireBilling(deps.billing)
    try {
      await next()
    } catch (error) {
      // The record of the complete answer may have been stored although billing failed. A second record with
      // the same id would differ from it.
      if (!isBillingLost(error)) await billPartialAnswer(deps, call, isCancelled(error))
      throw error
    }
  }
}

function isBillingLost (error: unknown): boolean {
  return error instanceof GatewayError && error.kind === 'billing_lost'
}

/** Bills the prompt and the delivered tokens of a cancelled answer, or of a failed one that was partly delivered. */
async function billPartialAnswer (deps: ChatDependencies, call: ChatCall, cancelled: boolean): Promise<void> {
  const version = call.unbilledVersion
  const outputTokens = call.answer.deliveredTokens()
  // A failed request with an Idempotency-Key runs again under the same billing id when it is resent, so its partial
  // answer is not billed.
  const isBilled = cancelled ? call.sent : outputTokens > 0 && call.idempotencyKey === undefined
  if (!isBilled) {
    call.billingLines = []
    return
  }
  if (version) call.billingLines.push(chatBillingLine(deps.view, version, { inputTokens: call.choiceRequest.promptTokens, outputTokens }))
  await recordBill(deps, call, cancelled ? 'cancelled' : 'partial').catch(() => {})
}

/** Ends the answer only after a witness or the object API holds its billing record. */
function produceAnswer (deps: ChatDependencies): Filter<ChatCall> {
  return async call => {
    const end = await runAnswer(deps, call)
    await recordBill(deps, call, 'completed')
    call.answer.finish(end)
    notifyListener(deps, call)
  }
}

/** The answer has already been billed and finished, so an error of the listener is counted and ignored. */
function notifyListener ({ onAnswer, metrics }: ChatDependencies, call: ChatCall): void {
  try {
    onAnswer?.(toFinishedAnswer(call))
  } catch {
    metrics.count('refusals', 'answer_listener')
  }
}

function toFinishedAnswer (call: ChatCall): FinishedAnswer {
  return {
    request: call.request,
    outcome: call.outcome!,
    explores: call.choice!.explores ?? false,
    prompt: call.body.messages.map(message => message.content).join('\n'),
    text: call.answer.parts().map(part => part.text).join('')
  }
}
