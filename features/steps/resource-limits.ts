import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, get, request, type IncomingMessage, type RequestListener } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createManualClock, systemClock, type ManualClock } from '../../src/core/clock/index.ts'
import { createCallerConnection } from '../../src/core/forwarding/caller-connection.ts'
import { createPacedConnection } from '../../src/core/forwarding/paced-connection.ts'
import { readResponse } from '../../src/core/forwarding/relay.ts'
import { createResponseBody } from '../../src/core/forwarding/response-body.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import type { LoadExchange } from '../../src/core/load-exchange/index.ts'
import { readInTurns } from '../../src/core/forwarding/new-connection.ts'
import { createRequestBody } from '../../src/core/forwarding/request-body.ts'
import { PROGRESS_WINDOW_MS, RELIEF_PERIOD_MS } from '../../src/core/resource-limits/constants.ts'
import { createBlockWriter, createByteBudget, createConnectionLimit, createFleetRefusals, createReadPace, createReadTurns, preferAccepting, type ByteBudget, type ByteClaim, type FleetRefusals } from '../../src/core/resource-limits/index.ts'
import { startConnectedExchange } from '../support/load-exchange.ts'

interface RefusalWorld { clock: ManualClock, names: VmId[], refusing: VmId[], isCut: boolean, vms: { exchange: LoadExchange, refusals: FleetRefusals }[], reportBytes: number }
interface BudgetWorld { clock: ManualClock, budget: ByteBudget, claim: ByteClaim, outcome: string, receivedBytes: number, collections: number }

const SEED = 7
const MB = 1024 * 1024

async function listen (listener: RequestListener): Promise<{ port: number, close(): void }> {
  const server = createServer(listener).listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { port: (server.address() as AddressInfo).port, close: () => { server.close() } }
}

const holder = (name: string) => ({ connection: {}, address: name, team: name })

Then('the budget holds for random sequences of claims', function () {
  const step = fc.record({ claim: fc.nat(7), action: fc.constantFrom('receive', 'end', 'complete', 'relieve'), bytes: fc.integer({ min: 1, max: 65_536 }) })
  fc.assert(fc.property(fc.array(step, { maxLength: 400 }), steps => {
    const clock = createManualClock()
    const budget = createByteBudget({ totalBytes: MB, reserveBytes: MB / 4, clock })
    const claims = Array.from({ length: 8 }, () => budget.open(holder('a')))
    for (const { claim, action, bytes } of steps) {
      if (action === 'receive' && claims[claim]!.mayGrow()) claims[claim]!.add(bytes)
      if (action === 'receive' && !claims[claim]!.mayGrow()) claims[claim]!.awaitRoom(() => {})
      if (action === 'complete') claims[claim]!.setEvict(undefined)
      if (action === 'end') claims[claim]!.end()
      if (action === 'relieve') budget.relieve()
      assert.ok(budget.usedBytes() < MB + 65_536)
    }
    for (const claim of claims) claim.end()
    assert.equal(budget.usedBytes(), 0)
  }), { seed: SEED })
})

Given('a byte budget that one body has filled', function (this: BudgetWorld) {
  this.clock = createManualClock()
  this.collections = 0
  this.budget = createByteBudget({ totalBytes: 2 * MB, reserveBytes: MB, clock: this.clock, collect: () => { this.collections++ } })
  this.outcome = 'kept'
  this.claim = this.budget.open(holder('a'))
  this.claim.add(2 * MB)
  this.claim.setEvict(reason => { this.outcome = `given up as ${reason}` }, { progressWindowMs: PROGRESS_WINDOW_MS })
  // A burst must not make up for a later standstill.
  this.claim.recordProgress(2 * MB)
})

