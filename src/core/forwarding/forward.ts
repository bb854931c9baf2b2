/**
 * The path of one request: attempts at backend servers until an answer is complete, the request must not be repeated,
 * or nothing more can be done in time. What was sent decides how it ends: "not run" is said only when no backend
 * server can have run the request.
 */
import type { Backend } from '../backend-pool/types.ts'
import type { Clock } from '../clock/index.ts'
import { GatewayError, type ErrorName } from '../errors/index.ts'
import type { ModelId, ServiceId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { requestLoad } from '../placement/index.ts'
import type { CapacityQueue } from '../placement/capacity-queue.ts'
import type { DecisionLog } from '../logging/decision-log.ts'
import { ANSWER_FACTOR, DEFAULT_WAIT_MS, ESCALATION_PART, FIRST_EVENT_FACTOR, MAX_CONNECT_TRIES, MAX_ROOM_WAIT_MS, MIN_ATTEMPT_MS, RETRY_AFTER_S, RETRY_AFTER_SPREAD_S, ROOM_WAIT_SHARE, STALL_CHECK_MS } from './constants.ts'
import { startExchange, type Codec, type Exchange } from './exchange.ts'
import { isFramed, readAnswer, relayEvents } from './relay.ts'
import type { RetryAllowance } from './retry-allowance.ts'
import { mayRepeat, urgencyOf } from './route-table.ts'
import type { CallerConnection } from './caller-connection.ts'
import type { BackendHead, CallerRequest, Route, Team } from './types.ts'

export interface ForwardedRequest {
  request: CallerRequest
  route: Route
  service: ServiceId
  team: Team | undefined
  body: Buffer | undefined
  /** Monotonic time at which the request was received. */
  receivedMs: number
  caller: CallerConnection
}

export interface ForwarderOptions {
  codec: Codec
  /** Load of a request to a model, relative to the largest one. */
  modelWeight(service: ServiceId, model: ModelId | undefined): number
  /** Confidence, of 100, below which an answer is dropped for the largest model's. */
  escalationConfidence(service: ServiceId): number
  room: CapacityQueue
  /** Decides the version for one attempt; the result chooses a backend server with room, `undefined` when there is none. */
  prepare(forwarded: ForwardedRequest, tried: ReadonlySet<Backend>): () => Backend | undefined
  /** Whether a repeated request would now find a backend server with room besides the excluded ones. */
  hasAlternative(forwarded: ForwardedRequest, excluded: ReadonlySet<Backend>): boolean
  /** Whether room may appear: some backend server may get work and is only full for the moment. */
  mayFindRoom(service: ServiceId): boolean
  /** The retries that this VM may still send to a service. */
  retries(service: ServiceId): RetryAllowance
  /** Last check before a request is sent; a reason keeps it from being sent. */
  mayStillRun(forwarded: ForwardedRequest): ErrorName | undefined
  noteSend(backend: Backend): void
  noteConnectFailure(backend: Backend): void
  noteMisdirected(backend: Backend): void
  noteResult(backend: Backend, forwarded: ForwardedRequest, result: { failed: boolean, firstEventMs: number | undefined }): void
  clock: Clock
  metrics: Metrics
  log: DecisionLog
  random: () => number
}

const NO_BACKENDS: ReadonlySet<Backend> = new Set()

/** How one attempt ended; `next` asks for another one. */
type AttemptEnd =
  | { kind: 'done' }
  | { kind: 'next', reason: string, backend: Backend }
  | { kind: 'failed', error: ErrorName, reason: string }

interface Progress {
  /** Backend servers that the request was sent to, the current one included. */
  attempts: number
  connectTries: number
  /** Whether a backend server may have run the request. */
  mayHaveRun: boolean
  lastEventId: number | undefined
  model: ModelId | undefined
  tried: Set<Backend>
  /** Whether the retry for the next attempt is already taken from the allowance. */
  retryReserved: boolean
  current: Exchange | undefined
  ended: boolean
}

export function createForwarder (options: ForwarderOptions) {
  const { codec, prepare, retries, mayStillRun, clock, metrics, log, random } = options

  /** Forwards the request and answers the caller; never rejects. */
  async function forward (forwarded: ForwardedRequest): Promise<void> {
    const { request, route, service, caller, receivedMs } = forwarded
    const deadlineMs = receivedMs + Math.min(request.waitMs ?? DEFAULT_WAIT_MS, route.timeoutMs)
    const progress: Progress = {
      attempts: 0,
      connectTries: 0,
      mayHaveRun: false,
      lastEventId: request.lastEventId,
      model: request.model ?? route.models[0],
      tried: new Set(),
      retryReserved: false,
      current: undefined,
      ended: false
    }
    const cancelDeadline = clock.after(Math.max(0, deadlineMs - clock.now()), () => {
      if (progress.ended) return
      finish(progress.mayHaveRun || progress.current ? 'backend_timeout' : 'overloaded', 'deadline')
    })
    caller.onGone(() => {
      if (progress.ended) return
      progress.ended = true
      progress.current?.abort('the caller has gone')
      metrics.count('requests', 'caller_gone')
    })
    retries(service).noteRequest()

    function finish (error: ErrorName, reason: string): void {
      if (progress.ended) return
      progress.ended = true
      progress.current?.abort(reason)
      log.request('failed', { id: request.id, route: route.name, error, reason, attempts: progress.attempts, afterMs: Math.round(clock.now() - receivedMs) })
      caller.fail(new GatewayError(error, { retryAfterMs: (RETRY_AFTER_S + random() * RETRY_AFTER_SPREAD_S) * 1000 }))
    }

    try {
      while (!progress.ended) {
        const end = await attempt(forwarded, progress, deadlineMs)
        if (progress.ended) break
        if (end.kind === 'done') progress.ended = true
        if (end.kind === 'failed') finish(end.error, end.reason)
        if (end.kind === 'next') log.request('attempt_repeated', { id: request.id, backendServer: end.backend.entry.id, reason: end.reason, attempts: progress.attempts })
      }
    } finally {
      cancelDeadline()
    }
  }

  async function attempt (forwarded: ForwardedRequest, progress: Progress, deadlineMs: number): Promise<AttemptEnd> {
    const { request, route, service, team, body } = forwarded
    const notRunError = progress.mayHaveRun ? 'backend_failed' : 'permit_refused'
    const outOfTime: AttemptEnd = { kind: 'failed', error: progress.mayHaveRun ? 'backend_timeout' : 'overloaded', reason: 'no time left' }
    if (deadlineMs - clock.now() < MIN_ATTEMPT_MS) return outOfTime
    if (progress.attempts >= route.maxAttempts) return { kind: 'failed', error: notRunError, reason: 'attempts used up' }
    if (progress.connectTries >= MAX_CONNECT_TRIES) return { kind: 'failed', error: notRunError, reason: 'no connection' }
    const backend = await place(forwarded, progress, deadlineMs - clock.now())
    if (progress.ended) return { kind: 'done' }
    // Time passes and configurations change while a request waits for room.
    const remainingMs = deadlineMs - clock.now()
    if (remainingMs < MIN_ATTEMPT_MS) return outOfTime
    // A request that was taken with a good key is completed, also when the key is withdrawn meanwhile.
    const forbidden = progress.attempts === 0 ? mayStillRun(forwarded) : undefined
    if (forbidden) return { kind: 'failed', error: progress.mayHaveRun ? 'backend_failed' : forbidden, reason: 'may not run any more' }
    if (!backend) return { kind: 'failed', error: notRunError, reason: 'no backend server has room' }
    if (progress.attempts > 0 && !progress.retryReserved && !takeRetry(service)) return { kind: 'failed', error: notRunError, reason: 'retry budget' }
    progress.retryReserved = false
    progress.attempts++

    const call = {
      backendServer: backend.entry.id, team: team?.id, remainingMs, urgency: urgencyOf(route, team), model: progress.model, lastEventId: progress.lastEventId
    }
    const startedMs = clock.now()
    const exchange = startExchange({ backend, request, call, body, codec })
    progress.current = exchange
    progress.tried.add(backend)
    options.noteSend(backend)
    backend.inFlight++
    const load = requestLoad(request.promptTokens, options.modelWeight(service, progress.model))
    let promptLoad = load.prompt
    backend.load += load.running + promptLoad
    const endPrefill = () => {
      backend.load -= promptLoad
      promptLoad = 0
    }
    const tryMove = () => reserveRetry(forwarded, progress, deadlineMs, progress.tried)
    const tryRepeat = (part = 1) => reserveRetry(forwarded, progress, deadlineMs, NO_BACKENDS, part)
    const onGone = () => { if (tryMove()) exchange.abort('backend server gone') }
    backend.onRemoved.add(onGone)
    const cancelWait = afterSilence(firstWaitMs(route), () => {
      const moves = tryMove()
      if (moves) exchange.abort('no answer in time')
      return moves
    })
    try {
      const result = await exchange.result
      if (result.kind !== 'head') {
        cancelWait()
        if (result.kind === 'not_sent') {
          progress.connectTries++
          progress.attempts--
          options.noteConnectFailure(backend)
          return { kind: 'next', reason: result.reason, backend }
        }
        progress.mayHaveRun = true
        options.noteResult(backend, forwarded, { failed: true, firstEventMs: undefined })
        return repeatOr(route, backend, result.reason)
      }
      backend.lastReceivedMs = clock.now()
      return await useHead(forwarded, progress, { backend, exchange, head: result.head, body: result.body, startedMs, tryMove, tryRepeat, endPrefill, cancelWait })
    } finally {
      cancelWait()
      endPrefill()
      backend.load -= load.running
      backend.onRemoved.delete(onGone)
      backend.inFlight--
      progress.current = undefined
      options.room.wake(service)
    }
  }

  /**
   * Takes the retry for another attempt, from a part of the allowance, if the request may be repeated and a backend server that is not excluded has
   * room for it. An answer is given up for a better or faster one only then: a late or doubtful answer is better than
   * none.
   */
  function reserveRetry (forwarded: ForwardedRequest, progress: Progress, deadlineMs: number, excluded: ReadonlySet<Backend>, part = 1): boolean {
    const { route, service } = forwarded
    if (progress.retryReserved) return true
    if (!mayRepeat(route) || progress.attempts >= route.maxAttempts || deadlineMs - clock.now() < MIN_ATTEMPT_MS) return false
    if (!options.hasAlternative(forwarded, excluded)) return false
    progress.retryReserved = takeRetry(service, part)
    return progress.retryReserved
  }

  function takeRetry (service: ServiceId, part = 1): boolean {
    const taken = retries(service).take(part)
    if (!taken) metrics.count('retries', 'budget_exhausted')
    return taken
  }

  /** Calls `run` after `waitMs` and from then on until it returns true; returns the cancellation. */
  function afterSilence (waitMs: number, run: () => boolean): () => void {
    let cancel = clock.after(waitMs, check)
    function check (): void { if (!run()) cancel = clock.after(STALL_CHECK_MS, check) }
    return () => cancel()
  }

  async function place (forwarded: ForwardedRequest, progress: Progress, remainingMs: number): Promise<Backend | undefined> {
    const { service, route, team } = forwarded
    const assign = prepare(forwarded, progress.tried)
    const found = options.room.size(service) === 0 ? assign() : undefined
    if (found || !options.mayFindRoom(service)) return found
    return await options.room.wait(service, {
      urgency: urgencyOf(route, team),
      timeoutMs: Math.min(MAX_ROOM_WAIT_MS, remainingMs * ROOM_WAIT_SHARE),
      tryPlace: assign,
      isCancelled: () => progress.ended
    })
  }

  interface Answer {
    backend: Backend
    exchange: Exchange
    head: BackendHead
    body: Parameters<typeof readAnswer>[0]
    startedMs: number
    tryMove(): boolean
    tryRepeat(part?: number): boolean
    endPrefill(): void
    cancelWait(): void
  }

  async function useHead (forwarded: ForwardedRequest, progress: Progress, answer: Answer): Promise<AttemptEnd> {
    const { route, caller } = forwarded
    const { backend, exchange, head, startedMs } = answer
    const { noteResult } = options
    if (head.notRun) {
      exchange.abort('not run')
      if (head.misdirected) options.noteMisdirected(backend)
      metrics.count('retries', head.misdirected ? 'misdirected' : 'backend_full')
      return { kind: 'next', reason: `not run, status ${head.status}`, backend }
    }
    progress.mayHaveRun = true
    if (!head.authentic) {
      exchange.abort('foreign answer')
      noteResult(backend, forwarded, { failed: true, firstEventMs: undefined })
      return repeatOr(route, backend, 'foreign answer')
    }
    const failed = head.status >= 500
    if (failed && !caller.hasBegun() && answer.tryRepeat()) {
      exchange.abort('failed')
      noteResult(backend, forwarded, { failed: true, firstEventMs: undefined })
      return { kind: 'next', reason: `status ${head.status}`, backend }
    }
    if (route.kind === 'streaming' && head.status < 300) {
      if (shouldEscalate(forwarded, progress, head) && answer.tryRepeat(ESCALATION_PART)) {
        const { models } = route
        exchange.abort('low confidence')
        noteResult(backend, forwarded, { failed: false, firstEventMs: clock.now() - startedMs })
        metrics.count('escalations', 'low_confidence')
        progress.model = models[models.length - 1]
        return { kind: 'next', reason: `confidence ${head.confidence}`, backend }
      }
      const end = await relayEvents({ ...answer, caller, route, lastEventId: progress.lastEventId, clock })
      progress.lastEventId = end.lastEventId
      noteResult(backend, forwarded, { failed: end.kind === 'broken', firstEventMs: end.firstEventMs === undefined ? undefined : end.firstEventMs - startedMs })
      if (end.kind === 'complete') {
        metrics.count('requests', 'answered')
        logAnswer(forwarded, progress, backend, head)
        return { kind: 'done' }
      }
      return repeatOr(route, backend, end.reason)
    }
    const bytes = await readAnswer(answer.body, exchange)
    if (!bytes) {
      noteResult(backend, forwarded, { failed: true, firstEventMs: undefined })
      return repeatOr(route, backend, 'answer cut off')
    }
    noteResult(backend, forwarded, { failed, firstEventMs: clock.now() - startedMs })
    if (caller.hasBegun()) return { kind: 'failed', error: 'answer_truncated', reason: `status ${head.status} after a part of the answer` }
    caller.answer(head.status, head.headers, bytes, isFramed(answer.body))
    metrics.count('requests', failed ? 'backend_failure' : 'answered')
    logAnswer(forwarded, progress, backend, head)
    return { kind: 'done' }
  }

  function logAnswer ({ request, route, receivedMs }: ForwardedRequest, { attempts, model }: Progress, { entry }: Backend, { status, confidence }: BackendHead): void {
    log.request('answered', {
      id: request.id, route: route.name, status, backendServer: entry.id, version: entry.version, model, confidence, attempts, afterMs: Math.round(clock.now() - receivedMs)
    })
  }

  /** Drops the answer of a small model that doubts it, while the caller has received nothing. */
  function shouldEscalate ({ route, service, request, caller }: ForwardedRequest, progress: Progress, head: BackendHead): boolean {
    const { models } = route
    if (request.model !== undefined || models.length < 2 || progress.model === models[models.length - 1]) return false
    if (caller.hasBegun() || head.confidence === undefined) return false
    return head.confidence < options.escalationConfidence(service)
  }

  function repeatOr (route: Route, backend: Backend, reason: string): AttemptEnd {
    return mayRepeat(route) ? { kind: 'next', reason, backend } : { kind: 'failed', error: 'backend_failed', reason }
  }

  return { forward }
}

export type Forwarder = ReturnType<typeof createForwarder>

function firstWaitMs ({ kind, targetLatencyMs }: Route): number {
  return targetLatencyMs * (kind === 'streaming' ? FIRST_EVENT_FACTOR : ANSWER_FACTOR)
}
