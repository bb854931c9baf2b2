/**
 * Accepts connections from other VMs. Until a connection is authenticated, its received bytes, its duration and the
 * number of concurrent handshakes are limited.
 */
import { createServer as createHttpServer, type IncomingMessage, type Server } from 'node:http'
import { createServer as createHttpsServer } from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import { WebSocketServer, type WebSocket } from 'ws'
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ConnectionLimit, LimitedConnection } from '../resource-limits/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import { HANDSHAKE_TIMEOUT_MS, MAX_CONCURRENT_HANDSHAKES, MAX_CONNECTIONS, MAX_HANDSHAKE_BYTES } from './constants.ts'
import { acceptHandshake, type AuthenticatedPeer } from './handshake.ts'
import { channelBinding, type PeerTls } from './tls.ts'

export interface ListenerOptions {
  identity: VmIdentity
  address: string
  tls: PeerTls | undefined
  keys(): readonly string[]
  clock: Clock
  metrics: Metrics
  maxMessageBytes: number
  /** In addition to MAX_CONNECTIONS; prefers connections that have been authenticated. */
  connectionLimit?: ConnectionLimit | undefined
  onConnection(socket: WebSocket, peer: AuthenticatedPeer): void
}

export interface Listener {
  listen(): Promise<number>
  close(): Promise<void>
}

export function createListener (options: ListenerOptions): Listener {
  const { clock, metrics, maxMessageBytes, tls } = options
  const server = createServer(tls)
  const webSocketServer = new WebSocketServer({ noServer: true, maxPayload: maxMessageBytes, perMessageDeflate: false, clientTracking: false })
  const sockets = new Set<Socket>()
  const limitedConnections = new WeakMap<Socket, LimitedConnection>()
  /** Timers that close connections which do not send a WebSocket upgrade request in time. */
  const upgradeTimers = new Map<Socket, TimerCancel>()
  let activeHandshakes = 0

  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => sockets.delete(socket))
  })
  server.on(tls ? 'secureConnection' : 'connection', (socket: Socket) => {
    if (options.connectionLimit && !admit(socket, options.connectionLimit)) return
    upgradeTimers.set(socket, clock.after(HANDSHAKE_TIMEOUT_MS, () => rejectSocket(socket, 'peer_handshake_timeout')))
    socket.once('close', () => cancelUpgradeTimer(socket))
  })
  server.on('error', () => metrics.count('peer_failures', 'listener_error'))
  server.on('drop', () => metrics.count('peer_failures', 'too_many_connections'))
  server.on('clientError', (_error, socket) => rejectSocket(socket as Socket, 'peer_malformed'))
  server.on('tlsClientError', (_error, socket) => rejectSocket(socket, 'peer_unauthenticated'))
  server.on('request', (_request, response) => {
    metrics.count('bad_input', 'peer_malformed')
    response.writeHead(426, { connection: 'close' }).end()
  })
  server.on('upgrade', (request: IncomingMessage, socket: Socket, head: Buffer) => {
    cancelUpgradeTimer(socket)
    if (activeHandshakes >= MAX_CONCURRENT_HANDSHAKES) return rejectSocket(socket, 'peer_too_many_handshakes')
    webSocketServer.handleUpgrade(request, socket, head, webSocket => authenticate(webSocket, socket))
  })

  function admit (socket: Socket, limit: ConnectionLimit): boolean {
    const connection = limit.open(() => socket.destroy())
    if (connection) {
      limitedConnections.set(socket, connection)
      socket.once('close', connection.end)
    } else socket.destroy()
    return connection !== undefined
  }

  function cancelUpgradeTimer (socket: Socket): void {
    upgradeTimers.get(socket)?.()
    upgradeTimers.delete(socket)
  }

  function rejectSocket (socket: Socket, reason: string): void {
    metrics.count('bad_input', reason)
    socket.destroy()
  }

  function authenticate (webSocket: WebSocket, socket: Socket): void {
    activeHandshakes++
    const guard = guardHandshake(socket, clock, reason => rejectSocket(socket, reason))
    webSocket.on('error', error => countSocketError(metrics, error))
    socket.once('close', finish)

    function finish (): void {
      if (!guard.release()) return
      activeHandshakes--
      socket.off('close', finish)
    }

    acceptHandshake(webSocket, {
      identity: options.identity,
      keys: options.keys,
      channelBinding: channelBinding(socket),
      onAuthenticated (peer) {
        finish()
        limitedConnections.get(socket)?.setBusy(true)
        options.onConnection(webSocket, peer)
      },
      onFailure (reason) {
        rejectSocket(socket, reason === 'malformed' ? 'peer_malformed' : `peer_${reason}`)
      }
    })
  }

  return {
    listen: () => new Promise((resolve, reject) => {
      const [host, port] = splitAddress(options.address)
      server.once('error', reject)
      server.listen({ host, port }, () => resolve((server.address() as AddressInfo).port))
    }),
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      for (const socket of sockets) socket.destroy()
    })
  }
}

function createServer (tls: PeerTls | undefined): Server {
  const serverOptions = { maxHeaderSize: MAX_HANDSHAKE_BYTES }
  const server = tls
    ? createHttpsServer({ ...serverOptions, ...tls, requestCert: true, rejectUnauthorized: true, handshakeTimeout: HANDSHAKE_TIMEOUT_MS })
    : createHttpServer(serverOptions)
  server.maxConnections = MAX_CONNECTIONS
  return server
}

export interface HandshakeGuard {
  /** Stops the guard; returns false if it was already stopped. */
  release(): boolean
}

/** Calls `onExceeded` when an unauthenticated connection exceeds the byte limit or the time limit of the handshake. */
export function guardHandshake (socket: Socket, clock: Clock, onExceeded: (reason: string) => void): HandshakeGuard {
  let receivedBytes = 0
  let active = true
  const onData = (chunk: Buffer) => {
    receivedBytes += chunk.length
    if (receivedBytes > MAX_HANDSHAKE_BYTES) reportExceeded('peer_oversized')
  }
  const cancelTimer = clock.after(HANDSHAKE_TIMEOUT_MS, () => reportExceeded('peer_handshake_timeout'))
  socket.on('data', onData)

  function release (): boolean {
    if (!active) return false
    active = false
    cancelTimer()
    socket.off('data', onData)
    return true
  }

  function reportExceeded (reason: string): void {
    if (active) onExceeded(reason)
  }
  return { release }
}

/** Counts a WebSocket error: a protocol violation by the peer as `bad_input`, a connection error as `peer_failures`. */
export function countSocketError (metrics: Metrics, error: Error): void {
  const code = (error as NodeJS.ErrnoException).code ?? ''
  if (code === 'WS_ERR_UNSUPPORTED_MESSAGE_LENGTH') metrics.count('bad_input', 'peer_oversized')
  else if (code.startsWith('WS_ERR')) metrics.count('bad_input', 'peer_malformed')
  else metrics.count('peer_failures', 'connection_error')
}

/** Splits `IP:PORT`. */
export function splitAddress (address: string): [host: string, port: number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}
