/**
 * Forwards one request: sends it to backend servers until a response is complete, the request must not be repeated, or
 * no attempt is possible before the deadline. The error that the caller receives depends on what was sent: it states
 * that the request was not run only when no backend server can have run it.
 */
import type { Backend, Reservation } from '../backend-pool/types.ts'
import type { ModelChoice } from '../cascade/model-choice.ts'
import { longestElapsedMs, readInstant } from '../clock/index.ts'
import { errorMessage, GatewayError, type ErrorName } from '../errors/index.ts'
import type { ModelId, ServiceId } from '../ids/index.ts'
import type { PeerForwarding } from '../peer-forwarding/index.ts'
import type { AttemptEnd, AttemptObservation, ExpectedTimes } from '../pacing/index.ts'
import type { PartQuarantine } from '../quarantine/request-parts.ts'
import { DEFAULT_TIMEOUT_MS, DOUBT_CHECK_PERIOD_MS, MAX_CONNECT_ATTEMPTS, MAX_SEND_DELAY_MS, MIN_ATTEMPT_MS, REFUSAL_WAIT_MS, RETRY_AFTER_JITTER_S, RETRY_AFTER_S } from './constants.ts'
import { errorWithoutAttempt, firstResponseTimeoutMs, outOfTime, retryOrFail, type AttemptOutcome } from './attempt-outcome.ts'
import { readPendingInput } from './pending-input.ts'
import { pollAfter } from './poll-after.ts'
import { createCrashEvidence, QUARANTINE_REASON, quarantineOutcome, type CrashEvidenceOptions } from './crash-evidence.ts'
import { startExchange, type Codec, type ExchangeFailure, type ExchangeResult } from './exchange.ts'
import { createEscalations } from './escalation.ts'
import { createPeerAttempts } from './peer-attempt.ts'
import { createRequestProgress, type RequestProgress, type SentAttempt } from './request-progress.ts'
import { createResponseHandler, isFailed, type ResponseHandlerOptions } from './response-handler.ts'
import { createReplacements, type ReplacementRequest, type ReplacementsOptions, type BackendAttempt, type ReservedAttempt } from './replacement.ts'
import type { RetryAllowance } from './retry-allowance.ts'
import { urgencyOf } from './route-table.ts'
import { createReadPace, type Blocks, type ReadPace } from '../resource-limits/index.ts'
import type { CallerConnection } from './caller-connection.ts'
import type { CallerRequest, Route, Team } from './types.ts'

export interface ForwardedRequest {
  request: CallerRequest
  route: Route
  service: ServiceId
  team: Team | undefined
  body: Blocks | undefined
  /** Monotonic time at which the request was received. */
  receivedMs: number
  caller: CallerConnection
}

export interface ForwarderOptions extends Omit<ResponseHandlerOptions, 'escalations'> {
  codec: Codec
  /** Chooses the model that answers first, and whether its response is discarded and the request escalated to the largest model. */
  modelChoice: ModelChoice
  /** Reserves capacity for one attempt, within the time left; resolves with `undefined` if no backend server has room. */
  reserveCapacity(forwarded: ForwardedRequest, progress: RequestProgress, remainingMs: number): Promise<Reservation | undefined>
  /** Time after which the caller of a refused request should return, given the time left; by default a short random one. */
  retryAfterMs?: ((forwarded: ForwardedRequest, progress: RequestProgress, remainingMs: number) => number) | undefined
  /** Called when capacity for a service has become free. */
  onCapacityFreed(service: ServiceId): void
  /** Reserves capacity for an attempt while another one is running, without waiting for it; resolves with `undefined` if no backend server has room. */
  reserveReplacement: ReplacementsOptions['reserveCapacity']
  /** The allowance of retries that this VM may send to a service. */
  retryAllowance(service: ServiceId): RetryAllowance
  /** Checks access again right before a request is sent; the request is not sent if an error is returned. */
  recheckAccess(forwarded: ForwardedRequest): ErrorName | undefined
  /** Refuses requests that crash backend servers. */
  partQuarantine: PartQuarantine
  /** Limits the time that is spent on what backend servers and other VMs send. Default: one for this forwarder. */
  pace?: ReadPace
  /** Records whether a connection to a backend server was opened. */
  recordConnection(backend: Backend, isOpen: boolean): void
  /** Hands requests to other VMs while this one is cut off from their service. Default: never. */
  peers?: PeerForwarding | undefined
  /** Time for which a request without capacity waits for the decision whether this VM is cut off from its service; 0 if it is clear. Default: 0. */
  doubtMs?(service: ServiceId): number
  /** Version of the configuration in force. Default: none. */
  configVersion?: () => number | undefined
  /** Whether this VM reaches the service of a backend server that refuses connections, so that it has crashed. Default: always. */
  reachesService?: CrashEvidenceOptions['reachesService']
  /** Starts to observe an attempt; `isFirst` for the first one of the request. */
  observe(backend: Backend, forwarded: ForwardedRequest, attempt: { isFirst: boolean, model: ModelId | undefined }): AttemptObservation
  /** Typical times of the answer to an attempt. Default: unknown. */
  expectedTimes?(backend: Backend, forwarded: ForwardedRequest, model: ModelId | undefined): ExpectedTimes
  random: () => number
}

