/**
 * Links between one VM and backend servers, which a test cuts for this VM alone. They run in a thread of their own: a
 * blocked thread with full listen queues leaves connections neither open nor failed, as lost packets do.
 */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'

/**
 * `silent`: open connections hang and new ones neither open nor fail. `refused`: open ones are reset and new ones refused.
 * `reset`: new ones are reset after they have opened. `new_refused`: open ones go on and new ones are refused.
 */
export type LinkState = 'open' | 'silent' | 'refused' | 'reset' | 'new_refused'

export interface Links {
  /** One for each target, in the same order. */
  addresses: string[]
  set(state: LinkState): Promise<void>
  close(): Promise<void>
}

const BACKLOG = 32
/** Connections that fill a listen queue; Linux accepts one more than the backlog. */
const FILLING_CONNECTIONS = BACKLOG + 2

const WORKER = `
  const { connect, createServer } = require('node:net')
  const { parentPort, workerData: { targets, flag, backlog } } = require('node:worker_threads')
  const blocked = new Int32Array(flag)
  const sockets = new Set()
  const ports = []
  let servers = []
  let isReset = false
  // Resetting a socket that has been ended or has not connected yet keeps the loop of the thread busy for ever.
  const reset = socket => { if (socket.connecting || socket.writableEnded) socket.destroy(); else socket.resetAndDestroy() }
  const resetAll = () => { for (const socket of sockets) reset(socket) }
  function relay (client, target) {
    if (isReset) return reset(client.on('error', () => {}))
    const [host, port] = target.split(':')
    const server = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true })
    for (const [from, to] of [[client, server], [server, client]]) {
      sockets.add(from)
      from.on('error', () => reset(to))
      from.on('close', () => {
        sockets.delete(from)
        to.destroy()
      })
      from.pipe(to)
    }
  }
  const listen = () => Promise.all(targets.map((target, index) => new Promise(resolve => {
    const server = createServer({ noDelay: true, allowHalfOpen: true }, client => relay(client, target))
    servers.push(server)
    server.listen({ host: '127.0.0.1', port: ports[index] ?? 0, backlog }, () => {
      ports[index] = server.address().port
      resolve()
    })
  })))
  const unlisten = () => { for (const server of servers.splice(0)) server.close() }
  listen().then(() => parentPort.postMessage(ports))
  parentPort.on('message', async state => {
    isReset = state === 'reset'
    unlisten()
    if (state !== 'new_refused' && state !== 'silent') resetAll()
    if (state === 'open' || state === 'reset' || state === 'silent') await listen()
    parentPort.postMessage('done')
    if (state !== 'silent') return
    Atomics.wait(blocked, 0, 0)
    resetAll()
  })
`

export async function startLinks (targets: readonly string[]): Promise<Links> {
  const flag = new SharedArrayBuffer(4)
  const blocked = new Int32Array(flag)
  const worker = new Worker(WORKER, { eval: true, workerData: { targets, flag, backlog: BACKLOG } })
  const [ports] = await once(worker, 'message') as [number[]]
  let filling: Socket[] = []
  let current: LinkState = 'open'

  function unblock (): void {
    for (const socket of filling.splice(0)) socket.destroy()
    Atomics.store(blocked, 0, 1)
    Atomics.notify(blocked, 0)
  }

  return {
    addresses: ports.map(port => `127.0.0.1:${port}`),
    async set (state) {
      if (state === current) return
      current = state
      unblock()
      const done = once(worker, 'message')
      if (state === 'silent') Atomics.store(blocked, 0, 0)
      worker.postMessage(state)
      await done
      if (state !== 'silent') return
      filling = ports.flatMap(port => Array.from({ length: FILLING_CONNECTIONS }, () => connect(port, '127.0.0.1').on('error', () => {})))
      await new Promise(resolve => setTimeout(resolve, 20))
    },
    async close () {
      unblock()
      await worker.terminate()
    }
  }
}
