/** Backend server that falls silent for a time: it accepts connections and reads requests, but sends nothing, and then goes on. */
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

export interface PausingBackend {
  address: string
  /** Ids of the requests received. */
  received: string[]
  /** Number of requests whose connection closed before the answer was complete. */
  dropped: number
  fallSilent(): void
  goOn(): void
  close(): Promise<void>
}

/** Events of a stream, and the time between them and before a plain answer. */
export const PAUSING_STREAM_EVENTS = 20
const EVENT_MS = 50

export async function startPausingBackend (): Promise<PausingBackend> {
  let isSilent = false
  const steps = new Set<NodeJS.Timeout>()

  /** Calls a step again until it returns false; nothing is called while the backend server is silent. */
  function repeat (step: () => boolean): void {
    const timer = setInterval(() => {
      if (isSilent || step()) return
      clearInterval(timer)
      steps.delete(timer)
    }, EVENT_MS)
    steps.add(timer)
  }

  const server = createServer((incoming, outgoing) => {
    const id = String(incoming.headers['x-test-id'])
    incoming.resume()
    backend.received.push(id)
    outgoing.on('close', () => { if (!outgoing.writableFinished) backend.dropped++ })
    const headers = { 'x-test-mark': 'm', 'x-test-id': id }
    if (!incoming.url!.startsWith('/stream/')) {
      return repeat(() => {
        outgoing.writeHead(200, headers).end('whole')
        return false
      })
    }
    sendEvents(outgoing, headers, Number(incoming.headers['last-event-id'] ?? 0))
  })

  function sendEvents (outgoing: ServerResponse, headers: Record<string, string>, after: number): void {
    let number = after
    repeat(() => {
      if (number === after) outgoing.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
      number++
      outgoing.write(`id: ${number}\ndata: piece ${number}\n\n`)
      if (number < PAUSING_STREAM_EVENTS) return !outgoing.destroyed
      outgoing.end()
      return false
    })
  }

  const backend: PausingBackend = {
    address: '',
    received: [],
    dropped: 0,
    fallSilent () { isSilent = true },
    goOn () { isSilent = false },
    async close () {
      for (const timer of steps) clearInterval(timer)
      const closed = new Promise(resolve => server.close(resolve))
      server.closeAllConnections()
      await closed
    }
  }
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  backend.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return backend
}