const NONE_EXCLUDED: ReadonlySet<Backend> = new Set()

/** Whether a backend server has not taken a request, or has failed to answer it. */
function isRefusal (result: ExchangeResult): boolean {
  return result.kind !== 'head' || result.head.notRun || !result.head.authentic || isFailed(result.head)
}

export function createForwarder (options: ForwarderOptions) {
  const { pace = createReadPace({ clock: options.clock }), codec, peers, retryAllowance, recheckAccess, partQuarantine, clock, metrics, log, random, doubtMs = () => 0, configVersion = () => undefined } = options

  const replacements = createReplacements({
    reserveCapacity: options.reserveReplacement,
    recordConnection: options.recordConnection,
    openPeer: async (forwarded, progress) => mustHandOn(forwarded) ? await peerAttempts?.openPeer(forwarded, progress) : undefined,
    onCapacityFreed: options.onCapacityFreed,
    takeRetry,
    giveBackRetry: service => retryAllowance(service).giveBack(),
    clock,
    log
  })
  const escalations = createEscalations({ modelChoice: options.modelChoice, retryAllowance, clock, metrics, log })
  const { handleResponse, rejectResponse } = createResponseHandler({ ...options, escalations })
  const peerAttempts = peers && createPeerAttempts({
    peers,
    codec,
    pace,
    configVersion: () => configVersion() ?? 0,
    reserveFailover: (forwarded, progress, deadlineMs, isDue) => replacements.reserve(forwarded, progress, deadlineMs, { excluded: progress.triedBackends, hasFailed: true, model: progress.model, isDue }),
    mayStillSend: (forwarded, progress) => progress.attempts > 1 || recheckAccess(forwarded) === undefined,
    clock,
    log,
    metrics
  })
  const mustHandOn = ({ service, request }: ForwardedRequest) => peers?.mustForward(service, request) ?? false

  /** Forwards the request and sends the response to the caller; never rejects. */
  async function forward (forwarded: ForwardedRequest): Promise<void> {
    const { request, route, service, caller, receivedMs } = forwarded
    const deadlineMs = receivedMs + Math.min(request.timeoutMs ?? DEFAULT_TIMEOUT_MS, route.timeoutMs)
    const progress = createRequestProgress(forwarded, createCrashEvidence(forwarded, { quarantine: partQuarantine, reachesService: options.reachesService, log }))
    const cancelDeadline = clock.after(Math.max(0, deadlineMs - clock.now()), () => void endAtDeadline())
    caller.onDisconnect(() => {
      if (progress.isFinished) return
      progress.isFinished = true
      progress.isAbandoned = true
      progress.currentExchange?.abort('caller disconnected')
      progress.heldAnswer?.drop()
      metrics.count('requests', 'caller_gone')
    })
    // The VM that sends the request to a backend server counts it.
    if (!mustHandOn(forwarded) && progress.earlierAttempts === 0) retryAllowance(service).recordRequest()
    escalations.chooseFirstModel(forwarded, progress)

    async function endAtDeadline (): Promise<void> {
      await readPendingInput()
      const mayRun = progress.mayHaveRun || progress.currentExchange || progress.offer || progress.taken
      finish(mayRun ? 'backend_timeout' : 'overloaded', 'deadline')
    }

    function finish (error: ErrorName, reason: string, statedRetryAfterMs?: number): void {
      if (progress.isFinished) return
      progress.isFinished = true
      progress.currentExchange?.abort(reason)
      if (escalations.deliverHeld(forwarded, progress, reason)) return
      log.request('failed', { id: request.id, route: route.name, error, reason, attempts: progress.attempts, ...progress.capacityWait, afterMs: Math.round(clock.now() - receivedMs) })
      const quarantineMs = error === 'prompt_quarantined' ? progress.crashEvidence.remainingMs() : 0
      const retryAfterMs = quarantineMs || (statedRetryAfterMs ?? options.retryAfterMs?.(forwarded, progress, deadlineMs - clock.now()) ?? (RETRY_AFTER_S + random() * RETRY_AFTER_JITTER_S) * 1000)
      caller.fail(new GatewayError(error, { retryAfterMs }))
    }

    try {
      while (!progress.isFinished) {
        const outcome = await attempt(forwarded, progress, deadlineMs)
        if (progress.isFinished) break
        if (outcome.kind === 'done') progress.isFinished = true
        if (outcome.kind === 'failed') await escalations.awaitHeld(progress)
        if (outcome.kind === 'failed') finish(outcome.error, outcome.reason, outcome.retryAfterMs)
        if (outcome.kind === 'next') log.request('attempt_repeated', { id: request.id, backendServer: outcome.backend?.entry.id, reason: outcome.reason, attempts: progress.attempts })
      }
    } finally {
      cancelDeadline()
      replacements.release(forwarded, progress)
      if (progress.taken) {
        progress.taken.endAttempt('abandoned')
        withdraw(service, progress.taken)
      }
      progress.heldAnswer?.drop()
    }
  }

  async function attempt (forwarded: ForwardedRequest, progress: RequestProgress, deadlineMs: number): Promise<AttemptOutcome> {
    const { service } = forwarded
    await progress.offer
    const { taken } = progress
    progress.taken = undefined
    if (taken) return await awaitResponse(forwarded, progress, deadlineMs, taken)
    const noAttemptError = errorWithoutAttempt(progress)
    replacements.takeOverRetry(forwarded, progress)
    if (deadlineMs - clock.now() < MIN_ATTEMPT_MS) return outOfTime(progress)
    if (isQuarantined(progress)) return quarantineOutcome(progress)
    if (progress.attempts + progress.earlierAttempts >= progress.maxAttempts) return { kind: 'failed', error: noAttemptError, reason: 'attempt limit reached' }
    if (peers?.mustRefuse(service, forwarded.request)) return { kind: 'failed', error: progress.mayHaveRun ? 'backend_failed' : 'vm_cut_off', reason: 'cut off from the service' }
    if (!progress.replacement && mustHandOn(forwarded)) return await handOn(forwarded, progress, deadlineMs)
    if (!progress.replacement && progress.connectAttempts >= MAX_CONNECT_ATTEMPTS) {
      await awaitDecision(forwarded, progress)
      return mustHandOn(forwarded) ? await handOn(forwarded, progress, deadlineMs) : { kind: 'failed', error: noAttemptError, reason: 'connection attempt limit reached' }
    }
    const reserved = progress.replacement ?? await reserveFirst(forwarded, progress, deadlineMs)
    progress.replacement = undefined
    const obstacle = findObstacle(forwarded, progress, deadlineMs, reserved !== undefined)
    if (reserved && !obstacle) return reserved.peer ? await peerAttempts!.send(forwarded, progress, deadlineMs, reserved.peer) : await awaitResponse(forwarded, progress, deadlineMs, send(forwarded, progress, deadlineMs, reserved))
    if (reserved) replacements.cancel(service, reserved)
    // The VM may have turned out to be cut off while the request waited for capacity.
    if (!obstacle && mustHandOn(forwarded)) return await handOn(forwarded, progress, deadlineMs)
    if (!obstacle && !reserved && isCutOffFrom(forwarded)) return { kind: 'failed', error: progress.mayHaveRun ? 'backend_failed' : 'vm_cut_off', reason: 'cut off from the service' }
    const { error = noAttemptError, reason = 'no backend server has room' } = progress.capacityRefusal ?? {}
    return obstacle ?? { kind: 'failed', error, reason }
  }

  async function reserveFirst (forwarded: ForwardedRequest, progress: RequestProgress, deadlineMs: number): Promise<ReservedAttempt | undefined> {
    const reserve = async () => await options.reserveCapacity(forwarded, progress, deadlineMs - clock.now())
    let reservation = await reserve()
    // The service may have been reached again meanwhile.
    if (!reservation && await awaitDecision(forwarded, progress) && !mustHandOn(forwarded)) reservation = await reserve()
    return reservation && { reservation }
  }

  /**
   * Waits while it is in doubt whether this VM is cut off from the service, because another VM could serve the request then.
   * Returns whether the request still needs a way after a wait.
   */
  async function awaitDecision (forwarded: ForwardedRequest, progress: RequestProgress): Promise<boolean> {
    if (forwarded.request.origin || doubtMs(forwarded.service) === 0) return false
    for (let waitMs = doubtMs(forwarded.service); waitMs > 0 && !progress.isFinished && !mustHandOn(forwarded); waitMs = doubtMs(forwarded.service)) await clock.sleep(Math.min(waitMs, DOUBT_CHECK_PERIOD_MS))
    return !progress.isFinished
  }

  /** Whether a request that another VM has handed on cannot be served here either, as far as it is known. */
  function isCutOffFrom ({ service, request }: ForwardedRequest): boolean {
    return peers !== undefined && request.origin !== undefined && (peers.mustRefuse(service, request) || doubtMs(service) > 0)
  }

  /** Sends the request through another VM. */
  async function handOn (forwarded: ForwardedRequest, progress: RequestProgress, deadlineMs: number): Promise<AttemptOutcome> {
    const obstacle = findObstacle(forwarded, progress, deadlineMs, true)
    if (obstacle) return obstacle
    // The retry that was taken is given back at the end of the request if it is not sent.
    progress.retryReserved = progress.attempts > 0
    const peer = await peerAttempts!.openPeer(forwarded, progress)
    if (peer && !progress.isFinished) return await peerAttempts!.send(forwarded, progress, deadlineMs, peer)
    peer?.connection.destroy()
    return { kind: 'failed', error: errorWithoutAttempt(progress), reason: 'no other VM takes the request' }
  }

  /**
   * Why the request must not be sent, if so: the time left, the configuration and the quarantine may have changed while it
   * waited for capacity. Takes the retry that a repeated request needs.
   */
  function findObstacle (forwarded: ForwardedRequest, progress: RequestProgress, deadlineMs: number, isPossible: boolean): AttemptOutcome | undefined {
    if (progress.isFinished) return { kind: 'done' }
    if (deadlineMs - clock.now() < MIN_ATTEMPT_MS) return outOfTime(progress)
    if (isQuarantined(progress)) return quarantineOutcome(progress)
    // Only the first attempt is checked: a request that was sent with a valid key is completed even if the key is withdrawn later.
    const accessError = progress.attempts === 0 ? recheckAccess(forwarded) : undefined
    if (accessError) return { kind: 'failed', error: progress.mayHaveRun ? 'backend_failed' : accessError, reason: 'may not run any more' }
    if (!isPossible || progress.attempts === 0 || progress.retryReserved || takeRetry(forwarded.service)) return undefined
    return { kind: 'failed', error: errorWithoutAttempt(progress), reason: 'retry budget exhausted' }
  }

  function isQuarantined ({ crashEvidence }: RequestProgress): boolean {
    const isRefused = crashEvidence.isRefused()
    if (isRefused) metrics.count('refusals', 'prompt_quarantined')
    return isRefused
  }

  /** `lastEventId` is the last event that the caller has received. */
  function send (forwarded: ForwardedRequest, progress: RequestProgress, deadlineMs: number, { reservation, connection }: BackendAttempt, lastEventId = progress.lastEventId): SentAttempt {
    const { request, route, service, team, body } = forwarded
    const { backend } = reservation
    const remainingMs = deadlineMs - clock.now()
    progress.retryReserved = false
    progress.attempts++

    const call = {
      backendServer: backend.entry.id, team: team?.id, remainingMs, urgency: urgencyOf(route, team), model: progress.model, lastEventId
    }
    const permittedAt = readInstant(clock)
    const mayStillSend = () => longestElapsedMs(clock, permittedAt) <= MAX_SEND_DELAY_MS && (progress.attempts > 1 || recheckAccess(forwarded) === undefined)
    const exchange = startExchange({ backend, request, call, body, codec, claim: forwarded.caller.claim, pace, mayStillSend, connection, onConnected: () => options.recordConnection(backend, true) })
    progress.triedBackends.add(backend)
    const observation = options.observe(backend, forwarded, { isFirst: progress.attempts === 1 && progress.connectAttempts + progress.misdirectedSends === 0, model: progress.model })
    const endAttempt = (end: AttemptEnd) => {
      progress.hasFailed ||= end === 'failed'
      // Only the deadline or the caller finishes a request during an attempt.
      const isExpired = end === 'failed' && progress.isFinished
      observation.end(progress.isAbandoned ? 'abandoned' : isExpired ? 'deadline' : end)
    }
    const uncountAttempt = () => {
      progress.attempts--
      // The retry that was taken for this attempt is still there, beside that of a replacement.
      if (progress.retryReserved) retryAllowance(service).giveBack()
      progress.retryReserved = progress.attempts > 0
    }
    return { reservation, exchange, sentMs: clock.now(), recordEvent: observation.recordEvent, endAttempt, uncountAttempt }
  }

  async function awaitResponse (forwarded: ForwardedRequest, progress: RequestProgress, deadlineMs: number, sent: SentAttempt): Promise<AttemptOutcome> {
    const { route, service } = forwarded
    const { reservation, exchange, sentMs, recordEvent, endAttempt, uncountAttempt } = sent
    const { backend } = reservation
    progress.currentExchange = exchange
    const reserveFailover = async (isDue: () => boolean, lastEventId = progress.lastEventId) => {
      if (progress.offer || !await replacements.reserve(forwarded, progress, deadlineMs, { excluded: progress.triedBackends, hasFailed: true, model: progress.model, isDue })) return false
      const { replacement } = progress
      // Another VM takes the request as soon as the running attempt is abandoned.
      if (!replacement || replacement.peer) return replacement !== undefined
      progress.offer = offer(forwarded, progress, deadlineMs, replacement, { isDue, lastEventId }).catch((error: unknown) => {
        log.error('a replacement could not be sent by an error of this VM', { id: forwarded.request.id, error: errorMessage(error) })
        return false
      })
      const isTaken = await progress.offer
      progress.offer = undefined
      return isTaken
    }
    const reserveRepeat = async (repeat: Pick<ReplacementRequest, 'hasFailed' | 'model' | 'fraction'>) => {
      await progress.pendingReplacement?.settled
      await progress.offer
      if (progress.taken && repeat.model === progress.model) return true
      return await replacements.reserve(forwarded, progress, deadlineMs, { excluded: NONE_EXCLUDED, ...repeat })
    }
    let awaitsResponse = true
    const abandonFor = async (reason: string, isDue: () => boolean) => {
      const isReserved = await reserveFailover(isDue)
      if (isReserved) exchange.abort(reason)
      return isReserved
    }
    const onBackendRemoved = () => void abandonFor('backend server gone', () => true)
    backend.onRemoved.add(onBackendRemoved)
    // A request that must run once and is already running is not given up on a suspicion.
    const cancelQuarantineWatch = route.kind === 'non_idempotent' ? () => {} : progress.crashEvidence.watch(() => exchange.abort(QUARANTINE_REASON))
    const stopResponsePoll = pollAfter(clock, firstResponseTimeoutMs(route, { remainingMs: deadlineMs - clock.now(), ...options.expectedTimes?.(backend, forwarded, progress.model) }), () => abandonFor('no response in time', () => awaitsResponse))
    const cancelResponseTimer = () => {
      awaitsResponse = false
      stopResponsePoll()
    }
    try {
      const result = await exchange.result
      if (result.kind !== 'head') {
        cancelResponseTimer()
        return await endWithoutResponse(forwarded, progress, sent, result)
      }
      backend.lastReceivedMs = clock.now()
      const head = { ...result.head, headers: peers?.responseHeaders(result.head.headers, forwarded.request) ?? result.head.headers }
      const recordSurvival = () => {
        cancelQuarantineWatch()
        // The first event of a stream is written when the answer begins, however early its head came.
        progress.crashEvidence.recordSurvival(route.kind === 'streaming' ? clock.now() : sentMs)
      }
      return await handleResponse(forwarded, progress, { backend, exchange, sentMs, deadlineMs, head, body: result.body, recordSurvival, recordEvent, endAttempt, uncountAttempt, reserveFailover, reserveRepeat, endPrompt: reservation.endPrompt, cancelResponseTimer })
    } finally {
      cancelResponseTimer()
      cancelQuarantineWatch()
      backend.onRemoved.delete(onBackendRemoved)
      progress.currentExchange = undefined
      const freeCapacity = () => {
        reservation.release()
        options.onCapacityFreed(service)
      }
      if (progress.heldAnswer?.exchange === exchange) void progress.heldAnswer.ended.then(freeCapacity)
      else freeCapacity()
    }
  }

  async function endWithoutResponse ({ route }: ForwardedRequest, progress: RequestProgress, { reservation: { backend }, exchange, endAttempt, uncountAttempt }: SentAttempt, { kind, reason }: ExchangeFailure): Promise<AttemptOutcome> {
    if (kind !== 'lost') {
      progress.connectAttempts++
      uncountAttempt()
      progress.hasFailed = true
      endAttempt('not_run')
      // A connection that was given up with its request, at the deadline or when the caller left, has not failed.
      if (kind === 'not_sent' && !progress.isFinished && reason !== QUARANTINE_REASON) options.recordConnection(backend, false)
      return { kind: 'next', reason, backend }
    }
    progress.mayHaveRun = true
    endAttempt('failed')
    if (!exchange.isAborted()) await progress.crashEvidence.recordLostResponse(backend)
    return retryOrFail(route, backend, reason)
  }

  /**
   * Sends the request to the reserved backend server while the running attempt goes on, and returns whether it has been taken:
   * the response has begun, or no refusal has come for a short time. The attempt is due no longer if the running one has
   * made progress meanwhile.
   */
  async function offer (forwarded: ForwardedRequest, progress: RequestProgress, deadlineMs: number, reserved: BackendAttempt, { isDue, lastEventId }: { isDue: () => boolean, lastEventId: number | undefined }): Promise<boolean> {
    const { currentExchange: running } = progress
    if (findObstacle(forwarded, progress, deadlineMs, true)) {
      replacements.release(forwarded, progress)
      return false
    }
    progress.replacement = undefined
    const sent = send(forwarded, progress, deadlineMs, reserved, lastEventId)
    const result = await Promise.race([sent.exchange.result, clock.sleep(REFUSAL_WAIT_MS).then(readPendingInput)])
    const isWanted = !progress.isFinished && (progress.currentExchange !== running || isDue())
    if (isWanted && !(result && isRefusal(result))) {
      progress.taken = sent
      return true
    }
    if (result && isRefusal(result)) await endRefused(forwarded, progress, sent, result)
    else {
      progress.mayHaveRun = true
      sent.endAttempt('abandoned')
    }
    withdraw(forwarded.service, sent)
    replacements.release(forwarded, progress)
    return false
  }

  async function endRefused (forwarded: ForwardedRequest, progress: RequestProgress, sent: SentAttempt, result: ExchangeResult): Promise<void> {
    const { reservation: { backend }, exchange, endAttempt, uncountAttempt } = sent
    if (result.kind !== 'head') await endWithoutResponse(forwarded, progress, sent, result)
    else if (!rejectResponse(forwarded, progress, { backend, exchange, head: result.head, endAttempt, uncountAttempt })) endAttempt('failed')
    log.request('replacement_refused', { id: forwarded.request.id, backendServer: backend.entry.id, reason: result.kind === 'head' ? `status ${result.head.status}` : result.reason, attempts: progress.attempts })
  }

  /** Gives up what an attempt holds whose response is not used. */
  function withdraw (service: ServiceId, { reservation, exchange }: SentAttempt): void {
    exchange.abort('not needed')
    reservation.release()
    options.onCapacityFreed(service)
  }

  function takeRetry (service: ServiceId, fraction = 1): boolean {
    const wasTaken = retryAllowance(service).tryTake(fraction)
    if (!wasTaken) metrics.count('retries', 'budget_exhausted')
    return wasTaken
  }

  return { forward }
}

export type Forwarder = ReturnType<typeof createForwarder>
