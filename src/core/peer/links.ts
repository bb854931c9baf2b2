/**
 * Connections of one VM to its peers. A connection is opened on demand and carries messages in both directions. When
 * two VMs connect to each other at the same time, both use the connection that was initiated by the VM with the lower
 * id, and the other connection is closed by the idle timeout.
 */
import type { WebSocket } from 'ws'
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage, LacewingError, PeerError } from '../errors/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ConnectionLimit } from '../resource-limits/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import { createConnection, type Connection } from './connection.ts'
import {
  HANDSHAKE_TIMEOUT_MS, IDLE_TIMEOUT_MS, MAX_BUFFERED_BYTES, MAX_MESSAGE_BYTES, MAX_MESSAGES_AWAITING_CONNECTION,
  MIN_KEY_RENEWAL_INTERVAL_MS, REQUEST_TIMEOUT_MS
} from './constants.ts'
import { createDial } from './dial.ts'
import type { AuthenticatedPeer } from './handshake.ts'
import { createListener } from './listener.ts'
import type { PeerTls } from './tls.ts'
import type { PeerHandler, PeerLinks, PeerMessageType } from './types.ts'

export interface PeerLinksOptions {
  identity: VmIdentity
  /** Address to listen on, `IP:PORT`; port 0 selects a free port. */
  address: string
  /** Accepted keys; the first one is used to connect. */
  sharedKeys: readonly string[]
  tls?: PeerTls | undefined
  clock: Clock
  metrics: Metrics
  log: Log
  maxMessageBytes?: number
  maxBufferedBytes?: number
  /** Limit on incoming connections in addition to MAX_CONNECTIONS. */
  connectionLimit?: ConnectionLimit | undefined
}

interface RemoteVm {
  address?: string
  connections: Set<Connection>
  dialing?: Promise<Connection> | undefined
  /** Messages that wait for the connection being established. */
  waitingMessages: number
  /** Earliest time of the next attempt to replace a connection that uses an older key. */
  nextRenewalMs: number
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
  let keys = validateKeys(sharedKeys)
  let closed = false
  let cancelIdleCheck: TimerCancel = () => {}

  const commonOptions = { identity, tls, keys: () => keys, clock, metrics, maxMessageBytes }
  const dial = createDial(commonOptions)
  const listener = createListener({ ...commonOptions, address, connectionLimit: options.connectionLimit, onConnection: (socket, peer) => { addConnection(socket, peer, peer.vm) } })

  function remoteFor (vm: VmId): RemoteVm {
    const existing = remotes.get(vm)
    if (existing) return existing
    const created: RemoteVm = { connections: new Set(), waitingMessages: 0, nextRenewalMs: 0 }
    remotes.set(vm, created)
    return created
  }

  function addConnection (socket: WebSocket, peer: AuthenticatedPeer, initiatedBy: VmId): Connection {
    const entry = remoteFor(peer.vm)
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
    for (const disconnectListener of disconnectListeners) disconnectListener(connection.vm)
  }

  /** Async, so that an exception thrown by the handler becomes a rejection. */
  async function dispatch (type: string, body: unknown, from: VmId): Promise<unknown> {
    const handler = handlers.get(type)
    if (!handler) throw new PeerError('peer_rejected', { detail: `no handler for ${type}` })
    return await handler(body, from)
  }

  /** Handles a request of this VM to itself; fails with the same errors as a request to another VM. */
  async function dispatchLocally (type: string, body: unknown): Promise<unknown> {
    try {
      return await dispatch(type, body, identity.vm)
    } catch (error) {
      throw error instanceof PeerError ? error : new PeerError('peer_rejected', { detail: errorMessage(error), cause: error })
    }
  }

  /**
   * Selects a connection by rules that give the same result on both sides. A connection that uses the first key is
   * preferred to one that uses an older key. A selected connection with an older key is replaced in the background, so
   * that no request is lost when that key is removed.
   */
  function selectConnection (to: VmId, entry: RemoteVm): Connection | undefined {
    let selected: Connection | undefined
    for (const connection of entry.connections) {
      if (connection.isOpen() && (!selected || isPreferredOver(connection, selected))) selected = connection
    }
    if (selected && selected.key !== keys[0]) replaceOldKeyConnection(to, entry)
    return selected
  }

  function isPreferredOver (left: Connection, right: Connection): boolean {
    const isCurrent = left.key === keys[0]
    if (isCurrent !== (right.key === keys[0])) return isCurrent
    return left.initiatedBy < right.initiatedBy
  }

