/**
 * Stand-in for the platform's VM list over HTTP. `GET /vms` returns the list as of `lagMs` ago; `PUT /vms` replaces it,
 * for tests with separate processes.
 */
import { createServer, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import { systemClock, type Clock } from '../../core/clock/index.ts'
import type { VmId } from '../../core/ids/index.ts'

const MAX_BODY_BYTES = 1024 * 1024

export interface ListedVm {
  id: VmId
  /** Address of the peer port, `IP:PORT`. */
  address: string
  state: 'live' | 'leaving'
}

export interface VmListOptions {
  host?: string
  port?: number
  /** Delay until readers see a new list, milliseconds. */
  lagMs?: number
  clock?: Clock
}

export interface VmList {
  readonly url: string
  /** Replaces the list; readers see the new one after `lagMs`. */
  set(vms: readonly ListedVm[]): void
  /** Returns the list that readers currently see. */
  visible(): readonly ListedVm[]
  close(): Promise<void>
}

export async function startVmList ({ host = '127.0.0.1', port = 0, lagMs = 2000, clock = systemClock }: VmListOptions = {}): Promise<VmList> {
  let history: { atMs: number, vms: readonly ListedVm[] }[] = []

  function set (vms: readonly ListedVm[]): void {
    history.push({ atMs: clock.now(), vms: [...vms] })
  }

  function visible (): readonly ListedVm[] {
    const latest = history.findLastIndex(({ atMs }) => atMs <= clock.now() - lagMs)
    if (latest > 0) history = history.slice(latest)
    return latest < 0 ? [] : history[0]!.vms
  }

  const server = createServer((request, response) => {
    handleRequest(request).then(
      body => response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body)),
      (error: unknown) => response.writeHead(400).end(String(error))
    )
  })

  async function handleRequest (request: IncomingMessage): Promise<unknown> {
    if (request.method === 'PUT') set((JSON.parse(await readBody(request)) as { vms: ListedVm[] }).vms)
    return { vms: visible() }
  }

  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    url: `http://${host}:${(server.address() as AddressInfo).port}/vms`,
    set,
    visible,
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAX_BODY_BYTES) throw new Error(`the body is larger than ${MAX_BODY_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString()
}
