/**
 * Client of the rating service: submits a sample of the answers and polls for their ratings, which may arrive late or
 * not at all. Each rating is passed to `observe` with the outcome of its answer. The service may be slow or down;
 * requests do not wait for it.
 */
import Wreck from '@hapi/wreck'
import { z } from 'zod'
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { VersionOutcome } from '../routing/types.ts'
import { createLru } from '../session/lru.ts'
import { MAX_PENDING_RATINGS, MAX_ACTIVE_SUBMISSIONS, MAX_TEXT_CHARACTERS, RATING_TIMEOUT_MS, SEQUENCE_RESET_AFTER_MS } from './constants.ts'
import type { RatableAnswer, RatingClient } from './types.ts'

export type * from './types.ts'

const ratingsSchema = z.object({
  ratings: z.array(z.object({ sequence: z.number(), request: z.string(), version: z.string(), rating: z.number().min(0).max(1) }))
})

export interface RatingClientOptions {
  /** Base URL; empty when there is no rating service. */
  url: string
  observe: (outcome: VersionOutcome) => void
  /** Share of the answers that are submitted; answers to exploration requests are submitted regardless of it. */
  sampleShare?: number
  pollPeriodMs?: number
  timeoutMs?: number
  maxPending?: number
  random?: () => number
  clock: Clock
  metrics: Metrics
  log: Log
}

export function createRatingClient (options: RatingClientOptions): RatingClient {
  const { url, observe, clock, metrics, log } = options
  const { sampleShare = 0.1, pollPeriodMs = 1000, timeoutMs = RATING_TIMEOUT_MS } = options
  const { maxPending = MAX_PENDING_RATINGS, random = Math.random } = options
  const wreck = Wreck.defaults({ baseUrl: url.replace(/\/$/, ''), timeout: timeoutMs })
  const pending = createLru<VersionOutcome>(maxPending)
  let activeSubmissions = 0
  let lastSequence = 0
  let lastRatingMs = clock.now()
  let isFailing = false
  let isPolling = false
  let stopTimer: TimerCancel | undefined

  async function submit ({ request, outcome, prompt, answer }: RatableAnswer): Promise<void> {
    const key = pendingKey(request, outcome.version)
    const payload = { request, version: outcome.version, prompt: truncate(prompt), answer: truncate(answer) }
    // Added before the request, because the service may return the rating before the submission completes.
    if (pending.size() === 0) lastRatingMs = clock.now()
    pending.set(key, outcome)
    activeSubmissions++
    try {
      await wreck.post('/ratings', { payload: JSON.stringify(payload), headers: { 'content-type': 'application/json' } })
      metrics.count('ratings', 'submitted')
    } catch (error) {
      pending.delete(key)
      metrics.count('ratings', 'submit_failed')
      recordFailure(error)
    } finally {
      activeSubmissions--
    }
  }

  async function poll (): Promise<void> {
    if (isPolling || pending.size() === 0) return
    isPolling = true
    try {
      const { payload } = await wreck.get<unknown>(`/ratings?after=${lastSequence}`, { json: 'force' })
      const { ratings } = ratingsSchema.parse(payload)
      if (isFailing) log.info('rating service answers again')
      isFailing = false
      for (const rating of ratings) applyRating(rating)
      resetStaleSequence(ratings.length)
    } catch (error) {
      metrics.count('ratings', 'poll_failed')
      recordFailure(error)
    } finally {
      isPolling = false
    }
  }

  function applyRating ({ sequence, request, version, rating }: z.infer<typeof ratingsSchema>['ratings'][number]): void {
    lastSequence = Math.max(lastSequence, sequence)
    const key = pendingKey(request, version)
    const outcome = pending.get(key)
    // The list also contains ratings of other VMs' answers.
    if (!outcome) return
    pending.delete(key)
    metrics.count('ratings', 'received')
    observe({ ...outcome, rating })
  }

  function resetStaleSequence (received: number): void {
    if (received > 0) lastRatingMs = clock.now()
    if (clock.now() - lastRatingMs < SEQUENCE_RESET_AFTER_MS) return
    lastSequence = 0
    lastRatingMs = clock.now()
  }

  function recordFailure (error: unknown): void {
    if (!isFailing) log.warn('rating service does not answer; versions are evaluated without ratings', { error: errorMessage(error) })
    isFailing = true
  }

  return {
    offer (answer) {
      if (url === '' || answer.outcome.failed) return
      if (!answer.explores && random() >= sampleShare) return
      if (activeSubmissions >= MAX_ACTIVE_SUBMISSIONS) return metrics.count('ratings', 'too_many_submissions')
      void submit(answer)
    },
    pending: pending.size,
    start () {
      if (url !== '') stopTimer ??= clock.every(pollPeriodMs, () => { void poll() })
    },
    stop () {
      stopTimer?.()
      stopTimer = undefined
    }
  }
}

function pendingKey (request: string, version: string): string {
  return `${request} ${version}`
}

function truncate (text: string): string {
  return text.slice(0, MAX_TEXT_CHARACTERS)
}
