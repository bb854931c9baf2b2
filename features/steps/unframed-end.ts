/** Responses without a length, whose end is that of their connection, from a server in a thread of its own. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer, get, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Worker } from 'node:worker_threads'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '../../src/core/clock/index.ts'
import { createCallerConnection } from '../../src/core/forwarding/caller-connection.ts'
import { startAddressedExchange } from '../../src/core/forwarding/exchange.ts'
import { readResponse } from '../../src/core/forwarding/relay.ts'
import { FORWARDED_UNFRAMED_HEADER } from '../../src/core/peer-forwarding/index.ts'
import { createByteBudget, createReadPace } from '../../src/core/resource-limits/index.ts'

interface UnframedWorld { worker: Worker, address: string, uploadBytes: number, headers: IncomingMessage['headers'] }

const BODY_BYTES = 4000
const TRIES = 20

const SERVER = `
  const { createServer } = require('node:net')
  const { parentPort, workerData: { end, bodyBytes, uploadBytes } } = require('node:worker_threads')
  const server = createServer({ allowHalfOpen: true }, socket => {
    socket.on('error', () => {})
    let received = 0
    socket.once('data', data => {
      received += data.length - data.indexOf('\\r\\n\\r\\n') - 4
      socket.write('HTTP/1.1 200 OK\\r\\n\\r\\n' + 'x'.repeat(bodyBytes))
      if (end === 'reset') return void socket.resetAndDestroy()
      socket.resume()
      if (end === 'closed in order' || received >= uploadBytes) return void socket.end()
      socket.on('data', data => { if ((received += data.length) >= uploadBytes) socket.end() })
    })
  })
  server.listen(0, '127.0.0.1', () => parentPort.postMessage('127.0.0.1:' + server.address().port))
`

After({ tags: '@unframed' }, async function (this: Partial<UnframedWorld>) { await this.worker?.terminate() })

Given(/^a backend server that answers an upload of (\d+) bytes without a length and whose connection is then (reset|closed in order|closed after the upload)$/, async function (this: UnframedWorld, bytes: string, end: string) {
  this.uploadBytes = Number(bytes)
  this.worker = new Worker(SERVER, { eval: true, workerData: { end, bodyBytes: BODY_BYTES, uploadBytes: this.uploadBytes } })
  this.address = await new Promise<string>(resolve => this.worker.once('message', resolve))
})

Then(/^its answer counts as (truncated|whole) in each of 20 tries$/, { timeout: 20_000 }, async function (this: UnframedWorld, expected: string) {
  const budget = createByteBudget({ totalBytes: 2 ** 28, reserveBytes: 0, clock: systemClock })
  const pace = createReadPace({ clock: systemClock })
  const upload = Buffer.alloc(this.uploadBytes)
  const outcomes: string[] = []
  for (let i = 0; i < TRIES; i++) {
    const claim = budget.open({ connection: {}, address: undefined, team: undefined })
    const exchange = startAddressedExchange({
      address: this.address,
      request: { method: 'POST', target: '/' },
      headers: ['Host', 'desk.example', 'Content-Length', String(this.uploadBytes)],
      body: { blocks: [upload], bytes: upload.length },
      decodeHead: status => ({ status, notRun: false, misdirected: false, authentic: true, leaving: false, requestedPauseMs: undefined, namedLimit: undefined, toleratedRejections: undefined, confidence: undefined, headers: [] }),
      claim,
      pace
    })
    const result = await exchange.result
    const body = result.kind === 'head' ? await readResponse(result.body, exchange, claim) : undefined
    outcomes.push(body?.bytes === BODY_BYTES ? 'whole' : 'truncated')
    exchange.abort('done')
  }
  assert.deepEqual(outcomes, Array.from({ length: TRIES }, () => expected))
})

When(/^an answer without a length is sent to (a caller|another VM)$/, async function (this: UnframedWorld, receiver: string) {
  const budget = createByteBudget({ totalBytes: 2 ** 20, reserveBytes: 0, clock: systemClock })
  const server = createServer((incoming, outgoing) => {
    const claim = budget.open({ connection: incoming.socket, address: undefined, team: undefined })
    const caller = createCallerConnection({ incoming, outgoing, claim, isPeer: receiver === 'another VM', discardBody: undefined, isClosing: () => false, onClosing: () => {} })
    caller.sendResponse(200, [], { blocks: [Buffer.from('whole')], bytes: 5 }, false)
  }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const [response] = await once(get({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', agent: false }), 'response') as [IncomingMessage]
  this.headers = response.headers
  await once(response.resume(), 'end')
  server.close()
})

Then(/^it is sent (without a length|with a length and a header about it)$/, function (this: UnframedWorld, framing: string) {
  const isFramed = framing.startsWith('with a')
  assert.equal(this.headers['content-length'], isFramed ? '5' : undefined)
  assert.equal(this.headers[FORWARDED_UNFRAMED_HEADER.toLowerCase()], isFramed ? '1' : undefined)
})
