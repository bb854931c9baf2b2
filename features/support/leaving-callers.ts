/** Callers that leave before they are answered, and a backend server that takes long, in threads of their own, so that the event loop of the VM may be slow. */
import { Worker } from 'node:worker_threads'

/** A request that has reached the backend server: how long after its caller had left, and for how long it was worked on after that. */
export interface LateArrival { id: string, afterMs: number, workedMs: number }

export interface LeavingCallers {
  backendAddress: string
  /** Has callers connect to the VM at once, each with one request, and leave after a time. */
  send(address: string, count: number, leaveMs: number): void
  /** The requests that have reached the backend server. */
  arrivals(): Promise<LateArrival[]>
  close(): Promise<void>
}

const BACKEND = `
  const { createServer } = require('node:http')
  const { parentPort } = require('node:worker_threads')
  const now = () => performance.timeOrigin + performance.now()
  const arrivals = []
  const server = createServer((incoming, outgoing) => {
    const arrival = { id: incoming.headers['x-test-id'], atMs: now(), closedMs: undefined }
    arrivals.push(arrival)
    incoming.socket.on('close', () => { arrival.closedMs = now() })
    setTimeout(() => outgoing.writeHead(200, { 'x-test-mark': 'm', 'x-test-id': arrival.id }).end('whole'), 3000)
  })
  server.listen(0, '127.0.0.1', () => parentPort.postMessage('127.0.0.1:' + server.address().port))
  parentPort.on('message', () => parentPort.postMessage({ arrivals, nowMs: now() }))
`

const CALLERS = `
  const { connect } = require('node:net')
  const { parentPort } = require('node:worker_threads')
  const leftMs = {}
  parentPort.on('message', order => {
    if (!order) return parentPort.postMessage(leftMs)
    const [host, port] = order.address.split(':')
    for (let i = 0; i < order.count; i++) {
      const id = 'leaving-' + i
      const socket = connect(Number(port), host, () => {
        socket.write('GET /read/1 HTTP/1.1\\r\\nhost: desk.example\\r\\nx-test-id: ' + id + '\\r\\nx-test-wait-ms: 2500\\r\\nauthorization: Bearer good-key\\r\\n\\r\\n')
        setTimeout(() => {
          leftMs[id] = performance.timeOrigin + performance.now()
          socket.destroy()
        }, order.leaveMs)
      })
      socket.on('error', () => {})
      socket.resume()
    }
  })
`

export async function startLeavingCallers (): Promise<LeavingCallers> {
  const backend = new Worker(BACKEND, { eval: true })
  const callers = new Worker(CALLERS, { eval: true })
  const nextMessage = <Message> (worker: Worker) => new Promise<Message>(resolve => worker.once('message', resolve))
  return {
    backendAddress: await nextMessage<string>(backend),
    send (address, count, leaveMs) { callers.postMessage({ address, count, leaveMs }) },
    async arrivals () {
      callers.postMessage(undefined)
      const leftMs = await nextMessage<Record<string, number>>(callers)
      backend.postMessage('report')
      const { arrivals, nowMs } = await nextMessage<{ arrivals: { id: string, atMs: number, closedMs?: number }[], nowMs: number }>(backend)
      return arrivals.map(({ id, atMs, closedMs = nowMs }) => ({ id, afterMs: atMs - leftMs[id]!, workedMs: closedMs - Math.max(atMs, leftMs[id]!) }))
    },
    async close () { await Promise.all([backend.terminate(), callers.terminate()]) }
  }
}
