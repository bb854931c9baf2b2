/** Filter chain of chat requests, from the admitted request to the billed answer. */
import type { Billing } from '../billing/types.ts'
import { GatewayError } from '../errors/index.ts'
import type { VersionChoice } from '../routing/types.ts'
import { chatLine, recordBill, type BillDependencies } from './bill.ts'
import { reserveBudget, settleBudget } from './budget.ts'
import { compose } from './compose.ts'
import { isCancelled, runAnswer, type RunDependencies } from './run.ts'
import { toLacewingError } from './responses.ts'
import type { Call, ChatCall, FinishedAnswer, Filter } from './types.ts'

export interface ChatDependencies extends RunDependencies, BillDependencies {
  onAnswer?: (answer: FinishedAnswer) => void
}

/** Creates a function that produces `call.answer`; it never rejects. */
export function createChatRun (deps: ChatDependencies): (call: ChatCall) => Promise<void> {
  const chain = compose<ChatCall>([
    explain(deps), refuseQuarantined(deps), chooseVersion(deps), holdBudget(deps), bill(deps), produce(deps)
  ])
  return async call => {
    try {
      await chain(call)
    } catch (error) {
      call.answer.fail(error)
    }
  }
}

/** Opens the trace of a call and notes why it was refused. */
export function explain<Context extends Call> ({ explain, metrics }: Pick<ChatDependencies, 'explain' | 'metrics'>): Filter<Context> {
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

function chooseVersion (deps: ChatDependencies): Filter<ChatCall> {
  const { routing, explain } = deps
  return async (call, next) => {
    const choice = continued(deps, call, await routing.choose(call.choiceRequest))
    call.choice = choice
    explain.add(call.request, 'version', `${choice.version}: ${choice.reason}`)
    await next()
  }
}

/** An answer that another VM began goes on with its version. */
function continued ({ routing, view }: ChatDependencies, call: ChatCall, choice: VersionChoice): VersionChoice {
  if (!call.resume) return choice
  const { version } = call.resume
  const model = view.get('Version', version)?.model
  if (!model || !routing.isStillPermitted(call.contract, version)) {
    throw new GatewayError('answer_truncated', { detail: `Version ${version} was withdrawn during the answer.` })
  }
  return { ...choice, version, model, canEscalate: false, reason: 'continues an answer of a VM that died' }
}

function holdBudget (deps: ChatDependencies): Filter<ChatCall> {
  return async (call, next) => {
    await reserveBudget(deps, call, call.choice!.version)
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

/** Ends the answer only once its bill is safe. */
function bill (deps: ChatDependencies): Filter<ChatCall> {
  return async (call, next) => {
    requireBilling(deps.billing)
    try {
      await next()
    } catch (error) {
      // The record of the whole answer may still have been kept; a second one would differ from it.
      if (!isBillingLost(error)) await billPart(deps, call, isCancelled(error))
      throw error
    }
  }
}

function isBillingLost (error: unknown): boolean {
  return error instanceof GatewayError && error.kind === 'billing_lost'
}

/** Cancelled answers cost the prompt and the delivered tokens, broken ones too if the caller keeps a part of them. */
async function billPart (deps: ChatDependencies, call: ChatCall, cancelled: boolean): Promise<void> {
  const version = call.unbilledVersion
  const outputTokens = call.answer.deliveredTokens()
  // A resend of a keyed request that failed runs again under the same billing id, so only its end is billed.
  const isBilled = cancelled ? call.sent : outputTokens > 0 && call.idempotencyKey === undefined
  if (!isBilled) {
    call.lines = []
    return
  }
  if (version) call.lines.push(chatLine(deps.view, version, { inputTokens: call.choiceRequest.promptTokens, outputTokens }))
  await recordBill(deps, call, cancelled ? 'cancelled' : 'partial').catch(() => {})
}

function produce (deps: ChatDependencies): Filter<ChatCall> {
  return async call => {
    const end = await runAnswer(deps, call)
    await recordBill(deps, call, 'completed')
    call.answer.finish(end)
    tellListener(deps, call)
  }
}

/** The answer is billed and delivered, so a listener that fails must not make it fail. */
function tellListener ({ onAnswer, metrics }: ChatDependencies, call: ChatCall): void {
  try {
    onAnswer?.(finishedAnswer(call))
  } catch {
    metrics.count('refusals', 'answer_listener')
  }
}

function finishedAnswer (call: ChatCall): FinishedAnswer {
  return {
    request: call.request,
    outcome: call.outcome!,
    explores: call.choice!.explores ?? false,
    prompt: call.body.messages.map(message => message.content).join('\n'),
    text: call.answer.parts().map(part => part.text).join('')
  }
}