When(/^it makes (no progress|7 bytes per ms) for 5 s while (.*)$/, async function (this: BudgetWorld, progress: string, others: string) {
  if (others.includes('waits') && others !== 'nobody waits') this.budget.open(holder('b')).awaitRoom(() => {})
  for (let ms = 0; ms < 5000; ms += RELIEF_PERIOD_MS) {
    await this.clock.advance(RELIEF_PERIOD_MS)
    if (progress !== 'no progress') this.claim.recordProgress(7 * RELIEF_PERIOD_MS)
    this.budget.relieve()
  }
})

Then(/^it is (kept|given up as .*)$/, function (this: BudgetWorld, outcome: string) { assert.equal(this.outcome, outcome) })

Then('a full connection limit closes silent, then idle connections and refuses when all are busy', async function () {
  const clock = createManualClock()
  const closed: string[] = []
  const limit = createConnectionLimit({ maxConnections: 3, clock })
  const open = (name: string) => limit.open(() => closed.push(name))
  const [first, second] = [open('first'), open('second')]
  open('silent')
  first!.setBusy(true)
  second!.setBusy(true)
  second!.setBusy(false)
  await clock.advance(1000)
  open('third')!.setBusy(true)
  open('fourth')!.setBusy(true)
  assert.deepEqual(closed, ['silent', 'second'])
  assert.equal(open('fifth'), undefined)
})

Then('blocks of random chunks hold the same bytes at under twice their cost', function () {
  fc.assert(fc.property(fc.array(fc.oneof(fc.integer({ min: 1, max: 20 }), fc.integer({ min: 1, max: 65_536 })), { maxLength: 300 }), sizes => {
    let cost = 0
    const writer = createBlockWriter({ onGrow: bytes => { cost += bytes } })
    const chunks = sizes.map((size, i) => Buffer.alloc(size, i))
    for (const chunk of chunks) writer.add(chunk)
    const { blocks, bytes } = writer.finish()
    assert.ok(Buffer.concat(blocks).equals(Buffer.concat(chunks)))
    assert.ok(cost <= 2 * bytes + 1024, `${cost} for ${bytes}`)
  }), { seed: SEED })
})

Then('32 chunks of 32 KB with a byte after each cost at most 1.1 times their bytes', function () {
  let cost = 0
  const writer = createBlockWriter({ onGrow: bytes => { cost += bytes } })
  for (let i = 0; i < 32; i++) for (const size of [32_768, 1]) writer.add(Buffer.alloc(size))
  assert.ok(cost <= 1.1 * writer.finish().bytes, `${cost}`)
})

When('it frees 1.5 MB and 1.5 MB of its bytes are copied', function (this: BudgetWorld) {
  this.claim.release(1.5 * MB)
  this.budget.relieve()
  this.collections = 0
  assert.ok(this.claim.mayGrow())
  this.claim.recordCopy(1.5 * MB)
})

Then('it may receive more only after a collection', async function (this: BudgetWorld) {
  const other = this.budget.open(holder('b'))
  other.add(MB / 4)
  assert.ok(!other.mayGrow())
  await this.clock.advance(1000)
  this.budget.relieve()
  assert.deepEqual([this.collections, other.mayGrow()], [1, true])
})

Then(/^a caller that does not read (\d+) events of 1 KB is charged at most (\d+) KB, and nothing once it has read them$/, async function (events: string, maxKb: string) {
  const budget = createByteBudget({ totalBytes: 64 * MB, reserveBytes: MB, clock: createManualClock() })
  let chargedBytes = 0
  let listeners = 0
  const { port, close } = await listen((incoming, outgoing) => {
    const claim = budget.open({ connection: incoming.socket, address: undefined, team: undefined })
    const caller = createCallerConnection({ incoming, outgoing, claim, discardBody: undefined, isClosing: () => false, onClosing: () => {} })
    caller.startResponse(200, [])
    for (let event = 0; event < Number(events); event++) caller.write(Buffer.alloc(1024))
    chargedBytes = budget.usedBytes()
    listeners = outgoing.listenerCount('drain')
    outgoing.once('drain', () => { caller.end() })
  })
  const [response] = await once(get({ port, host: '127.0.0.1', agent: false }), 'response') as [IncomingMessage]
  await once(response.resume(), 'end')
  close()
  assert.ok(chargedBytes > 0 && chargedBytes <= Number(maxKb) * 1024, `charged ${chargedBytes}`)
  assert.ok(listeners <= 2, `${listeners} listeners`)
  assert.equal(budget.usedBytes(), 0)
})

