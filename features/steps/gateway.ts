import assert from 'node:assert/strict'
import type { ServerResponse } from 'node:http'
import { PassThrough } from 'node:stream'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { createAnswer, type Answer, type AnswerReader } from '../../src/core/gateway/answer.ts'
import { createAnswerRegistry, type AnswerRegistry } from '../../src/core/gateway/answer-registry.ts'
import { relayStream } from '../../src/core/gateway/relay.ts'
import { BillingError } from '../../src/core/errors/index.ts'
import { brandId, type RequestId, type VmId } from '../../src/core/ids/index.ts'
import type { CounterName } from '../../src/core/metrics/index.ts'
import { generateTokens, startEngine, type EngineFaults, type EngineStandIn } from '../../src/standin/engine/index.ts'
import { listen } from '../../src/standin/http.ts'
import { createRandom } from '../../src/standin/random.ts'
import { createFakeRegion } from '../support/fakes.ts'
import { chat, PROMPT, waitUntil, type ChatOptions, type ChatResult } from '../support/gateway-client.ts'
import { addEngine, createSampleView, DATA_CENTRE, startGatewayVm, type GatewayVm } from '../support/gateway-vm.ts'

interface GatewayWorld {
  engines: Map<string, EngineStandIn>
  view: ReturnType<typeof createSampleView>
  region: ReturnType<typeof createFakeRegion>
  vms: Map<string, GatewayVm>
  vm: GatewayVm
  result: ChatResult
  firstResult: Promise<ChatResult>
  receivedText: string
  recordBill: () => void
  answer: Answer
  reader: AnswerReader
  appendedCount: number
  clock: ManualClock
  caller: PassThrough
  answerRegistry: AnswerRegistry
  exchanges: { prompt: string, result: Promise<ChatResult> }[]
}

const ANSWER_TOKENS = 8
const versions = ['kit-v1', 'kit-large-v1', 'kit-v2']

After({ tags: '@gateway' }, async function (this: GatewayWorld) {
  for (const vm of this.vms?.values() ?? []) await vm.server.stop({ timeout: 0 })
  for (const engine of this.engines?.values() ?? []) await engine.kill()
})

Given('a gateway with the engines {string}', async function (this: GatewayWorld, names: string) {
  this.view = createSampleView()
  this.region = createFakeRegion()
  this.engines = new Map()
  for (const name of names.split(', ')) {
    const engine = await startEngine({ versions, answerTokens: ANSWER_TOKENS, confidence: { 'kit-v1': 0.9 } })
    this.engines.set(name, engine)
    addEngine(this.view, name, engine.address)
  }
  this.vm = await startGatewayVm({ view: this.view, region: this.region, firstByteTimeoutMs: 200, idleTimeoutMs: 200 })
  this.vms = new Map([['vm-1', this.vm]])
})

Given('a second gateway VM', async function (this: GatewayWorld) {
  this.vms.set('vm-2', await startGatewayVm({ view: this.view, region: this.region, vm: 'vm-2' }))
})

Given('the gateway\'s engine {string} has the fault {string}', async function (this: GatewayWorld, name: string, fault: keyof EngineFaults | 'gone') {
  const engine = this.engines.get(name)!
  if (fault === 'gone') return engine.kill()
  Object.assign(engine.state.faults, { [fault]: fault === 'frozen' ? true : 1 })
})

Given('the gateway\'s engines take {int} ms for a token', async function (this: GatewayWorld, tokenDelayMs: number) {
  for (const [name, engine] of this.engines) {
    await engine.kill()
    const slow = await startEngine({ versions, answerTokens: ANSWER_TOKENS, tokenDelayMs, cancelsOnDisconnect: false })
    this.engines.set(name, slow)
    addEngine(this.view, name, slow.address)
  }
})

Given(/^the gateway's configuration changes before the first permit: (.*)$/, function (this: GatewayWorld, change: string) {
  let isFirst = true
  const { permits } = this.vm
  permits.beforeAnswer = () => {
    if (!isFirst) return
    isFirst = false
    // The fake grants the permit before this microtask runs, so the permit is based on the state before the change.
    queueMicrotask(() => CHANGES[change]!(this))
  }
})

const CHANGES: Record<string, (world: GatewayWorld) => void> = {
  'the version is withdrawn' ({ view }) {
    view.put('Version', 'kit-v2', { model: 'kit', inputMicrosPerToken: 1, outputMicrosPerToken: 2 })
    view.put('Version', 'kit-v1', { model: 'kit', inputMicrosPerToken: 1, outputMicrosPerToken: 2, state: 'withdrawn' })
  },
  'the backend server is leaving' ({ view, engines }) {
    view.put('BackendServer', 'e1', { dataCentre: DATA_CENTRE, address: engines.get('e1')!.address, versions, state: 'leaving' })
  },
  'the permit has expired' ({ vm }) {
    vm.permits.mayStart = () => {
      vm.permits.mayStart = () => true
      return false
    }
  }
}

