import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createFakeRegion } from '../support/fakes.ts'
import { createSampleView, KEY, startGatewayVm, type GatewayVm } from '../support/gateway-vm.ts'

interface CallerWorld {
  callerVm: GatewayVm
  status: number
  sockets: Socket[]
}

const MAX_CONNECTIONS = 3
const BODY_LIMIT = 1000

After({ tags: '@caller-server' }, async function (this: CallerWorld) {
  for (const socket of this.sockets ?? []) socket.destroy()
  await this.callerVm?.server.stop({ timeout: 0 })
})

Given('a caller server with small limits', async function (this: CallerWorld) {
  this.sockets = []
  this.callerVm = await startGatewayVm({
    view: createSampleView(),
    region: createFakeRegion(),
    limits: { max_connections: MAX_CONNECTIONS, max_body_bytes: BODY_LIMIT, max_header_bytes: 2000, header_timeout_ms: 200 }
  })
})

function openSocket (world: CallerWorld): Socket {
  const socket = connect(Number(new URL(world.callerVm.url).port), '127.0.0.1')
  socket.on('error', () => {})
  world.sockets.push(socket)
  return socket
}

/** Sends raw bytes and reads the status line; 0 when the connection closes without one. */
function exchange (world: CallerWorld, text: string): Promise<number> {
  return new Promise(resolve => {
    const socket = openSocket(world)
    socket.on('data', data => resolve(Number(String(data).split(' ')[1])))
    socket.on('close', () => resolve(0))
    socket.write(text)
  })
}

const POST = `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n`
const RAW_INPUTS: Record<string, string> = {
  'a header over the limit': `${POST}x-long: ${'x'.repeat(3000)}\r\n\r\n`,
  'a declared body over the limit': `${POST}content-length: ${BODY_LIMIT + 1}\r\n\r\n${'x'.repeat(BODY_LIMIT + 1)}`,
  'a chunked body over the limit': `${POST}transfer-encoding: chunked\r\n\r\n${(BODY_LIMIT + 1).toString(16)}\r\n${'x'.repeat(BODY_LIMIT + 1)}\r\n0\r\n\r\n`,
  'an unauthenticated endless body': 'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nxxxxx\r\n',
  'headers too slowly': POST
}

When(/^a caller server client sends (.*)$/, async function (this: CallerWorld, input: string) {
  this.status = await exchange(this, RAW_INPUTS[input]!)
})

When('a caller server client reads {string}', async function (this: CallerWorld, path: string) {
  this.status = (await fetch(this.callerVm.url + path, { headers: { connection: 'close' } })).status
})

Then('the caller server answers {int}', function (this: CallerWorld, status: number) {
  assert.equal(this.status, status)
})

const HEALTH = 'GET /health HTTP/1.1\r\nhost: x\r\n\r\n'

When('the caller server has the maximum number of connections', async function (this: CallerWorld) {
  for (let count = 0; count < MAX_CONNECTIONS; count++) assert.equal(await exchange(this, HEALTH), 200)
})

Then('the caller server drops one more connection', async function (this: CallerWorld) {
  assert.equal(await exchange(this, HEALTH), 0)
})

Then('the caller server accepts connections again once they close', async function (this: CallerWorld) {
  for (const socket of this.sockets) socket.destroy()
  let status = 0
  // The server detects closed connections with a delay, so the request is repeated.
  for (let tries = 0; status !== 200 && tries < 500; tries++) status = await exchange(this, HEALTH)
  assert.equal(status, 200)
})
