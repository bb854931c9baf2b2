import assert from 'node:assert/strict'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { WebSocket, WebSocketServer } from 'ws'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import type { BootId, DataCentreId, RegionId, VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import { createPeerLinks, readPeerTls, type PeerLinks, type PeerTls } from '../../src/core/peer/index.ts'
import { HANDSHAKE_TIMEOUT_MS } from '../../src/core/peer/constants.ts'
import { decodeFrame, encodeFrame, type Frame } from '../../src/core/peer/frames.ts'
import { startHandshake } from '../../src/core/peer/handshake.ts'
import type { VmIdentity } from '../../src/core/settings/index.ts'
import { startFaultProxy, type FaultProxy } from '../../src/standin/fault-proxy/index.ts'
import { until } from './membership-network.ts'

const VM_1 = 'vm-1' as VmId
const VM_2 = 'vm-2' as VmId
const MAX_MESSAGE_BYTES = 65_536
const MAX_BUFFERED_BYTES = 262_144
/** Exceeds the limit of concurrent handshakes, so that a leak of one handshake per connection fails the test. */
const ATTACK_COUNT = 130

interface PeerEndpoint { links: PeerLinks, metrics: Metrics, port: number }

interface PeerWorld {
  clock: ManualClock
  first: PeerEndpoint
  second: PeerEndpoint
  endpoints: PeerEndpoint[]
  proxy?: FaultProxy
  keylessServer?: WebSocketServer
  sockets: Socket[]
  closed: Promise<unknown>
  request?: Promise<unknown>
  failures: unknown[]
  outcomes?: PromiseSettledResult<unknown>[]
  answers: unknown[]
  /** Resolves when the next request should be sent; the caller sends it in the same turn. */
  untilNextRequest: () => Promise<void>
  expectedFirst: string
}

function identity (vm: string, boot = `boot-${vm}`): VmIdentity {
  return { vm: vm as VmId, boot: boot as BootId, region: 'r' as RegionId, dataCentre: 'd' as DataCentreId }
}

interface EndpointOptions { vm: string, boot?: string, keys?: string[], tls?: PeerTls | undefined }

async function startEndpoint (world: PeerWorld, { vm, boot, keys = ['first-shared-key'], tls }: EndpointOptions): Promise<PeerEndpoint> {
  const metrics = createMetrics()
  const links = createPeerLinks({
    identity: identity(vm, boot),
    address: '127.0.0.1:0',
    sharedKeys: keys,
    tls,
    clock: world.clock,
    metrics,
    log: silentLog,
    maxMessageBytes: MAX_MESSAGE_BYTES,
    maxBufferedBytes: MAX_BUFFERED_BYTES
  })
  links.handle('config.pull', (body, from) => ({ body, from }))
  const endpoint = { links, metrics, port: await links.listen() }
  world.endpoints.push(endpoint)
  return endpoint
}

async function startPair (world: PeerWorld, options: Partial<EndpointOptions> = {}): Promise<void> {
  world.clock = createManualClock()
  world.endpoints = []
  world.sockets = []
  world.failures = []
  world.first = await startEndpoint(world, { ...options, vm: VM_1 })
  world.second = await startEndpoint(world, { ...options, vm: VM_2 })
  world.first.links.setAddress(VM_2, `127.0.0.1:${world.second.port}`)
  world.second.links.setAddress(VM_1, `127.0.0.1:${world.first.port}`)
}

/** Yields to the event loop, so that sockets deliver sent data. */
function yieldToSockets (): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 1))
}

/** Advances the clock until the promise settles and resolves with its error, if any. */
async function advanceUntilSettled (world: PeerWorld, promise: Promise<unknown>): Promise<unknown> {
  const state = { settled: false, error: undefined as unknown }
  promise.catch((reason: unknown) => { state.error = reason }).finally(() => { state.settled = true })
  for (let i = 0; i < 20 && !state.settled; i++) await yieldToSockets()
  while (!state.settled) {
    await world.clock.advance(20)
    await yieldToSockets()
  }
  return state.error
}

function openSocket (world: PeerWorld): Socket {
  const socket = connect(world.first.port, '127.0.0.1')
  socket.on('error', () => {})
  world.sockets.push(socket)
  return socket
}

async function openWebSocket (world: PeerWorld): Promise<WebSocket> {
  const socket = new WebSocket(`ws://127.0.0.1:${world.first.port}/`)
  socket.on('error', () => {})
  await new Promise((resolve, reject) => { socket.once('open', resolve).once('error', reject) })
  return socket
}

