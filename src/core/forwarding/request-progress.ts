/** State of one forwarded request over all of its attempts. */
import type { Backend, Reservation } from '../backend-pool/types.ts'
import type { ChoiceReason, Verdict } from '../cascade/model-choice.ts'
import type { ErrorName } from '../errors/index.ts'
import type { ModelId, VmId } from '../ids/index.ts'
import type { AttemptEnd } from '../pacing/index.ts'
import type { CrashEvidence } from './crash-evidence.ts'
import type { Exchange } from './exchange.ts'
import type { ForwardedRequest } from './forward.ts'
import type { HeldAnswer } from './held-answer.ts'
import type { PendingReplacement, ReservedAttempt } from './replacement.ts'

/** What earlier attempts of a request have shown. */
export interface EarlierSends {
  /** In the order of the attempts. */
  triedBackends: ReadonlySet<Backend>
  /** Whether a backend server failed in one of them, rather than refusing the request or answering with low confidence. */
  hasFailed: boolean
}

/** The last two keep a low-confidence answer for lack of a retry, or of a backend server for another attempt. */
export type AnswerVerdict = Verdict | 'no_retry' | 'no_capacity'

/** An attempt whose request has been sent. */
export interface SentAttempt {
  reservation: Reservation
  exchange: Exchange
  sentMs: number
  recordEvent(): void
  endAttempt(end: AttemptEnd): void
  /** Takes the attempt back, because no backend server has got the request, and leaves its retry to the next one. */
  uncountAttempt(): void
}

export interface RequestProgress extends EarlierSends {
  /** Number of times that the request was sent to a backend server, including the current attempt. */
  attempts: number
  /** Number of times that other VMs have sent it, or may have: the one that handed it on, or those that it was handed to. */
  earlierAttempts: number
  /** Limit of `attempts` and `earlierAttempts` together. */
  maxAttempts: number
  /** Other VMs that the request was to go through. */
  triedPeers: Set<VmId>
  connectAttempts: number
  /** Number of times that a wrong backend server answered; these are not attempts. */
  misdirectedSends: number
  /** Whether a backend server may have run the request. */
  mayHaveRun: boolean
  lastEventId: number | undefined
  model: ModelId | undefined
  /** Why the first attempt went to its model. */
  choice: ChoiceReason | undefined
  /** Why the latest answer was kept or not. */
  verdict: AnswerVerdict | undefined
  /** Low-confidence answer that is delivered if the larger model does not answer. */
  heldAnswer: HeldAnswer | undefined
  triedBackends: Set<Backend>
  /** Whether the retry for the next attempt has already been taken from the allowance. */
  retryReserved: boolean
  /** What the next attempt needs, reserved while the current one is running. */
  replacement: ReservedAttempt | undefined
  pendingReplacement: PendingReplacement | undefined
  /** Resolves when it is known whether the backend server of a replacement has taken the request; never rejects. */
  offer: Promise<boolean> | undefined
  /** Replacement whose backend server has taken the request. */
  taken: SentAttempt | undefined
  /** Wait for capacity of the latest attempt, and why; for the log. */
  capacityWait?: { waitedMs: number, waitReason: string } | undefined
  /** Why the latest attempt got no capacity, if teams share it fairly; with the error unless it is the usual one, and the time until capacity is expected, if known. */
  capacityRefusal?: { reason: string, error?: ErrorName, expectedMs?: number } | undefined
  isAbandoned: boolean
  crashEvidence: CrashEvidence
  currentExchange: Exchange | undefined
  isFinished: boolean
}

export function createRequestProgress ({ request, route }: ForwardedRequest, crashEvidence: CrashEvidence): RequestProgress {
  return {
    attempts: 0,
    earlierAttempts: request.origin?.attempts ?? 0,
    maxAttempts: Math.min(route.maxAttempts, request.origin ? request.origin.attempts + request.origin.maxAttempts : Infinity),
    triedPeers: new Set(),
    connectAttempts: 0,
    misdirectedSends: 0,
    mayHaveRun: false,
    lastEventId: request.lastEventId,
    model: request.model ?? route.models[0],
    choice: undefined,
    verdict: undefined,
    heldAnswer: undefined,
    triedBackends: new Set(),
    hasFailed: false,
    retryReserved: false,
    replacement: undefined,
    pendingReplacement: undefined,
    offer: undefined,
    taken: undefined,
    isAbandoned: false,
    crashEvidence,
    currentExchange: undefined,
    isFinished: false
  }
}
