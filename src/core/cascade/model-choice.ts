/**
 * Chooses the model that answers a request first on the forwarding path, and judges whether its answer is kept. There is
 * no rating of answers on this path: only the confidence in the head of a response is known.
 *
 * A request starts with the smallest model and is escalated to the largest if the confidence is low. Each escalation needs
 * one of the few retries that a VM may send. With half of the answers below the threshold and a few requests per second
 * at each VM, the retries run out time and again, and poor answers are delivered. While they are scarce, a part of the
 * requests therefore starts with the largest model, which needs no retry: those that cost the engines little first, and
 * only while the engines have spare capacity and the model answers within the latency target.
 */
import type { Clock } from '../clock/index.ts'
import type { ModelId, ServiceId } from '../ids/index.ts'
import { createAnswerStatistics } from './answer-statistics.ts'
import { busyFraction, escalationConfidence, IDLE_CONFIDENCE } from './confidence.ts'

/** Retries that escalations may still use, and the limit of the window. */
export interface EscalationAllowance { left: number, limit: number }

export interface ChoiceRequest {
  service: ServiceId
  route: string
  /** Models to choose from, smallest first. */
  models: readonly ModelId[]
  /** Model that the caller requests, if any. */
  requestedModel: ModelId | undefined
  promptTokens: number
  /** Expected number of tokens in the answer; 0 if unknown. */
  outputTokens: number
  targetLatencyMs: number
}

export type ChoiceReason = 'requested' | 'smallest' | 'most_escalate' | 'retries_short' | 'confidence_uninformative'

export interface FirstModel { model: ModelId | undefined, reason: ChoiceReason }

export interface JudgedAnswer {
  model: ModelId | undefined
  confidence: number | undefined
  remainingMs: number
}

/** What happens to an answer. The reasons other than `low_confidence` keep it. */
export type Verdict = 'low_confidence' | 'confident' | 'saved_for_lower' | 'no_time'

export interface ModelChoice {
  first(request: ChoiceRequest): FirstModel
  judge(request: ChoiceRequest, answer: JudgedAnswer): Verdict
  /** Records the time from sending a request to its first event, in milliseconds. */
  recordFirstEvent(request: ChoiceRequest, model: ModelId | undefined, ms: number): void
  /** Records the time from sending a request to the end of its answer, in milliseconds. */
  recordEnd(request: ChoiceRequest, model: ModelId | undefined, ms: number): void
}

export interface ModelChoiceOptions {
  /** Mean load of the service's backend servers, in requests to the largest model. */
  meanLoad(service: ServiceId): number
  /** Slots of each of the service's engines; `undefined` if not configured. */
  slots(service: ServiceId): number | undefined
  /** Relative cost of a model; `undefined` if not configured. */
  cost(service: ServiceId, model: ModelId): number | undefined
  allowance(service: ServiceId): EscalationAllowance
  clock: Clock
  random: () => number
}

/** Answers of a kind that must have been observed before a request starts with another model than the smallest. */
const MIN_ANSWERS = 8
/** Answers of the smallest and of the largest model that must have been observed before their confidences are compared. */
const MIN_ANSWERS_COMPARED = 25
/**
 * The confidence is taken for uninformative if the largest model is unsure about at least this share of its answers, and
 * about nearly as many as the smallest model: in measurements, fewer than 2 in 10 answers of the largest model to escalated
 * requests have a low confidence.
 */
const MIN_UNINFORMATIVE_SHARE = 0.35
const UNINFORMATIVE_RATIO = 0.85
/** Share of low-confidence answers from which on the largest model answers first in any case, if it also costs less then. */
const MOST_ESCALATE_SHARE = 0.85
/** Share of low-confidence answers from which on scarce retries have their full effect on the choice. */
const FULL_EFFECT_LOW_SHARE = 0.4
/**
 * Reserves of retries, in standard deviations of the number of escalations in a window, which is about the square root of
 * its limit. Below the first, requests start with the largest model; below the second, the threshold falls.
 */
const LARGEST_FIRST_RESERVE = 1
const THRESHOLD_RESERVE = 0.5
/**
 * Prompt tokens that take an engine as long as one output token: a step takes about 3 ms and serves the 7 or 8 requests of
 * a half-full batch, and an engine reads about 60 prompt tokens in a millisecond.
 */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 25
/**
 * Engine time of a request, relative to the mean of its service, up to which scarce retries have their full effect. Longer
 * answers of the largest model delay the first events of the longest prompts.
 */
const CHEAP_WORK = 0.8
/** Weight of one request in the mean engine time of a service's requests. */
const WORK_WEIGHT = 0.02
/** Share of the requests that always starts with the smallest model, to notice when its answers become better. */
const PROBE_SHARE = 0.1
/**
 * Part of the latency target within which the largest model must have begun its answers on average. The slowest first
 * event of a hundred takes about ten times the mean, and it must still be in time.
 */
const TARGET_SHARE = 0.1
/** Factor on the mean duration of the largest model's answers that must be left for an escalation. */
const DURATION_MARGIN = 1.2
/** Time in which the choice returns from fully relaxed, under load, to that of idle engines, in milliseconds. */
const RESTORE_MS = 4000