function authenticate (socket: WebSocket, key = 'first-shared-key', vm = 'vm-9'): Promise<void> {
  return new Promise(resolve => startHandshake(socket, VM_1, {
    identity: identity(vm), keys: () => [key], channelBinding: Buffer.alloc(0), onAuthenticated: () => resolve(), onFailure: () => {}
  }))
}

const NONCE = 'ab'.repeat(32)
const helloMessage = (fields = {}) => JSON.stringify({ version: 1, vm: 'vm-9', boot: 'boot-9', to: 'vm-1', nonce: NONCE, ...fields })

/** Sends over a WebSocket before authentication. */
const beforeAuthentication = (send: (socket: WebSocket) => void) => async (world: PeerWorld) => {
  const socket = await openWebSocket(world)
  const closed = new Promise(resolve => socket.once('close', resolve))
  send(socket)
  return { closed }
}

const afterAuthentication = (send: (socket: WebSocket) => void) => async (world: PeerWorld) => {
  const socket = await openWebSocket(world)
  const closed = new Promise(resolve => socket.once('close', resolve))
  await authenticate(socket)
  send(socket)
  return { closed }
}

const rawBytes = (bytes: string) => async (world: PeerWorld) => {
  const socket = openSocket(world)
  const closed = new Promise(resolve => socket.once('close', resolve))
  socket.resume().write(bytes)
  return { closed }
}

type Attack = (world: PeerWorld) => Promise<{ closed: Promise<unknown> }>

const ATTACK_BY_INPUT: Record<string, Attack> = {
  'bytes that are not HTTP': rawBytes('\u0000\u0001\u0002garbage\r\n\r\n'),
  'a plain HTTP request': rawBytes('GET / HTTP/1.1\r\nhost: x\r\n\r\n'),
  'an endless HTTP header': rawBytes('GET / HTTP/1.1\r\nx: ' + 'a'.repeat(20_000)),
  'a hello that is not JSON': beforeAuthentication(socket => socket.send('{')),
  'a hello for another VM': beforeAuthentication(socket => socket.send(helloMessage({ to: 'vm-7' }))),
  'a hello of another version': beforeAuthentication(socket => socket.send(helloMessage({ version: 99 }))),
  'a hello larger than a handshake': beforeAuthentication(socket => socket.send(helloMessage({ nonce: 'x'.repeat(60_000) }))),
  'a proof with an unknown key': beforeAuthentication(socket => void authenticate(socket, 'unknown-shared-key')),
  // Both sides send proofs of the same form; an attacker without a key sends one with an arbitrary MAC.
  'a proof with an arbitrary MAC': beforeAuthentication(socket => {
    socket.once('message', () => socket.send(JSON.stringify({ mac: NONCE })))
    socket.send(helloMessage())
  }),
  nothing: rawBytes(''),
  'a frame that is not MessagePack': afterAuthentication(socket => socket.send(Buffer.from([0xc1, 0xff, 0x00]))),
  'a frame of an unknown kind': afterAuthentication(socket => socket.send(Buffer.from([0x92, 0x09, 0x01]))),
  'a text frame': afterAuthentication(socket => socket.send('{}')),
  'a frame over the size limit': afterAuthentication(socket => socket.send(Buffer.alloc(MAX_MESSAGE_BYTES + 1)))
}

After({ tags: '@peer' }, async function (this: Partial<PeerWorld>) {
  for (const socket of this.sockets ?? []) socket.destroy()
  await Promise.all((this.endpoints ?? []).map(({ links }) => links.close()))
  await this.proxy?.close()
  this.keylessServer?.close()
})

Given('peer links of vm-1 and vm-2 with the key {string}', async function (this: PeerWorld, key: string) {
  await startPair(this, { keys: [key] })
})

When(/^a peer connection sends (.*) to vm-1$/, async function (this: PeerWorld, input: string) {
  const firstRound = await Promise.all(Array.from({ length: ATTACK_COUNT / 2 }, () => ATTACK_BY_INPUT[input]!(this)))
  this.closed = Promise.all(firstRound.map(({ closed }) => closed))
  if (input === 'nothing') await advanceUntilSettled(this, this.closed)
  await this.closed
  const secondRound = await Promise.all(Array.from({ length: ATTACK_COUNT / 2 }, () => ATTACK_BY_INPUT[input]!(this)))
  this.closed = Promise.all(secondRound.map(({ closed }) => closed))
  if (input === 'nothing') await advanceUntilSettled(this, this.closed)
})

Then('the peer connection is closed', async function (this: PeerWorld) {
  await this.closed
})

