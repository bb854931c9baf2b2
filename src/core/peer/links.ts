/**
 * The connections of one VM to the others. A connection is made when a message needs one and serves both directions;
 * when two VMs connect to each other at the same time, both use the connection of the VM whose id comes first and the
 * other one ends when it is idle.
 */
import type { WebSocket } from 'ws'
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage, LacewingError, PeerError } from '../errors/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import { createConnection, type Connection } from './connection.ts'
import {
  HANDSHAKE_TIMEOUT_MS, IDLE_TIMEOUT_MS, MAX_BUFFERED_BYTES, MAX_MESSAGE_BYTES, MAX_WAITING_FOR_DIAL,
  RENEW_PERIOD_MS, REQUEST_TIMEOUT_MS
} from './constants.ts'
import { createDial } from './dial.ts'
import type { AuthenticatedPeer } from './handshake.ts'
import { createListener } from './listener.ts'
import type { PeerTls } from './tls.ts'
import type { PeerHandler, PeerLinks, PeerMessageType } from './types.ts'

export interface PeerLinksOptions {
  identity: VmIdentity
  /** Address to listen on, `IP:PORT`; port 0 takes a free one. */
  address: string
  /** Accepted keys; the first one is used to connect. */
  sharedKeys: readonly string[]
  tls?: PeerTls | undefined
  clock: Clock
  metrics: Metrics
  log: Log
  maxMessageBytes?: number
  maxBufferedBytes?: number
}

interface RemoteVm {
  address?: string
  connections: Set<Connection>
  dialing?: Promise<Connection> | undefined
  /** Messages that wait for the connection being made. */
  waiting: number
  /** Earliest time of the next attempt to replace a connection that uses an older key. */
  renewAfterMs: number
}

