/** Stand-in of a runner (PROTOCOL.md, "Runners"): checks for whom a request is meant, and leaves the answer to a function. */
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1200

/**
 * `answer(request, response, context)` answers a request that is meant for this runner. The entry in the store is written
 * at each status report until `leave` is called.
 */
export async function startRunner ({ id, service, store, version = 'v1', zone = 'zone-0', slots = 64, answer }) {
  const arrivals = []
  const born = Date.now()
  const server = createServer((request, response) => {
    if (request.url === '/health') return void response.writeHead(200, { 'X-Lacewingstage-Runner-Id': id, 'Content-Length': 0 }).end()
    const requestId = request.headers['x-lacewingstage-attempt-id']
    const expected = request.headers['x-lacewingstage-expect-runner']
    if (expected !== undefined && expected !== id) return void response.writeHead(421, { 'X-Lacewingstage-Runner-Id': id, 'Content-Length': 0 }).end()
    if (requestId === undefined) return void response.writeHead(400, { 'X-Lacewingstage-Not-Executed': '1', 'Content-Length': 0 }).end()
    const arrival = { id: requestId, path: request.url, atMs: performance.now(), status: undefined, lastEventId: request.headers['last-event-id'] }
    arrivals.push(arrival)
    request.resume()
    const head = { 'X-Lacewingstage-Attempt-Id': requestId, 'X-Lacewingstage-Runner-Seal': `seal-of-${id}` }
    request.on('end', () => answer({ request, response, requestId, head, arrival, runner }))
  })
  server.keepAliveTimeout = 15_000
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  const runner = { id, version, arrivals, address: `127.0.0.1:${server.address().port}`, state: 'ready', report, leave, cut: leave, heal, close }
  let calls = 0
  let isPresent = true

  function report () {
    if (isPresent) store.put('servers', id, { service, address: runner.address, zone, version, slots, state: runner.state, cold_left_ms: 0, call_seq: calls, born })
  }

  /** Stops the status reports and removes the entry. */
  function leave () {
    isPresent = false
    store.remove('servers', id)
  }

  /** Writes the entry again, at the end of a partition from the store. */
  function heal () {
    isPresent = true
    report()
  }

  function close () {
    isPresent = false
    clearInterval(timer)
    server.close()
    server.closeAllConnections()
  }

  const timer = setInterval(() => {
    calls = 0
    report()
  }, HEARTBEAT_MS)
  report()
  return runner
}

/** Sends a complete plain answer. */
export function sendPlain (response, head, status = 200, text = 'done') {
  response.writeHead(status, { ...head, 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(text) })
  response.end(text)
}

/** Text of one event of a stream. */
export const eventText = (number, text = `piece ${number}`) => `id: ${number}\ndata: ${text}\n\n`
