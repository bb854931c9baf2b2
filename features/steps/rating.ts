import assert from 'node:assert/strict'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createRandom } from '../../src/bench/random.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type RequestId, type VersionId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import { createRatingClient, type RatableAnswer, type RatingClient } from '../../src/core/rating/index.ts'
import type { VersionOutcome } from '../../src/core/routing/types.ts'

const SEED = 20261204

interface RatingWorld {
  ratingServer?: Server
  clock: ManualClock
  metrics: Metrics
  ratingClient: RatingClient
  observed: VersionOutcome[]
  submitted: { request: string, version: string }[]
  /** Sequence number of the first rating. */
  firstSequence: number
}

function handleRequest (world: RatingWorld, fault: string, request: IncomingMessage, response: ServerResponse): void {
  let body = ''
  request.on('data', chunk => { body += chunk })
  request.on('end', () => {
    if (request.method === 'POST') {
      world.submitted.push(JSON.parse(body))
      response.writeHead(202).end('{}')
      return
    }
    const after = Number(new URL(request.url!, 'http://rating').searchParams.get('after'))
    const ratings = world.submitted.map(({ request: id, version }, index) => ({ sequence: world.firstSequence + index, request: id, version, rating: 0.5 }))
    response.end(fault === 'answers nonsense' ? '{"ratings":[{}]}' : JSON.stringify({ ratings: ratings.filter(({ sequence }) => sequence > after) }))
  })
}

function startClient (world: RatingWorld, url: string, maxPending?: number): void {
  world.ratingClient = createRatingClient({
    url, maxPending, observe: outcome => world.observed.push(outcome), random: createRandom(SEED), clock: world.clock, metrics: world.metrics, log: silentLog
  })
  world.ratingClient.start()
}

function createAnswer (number: number, explores: boolean): RatableAnswer {
  const version = brandId<VersionId>(`v${number}`)
  const outcome = { team: 'kits', requestClass: 'teacher', version, failed: false, costMicros: number }
  return { request: brandId<RequestId>(`r${number}`), outcome, prompt: 'p', answer: 'a', explores }
}

const serverUrl = ({ ratingServer }: RatingWorld) => `http://127.0.0.1:${(ratingServer!.address() as AddressInfo).port}`

/** Waits for network I/O, which the manual clock does not control. */
async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 2))
}

async function offerAnswers (world: RatingWorld, count: number, explores: boolean): Promise<void> {
  for (let number = 0; number < count; number++) {
    const { metrics, ratingClient: client } = world
    const countSubmissions = () => metrics.value('ratings', 'submitted') + metrics.value('ratings', 'submit_failed')
    const submissionsBefore = countSubmissions()
    const pendingBefore = client.pending()
    client.offer(createAnswer(number, explores))
    if (explores || client.pending() > pendingBefore) await waitUntil(() => countSubmissions() > submissionsBefore)
  }
}

Given(/^rating service that (rates every answer|is down|answers nonsense)$/, async function (this: RatingWorld, fault: string) {
  this.clock = createManualClock()
  this.metrics = createMetrics()
  this.observed = []
  this.submitted = []
  this.firstSequence = 1
  this.ratingServer = createServer((request, response) => handleRequest(this, fault, request, response))
  await new Promise<void>(resolve => this.ratingServer!.listen(0, '127.0.0.1', resolve))
  startClient(this, serverUrl(this))
  if (fault === 'is down') await new Promise(resolve => this.ratingServer!.close(resolve))
})

After(async function (this: RatingWorld) {
  this.ratingServer?.closeAllConnections()
  this.ratingServer?.close()
})

When('rating client offers {int} explored answers and polls', async function (this: RatingWorld, count: number) {
  await offerAnswers(this, count, true)
  await this.clock.advance(1000)
  const polled = () => this.observed.length + this.metrics.value('ratings', 'poll_failed')
  if (this.ratingClient.pending() > 0) await waitUntil(() => polled() > 0)
})

When('rating client offers {int} answers without exploration one at a time', async function (this: RatingWorld, count: number) {
  await offerAnswers(this, count, false)
})

When('rating client offers {int} explored answers with at most {int} pending ratings', async function (this: RatingWorld, count: number, maxPending: number) {
  startClient(this, serverUrl(this), maxPending)
  await offerAnswers(this, count, true)
})

When('rating client has read up to sequence {int} and the service restarts', async function (this: RatingWorld, sequence: number) {
  this.firstSequence = sequence
  await offerAnswers(this, 1, true)
  await this.clock.advance(1000)
  await waitUntil(() => this.observed.length === 1)
  this.observed = []
  this.submitted = []
  this.firstSequence = 1
  this.ratingClient.offer(createAnswer(2, true))
  await waitUntil(() => this.submitted.length === 1)
  while (this.observed.length === 0 && this.clock.now() < 300_000) {
    await this.clock.advance(1000)
    await new Promise(resolve => setTimeout(resolve, 2))
  }
})

Then('rating client observed {int} ratings with the matching outcomes', function (this: RatingWorld, count: number) {
  assert.equal(this.observed.length, count)
  for (const { version, costMicros, rating } of this.observed) assert.deepEqual([version, rating], [`v${costMicros}`, 0.5])
})

Then('rating service received between {int} and {int} answers', function (this: RatingWorld, minAnswers: number, maxAnswers: number) {
  assert.ok(this.submitted.length >= minAnswers && this.submitted.length <= maxAnswers, `${this.submitted.length}, seed ${SEED}`)
})

Then('rating client counted {string}', function (this: RatingWorld, reason: string) {
  assert.ok(this.metrics.value('ratings', reason) > 0)
})

Then('rating client has {int} pending ratings', function (this: RatingWorld, count: number) {
  assert.equal(this.ratingClient.pending(), count)
})
