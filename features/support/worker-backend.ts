/** Backend servers in a thread of their own, which go on sending while the event loop of the tests is blocked. */
import { Worker } from 'node:worker_threads'
import { STREAM_EVENTS } from './scripted-backend.ts'

export interface WorkerBackends {
  addresses: string[]
  /** Number of requests received so far. */
  countReceived(): Promise<number>
  close(): Promise<void>
}

const WORKER = `
  const { createServer } = require('node:http')
  const { parentPort, workerData: { count, events, gapMs } } = require('node:worker_threads')
  let received = 0
  const servers = Array.from({ length: count }, () => createServer((incoming, outgoing) => {
    received++
    const after = Number(incoming.headers['last-event-id'] ?? 0)
    outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'x-test-mark': 'm', 'x-test-id': incoming.headers['x-test-id'] })
    for (let id = after + 1; id <= events; id++) {
      setTimeout(() => outgoing.write('id: ' + id + '\\ndata: piece ' + id + '\\n\\n'), (id - after - 1) * gapMs)
    }
    setTimeout(() => outgoing.end(), (events - after - 1) * gapMs + 1)
  }))
  Promise.all(servers.map(server => new Promise(resolve => server.listen(0, '127.0.0.1', () => resolve('127.0.0.1:' + server.address().port)))))
    .then(addresses => parentPort.postMessage(addresses))
  parentPort.on('message', () => parentPort.postMessage(received))
`

/** Starts backend servers that send the events of a stream at a steady pace. */
export async function startWorkerBackends (count: number, { gapMs }: { gapMs: number }): Promise<WorkerBackends> {
  const worker = new Worker(WORKER, { eval: true, workerData: { count, events: STREAM_EVENTS, gapMs } })
  const nextMessage = <Message> () => new Promise<Message>(resolve => worker.once('message', resolve))
  return {
    addresses: await nextMessage<string[]>(),
    async countReceived () {
      worker.postMessage('count')
      return await nextMessage<number>()
    },
    async close () { await worker.terminate() }
  }
}
