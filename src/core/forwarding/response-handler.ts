/**
 * What becomes of a backend server's response: it is delivered to the caller, relayed event by event, or replaced by
 * another attempt. A response that states that the request did not run permits another attempt for every request; a
 * failed one only for requests that may be repeated.
 */
import type { Backend } from '../backend-pool/types.ts'
import type { Clock } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { AttemptEnd } from '../pacing/index.ts'
import type { DecisionLog } from '../logging/decision-log.ts'
import { retryOrFail, type AttemptOutcome } from './attempt-outcome.ts'
import { MAX_MISDIRECTED_SENDS, MISDIRECTED_STATUS, NOT_RUN_STATUSES } from './constants.ts'
import type { Escalations, UnsentResponse } from './escalation.ts'
import { FORWARDED_MODEL_HEADER } from '../peer-forwarding/message.ts'
import type { ForwardedRequest } from './forward.ts'
import { readResponse, relayEvents } from './relay.ts'
import type { RequestProgress } from './request-progress.ts'
import type { BackendResponseHead } from './types.ts'

export interface ResponseHandlerOptions {
  escalations: Escalations
  /** Records the request rate that a backend server named as its limit in an answer, or that it named none. */
  recordNamedLimit(backend: Backend, rate: number | undefined): void
  /** Records what an answer says about the backend server's readiness for further requests. */
  recordAvailability(backend: Backend, head: BackendResponseHead): void
  /** Records that a backend server refused a request without naming a limit. Default: not recorded. */
  recordRefusal?: (backend: Backend) => void
  /** Records that another backend server answered at the address. */
  recordMisdirected(backend: Backend): void
  clock: Clock
  metrics: Metrics
  log: DecisionLog
}

export interface AttemptResponse extends UnsentResponse {
  backend: Backend
  sentMs: number
  /** Records that the request has not crashed the backend server: at the first event of a stream, or when another response is complete. */
  recordSurvival(): void
  recordEvent(): void
  endAttempt(end: AttemptEnd): void
  /** Takes the attempt back, because no backend server has got the request, and leaves its retry to the next one. */
  uncountAttempt(): void
  /** Has a backend server that the request was not sent to yet take it from the last event on, as a replacement that is still due then. */
  reserveFailover(isDue: () => boolean, lastEventId?: number): Promise<boolean>
  endPrompt(): void
  cancelResponseTimer(): void
}

type ReceivedHead = Pick<AttemptResponse, 'backend' | 'exchange' | 'head' | 'endAttempt' | 'uncountAttempt'>

