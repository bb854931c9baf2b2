/**
 * TCP proxy that injects faults between two processes: delay, discarded bytes, freeze, refused connections, a reset in
 * the middle of a stream and a lost answer. It is controlled in process or, for tests with separate processes, over
 * HTTP: `GET /` returns the faults, `PUT /` changes those in the JSON body and `DELETE /` clears them.
 */
import { createServer as createHttpServer, type IncomingMessage, type Server as HttpServer } from 'node:http'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { startRelay, type Relay } from './relay.ts'
import type { FaultProxy, FaultProxyOptions, Faults } from './types.ts'

export type { Direction, FaultProxy, FaultProxyOptions, Faults } from './types.ts'

const NO_FAULTS: Faults = { delayMs: 0, cut: 'none', frozen: false, refuse: false, resetAfterBytes: 0, dropAnswer: false }
const MAX_BODY_BYTES = 4096

export async function startFaultProxy ({ target, host = '127.0.0.1', port = 0, controlPort }: FaultProxyOptions): Promise<FaultProxy> {
  const relays = new Set<Relay>()
  let faults = { ...NO_FAULTS }
  let lostBytes = 0

  const server = createServer({ allowHalfOpen: true }, client => {
    client.on('error', () => {})
    if (faults.refuse) return void client.resetAndDestroy()
    const relay: Relay = startRelay(client, connectTarget(target), () => faults, {
      onLost (bytes) { lostBytes += bytes },
      onEnd () { relays.delete(relay) }
    })
    relays.add(relay)
  })

  function applyFaults (next: Faults): void {
    faults = next
    for (const relay of [...relays]) relay.update()
  }

  const proxyPort = await listen(server, host, port)
  const set = (changes: Partial<Faults>) => applyFaults({ ...faults, ...changes })
  const clear = () => applyFaults({ ...NO_FAULTS })
  const controlServer = controlPort === undefined ? undefined : createControlServer({ set, clear, faults: () => faults })
  const controlUrl = controlServer ? `http://${host}:${await listen(controlServer, host, controlPort!)}/` : ''

  return {
    address: `${host}:${proxyPort}`,
    port: proxyPort,
    controlUrl,
    set,
    clear,
    faults: () => ({ ...faults }),
    connections: () => relays.size,
    lostBytes: () => lostBytes,
    async close () {
      for (const relay of [...relays]) relay.destroy()
      await Promise.all([server, controlServer].map(closeServer))
    }
  }
}

function connectTarget (target: string): Socket {
  const colon = target.lastIndexOf(':')
  return connect({ host: target.slice(0, colon), port: Number(target.slice(colon + 1)), allowHalfOpen: true })
}

function listen (server: Server | HttpServer, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve((server.address() as AddressInfo).port))
  })
}

function closeServer (server: Server | HttpServer | undefined): Promise<void> {
  return new Promise(resolve => {
    if (!server) return resolve()
    server.close(() => resolve())
    if ('closeAllConnections' in server) server.closeAllConnections()
  })
}

type Control = Pick<FaultProxy, 'set' | 'clear' | 'faults'>

function createControlServer (control: Control): HttpServer {
  return createHttpServer((request, response) => {
    handleControlRequest(request, control).then(
      () => response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(control.faults())),
      (error: unknown) => response.writeHead(400).end(String(error))
    )
  })
}

async function handleControlRequest (request: IncomingMessage, control: Control): Promise<void> {
  if (request.method === 'DELETE') control.clear()
  if (request.method === 'PUT') control.set(JSON.parse(await readBody(request)) as Partial<Faults>)
}

async function readBody (request: IncomingMessage): Promise<string> {
  let text = ''
  for await (const chunk of request as AsyncIterable<Buffer>) {
    text += chunk.toString()
    if (text.length > MAX_BODY_BYTES) throw new Error(`the body is larger than ${MAX_BODY_BYTES} bytes`)
  }
  return text
}