export function createModelChoice ({ meanLoad, slots, cost, allowance, clock, random }: ModelChoiceOptions): ModelChoice {
  const statistics = createAnswerStatistics()
  const meanWork = new Map<ServiceId, number>()
  const relaxations = new Map<ServiceId, { level: number, atMs: number }>()

  /** How scarce the retries for escalations are: 0 while a reserve, in standard deviations, is left, and 1 once none is. */
  function shortage (service: ServiceId, reserve: number): number {
    const { left, limit } = allowance(service)
    return Math.min(1, Math.max(0, 1 - left / Math.max(1, reserve * Math.sqrt(limit))))
  }

  /** Follows the load up at once and down slowly, so that the choice does not swing with the load that it causes. */
  function relaxation (service: ServiceId): number {
    const nowMs = clock.now()
    const previous = relaxations.get(service) ?? { level: 0, atMs: nowMs }
    const level = Math.max(busyFraction(meanLoad(service), slots(service)), previous.level - (nowMs - previous.atMs) / RESTORE_MS)
    relaxations.set(service, { level, atMs: nowMs })
    return level
  }

  /** Engine time of a request relative to the mean of its service. */
  function relativeWork ({ service, promptTokens, outputTokens }: ChoiceRequest): number {
    const work = 1 + promptTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * outputTokens
    const previous = meanWork.get(service) ?? work
    const mean = previous + WORK_WEIGHT * (work - previous)
    meanWork.set(service, mean)
    return work / mean
  }

  function isUninformative (service: ServiceId, smallest: ModelId, largest: ModelId): boolean {
    const small = statistics.lowShare(service, smallest, MIN_ANSWERS_COMPARED)
    const large = statistics.lowShare(service, largest, MIN_ANSWERS_COMPARED)
    return small !== undefined && large !== undefined && large >= Math.max(MIN_UNINFORMATIVE_SHARE, UNINFORMATIVE_RATIO * small)
  }

  /** Share of low-confidence answers from which on it costs less to start with the largest model. */
  function breakEvenShare (service: ServiceId, smallest: ModelId, largest: ModelId): number {
    const small = cost(service, smallest)
    const large = cost(service, largest)
    return small === undefined || large === undefined ? 1 : 1 - small / large
  }

  return {
    first (request) {
      const { service, route, models, requestedModel, targetLatencyMs } = request
      const smallest = models[0]
      const largest = models.at(-1)
      if (requestedModel !== undefined) return { model: requestedModel, reason: 'requested' }
      const isSmallest: FirstModel = { model: smallest, reason: 'smallest' }
      if (smallest === undefined || largest === undefined || smallest === largest) return isSmallest
      const work = relativeWork(request)
      const spare = 1 - relaxation(service)
      const lowShare = statistics.lowShare(route, smallest, MIN_ANSWERS) ?? statistics.lowShare(service, smallest, MIN_ANSWERS)
      const firstEventMs = statistics.durationMs('first', route, largest, clock.now()) ?? 0
      if (lowShare === undefined || firstEventMs > TARGET_SHARE * targetLatencyMs) return isSmallest
      const point = random()
      const largestFirst = (share: number, reason: ChoiceReason): FirstModel => point < share ? { model: largest, reason } : isSmallest
      const mostShare = Math.min(spare, 1 - PROBE_SHARE)
      if (isUninformative(service, smallest, largest)) return largestFirst(mostShare, 'confidence_uninformative')
      if (lowShare >= Math.max(MOST_ESCALATE_SHARE, breakEvenShare(service, smallest, largest))) return largestFirst(mostShare, 'most_escalate')
      const effect = Math.min(1, lowShare / FULL_EFFECT_LOW_SHARE) * Math.min(1, (CHEAP_WORK / work) ** 2)
      return largestFirst(shortage(service, LARGEST_FIRST_RESERVE) * spare * effect, 'retries_short')
    },
    judge ({ service, route, models, requestedModel }, { model, confidence, remainingMs }) {
      const largest = models.at(-1)
      if (requestedModel !== undefined || model === undefined || largest === undefined || confidence === undefined) return 'confident'
      for (const scope of [route, service]) statistics.recordConfidence(scope, model, confidence < IDLE_CONFIDENCE, clock.now())
      if (model === largest) return 'confident'
      const load = meanLoad(service)
      if (confidence >= escalationConfidence(load, slots(service))) return 'confident'
      if (isUninformative(service, models[0]!, largest)) return 'confident'
      if (confidence >= escalationConfidence(load, slots(service), shortage(service, THRESHOLD_RESERVE))) return 'saved_for_lower'
      const durationMs = statistics.durationMs('end', route, largest, clock.now()) ?? 0
      return remainingMs < durationMs * DURATION_MARGIN ? 'no_time' : 'low_confidence'
    },
    recordFirstEvent ({ route }, model, ms) {
      if (model !== undefined) statistics.recordFirstEvent(route, model, ms, clock.now())
    },
    recordEnd ({ route }, model, ms) {
      if (model !== undefined) statistics.recordEnd(route, model, ms, clock.now())
    }
  }
}
