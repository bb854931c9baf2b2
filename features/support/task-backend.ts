/** Backend server that records each run of a request, and does what the request's header `x-test-do` says. */
import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** One run of a request by a backend server. */
export interface Run {
  id: string
  backend: string
  method: string
  headers: IncomingMessage['headers']
  /** SHA-256 of the body. */
  digest: string
  /** First event that the run wrote, and how many. */
  firstEvent: number
  events: number
  /** Whether the connection was closed before the end of the response. */
  isCancelled: boolean
}

export interface TaskBackend { address: string, close(): Promise<void> }

export const STREAM_LENGTH = 20

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
export const digestOf = (bytes: Buffer | string) => createHash('sha256').update(bytes).digest('hex')

/**
 * `late MS`, `status CODE`, `busy` (503 that says that the request has not run), `gap MS` (between the events of a stream),
 * `bytes N` (size of each event), `events N`, `break` (the connection is reset in place of the response), `error NAME` (a header
 * that names an error of a VM), `unframed` (a response without a length that ends with its connection, or `unframed reset`, with its reset).
 */
export async function startTaskBackend (name: string, runs: Run[]): Promise<TaskBackend> {
  async function respond (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of incoming) chunks.push(chunk as Buffer)
    const body = Buffer.concat(chunks)
    const id = String(incoming.headers['x-test-id'])
    const run: Run = { id, backend: name, method: incoming.method!, headers: incoming.headers, digest: digestOf(body), firstEvent: 0, events: 0, isCancelled: false }
    runs.push(run)
    outgoing.once('close', () => { run.isCancelled = !outgoing.writableFinished })
    const actions = new Map(String(incoming.headers['x-test-do'] ?? '').split(',').map(text => text.trim().split(' ') as [string, string]))
    const numberOf = (action: string, otherwise: number) => Number(actions.get(action) ?? otherwise)
    if (actions.has('late')) await sleep(numberOf('late', 0))
    if (outgoing.destroyed) return
    if (actions.has('break')) return void incoming.socket.resetAndDestroy()
    if (actions.has('busy')) return void outgoing.writeHead(503, { 'x-test-not-run': '1', 'content-length': '0' }).end()
    outgoing.setHeader('x-test-mark', name)
    outgoing.setHeader('x-test-id', id)
    if (actions.has('error')) outgoing.setHeader('lacewingstage-error', actions.get('error')!)
    if (incoming.url!.startsWith('/stream/') || incoming.url!.startsWith('/cascade/')) return await stream(incoming, outgoing, run, { gapMs: numberOf('gap', 50), bytes: numberOf('bytes', 1), length: numberOf('events', STREAM_LENGTH) })
    outgoing.statusCode = numberOf('status', 200)
    const text = JSON.stringify({ digest: run.digest, bytes: body.length })
    if (actions.has('unframed')) {
      outgoing.useChunkedEncodingByDefault = outgoing.shouldKeepAlive = false
      if (actions.get('unframed') !== 'reset') return void outgoing.end(text)
      outgoing.write(text)
      return void incoming.socket.resetAndDestroy()
    }
    outgoing.setHeader('content-length', Buffer.byteLength(text))
    outgoing.end(text)
  }

  async function stream (incoming: IncomingMessage, outgoing: ServerResponse, run: Run, { gapMs, bytes, length }: { gapMs: number, bytes: number, length: number }): Promise<void> {
    outgoing.setHeader('content-type', 'text/event-stream')
    const closed = once(outgoing, 'close')
    run.firstEvent = Number(incoming.headers['last-event-id'] ?? 0) + 1
    for (let event = run.firstEvent; event <= length && !outgoing.destroyed; event++) {
      run.events++
      const isTaken = outgoing.write(`id: ${event}\ndata: ${String(incoming.headers['x-test-model'] ?? 'any')} ${'x'.repeat(bytes)}\n\n`)
      if (!isTaken) await Promise.race([once(outgoing, 'drain'), closed])
      await sleep(gapMs)
    }
    outgoing.end()
  }

  const server = createServer((incoming, outgoing) => void respond(incoming, outgoing).catch(() => outgoing.destroy()))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    async close () {
      const closed = new Promise(resolve => server.close(resolve))
      server.closeAllConnections()
      await closed
    }
  }
}