Given('the gateway\'s version is withdrawn when an engine crashes', function (this: GatewayWorld) {
  this.vm.quarantine.quarantine.reportCrash = () => CHANGES['the version is withdrawn']!(this)
})

Given('the gateway\'s billing is delayed', function (this: GatewayWorld) {
  const { billing, records } = this.vm.billing
  billing.record = record => new Promise(resolve => {
    this.recordBill = () => {
      records.push(record)
      resolve()
    }
  })
})

Given(/^the gateway's bill (could not be kept|is lost at the end|is kept but seems lost|is over the spending limit)$/, function (this: GatewayWorld, problem: string) {
  if (problem === 'could not be kept') this.vm.billing.accepts = false
  else if (problem === 'is lost at the end') this.vm.billing.fails = true
  else if (problem === 'is kept but seems lost') {
    const { billing, records } = this.vm.billing
    billing.record = async record => {
      records.push(record)
      throw new BillingError('billing_unavailable')
    }
  } else this.vm.budget.exhausted = true
})

Given(/^the gateway's cheap tier is uncertain and the more expensive tier (answers|fails)$/, function (this: GatewayWorld, state: string) {
  this.vm.routing.escalateBelow = 0.95
  if (state === 'answers') return
  this.vm.permits.beforeAnswer = request => request.version === 'kit-large-v1'
    ? { granted: false, refusal: { reason: 'no_capacity', retryAfterMs: 1000, passedOver: [] } }
    : undefined
})

When('a gateway caller streams a chat', async function (this: GatewayWorld) {
  this.result = await chat(this.vm.url)
})

When('a gateway caller streams a chat with the prompt {string}', async function (this: GatewayWorld, prompt: string) {
  this.result = await chat(this.vm.url, { prompt })
})

When('a gateway caller streams a chat with the messages {string}', async function (this: GatewayWorld, contents: string) {
  const messages = contents.split(', ').map((content, index) => ({ role: index === 0 ? 'system' : 'user', content }))
  this.result = await chat(this.vm.url, { body: JSON.stringify({ model: 'kit', stream: true, max_tokens: 100, messages }) })
})

When('a gateway caller streams a chat with a deadline of {int} ms', async function (this: GatewayWorld, ms: number) {
  this.result = await chat(this.vm.url, { headers: { 'x-deadline-ms': String(ms) } })
})

When('a gateway caller streams a chat with the model {string}', async function (this: GatewayWorld, model: string) {
  this.result = await chat(this.vm.url, { model })
})

When('a gateway caller streams a chat and has received all text', async function (this: GatewayWorld) {
  this.firstResult = chat(this.vm.url, {}, text => { this.receivedText = text })
  await waitUntil(() => this.receivedText === completeText('kit-v1') && this.recordBill !== undefined)
})

When('the gateway\'s bill is recorded', async function (this: GatewayWorld) {
  this.recordBill()
  this.result = await this.firstResult
})

When('a gateway caller disconnects after {int} tokens', async function (this: GatewayWorld, tokens: number) {
  const caller = new AbortController()
  const disconnect = (text: string) => { if (text.split(' ').length > tokens) caller.abort() }
  await assert.rejects(chat(this.vm.url, { signal: caller.signal }, disconnect), { name: 'AbortError' })
})

When(/^a gateway request with the key "(.*)" (is running|has finished|lost its VM|loses its VM meanwhile)$/, async function (this: GatewayWorld, key: string, state: string) {
  this.receivedText = ''
  this.firstResult = chat(this.vm.url, { headers: { 'idempotency-key': key } }, text => { this.receivedText = text })
  this.firstResult.catch(() => {})
  await (state === 'has finished' ? this.firstResult : waitUntil(() => this.receivedText !== ''))
  if (state === 'lost its VM') this.region.kill(brandId<VmId>('vm-1'))
  if (state === 'loses its VM meanwhile') {
    const engine = this.engines.get('e1')!
    void waitUntil(() => engine.state.stats.received.length > 0 && this.receivedText.split(' ').length > 4).then(() => this.region.kill(brandId<VmId>('vm-1')))
  }
})

When('the gateway request with the key {string} is sent again to {string}', async function (this: GatewayWorld, key: string, vm: string) {
  this.result = await chat(this.vms.get(vm)!.url, { headers: { 'idempotency-key': key } })
  await this.firstResult
})