Then('vm-1 counted bad peer input as {word} and keeps no connection from it', async function (this: PeerWorld, reason: string) {
  await until(() => this.first.metrics.value('bad_input', reason) === ATTACK_COUNT)
  const { metrics } = this.first
  // A notification to the attacker's VM fails, as there is neither a connection nor an address for it.
  this.first.links.notify('vm-9' as VmId, 'config.pull', 1)
  await until(() => metrics.value('peer_failures', 'notify_peer_unreachable') === 1)
})

Then('a peer request from {word} to {word} is answered', async function (this: PeerWorld, from: string, to: string) {
  const endpoint = from === VM_1 ? this.first : this.second
  const answer = await endpoint.links.request(to as VmId, 'config.pull', { some: 'body' }, { timeoutMs: 5000 })
  assert.deepEqual(answer, { body: { some: 'body' }, from })
})

When('{int} peer connections open to vm-1 without authenticating', async function (this: PeerWorld, count: number) {
  const sockets = await Promise.allSettled(Array.from({ length: count }, () => openWebSocket(this)))
  assert.equal(sockets.some(({ status }) => status === 'fulfilled'), true)
})

Then('vm-1 counted {int} peer connections as {word}', async function (this: PeerWorld, count: number, reason: string) {
  await until(() => this.first.metrics.value('bad_input', reason) === count)
})

Then('after the peer handshake timeout a peer request from vm-2 to vm-1 is answered', async function (this: PeerWorld) {
  await this.clock.advance(HANDSHAKE_TIMEOUT_MS)
  await this.second.links.request(VM_1, 'config.pull', 1)
})

Given(/^vm-2 is a peer that is (.*)$/, async function (this: PeerWorld, kind: string) {
  const { links } = this.first
  this.proxy = await startFaultProxy({ target: `127.0.0.1:${this.second.port}` })
  links.setAddress(VM_2, this.proxy.address)
  const connectFirst = () => links.request(VM_2, 'config.pull', 0)
  const handle = (run: () => unknown) => this.second.links.handle('permit.request', run)
  const setups: Record<string, () => unknown> = {
    'without a known address': () => links.removeAddress(VM_2),
    'refusing connections': () => this.proxy!.set({ refuse: true }),
    'frozen before the connection opens': () => this.proxy!.set({ frozen: true }),
    'replaced at its address by another VM': () => links.setAddress(VM_2, `127.0.0.1:${this.first.port}`),
    'using another key': () => this.second.links.setSharedKeys(['unknown-shared-key']),
    'impersonated by a server without a key': async () => links.setAddress(VM_2, await startKeylessServer(this)),
    'never answering': () => handle(() => new Promise(() => {})),
    'frozen after the connection has opened': async () => { await connectFirst(); this.proxy!.set({ frozen: true }) },
    'unable to deliver its answer': async () => { await connectFirst(); handle(() => 1); this.proxy!.set({ dropAnswer: true }) },
    'closing its links on the request': () => handle(() => this.second.links.close()),
    'without a handler': () => {},
    'failing in its handler': () => handle(() => { throw new Error('the handler failed') })
  }
  await setups[kind]!()
})

