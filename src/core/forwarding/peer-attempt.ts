/**
 * An attempt through another VM, for requests of a service that this VM is cut off from. The other VM decides everything
 * about the backend servers and repeats attempts itself; this one keeps the deadline, passes the response on, and tries
 * a further VM if nothing has run or the request may be repeated.
 */
import type { Clock } from '../clock/index.ts'
import { catalogueEntry, type ErrorName } from '../errors/index.ts'
import { CATALOGUE } from '../errors/catalogue.ts'
import { brandId, type ModelId } from '../ids/index.ts'
import type { DecisionLog } from '../logging/decision-log.ts'
import type { Metrics } from '../metrics/index.ts'
import { MAX_PEERS_TRIED, PEER_RESPONSE_MARGIN_MS, PEER_STALL_FACTOR } from '../peer-forwarding/constants.ts'
import { FORWARDED_ERROR_HEADER, FORWARDED_MODEL_HEADER, FORWARDED_UNFRAMED_HEADER, withoutHeader, type PeerConnection, type PeerForwarding } from '../peer-forwarding/index.ts'
import type { ReadPace } from '../resource-limits/index.ts'
import { firstResponseTimeoutMs, retryOrFail, type AttemptOutcome } from './attempt-outcome.ts'
import { startAddressedExchange, type Codec, type Exchange, type ExchangeResult } from './exchange.ts'
import type { ForwardedRequest } from './forward.ts'
import { pollAfter } from './poll-after.ts'
import { readResponse, relayEvents } from './relay.ts'
import type { RequestProgress } from './request-progress.ts'
import type { ResponseBody } from './response-body.ts'
import { isRepeatable } from './route-table.ts'
import type { BackendResponseHead, Route } from './types.ts'

export interface PeerAttemptsOptions {
  peers: PeerForwarding
  codec: Pick<Codec, 'decodeBackendHead'>
  /** Limits the time that is spent on what backend servers and other VMs send. */
  pace: ReadPace
  /** Version of the configuration in force. */
  configVersion: () => number
  /** Takes a retry and a way for another attempt, which is still due then. */
  reserveFailover(forwarded: ForwardedRequest, progress: RequestProgress, deadlineMs: number, isDue: () => boolean): Promise<boolean>
  /** Whether the request may still be sent. */
  mayStillSend(forwarded: ForwardedRequest, progress: RequestProgress): boolean
  clock: Clock
  log: DecisionLog
  metrics: Metrics
}

type PeerResponse = Extract<ExchangeResult, { kind: 'head' }>

/** Errors of the other VM itself, after which a further one may serve the request. */
const VM_ERRORS: ReadonlySet<string> = new Set<ErrorName>(['vm_leaving', 'vm_not_ready', 'vm_cut_off', 'vm_outdated', 'keys_unproven', 'memory_short'])

