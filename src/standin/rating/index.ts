/**
 * Rating service stand-in: `POST /ratings` accepts `{ request, version, prompt, answer }` at once. A sample of
 * the answers is rated: after a delay, `GET /ratings?after=N` returns the quality of the version with added noise,
 * limited to the range from 0 to 1.
 */
import { performance } from 'node:perf_hooks'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { listen, readJson, sendJson } from '../http.ts'
import { createRandom } from '../random.ts'

export interface RatingOptions {
  host?: string
  /** 0 selects a free port. */
  port?: number
  /** True quality of each version, from 0 to 1. */
  quality?: Record<string, number>
  /** Half the width of the uniform noise distribution. */
  noise?: number
  /** Share of the answers that get a rating. */
  sampleShare?: number
  /** Delay until a rating is returned, milliseconds. */
  lagMs?: number
  seed?: number
}

export interface Rating {
  sequence: number
  request: string
  version: string
  rating: number
}

export interface RatingStandIn {
  address: string
  /** Can be changed while the service runs. */
  quality: Record<string, number>
  /** Number of answers submitted so far. */
  received: () => number
  close(): Promise<void>
  kill(): Promise<void>
}

interface Submission {
  request: string
  version: string
  prompt: string
  answer: string
}

const DEFAULT_QUALITY = 0.8
const MAX_RATINGS = 10_000

/** Starts a rating service stand-in on a TCP port. */
export async function startRating (options: RatingOptions = {}): Promise<RatingStandIn> {
  const { host, port, noise = 0.1, sampleShare = 0.2, lagMs = 100, seed = 1 } = options
  const quality = { ...options.quality }
  const random = createRandom(seed)
  let ratings: (Rating & { dueMs: number })[] = []
  let received = 0

  function recordSubmission ({ request, version }: Submission): void {
    received++
    if (random() >= sampleShare) return
    const noisyQuality = (quality[version] ?? DEFAULT_QUALITY) + (random() * 2 - 1) * noise
    const rating = Math.min(1, Math.max(0, noisyQuality))
    ratings.push({ sequence: received, request, version, rating, dueMs: performance.now() + lagMs })
    if (ratings.length > MAX_RATINGS) ratings = ratings.slice(-MAX_RATINGS)
  }

  async function route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://rating')
    if (url.pathname === '/health') return sendJson(response, 200, { state: 'warm' })
    if (url.pathname !== '/ratings') return sendJson(response, 404, { error: { message: 'not found' } })
    if (request.method === 'POST') {
      recordSubmission(await readJson<Submission>(request))
      return sendJson(response, 202, {})
    }
    const after = Number(url.searchParams.get('after') ?? 0)
    const due = ratings.filter(rating => rating.sequence > after && rating.dueMs <= performance.now())
    sendJson(response, 200, { ratings: due.map(({ dueMs, ...rating }) => rating) })
  }

  const http = await listen(route, { host, port })
  return { address: http.address, quality, received: () => received, close: http.close, kill: http.kill }
}
