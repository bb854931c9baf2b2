/** Application runners: they serve orders, report that they leave, serve on for a time and end. */
import { createServer } from 'node:http'

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
      setTimeout(() => {
        const body = `done ${request}`
        outgoing.writeHead(200, { 'x-lacewingstage-attempt-id': request, 'x-lacewingstage-runner-seal': `${id}.seal`, 'content-length': body.length, ...isLeaving && { connection: 'close' } })
        outgoing.end(body)
      }, workMs)
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
