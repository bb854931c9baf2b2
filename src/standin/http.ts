/** HTTP server helpers shared by the stand-ins. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

const MAX_BODY_BYTES = 8 * 1024 * 1024

/** If the handler rejects, the response is status 400 with the error as its message; a response that has begun is aborted. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void

export interface HttpListener {
  address: string
  server: Server
  close(): Promise<void>
  kill(): Promise<void>
  /** Drops all connections and keeps listening. */
  dropConnections(): void
}

export async function listen (handler: HttpHandler, { host = '127.0.0.1', port = 0 } = {}): Promise<HttpListener> {
  const server = createServer((request, response) => { void handle(handler, request, response) })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const bound = server.address() as AddressInfo
  const close = () => new Promise<void>(resolve => server.close(() => resolve()))
  return {
    address: `${host}:${bound.port}`,
    server,
    close () {
      server.closeIdleConnections()
      return close()
    },
    kill () {
      const closed = close()
      server.closeAllConnections()
      return closed
    },
    dropConnections: () => server.closeAllConnections()
  }
}

async function handle (handler: HttpHandler, request: IncomingMessage, response: ServerResponse): Promise<void> {
  try {
    await handler(request, response)
  } catch (error) {
    if (!response.headersSent) sendJson(response, 400, { error: { message: String(error) } })
    else response.destroy()
  }
}

export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

export async function readText (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of request) {
    size += (chunk as Buffer).length
    if (size > MAX_BODY_BYTES) throw new Error('body too large')
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks).toString('utf8')
}

export async function readJson<Body> (request: IncomingMessage): Promise<Body> {
  const text = await readText(request)
  return JSON.parse(text || '{}') as Body
}
