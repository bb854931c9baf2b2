/** Address whose connections neither open nor fail: its listener accepts nothing and its queue is full. */
import { connect, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'

export interface SilentListener {
  address: string
  close(): Promise<void>
}

/** Connections that fill the queue of a listener with the smallest backlog. */
const FILLING_CONNECTIONS = 4

/** The thread is blocked once it listens, so that it accepts no connection. */
const WORKER = `
  const { createServer } = require('node:net')
  const { parentPort } = require('node:worker_threads')
  const server = createServer().listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    parentPort.postMessage(server.address().port)
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0)
  })
`

export async function startSilentListener (): Promise<SilentListener> {
  const worker = new Worker(WORKER, { eval: true })
  const port = await new Promise<number>(resolve => worker.once('message', resolve))
  const sockets: Socket[] = Array.from({ length: FILLING_CONNECTIONS }, () => connect(port, '127.0.0.1').on('error', () => {}))
  await new Promise(resolve => setTimeout(resolve, 50))
  return {
    address: `127.0.0.1:${port}`,
    async close () {
      for (const socket of sockets) socket.destroy()
      await worker.terminate()
    }
  }
}