When('the gateway request with the key {string} is sent again with another prompt', async function (this: GatewayWorld, key: string) {
  this.result = await chat(this.vm.url, { prompt: 'another', headers: { 'idempotency-key': key } })
})

When('the gateway VM is leaving', function (this: GatewayWorld) {
  this.vm.member.member.state = 'leaving'
})

const BOOKING = { path: '/v1/services/order-desk/dispatches', body: '{"order":1}' }
const INVALID_REQUESTS: Record<string, ChatOptions> = {
  'no key': { headers: { authorization: '' } },
  'an unknown key': { headers: { authorization: 'Bearer nobody' } },
  'an expired key': { headers: { authorization: 'Bearer key-expired' } },
  'the key of a wrong team': { headers: { authorization: 'Bearer key-of-guest' } },
  'an unknown model': { model: 'nothing' },
  'a body that is not JSON': { body: '{"model":' },
  'a body without messages': { body: '{"model":"kit"}' },
  'a body with two choices': { body: '{"model":"kit","n":2,"messages":[{"role":"user","content":"x"}]}' },
  'a body over the limit': { prompt: 'x'.repeat(1_100_000) },
  'an oversized prompt': { prompt: 'x'.repeat(10_000) },
  'a deadline that is no number': { headers: { 'x-deadline-ms': 'soon' } },
  'an unknown priority': { headers: { 'x-priority': 'first' } },
  'an unknown path': { path: '/v1/nothing' },
  'a booking without a key': BOOKING,
  'a booking by a wrong team': { ...BOOKING, headers: { authorization: 'Bearer key-of-guest', 'idempotency-key': 'k' } },
  'a call of an unknown service': { ...BOOKING, path: '/v1/services/nothing/dispatches' },
  'a call of an unknown route': { ...BOOKING, path: '/v1/services/order-desk/other' },
  'a call with dot segments': { ...BOOKING, path: '/v1/services/order-desk/status%2f..%2fdispatches' }
}

When(/^a gateway caller sends (.*)$/, async function (this: GatewayWorld, input: string) {
  this.result = await chat(this.vm.url, INVALID_REQUESTS[input]!)
})

function completeText (version: string): string {
  return generateTokens(version, PROMPT, ANSWER_TOKENS).join('')
}

When('two gateway callers send a request with the key {string} at once', async function (this: GatewayWorld, key: string) {
  const callers = [1, 2].map(() => chat(this.vm.url, { headers: { 'idempotency-key': key } }))
  const results = await Promise.all(callers)
  assert.deepEqual(results[0]?.error?.run, results[1]?.error?.run)
  this.result = results[1]!
})

Given('a gateway caller that reads nothing', async function (this: GatewayWorld) {
  this.clock = createManualClock()
  this.answer = createAnswer()
  this.answer.setMeta({ version: brandId('kit-v1') })
  await this.answer.append({ text: 'x', tokens: 1 })
  // The response of a caller that reads nothing: its buffer is full and never drains.
  this.caller = Object.assign(new PassThrough(), { writeHead () {}, write: () => false })
  const options = { request: brandId<RequestId>('req-1'), includeUsage: false, clock: this.clock, metrics: this.vm.metrics, wasSent: () => true }
  void relayStream(this.answer, this.answer.open(), this.caller as unknown as ServerResponse, options)
})

When('{int} ms pass for the gateway caller', async function (this: GatewayWorld, ms: number) {
  await this.clock.advance(ms - 1)
  assert.equal(this.caller.destroyed, false)
  await this.clock.advance(1)
})

Then('the gateway caller is disconnected', function (this: GatewayWorld) {
  assert.equal(this.caller.destroyed, true)
  assert.equal(this.vm.metrics.value('streams', 'caller_stalled'), 1)
})

Given('a gateway answer registry for {int} characters', function (this: GatewayWorld, maxCharacters: number) {
  this.clock = createManualClock()
  this.answerRegistry = createAnswerRegistry({ clock: this.clock, maxCharacters })
})

When('the gateway answer registry stores {int} answers of {int} characters', async function (this: GatewayWorld, count: number, characters: number) {
  for (let id = 1; id <= count; id++) {
    const answer = createAnswer()
    this.answerRegistry.add(String(id), answer, 'same')
    await answer.append({ text: 'x'.repeat(characters), tokens: 1 })
    answer.finish({ reason: 'stop', usage: { inputTokens: 1, outputTokens: 1, cachedTokens: 0 } })
    this.answerRegistry.settle(String(id), answer)
  }
})

