/**
 * Client of the rating service: sends a sample of the answers and polls for their ratings, which come late and not for
 * all of them. Each rating is observed together with the outcome it belongs to. The service may be slow or down; no
 * request waits for it.
 */
import Wreck from '@hapi/wreck'
import { z } from 'zod'
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { VersionOutcome } from '../routing/types.ts'
import { createLru } from '../session/lru.ts'
import { MAX_PENDING_RATINGS, MAX_SUBMISSIONS, MAX_TEXT_CHARACTERS, RATING_TIMEOUT_MS, RENUMBERED_AFTER_MS } from './constants.ts'
import type { RatableAnswer, RatingClient } from './types.ts'

export type * from './types.ts'

const ratingsSchema = z.object({
  ratings: z.array(z.object({ sequence: z.number(), request: z.string(), version: z.string(), rating: z.number().min(0).max(1) }))
})

export interface RatingClientOptions {
  /** Base URL; empty when there is no rating service. */
  url: string
  observe: (outcome: VersionOutcome) => void
  /** Share of the plain answers that are sent. */
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
  let submissions = 0
  let lastSequence = 0
  let lastRatingMs = clock.now()
  let failing = false
  let polling = false
  let stopTimer: TimerCancel | undefined

  async function submit ({ request, outcome, prompt, answer }: RatableAnswer): Promise<void> {
    const key = keyOf(request, outcome.version)
    const payload = { request, version: outcome.version, prompt: cut(prompt), answer: cut(answer) }
    // Noted before the service can have rated it.
    if (pending.size() === 0) lastRatingMs = clock.now()
    pending.set(key, outcome)
    submissions++
    try {
      await wreck.post('/ratings', { payload: JSON.stringify(payload), headers: { 'content-type': 'application/json' } })
      metrics.count('ratings', 'submitted')
    } catch (error) {
      pending.delete(key)
      metrics.count('ratings', 'submit_failed')
      noteFailure(error)
    } finally {
      submissions--
    }
  }

  async function poll (): Promise<void> {
    if (polling || pending.size() === 0) return
    polling = true
    try {
      const { payload } = await wreck.get<unknown>(`/ratings?after=${lastSequence}`, { json: 'force' })
      const { ratings } = ratingsSchema.parse(payload)
      if (failing) log.info('rating service answers again')
      failing = false
      for (const rating of ratings) accept(rating)
      noteNumbering(ratings.length)
    } catch (error) {
      metrics.count('ratings', 'poll_failed')
      noteFailure(error)
    } finally {
      polling = false
    }
  }

  function accept ({ sequence, request, version, rating }: z.infer<typeof ratingsSchema>['ratings'][number]): void {
    lastSequence = Math.max(lastSequence, sequence)
    const key = keyOf(request, version)
    const outcome = pending.get(key)
    // Ratings of other VMs' answers are in the list as well.
    if (!outcome) return
    pending.delete(key)
    metrics.count('ratings', 'received')
    observe({ ...outcome, rating })
  }

  function noteNumbering (received: number): void {
    if (received > 0) lastRatingMs = clock.now()
    if (clock.now() - lastRatingMs < RENUMBERED_AFTER_MS) return
    lastSequence = 0
    lastRatingMs = clock.now()
  }

  function noteFailure (error: unknown): void {
    if (!failing) log.warn('rating service does not answer; versions are judged without ratings', { error: errorMessage(error) })
    failing = true
  }

  return {
    offer (answer) {
      if (url === '' || answer.outcome.failed) return
      if (!answer.explores && random() >= sampleShare) return
      if (submissions >= MAX_SUBMISSIONS) return metrics.count('ratings', 'too_many_submissions')
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

function keyOf (request: string, version: string): string {
  return `${request} ${version}`
}

function cut (text: string): string {
  return text.slice(0, MAX_TEXT_CHARACTERS)
}