export function createPeerLinks (options: PeerLinksOptions): PeerLinks {
  const {
    identity, address, sharedKeys, tls, clock, metrics, log,
    maxMessageBytes = MAX_MESSAGE_BYTES, maxBufferedBytes = MAX_BUFFERED_BYTES
  } = options
  const remotes = new Map<VmId, RemoteVm>()
  const handlers = new Map<string, PeerHandler>()
  const disconnectListeners = new Set<(vm: VmId) => void>()
  const traffic = { sentBytes: 0, receivedBytes: 0 }
  let keys = checkKeys(sharedKeys)
  let closed = false
  let cancelIdleCheck: TimerCancel = () => {}

  const shared = { identity, tls, keys: () => keys, clock, metrics, maxMessageBytes }
  const dial = createDial(shared)
  const listener = createListener({ ...shared, address, onConnection: (socket, peer) => { register(socket, peer, peer.vm) } })

  function remote (vm: VmId): RemoteVm {
    const known = remotes.get(vm)
    if (known) return known
    const created: RemoteVm = { connections: new Set(), waiting: 0, renewAfterMs: 0 }
    remotes.set(vm, created)
    return created
  }

  function register (socket: WebSocket, peer: AuthenticatedPeer, initiatedBy: VmId): Connection {
    const entry = remote(peer.vm)
    for (const other of entry.connections) {
      if (other.boot !== peer.boot) other.terminate('replaced_boot')
    }
    const connection = createConnection({
      socket, peer, initiatedBy, clock, metrics, maxMessageBytes, maxBufferedBytes, dispatch, onTraffic, onClose
    })
    entry.connections.add(connection)
    if (entry.connections.size === 1) log.debug('peer connected', { peer: peer.vm, boot: peer.boot })
    if (closed) connection.terminate('closing')
    return connection
  }

  function onTraffic (sentBytes: number, receivedBytes: number): void {
    traffic.sentBytes += sentBytes
    traffic.receivedBytes += receivedBytes
  }

  function onClose (connection: Connection): void {
    const entry = remotes.get(connection.vm)
    if (!entry?.connections.delete(connection)) return
    if (entry.connections.size > 0 || closed) return
    if (entry.address === undefined && !entry.dialing) remotes.delete(connection.vm)
    log.debug('peer disconnected', { peer: connection.vm, boot: connection.boot })
    for (const notifyListener of disconnectListeners) notifyListener(connection.vm)
  }

  /** Async, so that an exception of the handler becomes a rejection. */
  async function dispatch (type: string, body: unknown, from: VmId): Promise<unknown> {
    const handler = handlers.get(type)
    if (!handler) throw new PeerError('peer_rejected', { detail: `no handler for ${type}` })
    return await handler(body, from)
  }

  /** Serves a request of this VM to itself; fails as one to another VM would. */
  async function dispatchHere (type: string, body: unknown): Promise<unknown> {
    try {
      return await dispatch(type, body, identity.vm)
    } catch (error) {
      throw error instanceof PeerError ? error : new PeerError('peer_rejected', { detail: errorMessage(error), cause: error })
    }
  }

  /**
   * Picks the connection that the other side picks too. One that uses the first key goes before one that uses an older
   * key, which is replaced in the background, so that no request is lost when the older key is removed.
   */
  function preferred (to: VmId, entry: RemoteVm): Connection | undefined {
    let best: Connection | undefined
    for (const connection of entry.connections) {
      if (connection.isOpen() && (!best || comesBefore(connection, best))) best = connection
    }
    if (best && best.key !== keys[0]) renew(to, entry)
    return best
  }

  function comesBefore (left: Connection, right: Connection): boolean {
    const isCurrent = left.key === keys[0]
    if (isCurrent !== (right.key === keys[0])) return isCurrent
    return left.initiatedBy < right.initiatedBy
  }

  function renew (to: VmId, entry: RemoteVm): void {
    if (entry.dialing || entry.address === undefined || clock.now() < entry.renewAfterMs) return
    entry.renewAfterMs = clock.now() + RENEW_PERIOD_MS
    entry.dialing = dialOnce(to, entry)
    entry.dialing.catch(() => metrics.count('retries', 'peer_key_renewal'))
  }

  /** Waits for a connection. Throws PeerError `peer_unreachable`. */
  async function connect (to: VmId, entry: RemoteVm): Promise<Connection> {
    if (closed) throw new PeerError('peer_unreachable', { detail: 'the links of this VM are closed' })
    if (entry.waiting >= MAX_WAITING_FOR_DIAL) {
      metrics.count('peer_failures', 'too_many_waiting')
      throw new PeerError('peer_unreachable', { detail: `${entry.waiting} messages wait for the connection to ${to}` })
    }
    entry.waiting++
    try {
      entry.dialing ??= dialOnce(to, entry)
      return await entry.dialing
    } finally {
      entry.waiting--
    }
  }

  async function dialOnce (to: VmId, entry: RemoteVm): Promise<Connection> {
    try {
      if (entry.address === undefined) throw new PeerError('peer_unreachable', { detail: `the address of ${to} is not known` })
      let connection: Connection | undefined
      await dial(to, entry.address, (socket, peer) => { connection = register(socket, peer, identity.vm) })
      return connection!
    } finally {
      entry.dialing = undefined
      if (entry.address === undefined && entry.connections.size === 0) remotes.delete(to)
    }
  }

  async function request (to: VmId, type: string, body: unknown, timeoutMs: number): Promise<unknown> {
    if (to === identity.vm) return dispatchHere(type, body)
    const entry = remote(to)
    const open = preferred(to, entry)
    if (open) return open.request(type, body, timeoutMs)
    const startedMs = clock.now()
    const connection = await withinTime(connect(to, entry), timeoutMs, to)
    const leftMs = Math.max(1, timeoutMs - (clock.now() - startedMs))
    return connection.request(type, body, leftMs)
  }

  /** Nothing was sent when a connection does not come about in time, so the request is known not to be delivered. */
  function withinTime (connecting: Promise<Connection>, timeoutMs: number, to: VmId): Promise<Connection> {
    if (timeoutMs >= HANDSHAKE_TIMEOUT_MS) return connecting
    return new Promise((resolve, reject) => {
      const detail = `no connection to ${to} within ${timeoutMs} ms`
      const cancelTimer = clock.after(timeoutMs, () => setImmediate(() => reject(new PeerError('peer_unreachable', { detail }))))
      connecting.then(resolve, reject).finally(cancelTimer)
    })
  }

  async function notify (to: VmId, type: PeerMessageType, body: unknown): Promise<void> {
    if (to === identity.vm) return void await dispatch(type, body, to)
    const entry = remote(to)
    const connection = preferred(to, entry) ?? await connect(to, entry)
    connection.notify(type, body)
  }

  function closeIdle (): void {
    const usedAfterMs = clock.now() - IDLE_TIMEOUT_MS
    for (const connection of allConnections()) {
      if (connection.lastUsedMs() < usedAfterMs) connection.terminate('idle')
    }
  }

  function allConnections (): Connection[] {
    return [...remotes.values()].flatMap(entry => [...entry.connections])
  }

  return {
    setAddress (vm, newAddress) {
      const entry = remote(vm)
      if (entry.address === newAddress) return
      const moved = entry.address !== undefined
      entry.address = newAddress
      if (!moved) return
      for (const connection of entry.connections) connection.terminate('address_changed')
    },
    forget (vm) {
      const entry = remotes.get(vm)
      if (!entry) return
      delete entry.address
      for (const connection of entry.connections) connection.terminate('forgotten')
      if (!entry.dialing) remotes.delete(vm)
    },
    setSharedKeys (newKeys) {
      keys = checkKeys(newKeys)
      for (const connection of allConnections()) {
        if (!keys.includes(connection.key)) connection.terminate('key_removed')
      }
      log.info('shared keys of the peer links changed', { accepted: keys.length })
    },
    async request<Answer> (to: VmId, type: PeerMessageType, body: unknown, { timeoutMs = REQUEST_TIMEOUT_MS } = {}) {
      return await request(to, type, body, timeoutMs) as Answer
    },
    notify (to, type, body) {
      notify(to, type, body).catch((error: unknown) => {
        metrics.count('peer_failures', error instanceof LacewingError ? `notify_${error.kind}` : 'notification_failed')
      })
    },
    handle (type, handler) {
      handlers.set(type, handler)
    },
    onDisconnect (notifyListener) {
      disconnectListeners.add(notifyListener)
    },
    async listen () {
      const port = await listener.listen()
      cancelIdleCheck = clock.every(IDLE_TIMEOUT_MS / 4, closeIdle)
      return port
    },
    async close () {
      closed = true
      cancelIdleCheck()
      for (const connection of allConnections()) connection.terminate('closing')
      await listener.close()
    },
    traffic: () => ({ ...traffic })
  }
}

function checkKeys (keys: readonly string[]): readonly string[] {
  if (keys.length === 0 || keys.includes('')) throw new PeerError('peer_rejected', { detail: 'at least one shared key is needed, and none may be empty' })
  return [...keys]
}
