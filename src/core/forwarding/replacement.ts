/**
 * Attempts that replace a running one: for a backend server that is silent or late, or for a response of a larger model.
 * The running attempt is abandoned only when the other one has a retry, capacity and a connection, because other VMs may
 * not lend the capacity and the other backend server may have ended, and then the caller would be left without a response.
 * For the same reason, a silent or late attempt also waits until the other backend server has taken the request (`forward.ts`).
 */
import type { Socket } from 'node:net'
import type { Backend, Reservation } from '../backend-pool/types.ts'
import type { Clock } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { ModelId, ServiceId } from '../ids/index.ts'
import type { DecisionLog } from '../logging/decision-log.ts'
import type { PeerConnection } from '../peer-forwarding/index.ts'
import { MAX_CONNECT_ATTEMPTS, MIN_ATTEMPT_MS, REPLACEMENT_CONNECT_TIMEOUT_MS } from './constants.ts'
import { openConnection } from './exchange.ts'
import type { ForwardedRequest } from './forward.ts'
import type { RequestProgress } from './request-progress.ts'
import { isRepeatable } from './route-table.ts'
import type { Route } from './types.ts'

/** Capacity for an attempt, and a connection if it has been opened already. */
export interface BackendAttempt { reservation: Reservation, connection?: Socket, peer?: undefined }

/** An attempt here, or a connection to another VM, which has the capacity. */
export type ReservedAttempt = BackendAttempt | { peer: PeerConnection, reservation?: undefined }

/** An attempt that is to replace a running one. */
export interface Replacement {
  /** Backend servers that must not get it. */
  excluded: ReadonlySet<Backend>
  /** Whether a backend server has failed, rather than answered with low confidence. */
  hasFailed: boolean
  model: ModelId | undefined
}

export interface ReplacementRequest extends Replacement {
  /** Part of the retry allowance that may be used. Default: all. */
  fraction?: number
  /** Whether the running attempt is still to be replaced once the capacity is there. Default: it is. */
  isDue?: () => boolean
}

/** A replacement that is being reserved and holds a retry. */
export interface PendingReplacement {
  settled: Promise<void>
}

export interface ReplacementsOptions {
  /** Reserves capacity, without waiting for it; resolves with `undefined` if no backend server has room. */
  reserveCapacity(forwarded: ForwardedRequest, progress: RequestProgress, replacement: Replacement): Promise<Reservation | undefined>
  recordConnection(backend: Backend, isOpen: boolean): void
  /** Opens a connection to another VM if the request must go through one; resolves with `undefined` if not, or if there is none. */
  openPeer?: (forwarded: ForwardedRequest, progress: RequestProgress) => Promise<PeerConnection | undefined>
  /** Called when capacity for a service has become free. */
  onCapacityFreed(service: ServiceId): void
  /** Takes a retry from a fraction of the allowance; returns whether there was one. */
  takeRetry(service: ServiceId, fraction?: number): boolean
  giveBackRetry(service: ServiceId): void
  clock: Clock
  log: DecisionLog
}

export function createReplacements ({ reserveCapacity, recordConnection, openPeer = async () => undefined, onCapacityFreed, takeRetry, giveBackRetry, clock, log }: ReplacementsOptions) {
  /**
   * Takes a retry, capacity and a connection for another attempt, if the request may be repeated, and returns whether it has them. A running
   * attempt is abandoned only after that and in the same turn, because a late or low-confidence response is better than none.
   */
  async function reserve (forwarded: ForwardedRequest, progress: RequestProgress, deadlineMs: number, { fraction, isDue = () => true, ...replacement }: ReplacementRequest): Promise<boolean> {
    const { route, service } = forwarded
    const exchange = progress.currentExchange
    const hasTime = () => deadlineMs - clock.now() >= MIN_ATTEMPT_MS
    if (progress.isFinished || progress.pendingReplacement || progress.replacement || !mayRepeat(route, progress) || !hasTime()) return false
    if (!takeRetry(service, fraction)) return false
    let settle = () => {}
    const pending: PendingReplacement = { settled: new Promise(resolve => { settle = resolve }) }
    progress.pendingReplacement = pending
    const reserved = await connect(forwarded, progress, replacement).catch((error: unknown) => {
      // The running attempt goes on; an unhandled rejection would end the process and all its requests.
      log.error('a replacement could not be reserved by an error of this VM', { id: forwarded.request.id, error: errorMessage(error) })
      return undefined
    })
    const hasRetry = progress.pendingReplacement === pending
    if (hasRetry) progress.pendingReplacement = undefined
    settle()
    const isStillRunning = hasRetry && !progress.isFinished && progress.currentExchange === exchange
    if (!reserved || !isStillRunning || !hasTime() || !isDue()) {
      if (reserved) cancel(service, reserved)
      if (hasRetry) giveBackRetry(service)
      return false
    }
    progress.replacement = reserved
    progress.retryReserved = true
    return true
  }

  async function connect (forwarded: ForwardedRequest, progress: RequestProgress, replacement: Replacement): Promise<ReservedAttempt | undefined> {
    const peer = replacement.hasFailed ? await openPeer(forwarded, progress) : undefined
    if (peer) return { peer }
    const reservation = await reserveCapacity(forwarded, progress, replacement)
    if (!reservation) return undefined
    const connection = await openConnection(reservation.backend.entry.address, REPLACEMENT_CONNECT_TIMEOUT_MS)
    recordConnection(reservation.backend, connection !== undefined)
    if (connection) return { reservation, connection }
    cancel(forwarded.service, { reservation })
    return undefined
  }

  /** Leaves the retry of a replacement that is still being reserved to the next attempt, because the running one has ended. */
  function takeOverRetry ({ service }: ForwardedRequest, progress: RequestProgress): void {
    if (!progress.pendingReplacement) return
    progress.pendingReplacement = undefined
    if (progress.attempts === 0 || progress.retryReserved) giveBackRetry(service)
    else progress.retryReserved = true
  }

  /** Returns what was reserved for an attempt that is not made. */
  function release ({ service }: ForwardedRequest, progress: RequestProgress): void {
    if (progress.retryReserved) giveBackRetry(service)
    progress.retryReserved = false
    if (progress.replacement) cancel(service, progress.replacement)
    progress.replacement = undefined
  }

  function cancel (service: ServiceId, reserved: ReservedAttempt): void {
    if (reserved.peer) return void reserved.peer.connection.destroy()
    const { reservation, connection } = reserved
    connection?.destroy()
    reservation.cancel()
    onCapacityFreed(service)
  }

  function mayRepeat (route: Route, { attempts, earlierAttempts, maxAttempts, connectAttempts }: RequestProgress): boolean {
    return isRepeatable(route) && attempts + earlierAttempts < maxAttempts && connectAttempts < MAX_CONNECT_ATTEMPTS
  }

  return { reserve, takeOverRetry, release, cancel }
}