When('{int} ms pass for the gateway answer registry', function (this: GatewayWorld, ms: number) {
  return this.clock.advance(ms)
})

Then('the gateway answer registry has {string}', function (this: GatewayWorld, known: string) {
  assert.equal(['1', '2', '3'].filter(id => this.answerRegistry.find(id)).join(', '), known)
})

Given('the gateway\'s engine {string} is replaced by one that sends an endless line', async function (this: GatewayWorld, name: string) {
  await this.engines.get(name)!.kill()
  const endless = await listen((request, response) => {
    request.resume()
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    const send = () => { while (response.write('x'.repeat(16_384))); }
    response.on('drain', send)
    response.on('error', () => {})
    send()
  })
  this.engines.set(name, Object.assign(this.engines.get(name)!, { kill: endless.kill }))
  addEngine(this.view, name, endless.address)
})

Then('the gateway answer is the complete answer of {string}', function (this: GatewayWorld, version: string) {
  assert.equal(this.result.status, 200, JSON.stringify(this.result))
  assert.equal(this.result.text, completeText(version))
  assert.equal(this.result.finishReason, 'stop')
  assert.equal(this.result.done, true)
  assert.equal(this.result.headers.get('x-lacewingstage-version'), version)
})

Then('the gateway answer is {int} with the error {string} and run {string}', function (this: GatewayWorld, status: number, type: string, run: string) {
  const { status: found, error, done } = this.result
  assert.deepEqual({ status: found, type: error?.type, run: error?.run, done }, { status, type, run, done: false })
})

Then('the gateway resumed on {string}: {string}', function (this: GatewayWorld, name: string, resumed: string) {
  const { received } = this.engines.get(name)!.state.stats
  assert.deepEqual(received.map(entry => entry.resumed), [resumed === 'yes'])
})

Then('the gateway reported {int} crashes to the quarantine', function (this: GatewayWorld, crashes: number) {
  assert.equal(this.vm.quarantine.reports.length, crashes)
})

Then('the gateway counter {word} is 1 for {string}', function (this: GatewayWorld, counter: CounterName, reason: string) {
  assert.equal(this.vm.metrics.value(counter, reason), 1)
})

Then('the gateway billed {string} with {int} output tokens', function (this: GatewayWorld, outcome: string, tokens: number) {
  const found = this.vm.billing.records.map(record => [record.outcome, record.lines.reduce((sum, line) => sum + line.outputTokens, 0)])
  assert.deepEqual(found, outcome === 'nothing' ? [] : [[outcome, tokens]])
})

Then('the gateway bills {string} with at least {int} and fewer than {int} output tokens', async function (this: GatewayWorld, outcome: string, min: number, limit: number) {
  await waitUntil(() => this.vm.gateway.running() === 0)
  const [record, ...others] = this.vm.billing.records
  assert.equal(others.length, 0)
  assert.equal(record?.outcome, outcome)
  const [{ inputTokens, outputTokens }] = record.lines as [typeof record.lines[0]]
  assert.ok(inputTokens > 0 && outputTokens >= min && outputTokens < limit, `${inputTokens} ${outputTokens}`)
})

Then('the gateway billed the versions {string}', function (this: GatewayWorld, billed: string) {
  assert.equal(this.vm.billing.records.length, 1)
  assert.deepEqual(this.vm.billing.records[0]!.lines.map(line => line.version).join(', '), billed)
})

Then('the gateway billed at most once', function (this: GatewayWorld) {
  assert.ok(this.vm.billing.records.length <= 1)
})

Then('the gateway billed under one id', function (this: GatewayWorld) {
  const ids = [...this.vms.values()].flatMap(vm => vm.billing.records.map(record => record.id))
  assert.equal(new Set(ids).size, 1)
})

Then('the gateway holds no permit and no budget reservation', async function (this: GatewayWorld) {
  await waitUntil(() => this.vm.gateway.running() === 0)
  assert.equal(this.vm.permits.client.heldCount(), 0)
  assert.equal(this.vm.budget.open, 0)
})

Then('the gateway\'s engines received {int} requests', function (this: GatewayWorld, count: number) {
  const received = [...this.engines.values()].map(engine => engine.state.stats.received.length)
  assert.equal(received.reduce((sum, value) => sum + value, 0), count)
})

Then('the gateway\'s engine {string} cancels {int} request', async function (this: GatewayWorld, name: string, count: number) {
  const { stats } = this.engines.get(name)!.state
  await waitUntil(() => stats.cancelled === count)
})