export function createResponseHandler (options: ResponseHandlerOptions) {
  const { escalations, clock, metrics, log, recordRefusal = () => {} } = options

  /** Sends the response to the caller or returns why another attempt is due. */
  async function handleResponse (forwarded: ForwardedRequest, progress: RequestProgress, received: AttemptResponse): Promise<AttemptOutcome> {
    const rejected = rejectResponse(forwarded, progress, received)
    if (rejected) return rejected
    const response = withTrueHead(forwarded, received)
    const replaced = await replaceFailed(forwarded, progress, response)
    if (replaced) return replaced
    if (forwarded.route.kind === 'streaming' && response.head.status < 300) return await relayStream(forwarded, progress, response)
    return await sendPlain(forwarded, progress, response)
  }

  /** Records what the head of a response says, and ends the attempt if the request did not run or the response is not authentic. */
  function rejectResponse (forwarded: ForwardedRequest, progress: RequestProgress, received: ReceivedHead): AttemptOutcome | undefined {
    const response = withTrueHead(forwarded, received)
    const { backend, exchange, head, endAttempt } = response
    recordStatements(response)
    if (head.notRun) return endRefused(progress, response)
    progress.mayHaveRun = true
    if (head.authentic) return undefined
    exchange.abort('response is not authentic')
    endAttempt('failed')
    return retryOrFail(forwarded.route, backend, 'response is not authentic')
  }

  function withTrueHead<Response extends ReceivedHead> (forwarded: ForwardedRequest, response: Response): Response {
    return { ...response, head: { ...response.head, misdirected: isMisdirected(forwarded, response.head) } }
  }

  /** Records what the head says about the backend server itself. */
  function recordStatements ({ backend, head }: ReceivedHead): void {
    if (!head.misdirected) options.recordAvailability(backend, head)
    if (head.namedLimit !== undefined ? !head.misdirected : head.authentic && !head.notRun) options.recordNamedLimit(backend, head.namedLimit)
  }

  function endRefused (progress: RequestProgress, { backend, exchange, head, endAttempt, uncountAttempt }: ReceivedHead): AttemptOutcome {
    if (head.misdirected && progress.misdirectedSends++ < MAX_MISDIRECTED_SENDS) uncountAttempt()
    endAttempt('not_run')
    exchange.abort('not run')
    if (head.misdirected) options.recordMisdirected(backend)
    else if (head.namedLimit === undefined && head.status !== MISDIRECTED_STATUS) recordRefusal(backend)
    metrics.count('retries', head.misdirected ? 'misdirected' : 'backend_full')
    return { kind: 'next', reason: `not run, status ${head.status}`, backend }
  }

  /** Takes another attempt for a failed response if one is possible; `undefined` if this response goes to the caller. */
  async function replaceFailed ({ route, caller }: ForwardedRequest, progress: RequestProgress, response: AttemptResponse): Promise<AttemptOutcome | undefined> {
    const { backend, exchange, head, endAttempt } = response
    // A backend server that has not stated that it did not run the request may have run it, whatever its status promises.
    const isFalsePromise = NOT_RUN_STATUSES.has(head.status)
    if (isFailed(head) && !caller.hasStarted() && await response.reserveRepeat({ hasFailed: true, model: progress.model })) {
      if (route.kind !== 'streaming') response.recordSurvival()
      exchange.abort('failed')
      endAttempt('failed')
      return { kind: 'next', reason: `status ${head.status}`, backend }
    }
    if (!isFalsePromise) return undefined
    exchange.abort('failed')
    endAttempt('failed')
    return { kind: 'failed', error: caller.hasStarted() ? 'answer_truncated' : 'backend_failed', reason: `status ${head.status} after the request may have run` }
  }

  /** The request may have ended while a replacement was being reserved, and a body that has arrived can still be read then. */
  function endAborted ({ route }: ForwardedRequest, { backend, endAttempt }: AttemptResponse): AttemptOutcome {
    endAttempt('failed')
    return retryOrFail(route, backend, 'aborted')
  }

  async function relayStream (forwarded: ForwardedRequest, progress: RequestProgress, response: AttemptResponse): Promise<AttemptOutcome> {
    const { route, caller } = forwarded
    const { backend, exchange, head, endAttempt } = response
    if (await escalations.escalate(forwarded, progress, response)) {
      response.recordEvent()
      endAttempt('escalated')
      return { kind: 'next', reason: `confidence ${head.confidence}`, backend }
    }
    if (exchange.isAborted()) return endAborted(forwarded, response)
    const isWhole = progress.lastEventId === undefined
    const onFirstEvent = () => {
      response.recordSurvival()
      progress.heldAnswer?.drop()
      if (isWhole) escalations.recordFirstEvent(forwarded, progress, response.sentMs)
    }
    // The VM that handed the request on needs the model to have the stream continued through another one.
    const headers = forwarded.request.origin && progress.model !== undefined ? [...head.headers, FORWARDED_MODEL_HEADER, progress.model] : head.headers
    const relayed = await relayEvents({ ...response, head: { ...head, headers }, onFirstEvent, hasBackendEnded: () => progress.crashEvidence.hasEnded(backend), caller, route, lastEventId: progress.lastEventId, clock })
    progress.lastEventId = relayed.lastEventId
    endAttempt(relayed.kind === 'broken' ? 'failed' : 'completed')
    if (relayed.endedBeforeFirstEvent) await progress.crashEvidence.recordLostResponse(backend, { hadHead: true })
    if (relayed.kind === 'broken') return retryOrFail(route, backend, relayed.reason)
    if (isWhole) escalations.recordEnd(forwarded, progress, response.sentMs)
    metrics.count('requests', 'answered')
    logResponse(forwarded, progress, response)
    return { kind: 'done' }
  }

  async function sendPlain (forwarded: ForwardedRequest, progress: RequestProgress, response: AttemptResponse): Promise<AttemptOutcome> {
    const { route, caller } = forwarded
    const { backend, exchange, head, endAttempt } = response
    if (exchange.isAborted()) return endAborted(forwarded, response)
    const bytes = await readResponse(response.body, exchange, caller.claim)
    if (!bytes) {
      endAttempt('failed')
      if (!exchange.isAborted()) await progress.crashEvidence.recordLostResponse(backend)
      return retryOrFail(route, backend, 'response truncated or too large')
    }
    if (route.kind !== 'streaming') response.recordSurvival()
    response.recordEvent()
    endAttempt(isFailed(head) ? 'failed' : 'completed')
    if (caller.hasStarted()) return { kind: 'failed', error: 'answer_truncated', reason: `status ${head.status} after a part of the response` }
    if (head.status >= 400) {
      await escalations.awaitHeld(progress)
      if (escalations.deliverHeld(forwarded, progress, `status ${head.status}`) || progress.isFinished) return { kind: 'done' }
    }
    caller.sendResponse(head.status, head.headers, bytes, response.body.isFramed)
    metrics.count('requests', isFailed(head) ? 'backend_failure' : 'answered')
    logResponse(forwarded, progress, response)
    return { kind: 'done' }
  }

  function logResponse ({ request, route, receivedMs }: ForwardedRequest, { attempts, model, choice, verdict, capacityWait }: RequestProgress, { backend: { entry }, head: { status, confidence } }: AttemptResponse): void {
    log.request('answered', {
      id: request.id, route: route.name, status, backendServer: entry.id, version: entry.version, model, choice, confidence, verdict, attempts, ...capacityWait, afterMs: Math.round(clock.now() - receivedMs)
    })
  }

  return { handleResponse, rejectResponse }
}

/** Whether the answer proves that another backend server has the address. The same status refuses a model that the caller names and the backend server does not have. */
function isMisdirected ({ request: { model }, route }: ForwardedRequest, { misdirected }: BackendResponseHead): boolean {
  return misdirected && (model === undefined || route.models.includes(model))
}

/** Whether the response is a failure, or has a status that promises that the request was not run. */
export function isFailed ({ status }: BackendResponseHead): boolean {
  return status >= 500 || NOT_RUN_STATUSES.has(status)
}
