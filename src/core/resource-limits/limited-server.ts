/** Applies a connection limit to a server. */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionLimit } from './types.ts'

/** Sent on a connection of which nothing has been read; the request on it, if any, has not run. */
const REFUSAL = 'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.00\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'

/** Registers before other listeners of `connection`: a refused connection has ended when they see it. */
export function limitConnections (server: Server, limit: ConnectionLimit): void {
  server.prependListener('connection', (socket: Socket) => {
    const connection = limit.open(() => socket.destroy())
    if (!connection) {
      socket.end(REFUSAL)
      socket.destroySoon()
      return
    }
    let openRequests = 0
    socket.once('close', connection.end)
    requestListeners.set(socket, outgoing => {
      if (openRequests++ === 0) connection.setBusy(true)
      outgoing.once('close', () => { if (--openRequests === 0) connection.setBusy(false) })
    })
  })
  server.prependListener('request', (incoming, outgoing) => { requestListeners.get(incoming.socket)?.(outgoing) })
}

const requestListeners = new WeakMap<Socket, (outgoing: { once(event: 'close', listener: () => void): unknown }) => void>()
