/** Connects to another VM and performs mutual authentication. */
import type { Socket } from 'node:net'
import { WebSocket } from 'ws'
import type { Clock } from '../clock/index.ts'
import { PeerError } from '../errors/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import { HANDSHAKE_TIMEOUT_MS } from './constants.ts'
import { startHandshake, type AuthenticatedPeer } from './handshake.ts'
import { countSocketError, guardHandshake, type HandshakeGuard } from './listener.ts'
import { channelBinding, type PeerTls } from './tls.ts'

export interface DialOptions {
  identity: VmIdentity
  tls: PeerTls | undefined
  keys(): readonly string[]
  clock: Clock
  metrics: Metrics
  maxMessageBytes: number
}

export type Dial = (vm: VmId, address: string, onOpen: (socket: WebSocket, peer: AuthenticatedPeer) => void) => Promise<void>

/**
 * Creates the dial function. `onOpen` is called synchronously in the event handler that completes the handshake, so that
 * no message that follows the handshake is lost. The promise rejects with PeerError `peer_unreachable`.
 */
export function createDial ({ identity, tls, keys, clock, metrics, maxMessageBytes }: DialOptions): Dial {
  return (vm, address, onOpen) => new Promise((resolve, reject) => {
    const socket = openSocket(address, tls, maxMessageBytes)
    let guard: HandshakeGuard | undefined
    let settled = false
    const cancelTimer = clock.after(HANDSHAKE_TIMEOUT_MS, () => fail('timeout'))

    function finish (): boolean {
      if (settled) return false
      settled = true
      cancelTimer()
      guard?.release()
      return true
    }

    function fail (reason: string): void {
      if (!finish()) return
      metrics.count('peer_failures', `connect_${reason}`)
      socket.terminate()
      reject(new PeerError('peer_unreachable', { detail: `cannot connect to ${vm} at ${address}: ${reason}` }))
    }

    socket.on('error', error => settled ? countSocketError(metrics, error) : fail((error as NodeJS.ErrnoException).code ?? 'error'))
    socket.on('close', () => fail('closed'))
    let tcpSocket: Socket | undefined
    socket.on('upgrade', response => {
      tcpSocket = response.socket
      guard = guardHandshake(tcpSocket, clock, fail)
    })
    socket.on('open', () => {
      startHandshake(socket, vm, {
        identity,
        keys,
        channelBinding: channelBinding(tcpSocket!),
        onAuthenticated (peer) {
          if (!finish()) return
          onOpen(socket, peer)
          resolve()
        },
        onFailure: fail
      })
    })
  })
}

function openSocket (address: string, tls: PeerTls | undefined, maxPayload: number): WebSocket {
  const options = { perMessageDeflate: false, maxPayload, followRedirects: false }
  if (!tls) return new WebSocket(`ws://${address}/`, options)
  // A falsy result accepts any host name; the certificate chain is still verified.
  return new WebSocket(`wss://${address}/`, { ...options, ...tls, checkServerIdentity: () => false })
}