Then('a response that ends after 100 KB of 200 KB is charged while it arrives and not afterwards', async function () {
  const budget = createByteBudget({ totalBytes: MB, reserveBytes: 0, clock: createManualClock() })
  const { port, close } = await listen((_incoming, outgoing) => {
    outgoing.writeHead(200, { 'Content-Length': 200 * 1024 })
    outgoing.write(Buffer.alloc(100 * 1024), () => setTimeout(() => outgoing.destroy(), 100))
  })
  const [response] = await once(get({ port, host: '127.0.0.1', agent: false }), 'response') as [IncomingMessage]
  response.on('error', () => {})
  let chargedBytes = 0
  response.on('data', () => { chargedBytes = Math.max(chargedBytes, budget.usedBytes()) })
  const claim = budget.open(holder('a'))
  const body = createResponseBody({ incoming: response, connection: createPacedConnection(response.socket, createReadPace({ clock: systemClock })), claim, isAborted: () => false })
  assert.equal(await readResponse(body, { hasConnectionFailed: () => false, isAborted: () => false }, claim), undefined)
  close()
  assert.ok(chargedBytes > 0)
  assert.equal(budget.usedBytes(), 0)
})

When('another body arrives completely and 5 s pass', async function (this: BudgetWorld) {
  let onComplete = () => {}
  const isComplete = new Promise<void>(resolve => { onComplete = resolve })
  const { port, close } = await listen((incoming, outgoing) => {
    const claim = this.budget.open(holder('b'))
    const body = createRequestBody({ incoming, claim, turns: createReadTurns({ afterTurn: run => { setImmediate(run) } }), clock: this.clock })
    body.receive({
      maxBytes: MB,
      onComplete () {
        claim.setEvict(undefined)
        outgoing.end()
        onComplete()
      },
      onTooLarge () {}
    })
  })
  const outgoing = request({ port, host: '127.0.0.1', agent: false, method: 'POST' }, response => { response.resume() })
  outgoing.end(Buffer.alloc(1000))
  await isComplete
  close()
  for (let ms = 0; ms < 5000; ms += RELIEF_PERIOD_MS) {
    await this.clock.advance(RELIEF_PERIOD_MS)
    this.budget.relieve()
  }
})

// More than the buffers of the operating system take.
When('its request is answered with 32 MB and another body waits for 10 s while the caller reads 7 bytes per ms', async function (this: BudgetWorld) {
  const block = Buffer.alloc(MB)
  const { port, close } = await listen((incoming, outgoing) => {
    const caller = createCallerConnection({ incoming, outgoing, claim: this.claim, discardBody: undefined, isClosing: () => true, onClosing: () => {} })
    caller.sendResponse(200, [], { blocks: Array.from({ length: 32 }, () => block), bytes: 32 * MB }, true)
  })
  const [response] = await once(get({ port, host: '127.0.0.1', agent: false }), 'response') as [IncomingMessage]
  response.on('error', () => {})
  this.budget.open(holder('b')).awaitRoom(() => {})
  for (let ms = 0; ms < 10_000; ms += RELIEF_PERIOD_MS) {
    await this.clock.advance(RELIEF_PERIOD_MS)
    this.claim.recordProgress(7 * RELIEF_PERIOD_MS)
    this.budget.relieve()
  }
  this.receivedBytes = 0
  response.on('data', ({ length }: Buffer) => { this.receivedBytes += length })
  await new Promise(resolve => response.once('close', resolve))
  close()
})

Then('the caller gets the whole response', function (this: BudgetWorld) { assert.equal(this.receivedBytes, 32 * MB) })