export function createPeerAttempts ({ peers, codec, pace, configVersion, reserveFailover, mayStillSend, clock, log, metrics }: PeerAttemptsOptions) {
  /** Opens a connection to a VM that may serve the request; tries several. */
  async function openPeer ({ service }: ForwardedRequest, { triedPeers }: RequestProgress): Promise<PeerConnection | undefined> {
    while (triedPeers.size < MAX_PEERS_TRIED) {
      const tried = triedPeers.size
      const peer = await peers.open(service, triedPeers)
      if (peer) return peer
      if (triedPeers.size === tried) return undefined
    }
    return undefined
  }

  /** Sends the request to the other VM and passes its response on; the retry of a repeated request has been taken. */
  async function send (forwarded: ForwardedRequest, progress: RequestProgress, deadlineMs: number, { vm, address, connection }: PeerConnection): Promise<AttemptOutcome> {
    const { request, route, body, caller } = forwarded
    const remainingMs = deadlineMs - clock.now()
    const attempts = progress.attempts + progress.earlierAttempts
    const grantedAttempts = attemptsToGrant(route, progress.maxAttempts - attempts)
    progress.retryReserved = false
    progress.attempts++
    // Without a response, the other VM may have made all of them.
    progress.earlierAttempts += grantedAttempts - 1
    const uncountAttempt = () => {
      progress.attempts--
      progress.earlierAttempts -= grantedAttempts - 1
      // The retry of an attempt that no backend server has got is left to the next one.
      progress.retryReserved = progress.attempts > 0
    }
    const continued = progress.lastEventId === request.lastEventId ? {} : { lastEventId: progress.lastEventId, model: progress.model }
    log.request('handed_on', { id: request.id, route: route.name, to: vm, attempts, lastEventId: continued.lastEventId, remainingMs: Math.round(remainingMs) })
    const exchange = startAddressedExchange({
      address,
      request,
      headers: peers.encodeHeaders(request, vm, { remainingMs: Math.max(0, Math.floor(remainingMs)), attempts, maxAttempts: grantedAttempts, configVersion: configVersion(), ...continued }, body?.bytes ?? 0),
      body,
      decodeHead: (status, headers, raw) => codec.decodeBackendHead(request, status, headers, raw),
      claim: caller.claim,
      pace,
      mayStillSend: () => mayStillSend(forwarded, progress),
      connection
    })
    progress.currentExchange = exchange
    const endHandingOn = peers.begin(vm)
    let awaitsResponse = true
    const stopResponsePoll = pollAfter(clock, firstResponseTimeoutMs(route, { remainingMs }) + PEER_RESPONSE_MARGIN_MS, async () => {
      const isReserved = await reserveFailover(forwarded, progress, deadlineMs, () => awaitsResponse)
      if (isReserved) exchange.abort('no response in time')
      return isReserved
    })
    const cancelResponseTimer = () => {
      awaitsResponse = false
      stopResponsePoll()
    }
    try {
      const result = await exchange.result
      if (result.kind === 'head') return await handleResponse(forwarded, progress, { ...result, exchange, deadlineMs, cancelResponseTimer, uncountAttempt, vm })
      if (result.kind !== 'lost') {
        uncountAttempt()
        return { kind: 'next', reason: result.reason }
      }
      progress.mayHaveRun = true
      metrics.count('peer_forwarding', 'lost')
      return retryOrFail(route, undefined, result.reason)
    } finally {
      cancelResponseTimer()
      endHandingOn()
      progress.currentExchange = undefined
    }
  }

  interface ReceivedResponse extends PeerResponse { exchange: Exchange, deadlineMs: number, cancelResponseTimer: () => void, uncountAttempt: () => void, vm: PeerConnection['vm'] }

  async function handleResponse (forwarded: ForwardedRequest, progress: RequestProgress, response: ReceivedResponse): Promise<AttemptOutcome> {
    const { exchange, head, body, uncountAttempt, vm } = response
    const error = headerOf(body, FORWARDED_ERROR_HEADER)
    if (error !== undefined) {
      exchange.abort('refused')
      return endWithError(forwarded, progress, { error, status: head.status, retryAfterMs: retryAfterMs(body), uncountAttempt })
    }
    progress.mayHaveRun = true
    if (!head.authentic) {
      exchange.abort('response is not authentic')
      return retryOrFail(forwarded.route, undefined, 'response is not authentic')
    }
    const outcome = forwarded.route.kind === 'streaming' && head.status < 300 ? await relayStream(forwarded, progress, response) : await sendPlain(forwarded, response)
    metrics.count('peer_forwarding', outcome.kind === 'done' ? 'answered' : 'broken')
    if (outcome.kind === 'done') log.request('answered', { id: forwarded.request.id, route: forwarded.route.name, status: head.status, through: vm, attempts: progress.attempts, afterMs: Math.round(clock.now() - forwarded.receivedMs) })
    return outcome
  }

  /** Another VM is tried after an error of the receiver itself; any other error is that of the request. */
  function endWithError ({ route }: ForwardedRequest, progress: RequestProgress, { error, status, retryAfterMs, uncountAttempt }: { error: string, status: number, retryAfterMs: number | undefined, uncountAttempt: () => void }): AttemptOutcome {
    metrics.count('peer_forwarding', VM_ERRORS.has(error) ? 'refused' : 'failed')
    const name = isErrorName(error) ? error : 'backend_failed'
    if (VM_ERRORS.has(name)) {
      uncountAttempt()
      return { kind: 'next', reason: name }
    }
    const isNotRun = catalogueEntry(name).run === 'not_run'
    if (!isNotRun) progress.mayHaveRun = true
    // One attempt was not granted to the receiver, see attemptsToGrant.
    if (name === 'backend_failed') return retryOrFail(route, undefined, 'failed at another VM')
    return { kind: 'failed', error: progress.mayHaveRun && (isNotRun || status === 503) ? 'backend_failed' : name, reason: 'failed at another VM', retryAfterMs }
  }

  async function relayStream (forwarded: ForwardedRequest, progress: RequestProgress, { exchange, head, body, deadlineMs, cancelResponseTimer }: ReceivedResponse): Promise<AttemptOutcome> {
    const { route, caller } = forwarded
    const model = headerOf(body, FORWARDED_MODEL_HEADER)
    if (model !== undefined) progress.model = brandId<ModelId>(model)
    const relayed = await relayEvents({
      backend: { lastReceivedMs: clock.now() },
      stallFactors: { sending: PEER_STALL_FACTOR, silent: PEER_STALL_FACTOR },
      exchange,
      head: { ...head, headers: withoutHeader(head.headers, FORWARDED_MODEL_HEADER) },
      body,
      caller,
      route,
      lastEventId: progress.lastEventId,
      reserveFailover: isDue => reserveFailover(forwarded, progress, deadlineMs, isDue),
      hasBackendEnded: async () => false,
      endPrompt () {},
      cancelResponseTimer,
      onFirstEvent () {},
      recordEvent () {},
      clock
    })
    progress.lastEventId = relayed.lastEventId
    return relayed.kind === 'complete' ? { kind: 'done' } : retryOrFail(route, undefined, relayed.reason)
  }

  async function sendPlain ({ route, caller }: ForwardedRequest, { exchange, head, body }: { exchange: Exchange, head: BackendResponseHead, body: ResponseBody }): Promise<AttemptOutcome> {
    const bytes = await readResponse(body, exchange, caller.claim)
    if (!bytes) return retryOrFail(route, undefined, 'response truncated or too large')
    if (caller.hasStarted()) return { kind: 'failed', error: 'answer_truncated', reason: `status ${head.status} after a part of the response` }
    // The other VM knows that the backend server's own framing did not mark the end.
    const isFramed = body.isFramed && headerOf(body, FORWARDED_UNFRAMED_HEADER) === undefined
    caller.sendResponse(head.status, withoutHeader(head.headers, FORWARDED_UNFRAMED_HEADER), bytes, isFramed)
    return { kind: 'done' }
  }

  return { openPeer, send }
}

function headerOf ({ headers }: ResponseBody, name: string): string | undefined {
  const value = headers[name.toLowerCase()]
  return typeof value === 'string' ? value : undefined
}

/** In milliseconds; `undefined` if the response does not say. */
function retryAfterMs ({ headers }: ResponseBody): number | undefined {
  const seconds = Number(headers['retry-after'] ?? NaN)
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : undefined
}

function isErrorName (name: string): name is ErrorName {
  return Object.hasOwn(CATALOGUE, name)
}

/** The receiver gets all attempts but one that is kept for the loss of the receiver, and at least two, as its backend servers fail more often than it does. */
function attemptsToGrant (route: Route, left: number): number {
  return isRepeatable(route) && left > 2 ? left - 1 : left
}
