/**
 * One authenticated connection: requests, answers and notifications in both directions, with bounds on what waits.
 * A frame that cannot be decoded ends the connection.
 */
import type { RawData, WebSocket } from 'ws'
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage, LacewingError, PeerError } from '../errors/index.ts'
import type { BootId, VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { MAX_PENDING_REQUESTS, MAX_RUNNING_HANDLERS, SILENCE_TIMEOUT_MS } from './constants.ts'
import { decodeFrame, encodeFrame, type Frame } from './frames.ts'
import type { AuthenticatedPeer } from './handshake.ts'

export interface ConnectionOptions {
  socket: WebSocket
  peer: AuthenticatedPeer
  initiatedBy: VmId
  clock: Clock
  metrics: Metrics
  maxMessageBytes: number
  maxBufferedBytes: number
  /** Runs the handler of a message; rejects when there is none. */
  dispatch(type: string, body: unknown, from: VmId): Promise<unknown>
  onTraffic(sentBytes: number, receivedBytes: number): void
  onClose(connection: Connection): void
}

export interface Connection {
  readonly vm: VmId
  readonly boot: BootId
  readonly key: string
  readonly initiatedBy: VmId
  isOpen(): boolean
  /** Time of the last message in either direction. */
  lastUsedMs(): number
  request(type: string, body: unknown, timeoutMs: number): Promise<unknown>
  notify(type: string, body: unknown): void
  /** Ends the connection at once; requests that wait for an answer fail with `peer_timeout`. */
  terminate(reason: string): void
}

interface PendingRequest {
  resolve(body: unknown): void
  reject(error: PeerError): void
  cancelTimer: TimerCancel
}

export function createConnection (options: ConnectionOptions): Connection {
  const { socket, peer, initiatedBy, clock, metrics, maxMessageBytes, maxBufferedBytes } = options
  const pending = new Map<number, PendingRequest>()
  let nextId = 0
  let running = 0
  let open = true
  let lastUsedMs = clock.now()
  /** Time of the first request that was sent after the last message of the peer. */
  let unansweredSinceMs: number | undefined

  function end (): void {
    if (!open) return
    open = false
    for (const [, request] of pending) {
      request.cancelTimer()
      request.reject(new PeerError('peer_timeout', { detail: `connection to ${peer.vm} was lost before the answer` }))
    }
    pending.clear()
    options.onClose(connection)
  }

  function terminate (reason: string): void {
    if (!open) return
    metrics.count('peer_failures', reason)
    socket.terminate()
    end()
  }

  function send (frame: Frame): void {
    const bytes = encodeFrame(frame)
    if (bytes.length > maxMessageBytes) {
      metrics.count('peer_failures', 'message_too_large')
      throw new PeerError('peer_rejected', { detail: `message of ${bytes.length} bytes is over the limit of ${maxMessageBytes}` })
    }
    if (!open || socket.readyState !== socket.OPEN) {
      throw new PeerError('peer_unreachable', { detail: `connection to ${peer.vm} is closed` })
    }
    if (socket.bufferedAmount + bytes.length > maxBufferedBytes) {
      terminate('slow_peer')
      throw new PeerError('peer_unreachable', { detail: `${peer.vm} does not read fast enough` })
    }
    lastUsedMs = clock.now()
    options.onTraffic(bytes.length, 0)
    socket.send(bytes)
  }

  function request (type: string, body: unknown, timeoutMs: number): Promise<unknown> {
    if (pending.size >= MAX_PENDING_REQUESTS) {
      metrics.count('peer_failures', 'too_many_pending')
      return Promise.reject(new PeerError('peer_unreachable', { detail: `${pending.size} requests to ${peer.vm} wait for an answer` }))
    }
    const id = nextId++
    return new Promise((resolve, reject) => {
      send({ kind: 'request', id, type, body })
      unansweredSinceMs ??= clock.now()
      // After a pause of the process, timers run before sockets are read; an answer that is already here still counts.
      const cancelTimer = clock.after(timeoutMs, () => setImmediate(() => expire(id, timeoutMs)))
      pending.set(id, { resolve, reject, cancelTimer })
    })
  }

  function expire (id: number, timeoutMs: number): void {
    const request = pending.get(id)
    if (!request) return
    pending.delete(id)
    metrics.count('peer_failures', 'timeout')
    request.reject(new PeerError('peer_timeout', { detail: `${peer.vm} did not answer within ${timeoutMs} ms` }))
    if (unansweredSinceMs !== undefined && clock.now() - unansweredSinceMs >= SILENCE_TIMEOUT_MS) terminate('silent')
  }

  async function serve (id: number, type: string, body: unknown): Promise<void> {
    running++
    try {
      const answer = await options.dispatch(type, body, peer.vm)
      send({ kind: 'answer', id, body: answer })
    } catch (error) {
      fail(id, error)
    } finally {
      running--
    }
  }

  async function take (type: string, body: unknown): Promise<void> {
    if (running >= MAX_RUNNING_HANDLERS) return metrics.count('peer_failures', 'too_many_running')
    running++
    try {
      await options.dispatch(type, body, peer.vm)
    } catch {
      metrics.count('peer_failures', 'notification_failed')
    } finally {
      running--
    }
  }

  function fail (id: number, error: unknown): void {
    const unsent = error instanceof PeerError && error.kind === 'peer_unreachable'
    if (unsent || !open) return
    try {
      send({ kind: 'failure', id, message: errorMessage(error) })
    } catch (sendError) {
      if (!(sendError instanceof LacewingError)) throw sendError
    }
  }

  function settle (id: number, use: (request: PendingRequest) => void): void {
    const request = pending.get(id)
    if (!request) return
    pending.delete(id)
    request.cancelTimer()
    use(request)
  }

  function receive (frame: Frame): void {
    switch (frame.kind) {
      case 'request':
        if (running >= MAX_RUNNING_HANDLERS) {
          metrics.count('peer_failures', 'too_many_running')
          fail(frame.id, 'too many requests are running')
        } else {
          void serve(frame.id, frame.type, frame.body)
        }
        break
      case 'notification':
        void take(frame.type, frame.body)
        break
      case 'answer':
        settle(frame.id, request => request.resolve(frame.body))
        break
      case 'failure':
        metrics.count('peer_failures', 'rejected')
        settle(frame.id, request => request.reject(new PeerError('peer_rejected', { detail: frame.message })))
    }
  }

  socket.on('message', (data: RawData, isBinary: boolean) => {
    if (!open) return
    const bytes = data as Buffer
    lastUsedMs = clock.now()
    unansweredSinceMs = undefined
    options.onTraffic(0, bytes.length)
    const frame = isBinary ? decodeFrame(bytes) : undefined
    if (frame) return receive(frame)
    metrics.count('bad_input', 'peer_malformed')
    terminate('malformed')
  })
  socket.on('close', end)

  const connection: Connection = {
    vm: peer.vm,
    boot: peer.boot,
    key: peer.key,
    initiatedBy,
    isOpen: () => open && socket.readyState === socket.OPEN,
    lastUsedMs: () => lastUsedMs,
    request,
    notify: (type, body) => send({ kind: 'notification', type, body }),
    terminate
  }
  return connection
}
