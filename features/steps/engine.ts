import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '../../src/core/clock/index.ts'
import { createEngineClient, createServiceClient, prefixHashes, type CompletionRequest } from '../../src/core/engine/index.ts'
import { brandId, randomId, type RequestId, type VersionId } from '../../src/core/ids/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { generateTokens, startEngine, type EngineOptions, type EngineStandIn } from '../../src/standin/engine/index.ts'
import { startRating, type Rating, type RatingStandIn } from '../../src/standin/rating/index.ts'
import { startCopyingServer, type CopyingServer, type CopyMoment } from '../support/copying-server.ts'

interface EngineWorld {
  engine: EngineStandIn
  instance: string
  answers: string[]
  rating: RatingStandIn
  copyingServer: CopyingServer
  callOnce: () => Promise<string>
}

const client = createEngineClient({ clock: systemClock, metrics: createMetrics() })
const serviceClient = createServiceClient({ clock: systemClock, metrics: createMetrics() })
const TOKENS = 8
const PROMPT = 'long '.repeat(200)

After({ tags: '@engine' }, async function (this: Partial<EngineWorld>) {
  await this.engine?.kill()
  await this.rating?.kill()
  await this.copyingServer?.close()
})

async function startStandIn (world: EngineWorld, options: Partial<EngineOptions>): Promise<void> {
  world.engine = await startEngine({ versions: ['kit-v1'], answerTokens: TOKENS, ...options })
  world.instance = world.engine.state.instance
}

async function complete (world: EngineWorld, request: Partial<CompletionRequest> = {}): Promise<string> {
  const events = client.complete(world.engine.address, {
    request: randomId<RequestId>('req'),
    version: brandId<VersionId>('kit-v1'),
    messages: [{ role: 'user', content: PROMPT }],
    maxTokens: 100,
    priority: 'normal',
    epoch: 1,
    ...request
  }, new AbortController().signal)
  let text = ''
  for await (const event of events) if (event.type === 'delta') text += event.text
  return text
}

Given('an engine stand-in in cold start with an allowance of {int}', async function (this: EngineWorld, coldAllowance: number) {
  await startStandIn(this, { startCold: true, coldAllowance, coldRequests: 2, firstTokenMs: 30 })
})

Given(/^an engine stand-in that (checks|ignores) fencing$/, async function (this: EngineWorld, behaviour: string) {
  await startStandIn(this, { checksFencing: behaviour === 'checks' })
})

Given('an engine stand-in whose cache events are delayed by {int} ms', async function (this: EngineWorld, cacheEventLagMs: number) {
  await startStandIn(this, { cacheEventLagMs })
})

When('the engine client sends {int} requests at once', async function (this: EngineWorld, count: number) {
  const results = await Promise.allSettled(Array.from({ length: count }, () => complete(this)))
  this.answers = results.flatMap(result => result.status === 'fulfilled' ? [result.value] : [])
})

When('the engine stand-in becomes cold without notice', function (this: EngineWorld) {
  this.engine.state.turnCold()
})

When(/^the engine client orders to (load|unload) "(.*)" with epoch (\d+)$/, async function (this: EngineWorld, type: 'load' | 'unload', version: string, epoch: string) {
  // An engine that checks fencing refuses a stale epoch; the scenarios check which versions are loaded afterwards.
  await client.sendCommand(this.engine.address, { type, version: brandId<VersionId>(version) }, Number(epoch)).catch(() => {})
})

When('the engine client sends a request with a long prompt', async function (this: EngineWorld) {
  await complete(this)
})

When('the engine client resumes an answer after {int} of {int} tokens', async function (this: EngineWorld, delivered: number, total: number) {
  const text = generateTokens('kit-v1', PROMPT, total).slice(0, delivered).join('')
  this.answers = [await complete(this, { resumeFrom: { text, tokens: delivered } })]
})

Then('the engine client receives {int} complete answers', function (this: EngineWorld, count: number) {
  assert.deepEqual(this.answers, Array.from({ length: count }, () => generateTokens('kit-v1', PROMPT, TOKENS).join('')))
})