/** Starts a server without a key, which accepts every proof and answers with an invalid one. */
async function startKeylessServer (world: PeerWorld): Promise<string> {
  const server = new WebSocketServer({ host: '127.0.0.1', port: 0 })
  server.on('connection', socket => {
    socket.once('message', () => {
      socket.once('message', () => socket.send(JSON.stringify({ mac: NONCE })))
      socket.send(JSON.stringify({ vm: VM_2, boot: 'boot-vm-2', nonce: NONCE }))
    })
  })
  await new Promise(resolve => server.once('listening', resolve))
  world.keylessServer = server
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

When('vm-1 sends a peer request to vm-2', function (this: PeerWorld) {
  this.request = this.first.links.request(VM_2, 'permit.request', {})
})

When('vm-1 sends {int} peer requests to vm-2 that time out', async function (this: PeerWorld, count: number) {
  for (let i = 0; i < count; i++) {
    await advanceUntilSettled(this, this.first.links.request(VM_2, 'permit.request', {}, { timeoutMs: 2000 }))
  }
})

When('the peer network is no longer frozen', function (this: PeerWorld) {
  assert.equal(this.first.metrics.value('peer_failures', 'silent'), 1)
  this.proxy!.clear()
})

Then('the peer request fails with {word}', async function (this: PeerWorld, kind: string) {
  const error = await advanceUntilSettled(this, this.request!)
  assert.equal((error as { kind?: string } | undefined)?.kind, kind, String(error))
})

When('the peer keys are changed step by step to {string} during requests', async function (this: PeerWorld, next: string) {
  const { first, second } = this
  const state = { isRunning: true, answers: 0 }
  const pairs: [PeerEndpoint, VmId][] = [[first, VM_2], [second, VM_1]]
  const traffic = pairs.map(async ([endpoint, to]) => {
    while (state.isRunning) {
      await endpoint.links.request(to, 'config.pull', 1).catch((error: unknown) => this.failures.push(error))
      state.answers++
    }
  })
  for (const keys of [['first-shared-key', next], [next, 'first-shared-key'], [next]]) {
    for (const { links } of [first, second]) {
      links.setSharedKeys(keys)
      const targetAnswers = state.answers + 100
      await until(() => state.answers >= targetAnswers)
    }
  }
  state.isRunning = false
  await Promise.all(traffic)
  assert.notEqual(first.metrics.value('peer_failures', 'key_removed'), 0)
})

Then('no peer request failed', function (this: PeerWorld) {
  assert.deepEqual(this.failures, [])
})

Then('vm-1 refuses a peer with the key {string}', async function (this: PeerWorld, key: string) {
  const socket = await openWebSocket(this)
  const closed = new Promise(resolve => socket.once('close', resolve))
  void authenticate(socket, key)
  await closed
  assert.equal(this.first.metrics.value('bad_input', 'peer_wrong_key'), 1)
})

When('vm-1 accepts only the peer key {string}', async function (this: PeerWorld, key: string) {
  await this.first.links.request(VM_2, 'config.pull', 1)
  this.first.links.setSharedKeys([key])
})

When('an authenticated peer of vm-1 stops reading while vm-1 sends to it', async function (this: PeerWorld) {
  const socket = await openWebSocket(this)
  await authenticate(socket)
  socket.pause()
  const body = Buffer.alloc(MAX_MESSAGE_BYTES / 2)
  while (this.first.metrics.value('peer_failures', 'slow_peer') === 0) {
    this.first.links.notify('vm-9' as VmId, 'config.push', body)
    await yieldToSockets()
  }
  socket.terminate()
})

Then('vm-1 counted the peer failure {word}', async function (this: PeerWorld, reason: string) {
  await until(() => this.first.metrics.value('peer_failures', reason) > 0)
})

When('vm-1 and vm-2 send peer requests to each other at the same time', async function (this: PeerWorld) {
  this.proxy = await startFaultProxy({ target: `127.0.0.1:${this.second.port}` })
  this.first.links.setAddress(VM_2, this.proxy.address)
  await Promise.all([this.first.links.request(VM_2, 'config.pull', 1), this.second.links.request(VM_1, 'config.pull', 1)])
})

Then('later peer requests of both time out when the connection that vm-1 opened is frozen', async function (this: PeerWorld) {
  this.proxy!.set({ frozen: true })
  const requests = [this.first.links.request(VM_2, 'config.pull', 1), this.second.links.request(VM_1, 'config.pull', 1)]
  const errors = await Promise.all(requests.map(request => advanceUntilSettled(this, request)))
  for (const error of errors) assert.equal((error as { kind?: string } | undefined)?.kind, 'peer_timeout')
})

When('a new run of vm-2 connects while a peer request to the earlier run is pending', async function (this: PeerWorld) {
  const arrived = new Promise<void>(resolve => {
    this.second.links.handle('permit.request', () => {
      resolve()
      return new Promise(() => {})
    })
  })
  this.request = this.first.links.request(VM_2, 'permit.request', {})
  this.request.catch(() => {})
  await arrived
  const next = await startEndpoint(this, { vm: VM_2, boot: 'boot-next' })
  next.links.setAddress(VM_1, `127.0.0.1:${this.first.port}`)
  await next.links.request(VM_1, 'config.pull', 1)
})

function tlsFiles (name: string): PeerTls {
  const file = (suffix: string) => `features/fixtures/peer-tls/${suffix}`
  return readPeerTls({ shared_keys: [], tls_cert_file: file(`${name}.pem`), tls_key_file: file(`${name}.key`), tls_ca_file: file('authority.pem') })!
}

Given('peer links of vm-1 and vm-2 over TLS', async function (this: PeerWorld) {
  await startPair(this, { tls: tlsFiles('vm') })
})

When(/^vm-1 sends a TLS peer request to a vm-2 (.*)$/, async function (this: PeerWorld, kind: string) {
  const tls: Record<string, PeerTls | undefined> = {
    'with a certificate from the authority': tlsFiles('vm'),
    'with a self-signed certificate': tlsFiles('stranger'),
    'without TLS': undefined
  }
  const second = await startEndpoint(this, { vm: VM_2, tls: tls[kind] })
  this.first.links.setAddress(VM_2, `127.0.0.1:${second.port}`)
  second.links.setAddress(VM_1, `127.0.0.1:${this.first.port}`)
  this.outcomes = await Promise.allSettled([this.first.links.request(VM_2, 'config.pull', 1), second.links.request(VM_1, 'config.pull', 1)])
})

Then('the TLS peer request is {word}', function (this: PeerWorld, result: string) {
  const expected = result === 'answered' ? 'fulfilled' : 'rejected'
  assert.deepEqual(this.outcomes!.map(({ status }) => status), [expected, expected])
})

When('vm-1 sends a peer request to vm-2 that is over the size limit', function (this: PeerWorld) {
  this.request = this.first.links.request(VM_2, 'config.pull', Buffer.alloc(MAX_MESSAGE_BYTES + 1))
})

Then('the peer frame decoder returns only valid frames or nothing, for random bytes and for corrupted frames with seed {int}', function (seed: number) {
  // The decoder renames `__proto__`, so that no message can set a prototype.
  const body = fc.jsonValue().filter(value => !JSON.stringify(value).includes('__proto__'))
  const frame: fc.Arbitrary<Frame> = fc.oneof(
    fc.record({ kind: fc.constant('request' as const), id: fc.nat(), type: fc.string({ minLength: 1, maxLength: 20 }), body }),
    fc.record({ kind: fc.constant('answer' as const), id: fc.nat(), body }),
    fc.record({ kind: fc.constant('failure' as const), id: fc.nat(), message: fc.string() }),
    fc.record({ kind: fc.constant('notification' as const), type: fc.string({ minLength: 1, maxLength: 20 }), body })
  )
  const kinds = ['request', 'answer', 'failure', 'notification', undefined]
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => kinds.includes(decodeFrame(bytes)?.kind)), { seed, numRuns: 5000 })
  fc.assert(fc.property(frame, fc.nat(), fc.nat({ max: 255 }), (sent, at, value) => {
    const bytes = encodeFrame(sent)
    assert.equal(JSON.stringify(decodeFrame(bytes)), JSON.stringify(sent))
    bytes[at % bytes.length] = value
    assert.equal(kinds.includes(decodeFrame(bytes)?.kind), true)
  }), { seed, numRuns: 2000 })
})

