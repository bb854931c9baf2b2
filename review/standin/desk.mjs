/** Runners whose answers are short streams. They report that they leave, serve on for a time and end. */
import { createServer } from 'node:http'

const EVENTS = 4

export const wholeDeskStream = () => Array.from({ length: EVENTS }, (_, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`).join('')

/** `seen` gets a line for each request that runs. `workMs` is the time that one takes. */
export function createDesks ({ store, service, seen, workMs, slots = 6 }) {
  const running = new Map()

  async function start (number, zone) {
    const id = `i-${((number * 0x9e3779b1) >>> 0).toString(16).padStart(8, '0')}`
    let isLeaving = false
    const server = createServer((incoming, outgoing) => {
      incoming.resume()
      const request = incoming.headers['x-lacewingstage-attempt-id']
      if (incoming.headers['x-lacewingstage-expect-runner'] !== id) return outgoing.writeHead(421, { 'content-length': 0 }).end()
      seen({ what: 'runs', request, runner: id })
      outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'x-lacewingstage-attempt-id': request, 'x-lacewingstage-runner-seal': `${id}.seal`, ...isLeaving && { connection: 'close' } })
      let next = 1
      const timer = setInterval(() => {
        outgoing.write(`id: ${next}\ndata: piece ${next}\n\n`)
        if (next++ < EVENTS) return
        clearInterval(timer)
        outgoing.end()
        seen({ what: 'complete', request, runner: id })
      }, workMs / EVENTS)
      outgoing.once('close', () => clearInterval(timer))
    })
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    const entry = { service, address: `127.0.0.1:${server.address().port}`, zone, version: '1', slots, state: 'ready', cold_left_ms: 0, call_seq: 0, born: Date.now() }
    store.put('servers', id, entry)
    running.set(id, {
      /** Reports `draining`, serves on for `forMs` and ends; resolves when the entry is removed. */
      async leave (forMs) {
        isLeaving = true
        store.put('servers', id, { ...entry, state: 'draining' })
        running.delete(id)
        await new Promise(resolve => setTimeout(resolve, forMs))
        server.close()
        server.closeAllConnections()
        store.remove('servers', id)
      },
      close () {
        server.close()
        server.closeAllConnections()
      }
    })
  }

  return {
    start,
    /** Ids of the runners that have not said that they leave. */
    ids: () => [...running.keys()],
    leave: (id, forMs) => running.get(id).leave(forMs),
    close () { for (const { close } of running.values()) close() }
  }
}
