/**
 * Applies the choice of models to a forwarded request: sets the model of its first attempt, takes what an escalation
 * needs, and delivers a low-confidence answer that was kept if the larger model fails.
 */
import type { ChoiceRequest, ModelChoice } from '../cascade/model-choice.ts'
import type { Clock } from '../clock/index.ts'
import type { ServiceId } from '../ids/index.ts'
import type { DecisionLog } from '../logging/decision-log.ts'
import type { Metrics } from '../metrics/index.ts'
import { ESCALATION_SHARE } from './constants.ts'
import type { Exchange } from './exchange.ts'
import type { ForwardedRequest } from './forward.ts'
import { holdAnswer, MAX_HELD_OUTPUT_TOKENS, MAX_HELD_WAIT_MS } from './held-answer.ts'
import type { ReplacementRequest } from './replacement.ts'
import type { RequestProgress } from './request-progress.ts'
import type { ResponseBody } from './response-body.ts'
import type { RetryAllowance } from './retry-allowance.ts'
import type { BackendResponseHead } from './types.ts'

/** A response whose events the caller has not received yet. */
export interface UnsentResponse {
  exchange: Exchange
  head: BackendResponseHead
  body: ResponseBody
  deadlineMs: number
  /** Takes a retry and capacity at any backend server. */
  reserveRepeat(options: Pick<ReplacementRequest, 'hasFailed' | 'model' | 'fraction'>): Promise<boolean>
}

export interface EscalationsOptions {
  modelChoice: ModelChoice
  retryAllowance(service: ServiceId): RetryAllowance
  clock: Clock
  metrics: Metrics
  log: DecisionLog
}

export function createEscalations ({ modelChoice, retryAllowance, clock, metrics, log }: EscalationsOptions) {
  return {
    chooseFirstModel (forwarded: ForwardedRequest, progress: RequestProgress): void {
      const { request, route } = forwarded
      // A stream that the caller resumes goes on with the model that answers first by default.
      if (route.kind !== 'streaming' || route.models.length === 0 || request.lastEventId !== undefined) return
      const { model, reason } = modelChoice.first(toChoiceRequest(forwarded))
      progress.model = model
      progress.choice = reason
      metrics.count('model_choices', reason)
    },

    /**
     * Discards or sets aside a low-confidence response if the request can be escalated, and returns whether it was. Only
     * possible while the caller has received nothing.
     */
    async escalate (forwarded: ForwardedRequest, progress: RequestProgress, { exchange, head, body, deadlineMs, reserveRepeat }: UnsentResponse): Promise<boolean> {
      const { service, route, caller } = forwarded
      if (caller.hasStarted()) return false
      progress.verdict = modelChoice.judge(toChoiceRequest(forwarded), { model: progress.model, confidence: head.confidence, remainingMs: deadlineMs - clock.now() })
      if (progress.verdict === 'confident') return false
      const model = route.models.at(-1)
      if (progress.verdict === 'low_confidence') {
        const hasRetry = retryAllowance(service).state(ESCALATION_SHARE).left >= 1
        const isReserved = await reserveRepeat({ hasFailed: progress.hasFailed, model, fraction: ESCALATION_SHARE })
        if (!isReserved) progress.verdict = hasRetry ? 'no_capacity' : 'no_retry'
      }
      metrics.count('escalations', progress.verdict)
      if (progress.verdict !== 'low_confidence') return false
      if (mayHold(forwarded)) progress.heldAnswer = holdAnswer(head, body, exchange)
      else exchange.abort('low confidence')
      progress.model = model
      return true
    },

    /** Waits for a short time until a kept answer that is still arriving has ended. */
    async awaitHeld ({ heldAnswer }: RequestProgress): Promise<void> {
      if (heldAnswer) await Promise.race([heldAnswer.ended, clock.sleep(MAX_HELD_WAIT_MS)])
    },

    /** Sends the low-confidence answer, if one was kept and is complete, to a caller whom the larger model failed. */
    deliverHeld ({ request, route, caller }: ForwardedRequest, { heldAnswer, attempts }: RequestProgress, reason: string): boolean {
      if (!heldAnswer?.deliver(caller)) return false
      metrics.count('escalations', 'kept_answer_delivered')
      metrics.count('requests', 'answered')
      log.request('kept_answer_delivered', { id: request.id, route: route.name, reason, attempts })
      return true
    },

    recordFirstEvent (forwarded: ForwardedRequest, { model }: RequestProgress, sentMs: number): void {
      modelChoice.recordFirstEvent(toChoiceRequest(forwarded), model, clock.now() - sentMs)
    },

    recordEnd (forwarded: ForwardedRequest, { model }: RequestProgress, sentMs: number): void {
      modelChoice.recordEnd(toChoiceRequest(forwarded), model, clock.now() - sentMs)
    }
  }
}

function toChoiceRequest ({ request, route, service }: ForwardedRequest): ChoiceRequest {
  return {
    service,
    route: route.name,
    models: route.models,
    requestedModel: request.model,
    promptTokens: request.promptTokens,
    outputTokens: request.lengthHint ?? request.maxOutputTokens,
    targetLatencyMs: Math.min(route.targetLatencyMs, route.timeoutMs)
  }
}

/** Whether the answer is short enough to be kept, and complete without events of an earlier one. */
function mayHold ({ request }: ForwardedRequest): boolean {
  const tokens = request.lengthHint ?? request.maxOutputTokens
  return request.lastEventId === undefined && tokens > 0 && tokens <= MAX_HELD_OUTPUT_TOKENS
}

export type Escalations = ReturnType<typeof createEscalations>