/** Connects an authenticated peer to vm-1 that answers requests with their bodies and the first one also with a copy. */
async function connectCopyingPeer (world: PeerWorld, moment: string): Promise<void> {
  const socket = await openWebSocket(world)
  await authenticate(socket)
  let firstId: number | undefined
  const sendCopy = () => socket.send(encodeFrame({ kind: 'answer', id: firstId!, body: 'copy' }))
  socket.on('message', (data: Buffer) => {
    const frame = decodeFrame(data)
    if (frame?.kind !== 'request') return
    const isFirst = firstId === undefined
    firstId ??= frame.id
    if (isFirst && moment === 'after the time-out of the first') return
    if (!isFirst && moment === 'right after the next request') sendCopy()
    socket.send(encodeFrame({ kind: 'answer', id: frame.id, body: frame.body }))
    if (isFirst && moment === 'with the first answer') sendCopy()
  })
  world.untilNextRequest = async () => {
    await world.clock.advance(moment === '2 s after the first answer' ? 2000 : 20)
    if (moment === 'right after the next request' || moment === 'with the first answer') return
    sendCopy()
    if (moment !== 'in the same turn as the next request') await yieldToSockets()
  }
}

Given(/^vm-9 is a peer that sends a second answer to the first request (.*)$/, async function (this: PeerWorld, moment: string) {
  this.expectedFirst = moment === 'after the time-out of the first' ? 'peer_timeout' : 'body 0'
  await connectCopyingPeer(this, moment)
})

When(/^vm-1 sends (\d+) peer requests to vm-9 one after the other$/, async function (this: PeerWorld, count: string) {
  this.answers = []
  for (let index = 0; index < Number(count); index++) {
    const request = this.first.links.request('vm-9' as VmId, 'permit.request', `body ${index}`, { timeoutMs: 500 })
    const error = await advanceUntilSettled(this, request)
    this.answers.push(error ? (error as { kind?: string }).kind : await request)
    if (index === 0) await this.untilNextRequest()
  }
})

Then('each of the peer requests has got its own answer over one connection', function (this: PeerWorld) {
  assert.deepEqual(this.answers, [this.expectedFirst, 'body 1', 'body 2'])
})