Then('5 responses of 4 MB that arrive at once within a budget of 12 MB are all complete after 10 s, with at most 16.5 MB in use', async function () {
  const clock = createManualClock()
  const budget = createByteBudget({ totalBytes: 12 * MB, reserveBytes: 6 * MB, clock })
  const responses = Array.from({ length: 5 }, (_, index) => ({ claim: budget.open(holder(`caller ${index}`)), left: 64, isPaused: false }))
  let peakBytes = 0
  for (let ms = 0; ms < 10_000; ms += RELIEF_PERIOD_MS) {
    for (let chunk = 0; chunk < 100; chunk++) {
      for (const response of responses.filter(({ isPaused, left }) => !isPaused && left > 0)) {
        response.claim.add(65_536)
        peakBytes = Math.max(peakBytes, budget.usedBytes())
        if (--response.left === 0) response.claim.end()
        else if (!response.claim.mayGrow()) {
          response.isPaused = true
          response.claim.awaitRoom(() => { response.isPaused = false })
        }
      }
    }
    await clock.advance(RELIEF_PERIOD_MS)
    budget.relieve()
  }
  assert.deepEqual(responses.map(({ left }) => left), [0, 0, 0, 0, 0])
  assert.ok(peakBytes <= 16.5 * MB, `${peakBytes}`)
})

/** A turn of the event loop accepts one connection, reads those that are not paused and runs what is to follow. */
Then(/^a connection behind (\d+) with tiny chunks that (.*) is read after at most (\d+) of their reads, and each of them at least (\d+) times in (\d+) turns$/, function (crowd: string, sends: string, maxReads: string, minReads: string, turnCount: string) {
  const later: (() => void)[] = []
  const turns = createReadTurns({ afterTurn: run => { later.push(run) } })
  const connections: { isPaused: boolean, reads: number, read(): void }[] = []
  const readsOfCrowd = () => connections.slice(0, Number(crowd)).reduce((sum, { reads }) => sum + reads, 0)
  let readsBefore = Infinity
  for (let turn = 0; turn < Number(turnCount); turn++) {
    if (turn <= Number(crowd) || (sends === 'keeps coming' && turn % 2 === 0)) {
      const connection = { isPaused: false, reads: 0, read () {} }
      const wait = () => { connection.isPaused = true }
      const resume = () => { connection.isPaused = false }
      const sender = turns.addUnknown({ pause: wait, resume })
      connections.push(connection)
      connection.read = turn === Number(crowd)
        ? () => { readsBefore = Math.min(readsBefore, readsOfCrowd()) }
        : () => {
            const mustWait = Array.from({ length: 11_000 }, () => turns.count(1)).includes(true)
            sender.end()
            wait()
            if (mustWait) turns.wait(resume)
          }
    }
    for (const connection of connections) {
      if (connection.isPaused || (sends === 'sends when all have come' && turn <= Number(crowd))) continue
      connection.read()
      connection.reads++
    }
    for (const run of later.splice(0)) run()
  }
  assert.ok(readsBefore <= Number(maxReads), `${readsBefore} reads`)
  assert.ok(connections.slice(0, Number(crowd)).every(({ reads }) => reads >= Number(minReads)))
})

