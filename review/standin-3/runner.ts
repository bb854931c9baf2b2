/** Stand-in of a backend server. It registers itself in the store and hands each request that it runs to a given behaviour. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Recorder } from './record.ts'
import type { Store } from './store.ts'

export interface RunnerRequest {
  runner: Runner
  /** Id of the consumer's attempt. */
  id: string
  incoming: IncomingMessage
  outgoing: ServerResponse
  body: Buffer
  /** Headers that an answer that has run must carry. */
  head: Record<string, string>
}

export interface RunnerOptions {
  id: string
  host: string
  port: number
  service: string
  zone?: string
  version?: string
  slots?: number
  store: Store
  recorder: Recorder
  /** Runs a request, which has been counted. */
  run(request: RunnerRequest): void
  /** Answers a request without running it; returns whether it did. Default: never. */
  refuse?: (request: RunnerRequest) => boolean
}

export interface Runner {
  id: string
  address: string
  /** Number of runs by attempt id. */
  runs: Map<string, number>
  arrivals: { id: string, atMs: number }[]
  /** Reports that it leaves; it goes on serving. */
  drain(): void
  /** Cuts it off from the store, which removes its entry after three intervals without a status report, or ends the cut. */
  setCut(isCut: boolean): void
  /** Ends its process with all channels and starts it again after a time; returns false if it has ended already. */
  crash(awayMs: number): boolean
  close(): void
}

const HEARTBEAT_MS = 1200
const HEARTBEATS_TO_EXPIRY = 3

export async function startRunner ({ id, host, port, service, zone = 'zone-1', version = 'v1', slots = 16, store, recorder, run, refuse = () => false }: RunnerOptions): Promise<Runner> {
  const runs = new Map<string, number>()
  const arrivals: Runner['arrivals'] = []
  const address = `${host}:${port}`
  let born = Date.now()
  let restart: NodeJS.Timeout | undefined
  let calls = 0
  let state = 'ready'
  let isCut = false
  let reportedMs = -Infinity

  async function handle (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    if (incoming.url === '/health') return void outgoing.writeHead(200, { 'x-lacewingstage-runner-id': id, 'content-length': 0 }).end()
    const chunks: Buffer[] = []
    for await (const chunk of incoming) chunks.push(chunk as Buffer)
    const attempt = String(incoming.headers['x-lacewingstage-attempt-id'])
    const expected = incoming.headers['x-lacewingstage-expect-runner']
    if (expected !== undefined && expected !== id) return void outgoing.writeHead(421, { 'x-lacewingstage-runner-id': id, 'content-length': 0 }).end()
    const request: RunnerRequest = {
      runner, id: attempt, incoming, outgoing, body: Buffer.concat(chunks), head: { 'x-lacewingstage-attempt-id': attempt, 'x-lacewingstage-runner-seal': `seal.${attempt}` }
    }
    arrivals.push({ id: attempt, atMs: performance.now() })
    calls++
    if (refuse(request)) return recorder.record('refused by the backend server', { id: attempt, backendServer: id })
    runs.set(attempt, (runs.get(attempt) ?? 0) + 1)
    recorder.record('runs', { id: attempt, backendServer: id, method: incoming.method, path: incoming.url, team: incoming.headers['x-lacewingstage-tenant'], lastEventId: incoming.headers['last-event-id'] })
    run(request)
  }

  const server = createServer((incoming, outgoing) => void handle(incoming, outgoing).catch(() => outgoing.destroy()))
  const runner: Runner = {
    id,
    address,
    runs,
    arrivals,
    drain () {
      state = 'draining'
      beat()
    },
    setCut (value) {
      // The cut begins right after a status report.
      isCut = false
      beat()
      isCut = value
      recorder.record(value ? 'backend server is cut off from the store' : 'backend server reaches the store', { id })
    },
    crash (awayMs) {
      if (!server.listening) return false
      recorder.record('backend server crashes', { id })
      isCut = true
      server.close()
      server.closeAllConnections()
      restart = setTimeout(() => server.listen(port, host, () => {
        recorder.record('backend server is back', { id })
        born = Date.now()
        calls = 0
        isCut = false
        beat()
      }), awayMs)
      return true
    },
    close () {
      clearTimeout(restart)
      clearInterval(heartbeat)
      server.close()
      server.closeAllConnections()
    }
  }
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const report = () => store.put('servers', id, { service, address, zone, version, slots, state, cold_left_ms: 0, stage: 'prefill_decode', models: [], call_seq: calls, born })
  function beat (): void {
    if (!isCut) {
      reportedMs = performance.now()
      report()
    } else if (performance.now() - reportedMs >= HEARTBEATS_TO_EXPIRY * HEARTBEAT_MS) expire()
  }

  function expire (): void {
    if (!store.peek('servers', id)) return
    store.remove('servers', id)
    recorder.record('the entry of the backend server has expired', { id })
  }

  beat()
  const heartbeat = setInterval(beat, HEARTBEAT_MS)
  return runner
}