Then('the gateway\'s engine {string} received no request for the outdated permit', function (this: GatewayWorld, name: string) {
  const received = this.engines.get(name)!.state.stats.received.map(entry => entry.version)
  const served = this.result.headers.get('x-lacewingstage-version')
  assert.ok(received.every(version => version === served))
  assert.equal(this.vm.permits.releases[0]?.outcome, 'not_sent')
})

Then('the gateway stream has not ended', async function (this: GatewayWorld) {
  const ended = await Promise.race([this.firstResult.then(() => true), new Promise(resolve => setImmediate(() => resolve(false)))])
  assert.equal(ended, false)
})

Then('the gateway answer names other entry points', function (this: GatewayWorld) {
  assert.deepEqual(this.result.error?.entry_points, ['http://other-vm'])
  assert.ok(this.result.headers.get('retry-after'))
})

Then('the gateway has drained only after its streams were complete', async function (this: GatewayWorld) {
  const order: string[] = []
  const drained = this.vm.gateway.drain().then(() => order.push('drained'))
  assert.equal(this.vm.gateway.running() > 0, true)
  const first = await this.firstResult
  await drained
  assert.equal(first.done, true)
  assert.equal(this.vm.billing.records.length, 1)
  assert.deepEqual(order, ['drained'])
})

When('a gateway answer with a window of {int} characters gets {int} characters', async function (this: GatewayWorld, window: number, characters: number) {
  this.answer = createAnswer({ window })
  this.reader = this.answer.open()
  this.appendedCount = 0
  const append = async () => {
    for (; this.appendedCount < characters; this.appendedCount++) await this.answer.append({ text: 'x', tokens: 1 })
  }
  void append()
  await new Promise(resolve => setImmediate(resolve))
})

Then('the gateway answer accepted {int} characters', function (this: GatewayWorld, characters: number) {
  assert.equal(this.answer.characters(), characters)
})

Then('the gateway answer accepts the rest once its reader has read them', async function (this: GatewayWorld) {
  while (this.appendedCount < 300) {
    await this.reader.wait()
    this.reader.take()
    this.reader.confirm()
    await new Promise(resolve => setImmediate(resolve))
  }
  assert.equal(this.answer.characters(), 300)
})

const SEED = 20261204
const FAULTS = ['fail', 'dieBeforeFirstToken', 'dieMidStream', 'truncate', 'omitDone', 'cross'] as const

When('{int} gateway requests are sent while engines fail at random', { timeout: 60_000 }, async function (this: GatewayWorld, count: number) {
  console.log(`gateway seed ${SEED}`)
  const random = createRandom(SEED)
  const choose = <Entry>(entries: readonly Entry[]) => entries[Math.floor(random() * entries.length)]!
  const vms = [...this.vms.values()]
  for (const { permits } of vms) permits.selectServer = choose
  this.exchanges = []
  for (let index = 0; index < count; index++) {
    if (random() < 0.3) choose([...this.engines.values()]).state.faults[choose(FAULTS)]++
    const prompt = `request ${index}`
    const key = random() < 0.3 ? `key-${index}` : undefined
    const headers = key ? { 'idempotency-key': key } : undefined
    const sends = key ? [vms[0]!, choose(vms)] : [choose(vms)]
    this.exchanges.push(...sends.map(vm => ({ prompt, result: chat(vm.url, { prompt, headers }) })))
    if (index % 8 === 7) await Promise.allSettled(this.exchanges.map(exchange => exchange.result))
  }
  await Promise.allSettled(this.exchanges.map(exchange => exchange.result))
})

Then('every gateway answer belonged to its prompt and was complete, or reported an error', async function (this: GatewayWorld) {
  let completeCount = 0
  for (const { prompt, result } of this.exchanges) {
    const { text, done, error } = await result
    const expected = generateTokens('kit-v1', prompt, ANSWER_TOKENS).join('')
    assert.ok(expected.startsWith(text), `${prompt}: ${text}`)
    assert.equal(done, text === expected && error === undefined, `${prompt}: ${JSON.stringify(error)}`)
    if (done) completeCount++
  }
  assert.ok(completeCount > this.exchanges.length / 2, `only ${completeCount} of ${this.exchanges.length} answers were complete`)
})

Then('the gateway billed every complete answer once and nothing twice', async function (this: GatewayWorld) {
  const records = [...this.vms.values()].flatMap(vm => vm.billing.records)
  assert.equal(new Set(records.map(record => record.id)).size, records.length)
  const completed = records.filter(record => record.outcome === 'completed').length
  const results = await Promise.all(this.exchanges.map(async ({ prompt, result }) => ({ prompt, done: (await result).done })))
  assert.equal(completed, new Set(results.filter(({ done }) => done).map(({ prompt }) => prompt)).size)
})