Then('a connection that is paused on arrival delivers its request only after it is resumed', async function () {
  let resume = () => {}
  const turns = createReadTurns({ afterTurn: run => { resume = run } })
  turns.wait(() => {})
  let requests = 0
  const server = createServer((_incoming, outgoing) => {
    requests++
    outgoing.end()
  }).on('connection', socket => readInTurns(socket, turns)).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const response = once(get({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', agent: false }), 'response')
  await new Promise(resolve => setTimeout(resolve, 200))
  assert.equal(requests, 0)
  for (let turn = 0; turn < 4; turn++) resume()
  await response
  server.close()
})

Then(/^a body of (\d+) tiny chunks is (refused|complete) where (\d+) are allowed and (\d+) of (\d+) wait$/, async function (this: BudgetWorld, chunks: string, outcome: string, maxTinyChunks: string, waiting: string, maxWaiters: string) {
  const turns = createReadTurns({ afterTurn () {}, maxTinyChunks: Number(maxTinyChunks), maxWaiters: Number(maxWaiters) })
  for (let i = 0; i < Number(waiting); i++) turns.wait(() => {})
  const claim = createByteBudget({ totalBytes: MB, reserveBytes: 0, clock: createManualClock() }).open(holder('a'))
  const outcomes = new Set<string>()
  const { port, close } = await listen((incoming, outgoing) => {
    const end = (name: string) => {
      outcomes.add(name)
      outgoing.end()
    }
    createRequestBody({ incoming, claim, turns, clock: createManualClock() }).receive({ maxBytes: MB, onComplete: () => end('complete'), onTooLarge () {}, onTooManyChunks: () => end('refused') })
  })
  const outgoing = request({ port, host: '127.0.0.1', agent: false, method: 'POST' })
  for (let i = 0; i < Number(chunks); i++) outgoing.write('x')
  outgoing.end()
  await once(outgoing, 'response')
  outgoing.destroy()
  close()
  assert.deepEqual([...outcomes], [outcome])
})

Given(/^(\d+) VMs of which the first (\d+) refuse$/, function (this: RefusalWorld, count: string, refusing: string) {
  const clock = createManualClock()
  const names = Array.from({ length: Number(count) }, (_, index) => brandId<VmId>(`vm-${String(index).padStart(17, '0')}`))
  Object.assign(this, { clock, names, refusing: names.slice(0, Number(refusing)), isCut: false, vms: [], reportBytes: 0 })
  for (const self of names) {
    const refusals = createFleetRefusals({ self, isSelfRefusing: () => this.refusing.includes(self), clock })
    const exchange = startConnectedExchange({
      self,
      names,
      exchangeOf: vm => this.vms[names.indexOf(vm)]!.exchange,
      recentEvidence: () => {
        const report = refusals.report()
        this.reportBytes = Math.max(this.reportBytes, JSON.stringify(report)?.length ?? 0)
        return report && { refusals: report }
      },
      onEvidence: ({ refusals: report }) => { if (report) refusals.merge(report) },
      isCut: vm => this.isCut && this.refusing.includes(vm),
      clock
    })
    this.vms.push({ exchange, refusals })
  }
})

async function passSeconds (world: RefusalWorld, seconds: number): Promise<void> {
  for (let ms = 0; ms < seconds * 1000; ms += 250) await world.clock.advance(250)
}

When('{int} s pass', async function (this: RefusalWorld, seconds: number) { await passSeconds(this, seconds) })

When('the VMs that refuse are cut off for {int} s', async function (this: RefusalWorld, seconds: number) {
  this.isCut = true
  await passSeconds(this, seconds)
})

Then(/^the directories of all VMs list (.*)$/, function (this: RefusalWorld, listed: string) {
  const accepting = this.names.slice(this.refusing.length)
  const expected = listed.startsWith('only') ? accepting : [...accepting, ...this.refusing]
  for (const { refusals } of this.vms) assert.deepEqual(preferAccepting(this.names, refusals.isRefusing), expected)
})

Then('the refusals take at most {int} bytes in a report', function (this: RefusalWorld, maxBytes: number) {
  const { refusals } = this.vms.at(-1)!
  for (let i = 0; i < 100; i++) refusals.merge({ [`other-${String(i).padStart(14, '0')}`]: 0 })
  const bytes = Math.max(this.reportBytes, JSON.stringify(refusals.report()).length)
  assert.ok(bytes <= maxBytes, `${bytes} bytes`)
})

Then('the directories of the others list all in the same order', function (this: RefusalWorld) {
  for (const { refusals } of this.vms.slice(this.refusing.length)) assert.deepEqual(preferAccepting(this.names, refusals.isRefusing), this.names)
})
