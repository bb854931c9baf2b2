/**
 * Model runners: a head at once, the prompt's prefill, then events with ids, as PROTOCOL.md describes streams. A prompt
 * with the deadly part ends the runner as it begins to write the answer; it is back after some seconds as a new boot.
 */
import { createServer } from 'node:http'

const EVENTS = 8
const EVENT_GAP_MS = 40
/** SYSTEM.md: "61.2 prompt tokens are read in a ms". */
const TOKENS_PER_MS = 61.2
const BACK_AFTER_MS = 3000
/** Three intervals of the status reports (`heartbeat_ms`). */
const ENTRY_LAPSES_MS = 3600

export const eventText = id => `id: ${id}\ndata: piece ${id}\n\n`
export const wholeStream = (events = EVENTS) => Array.from({ length: events }, (_, index) => eventText(index + 1)).join('')

const tokensOf = prefix => Number(prefix.split(',').at(-1).split(':')[1])

/**
 * `seen` gets a line for each request that arrives, begins and ends. `isUnframed` decides whether an answer has neither
 * a length nor chunks. With `hasEarlyHead` the head of a stream comes when the request is admitted, otherwise with the
 * first event.
 */
export function createEngines ({ store, service, seen, deadlyPart = 'none', slots = 64, version = '1', isUnframed = () => false, hasEarlyHead = true }) {
  const running = new Set()
  /** Ends a runner, by its server. */
  const crashes = new Map()
  let started = 0

  async function start (zone, number = ++started) {
    const id = `i-${(0x7f3a0000 + number).toString(16)}`
    const sockets = new Set()
    const server = createServer((incoming, outgoing) => {
      incoming.resume()
      const request = incoming.headers['x-lacewingstage-attempt-id']
      if (incoming.headers['x-lacewingstage-expect-runner'] !== id) return outgoing.writeHead(421, { 'content-length': 0 }).end()
      const prefix = String(incoming.headers['x-lacewingstage-prompt-prefix'])
      seen({ what: 'arrived', request, runner: id, path: incoming.url, resumedAt: incoming.headers['last-event-id'] })
      if (isUnframed(request)) {
        outgoing.useChunkedEncodingByDefault = false
        outgoing.shouldKeepAlive = false
      }
      outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'x-lacewingstage-attempt-id': request, 'x-lacewingstage-runner-seal': `${id}.seal`, 'x-lacewingstage-weight-versions': '1' })
      if (hasEarlyHead) outgoing.flushHeaders()
      let next = Number(incoming.headers['last-event-id'] ?? 0) + 1
      const begin = () => {
        if (prefix.includes(deadlyPart)) return crash(request)
        seen({ what: 'begun', request, runner: id })
        timer = setInterval(() => {
          if (next <= EVENTS) return outgoing.write(eventText(next++))
          clearInterval(timer)
          outgoing.end()
          seen({ what: 'complete', request, runner: id })
        }, EVENT_GAP_MS)
      }
      let timer = setTimeout(begin, tokensOf(prefix) / TOKENS_PER_MS)
      outgoing.once('close', () => {
        clearTimeout(timer)
        clearInterval(timer)
      })
    })
    server.on('connection', socket => {
      sockets.add(socket)
      socket.once('close', () => sockets.delete(socket))
    })

    function crash (request) {
      if (!server.listening) return
      seen({ what: 'crashed', request, runner: id })
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
      running.delete(server)
      setTimeout(() => void start(zone), BACK_AFTER_MS).unref()
      setTimeout(() => store.remove('servers', id), ENTRY_LAPSES_MS).unref()
    }

    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    running.add(server)
    crashes.set(server, crash)
    store.put('servers', id, { service, address: `127.0.0.1:${server.address().port}`, zone, version, slots, state: 'ready', cold_left_ms: 0, call_seq: 0, born: Date.now() })
  }

  return {
    start,
    /** Ends the first `count` runners at the same moment. */
    crashSome (count) { for (const server of [...running].slice(0, count)) crashes.get(server)() },
    close () {
      for (const server of running) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}