Then('the engine client receives the remaining {int} tokens', function (this: EngineWorld, count: number) {
  assert.deepEqual(this.answers, [generateTokens('kit-v1', PROMPT, TOKENS).slice(-count).join('')])
})

Then('the engine stand-in counted {int} overloads and its instance is {string}', function (this: EngineWorld, overloads: number, instance: string) {
  assert.equal(this.engine.state.stats.overloads, overloads)
  assert.equal(this.engine.state.instance === this.instance, instance === 'the same')
})

Then('the engine client reads the state {string} with an allowance of {int}', async function (this: EngineWorld, state: string, allowance: number) {
  let report = await client.health(this.engine.address, 1000)
  for (let attempts = 0; report.state !== state && attempts < 100; attempts++) report = await client.health(this.engine.address, 1000)
  assert.deepEqual([report.state, report.allowance], [state, allowance])
})

Then('the engine stand-in has loaded {string}', function (this: EngineWorld, versions: string) {
  assert.deepEqual([...this.engine.state.versions].join(', '), versions)
})

async function fetchCacheHashes (world: EngineWorld): Promise<string[]> {
  const response = await fetch(`http://${world.engine.address}/admin/cache-events?after=0`)
  const { events } = await response.json() as { events: { hash: string }[] }
  return events.map(event => event.hash)
}

Then('the engine stand-in publishes the hashes of the prompt', async function (this: EngineWorld) {
  const expected = prefixHashes([{ role: 'user', content: PROMPT }])
  let hashes: string[] = []
  // The blocks of a prompt are stored, and therefore published, one at a time.
  for (let attempts = 0; hashes.length < expected.length && attempts < 1000; attempts++) hashes = await fetchCacheHashes(this)
  assert.deepEqual(hashes, expected)
})

Given('a rating stand-in with quality {float}, noise {float} and a share of {float}', async function (this: EngineWorld, quality: number, noise: number, sampleShare: number) {
  this.rating = await startRating({ quality: { 'kit-v1': quality }, noise, sampleShare, lagMs: 0, seed: 7 })
})

When('the rating stand-in gets {int} answers', async function (this: EngineWorld, count: number) {
  for (let index = 0; index < count; index++) {
    const body = JSON.stringify({ request: `req-${index}`, version: 'kit-v1', prompt: '', answer: '' })
    await fetch(`http://${this.rating.address}/ratings`, { method: 'POST', body })
  }
})

Then('the rating stand-in published between {int} and {int} ratings between {float} and {float}', async function (this: EngineWorld, minRatings: number, maxRatings: number, low: number, high: number) {
  const response = await fetch(`http://${this.rating.address}/ratings?after=0`)
  const { ratings } = await response.json() as { ratings: Rating[] }
  assert.ok(ratings.length >= minRatings && ratings.length <= maxRatings, String(ratings.length))
  assert.ok(ratings.every(({ rating }) => rating >= low && rating <= high))
})

const healthBody = (instance: string) => JSON.stringify({ instance, state: 'warm' })

Given(/^a backend server that sends a second answer (.*)$/, async function (this: EngineWorld, moment: CopyMoment) {
  let answers = 0
  this.copyingServer = await startCopyingServer({ moment, answer: () => healthBody(`answer ${++answers}`), copy: healthBody('copy') })
})

async function callService (address: string): Promise<string> {
  const call = { request: randomId<RequestId>('req'), method: 'POST', path: '/dispatches', contentType: 'application/json', body: '{}', epoch: 1 }
  const { body } = await serviceClient.call(address, call, new AbortController().signal)
  return (JSON.parse(body) as { instance: string }).instance
}

When(/^two (health checks|service calls) are made one after the other$/, async function (this: EngineWorld, calls: string) {
  const { address } = this.copyingServer
  this.callOnce = async () => calls === 'service calls' ? await callService(address) : (await client.health(address, 1000)).instance
  const first = await this.callOnce()
  await this.copyingServer.untilNextRequest()
  this.answers = [first, await this.callOnce()]
})

Then('each of the calls has got its own answer, and so has a third one', async function (this: EngineWorld) {
  assert.deepEqual([...this.answers, await this.callOnce()], ['answer 1', 'answer 2', 'answer 3'])
})
