/**
 * One authenticated connection. It carries requests, answers and notifications in both directions and limits the
 * number of pending requests, running handlers and buffered bytes. A frame that cannot be decoded closes the connection.
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
  /** Runs the handler of a message; rejects when no handler is registered for its type. */
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
  /** Closes the connection immediately; pending requests fail with `peer_timeout`. */
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
  let runningHandlers = 0
  let open = true
  let lastUsedMs = clock.now()
  /** Time of the first request sent since the last message from the peer. */
  let unansweredSinceMs: number | undefined

  function handleClose (): void {
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
    handleClose()
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
      throw new PeerError('peer_unreachable', { detail: `${peer.vm} reads too slowly: the send buffer is full` })
    }
    lastUsedMs = clock.now()
    options.onTraffic(bytes.length, 0)
    socket.send(bytes)
  }

  function request (type: string, body: unknown, timeoutMs: number): Promise<unknown> {
    if (pending.size >= MAX_PENDING_REQUESTS) {
      metrics.count('peer_failures', 'too_many_pending')
      return Promise.reject(new PeerError('peer_unreachable', { detail: `${pending.size} requests to ${peer.vm} are already pending` }))
    }
    const id = nextId++
    return new Promise((resolve, reject) => {
      send({ kind: 'request', id, type, body })
      unansweredSinceMs ??= clock.now()
      // After the process was paused, timers run before sockets are read. The immediate lets an answer that has already
      // arrived be processed before the request expires.
      const cancelTimer = clock.after(timeoutMs, () => setImmediate(() => expireRequest(id, timeoutMs)))
      pending.set(id, { resolve, reject, cancelTimer })
    })
  }

  function expireRequest (id: number, timeoutMs: number): void {
    const request = pending.get(id)
    if (!request) return
    pending.delete(id)
    metrics.count('peer_failures', 'timeout')
    request.reject(new PeerError('peer_timeout', { detail: `${peer.vm} did not answer within ${timeoutMs} ms` }))
    if (unansweredSinceMs !== undefined && clock.now() - unansweredSinceMs >= SILENCE_TIMEOUT_MS) terminate('silent')
  }

  async function handleRequest (id: number, type: string, body: unknown): Promise<void> {
    runningHandlers++
    try {
      const answer = await options.dispatch(type, body, peer.vm)
      send({ kind: 'answer', id, body: answer })
    } catch (error) {
      sendFailure(id, error)
    } finally {
      runningHandlers--
    }
  }

  async function handleNotification (type: string, body: unknown): Promise<void> {
    if (runningHandlers >= MAX_RUNNING_HANDLERS) return metrics.count('peer_failures', 'too_many_running')
    runningHandlers++
    try {
      await options.dispatch(type, body, peer.vm)
    } catch {
      metrics.count('peer_failures', 'notification_failed')
    } finally {
      runningHandlers--
    }
  }

  function sendFailure (id: number, error: unknown): void {
    // `peer_unreachable` usually means that the answer could not be sent on this connection, so a failure cannot be sent
    // either. When a handler throws it because it cannot reach another VM, the requester waits for its timeout.
    const isUnreachable = error instanceof PeerError && error.kind === 'peer_unreachable'
    if (isUnreachable || !open) return
    try {
      send({ kind: 'failure', id, message: errorMessage(error) })
    } catch (sendError) {
      if (!(sendError instanceof LacewingError)) throw sendError
    }
  }

  function settlePending (id: number, complete: (request: PendingRequest) => void): void {
    const request = pending.get(id)
    if (!request) return
    pending.delete(id)
    request.cancelTimer()
    complete(request)
  }

  function handleFrame (frame: Frame): void {
    switch (frame.kind) {
      case 'request':
        if (runningHandlers >= MAX_RUNNING_HANDLERS) {
          metrics.count('peer_failures', 'too_many_running')
          sendFailure(frame.id, 'too many requests are running')
        } else {
          void handleRequest(frame.id, frame.type, frame.body)
        }
        break
      case 'notification':
        void handleNotification(frame.type, frame.body)
        break
      case 'answer':
        settlePending(frame.id, request => request.resolve(frame.body))
        break
      case 'failure':
        metrics.count('peer_failures', 'rejected')
        settlePending(frame.id, request => request.reject(new PeerError('peer_rejected', { detail: frame.message })))
    }
  }

  socket.on('message', (data: RawData, isBinary: boolean) => {
    if (!open) return
    const bytes = data as Buffer
    lastUsedMs = clock.now()
    unansweredSinceMs = undefined
    options.onTraffic(0, bytes.length)
    const frame = isBinary ? decodeFrame(bytes) : undefined
    if (frame) return handleFrame(frame)
    metrics.count('bad_input', 'peer_malformed')
    terminate('malformed')
  })
  socket.on('close', handleClose)

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