  function replaceOldKeyConnection (to: VmId, entry: RemoteVm): void {
    if (entry.dialing || entry.address === undefined || clock.now() < entry.nextRenewalMs) return
    entry.nextRenewalMs = clock.now() + MIN_KEY_RENEWAL_INTERVAL_MS
    entry.dialing = openConnection(to, entry)
    entry.dialing.catch(() => metrics.count('retries', 'peer_key_renewal'))
  }

  /** Waits for a new connection or the one being established. Throws PeerError `peer_unreachable`. */
  async function connect (to: VmId, entry: RemoteVm): Promise<Connection> {
    if (closed) throw new PeerError('peer_unreachable', { detail: 'the peer links of this VM are closed' })
    if (entry.waitingMessages >= MAX_MESSAGES_AWAITING_CONNECTION) {
      metrics.count('peer_failures', 'too_many_waiting')
      throw new PeerError('peer_unreachable', { detail: `${entry.waitingMessages} messages already wait for a connection to ${to}` })
    }
    entry.waitingMessages++
    try {
      entry.dialing ??= openConnection(to, entry)
      return await entry.dialing
    } finally {
      entry.waitingMessages--
    }
  }

  async function openConnection (to: VmId, entry: RemoteVm): Promise<Connection> {
    try {
      if (entry.address === undefined) throw new PeerError('peer_unreachable', { detail: `the address of ${to} is not known` })
      let connection: Connection | undefined
      await dial(to, entry.address, (socket, peer) => { connection = addConnection(socket, peer, identity.vm) })
      return connection!
    } finally {
      entry.dialing = undefined
      if (entry.address === undefined && entry.connections.size === 0) remotes.delete(to)
    }
  }

  async function request (to: VmId, type: string, body: unknown, timeoutMs: number): Promise<unknown> {
    if (to === identity.vm) return dispatchLocally(type, body)
    const entry = remoteFor(to)
    const existingConnection = selectConnection(to, entry)
    if (existingConnection) return existingConnection.request(type, body, timeoutMs)
    const startedMs = clock.now()
    const connection = await withConnectTimeout(connect(to, entry), timeoutMs, to)
    const remainingMs = Math.max(1, timeoutMs - (clock.now() - startedMs))
    return connection.request(type, body, remainingMs)
  }

  /**
   * Rejects with `peer_unreachable` when the connection is not established in time: nothing was sent, so the request is
   * certain not to have been delivered.
   */
  function withConnectTimeout (connecting: Promise<Connection>, timeoutMs: number, to: VmId): Promise<Connection> {
    if (timeoutMs >= HANDSHAKE_TIMEOUT_MS) return connecting
    return new Promise((resolve, reject) => {
      const detail = `no connection to ${to} within ${timeoutMs} ms`
      const cancelTimer = clock.after(timeoutMs, () => setImmediate(() => reject(new PeerError('peer_unreachable', { detail }))))
      connecting.then(resolve, reject).finally(cancelTimer)
    })
  }

  async function notify (to: VmId, type: PeerMessageType, body: unknown): Promise<void> {
    if (to === identity.vm) return void await dispatch(type, body, to)
    const entry = remoteFor(to)
    const connection = selectConnection(to, entry) ?? await connect(to, entry)
    connection.notify(type, body)
  }

  function closeIdle (): void {
    const oldestAllowedUseMs = clock.now() - IDLE_TIMEOUT_MS
    for (const connection of allConnections()) {
      if (connection.lastUsedMs() < oldestAllowedUseMs) connection.terminate('idle')
    }
  }

  function allConnections (): Connection[] {
    return [...remotes.values()].flatMap(entry => [...entry.connections])
  }

  return {
    setAddress (vm, newAddress) {
      const entry = remoteFor(vm)
      if (entry.address === newAddress) return
      const hadAddress = entry.address !== undefined
      entry.address = newAddress
      if (!hadAddress) return
      for (const connection of entry.connections) connection.terminate('address_changed')
    },
    removeAddress (vm) {
      const entry = remotes.get(vm)
      if (!entry) return
      delete entry.address
      for (const connection of entry.connections) connection.terminate('forgotten')
      if (!entry.dialing) remotes.delete(vm)
    },
    setSharedKeys (newKeys) {
      keys = validateKeys(newKeys)
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
    onDisconnect (disconnectListener) {
      disconnectListeners.add(disconnectListener)
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

function validateKeys (keys: readonly string[]): readonly string[] {
  if (keys.length === 0 || keys.includes('')) throw new PeerError('peer_rejected', { detail: 'at least one shared key is needed, and none may be empty' })
  return [...keys]
}
