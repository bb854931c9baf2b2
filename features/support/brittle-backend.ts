/** Backend servers that fall over for some seconds when they must reject more than a few requests in a second. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'

export interface BrittleBackendOptions {
  slots: number
  /** Rejections in a second that it tolerates. */
  tolerated: number
  serviceMs: number
  downMs: number
}

export interface BrittleBackend {
  address: string
  falls: number
  served: number
  close(): Promise<void>
}

export async function startBrittleBackend ({ slots, tolerated, serviceMs, downMs }: BrittleBackendOptions): Promise<BrittleBackend> {
  const rejectedAtMs: number[] = []
  let running = 0
  let isClosed = false
  let server: Server

  const backend: BrittleBackend = {
    address: '',
    falls: 0,
    served: 0,
    async close () {
      isClosed = true
      await stop()
    }
  }

  async function start (port = 0): Promise<void> {
    running = 0
    rejectedAtMs.length = 0
    const started = createServer((incoming, outgoing) => {
      const id = String(incoming.headers['x-test-id'])
      incoming.resume()
      const headers = { 'x-test-mark': 'm', 'x-test-id': id, 'x-test-tolerated-rejections': String(tolerated) }
      if (running >= slots) {
        outgoing.writeHead(503, { ...headers, 'x-test-not-run': '1' }).end()
        return recordRejection()
      }
      running++
      let isRunning = true
      const end = () => {
        if (isRunning && server === started) running--
        isRunning = false
      }
      outgoing.on('close', end)
      setTimeout(() => {
        if (!isRunning) return
        end()
        backend.served++
        outgoing.writeHead(200, headers).end('whole')
      }, serviceMs)
    })
    server = started
    await new Promise<void>(resolve => started.listen(port, '127.0.0.1', resolve))
    backend.address = `127.0.0.1:${(started.address() as AddressInfo).port}`
  }

  async function stop (): Promise<void> {
    const stopped = new Promise(resolve => server.close(resolve))
    server.closeAllConnections()
    await stopped
  }

  function recordRejection (): void {
    const nowMs = performance.now()
    rejectedAtMs.push(nowMs)
    if (rejectedAtMs.filter(atMs => atMs > nowMs - 1000).length <= tolerated || !server.listening) return
    backend.falls++
    const port = (server.address() as AddressInfo).port
    void stop()
    setTimeout(() => { if (!isClosed) void start(port) }, downMs)
  }

  await start()
  return backend
}
