/**
 * Pool of the backend servers that requests may be sent to, built from their entries in the store and from the results of
 * this VM's own requests. An entry that is missing right after a store outage is kept for a short time, because entries
 * expire during the outage and are written again with the next heartbeat of the backend server.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { BackendResponseHead } from '../forwarding/types.ts'
import type { BackendServerId, DataCentreId, ServiceId, VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { createAnnouncedDepartures, processIdentity, type ReportedDepartures } from './announced-departures.ts'
import { createBrittleLimits, type BrittleLimits } from './brittle-limits.ts'
import { COLD_SAFETY_FACTOR, COLD_WINDOW_MS, FAILURE_RATE_AGE_MS, FAILURE_RATE_WEIGHT, FIRST_SUSPENSION_MS, MAX_REQUESTED_PAUSE_MS, MAX_SUSPENSION_MS, NAMED_LIMIT_WINDOW_MS, SLOT_RETRY_MS, STORE_RECOVERY_GRACE_MS } from './constants.ts'
import { createLimitShares } from './limit-shares.ts'
import { createNamedLimits, type NamedLimits } from './named-limits.ts'
import type { Backend, BackendEntry, RequestLoad, Reservation } from './types.ts'

export type * from './types.ts'

export interface ColdRequestLimit {
  /** Requests per second that one cold backend server of a service may get from all VMs together; 0 for no limit. */
  limit(service: ServiceId): number
  /** VMs that share the limit, this one included; returns the same array until they change. */
  vms(): readonly VmId[]
  self: VmId
  /** Monotonic time from which this VM may use its share; by default one window after the pool is created. */
  startMs?: () => number
}

/** Why a backend server gets its load step by step. */
export type PoolReturnReason = 'new' | 'restarted' | 'cold' | 'data centre back'

export interface BackendPoolOptions {
  cold: ColdRequestLimit
  /** Called when a backend server starts or may be used again. Default: ignored. */
  onReturn?: (id: BackendServerId, reason: PoolReturnReason) => void
  clock: Clock
  log: Log
  metrics: Metrics
}

export interface ReserveOptions {
  /** Whether another VM has lent the request, so that it does not count against the shares of this one. Default: false. */
  isLent?: boolean
  /** Called once when the request has ended. Default: ignored. */
  onEnd?: (() => void) | undefined
}

/** Loan of a slot of a brittle backend server. */
export interface SlotLoan { loan: string, forMs: number }

/** What became of the borrower's request. */
export type SlotLoanResult = 'accepted' | 'rejected' | 'unused'

/** Parts of the head of an answer that concern the room at its backend server. */
export type RoomStatement = Pick<BackendResponseHead, 'toleratedRejections' | 'authentic' | 'notRun' | 'namedLimit'>

export interface BackendPool {
  /** Replaces all entries. */
  applySnapshot(entries: readonly BackendEntry[]): void
  apply(entry: BackendEntry): void
  remove(id: BackendServerId): void
  /** Records that the store responds again; missing entries are kept for a grace period from then on. */
  markStoreRecovered(): void
  /** Records which backend servers a copy contains from which the store was restored; the others must write their entries again within the grace period. */
  markStoreRestored(names: ReadonlySet<string>): void
  /** Sets the data centres that must get no new requests. */
  setOutOfService(dataCentres: ReadonlySet<DataCentreId>): void
  /** Backend servers of a service that may get requests, whether or not they have capacity. */
  eligible(service: ServiceId): Backend[]
  /** All backend servers of a service, leaving ones included. */
  list(service: ServiceId): Backend[]
  /** Limits that backend servers have named in their answers. */
  namedLimits: NamedLimits
  /** Backend servers that fail if they must reject more than a few requests. */
  brittle: BrittleLimits
  /**
   * Time until this VM's shares of the limit for a cold backend server and of the limit that it has named permit one more
   * request, in milliseconds; 0 if they do now, Infinity if a share is nothing. `nowMs` is the monotonic time, which a
   * caller that asks for many backend servers reads once. While this VM has no free slot of a brittle one, it is the time
   * after which to look again.
   */
  rateWaitMs(backend: Backend, nowMs?: number): number
  /** Whether other VMs hold a limit of a backend server and lend requests. */
  isLent(backend: Backend): boolean
  /** The VMs that lend requests to a backend server within all of its limits. */
  lendersOf(backend: Backend): readonly VmId[]
  /**
   * Takes one request from this VM's shares for another VM, which may send it within `forMs`; returns whether one was left.
   * The loan of a slot of a brittle backend server ends with `endSlotLoan`, or after its own `forMs`.
   */
  lend(backendServer: BackendServerId, forMs: number, slotLoan?: SlotLoan): boolean
  /**
   * Takes capacity for one request. Must be called in the same synchronous step as the checks of the limits, so that the
   * next request that is checked finds the capacity taken.
   */
  reserve(backend: Backend, load: RequestLoad, options?: ReserveOptions): Reservation
  recordConnectFailure(backend: Backend): void
  /** Records what an answer says about the room for further requests at a backend server that may be brittle. */
  recordRoom(backend: Backend, statement: RoomStatement): void
  /**
   * Records that another backend server answered at the address: the entry's process has ended, and the backend server gets
   * no more requests until its entry names another process.
   */
  recordMisdirected(backend: Backend): void
  /** Takes back a lent slot of a brittle backend server. */
  endSlotLoan(backendServer: BackendServerId, loan: string, result: SlotLoanResult): void
  /** Records that an answer of the backend server says that it leaves; it gets no more requests until it starts anew. */
  recordLeaving(backend: Backend): void
  /** Records that a backend server has turned a request away and wants none from this VM for that time. */
  recordRequestedPause(backend: Backend, pauseMs: number): void
  /** Departures that answers have announced in the last seconds; `undefined` if there are none. */
  recentDepartures(): ReportedDepartures | undefined
  /** Takes over the departures that another VM has seen. */
  mergeDepartures(reported: ReportedDepartures): void
  recordResult(backend: Backend, failed: boolean): void
  /** Forgets the failures of a backend server: without requests, no result would lower its failure rate. */
  forgetFailures(id: BackendServerId): void
  /** Forgets the failed connections to a backend server, and what they suspended. */
  forgetConnectFailures(id: BackendServerId): void
  get(id: BackendServerId): Backend | undefined
  size(): number
  all(): Iterable<Backend>
}

const coldRequests = (rate: number) => Math.floor(rate * COLD_SAFETY_FACTOR)

/** At least one request in the window is permitted, because only an answer shows that the limit has ended. */
const namedRequests = (rate: number) => Math.max(1, Math.floor(rate * NAMED_LIMIT_WINDOW_MS / 1000))

export function createBackendPool ({ cold, onReturn = () => {}, clock, log, metrics }: BackendPoolOptions): BackendPool {
  const backends = new Map<BackendServerId, Backend>()
  const namedLimits = createNamedLimits({ isKnown: id => backends.has(id), clock, log })
  const brittle = createBrittleLimits({ self: cold.self, serviceOf: id => backends.get(id)?.entry.service, clock, log, metrics })
  const departures = createAnnouncedDepartures({ clock })
  const shares = createLimitShares({ vms: cold.vms, self: cold.self, clock })
  /** Recent sends to backend servers that were removed; the entry of such a one may be written again. */
  const departedSends = new Map<BackendServerId, number[]>()
  const createdMs = clock.now()
  const { startMs: coldStartMs = () => createdMs + COLD_WINDOW_MS } = cold
  let outOfService: ReadonlySet<DataCentreId> = new Set()
  /** Monotonic time until which missing entries are kept. */
  let graceEndMs = -Infinity
  let cancelDropMissing: TimerCancel | undefined

  function apply (entry: BackendEntry): void {
    const existing = backends.get(entry.id)
    // The store may have been restored from a copy with the entry of an earlier process.
    if (existing && entry.startedWallMs !== undefined && entry.startedWallMs < (existing.entry.startedWallMs ?? -Infinity)) return
    const restarted = existing && (existing.entry.startedWallMs !== entry.startedWallMs || existing.entry.address !== entry.address)
    if (existing && !restarted) {
      if (!existing.entry.leaving && entry.leaving) log.info('backend server is leaving', { backendServer: entry.id, service: entry.service })
      const isColdAgain = existing.entry.coldLeftMs === 0 && entry.coldLeftMs > 0
      // A process that leaves does not come back, whatever an older entry says.
      existing.entry = { ...entry, leaving: entry.leaving || existing.entry.leaving }
      existing.isMissing = false
      if (isColdAgain) onReturn(entry.id, 'cold')
      return
    }
    if (existing) drop(existing, 'restarted')
    log.info('backend server found', { backendServer: entry.id, service: entry.service, version: entry.version, coldLeftMs: entry.coldLeftMs })
    backends.set(entry.id, {
      entry: { ...entry, leaving: entry.leaving || departures.has(entry) },
      inFlight: 0,
      load: 0,
      failureRate: 0,
      lastResultMs: clock.now(),
      lastReceivedMs: clock.now(),
      connectFailures: 0,
      suspendedUntilMs: -Infinity,
      pausedUntilMs: -Infinity,
      isMisdirected: false,
      recentSends: departedSends.get(entry.id) ?? [],
      isMissing: false,
      onRemoved: new Set()
    })
    if (restarted) onReturn(entry.id, 'restarted')
    else if (entry.coldLeftMs > 0) onReturn(entry.id, 'new')
  }

  /** Removes the backend server, but keeps the count of its recent sends for the window of the cold limit. */
  function detach ({ entry: { id }, recentSends }: Backend): void {
    backends.delete(id)
    departedSends.set(id, recentSends)
    clock.after(NAMED_LIMIT_WINDOW_MS, () => {
      if (departedSends.get(id) !== recentSends) return
      departedSends.delete(id)
      if (!backends.has(id)) namedLimits.remove(id)
    })
  }

  function drop (backend: Backend, reason: string): void {
    log.info('backend server gone', { backendServer: backend.entry.id, service: backend.entry.service, reason, inFlight: backend.inFlight })
    detach(backend)
    for (const notify of [...backend.onRemoved]) notify()
    backend.onRemoved.clear()
  }

  function remove (id: BackendServerId): void {
    const backend = backends.get(id)
    if (!backend) return
    if (clock.now() >= graceEndMs) {
      // A backend server may leave without notice: its entry is removed, but requests in flight are still served.
      backend.entry = { ...backend.entry, leaving: true }
      detach(backend)
      log.info('backend server entry removed', { backendServer: id, inFlight: backend.inFlight })
      return
    }
    backend.isMissing = true
  }

  function dropMissing (): void {
    for (const backend of [...backends.values()]) if (backend.isMissing) drop(backend, 'missing after the store recovered')
  }

  function ofService (service: ServiceId): Backend[] {
    const found: Backend[] = []
    for (const backend of backends.values()) if (backend.entry.service === service) found.push(backend)
    return found
  }

  /** Smallest number of requests that the limits of a backend server permit in their windows; Infinity without limits. */
  function smallestLimit ({ entry }: Backend): number {
    const { id, service } = entry
    const coldLimit = cold.limit(service)
    const named = namedLimits.get(id)
    return Math.min(coldLimit === 0 ? Infinity : coldRequests(coldLimit), named ? namedRequests(named.rate) : Infinity, brittle.tolerated(entry) === undefined ? Infinity : entry.slots)
  }

  /** Time until one more request may follow the earlier ones, of which a window may contain `share`; 0 if it may now. */
  function waitMs (sentMs: readonly number[], share: number, windowMs: number, nowMs: number): number {
    if (share === 0) return Infinity
    return Math.max(0, (sentMs.at(-share) ?? -Infinity) + windowMs - nowMs)
  }

  function coldWaitMs (backend: Backend, nowMs: number): number {
    const limit = cold.limit(backend.entry.service)
    if (limit === 0) return 0
    // The other VMs, or the process before a restart, may have used this VM's share until shortly before the start.
    return Math.max(coldStartMs() - nowMs, waitMs(backend.recentSends, shares.shareOf(backend.entry.id, coldRequests(limit)), COLD_WINDOW_MS, nowMs))
  }

  function namedWaitMs ({ entry: { id }, recentSends }: Backend, nowMs: number): number {
    const limit = namedLimits.get(id)
    if (!limit) return 0
    return waitMs(recentSends.filter(sentMs => sentMs >= limit.sinceMs), shares.shareOf(id, namedRequests(limit.rate)), NAMED_LIMIT_WINDOW_MS, nowMs)
  }

  function slotWaitMs (backend: Backend): number {
    if (brittle.tolerated(backend.entry) === undefined) return 0
    return brittle.usedSlots(backend) < shares.shareOf(backend.entry.id, backend.entry.slots) ? 0 : SLOT_RETRY_MS
  }

  function reserve (backend: Backend, { running, prompt }: RequestLoad, { isLent = false, onEnd = () => {} }: ReserveOptions = {}): Reservation {
    const reservedMs = clock.now()
    const endTest = brittle.startTest(backend.entry.id)
    const returnSlot = isLent ? brittle.borrowSlot(backend) : undefined
    let promptLoad = prompt
    if (!isLent) recordSend(backend, reservedMs)
    backend.inFlight++
    backend.load += running + promptLoad

    function endPrompt (): void {
      backend.load -= promptLoad
      promptLoad = 0
    }

    function release (): void {
      endPrompt()
      backend.load -= running
      backend.inFlight--
      endTest()
      returnSlot?.()
      onEnd()
    }

    return {
      backend,
      endPrompt,
      release,
      cancel () {
        release()
        if (isLent) return
        const index = backend.recentSends.indexOf(reservedMs)
        if (index !== -1) backend.recentSends.splice(index, 1)
      }
    }
  }

  /** Suspends a backend server unless it is suspended for longer already; returns whether it was not suspended before. */
  function suspend (backend: Backend, forMs: number): boolean {
    const wasEligible = backend.suspendedUntilMs <= clock.now()
    backend.suspendedUntilMs = Math.max(backend.suspendedUntilMs, clock.now() + forMs)
    return wasEligible
  }

  function recordLeaving (backend: Backend): void {
    if (!departures.record(backend.entry) || backend.entry.leaving) return
    backend.entry = { ...backend.entry, leaving: true }
    metrics.count('backend_failures', 'announced_leaving')
    log.info('backend server is leaving', { backendServer: backend.entry.id, service: backend.entry.service, source: 'answer' })
  }

  function recordRejection (backend: Backend): void {
    if (brittle.tolerated(backend.entry) === undefined) return
    metrics.count('brittle_services', 'rejections')
    brittle.recordRejection(backend.entry, shares.lendersOf(backend.entry.id, smallestLimit(backend)).length)
  }

  function recordSend ({ recentSends }: Backend, sentMs: number): void {
    recentSends.push(sentMs)
    // A lent request may be sent a little later than the next one of this VM.
    if (recentSends.length > 1 && recentSends.at(-2)! > sentMs) recentSends.sort((left, right) => left - right)
  }

  function rateWaitMs (backend: Backend, nowMs = clock.now()): number {
    const oldestMs = nowMs - NAMED_LIMIT_WINDOW_MS
    if (backend.recentSends.length > 0 && backend.recentSends[0]! < oldestMs) backend.recentSends = backend.recentSends.filter(sentMs => sentMs >= oldestMs)
    return Math.max(coldWaitMs(backend, nowMs), namedWaitMs(backend, nowMs), slotWaitMs(backend))
  }

  return {
    markStoreRecovered () {
      graceEndMs = clock.now() + STORE_RECOVERY_GRACE_MS
      cancelDropMissing?.()
      cancelDropMissing = clock.after(STORE_RECOVERY_GRACE_MS, dropMissing)
    },
    markStoreRestored (names) {
      for (const backend of backends.values()) if (!names.has(backend.entry.id)) backend.isMissing = true
    },
    applySnapshot (entries) {
      const listed = new Set(entries.map(({ id }) => id))
      for (const entry of entries) apply(entry)
      for (const id of [...backends.keys()]) if (!listed.has(id)) remove(id)
    },
    apply,
    remove,
    setOutOfService (dataCentres) {
      for (const { entry } of backends.values()) if (outOfService.has(entry.dataCentre) && !dataCentres.has(entry.dataCentre)) onReturn(entry.id, 'data centre back')
      const isUnchanged = dataCentres.size === outOfService.size && [...dataCentres].every(name => outOfService.has(name))
      outOfService = dataCentres
      if (!isUnchanged) log.info('data centres out of service', { dataCentres: [...dataCentres] })
    },
    eligible (service) {
      const nowMs = clock.now()
      const backendsOfService = ofService(service)
      for (const backend of backendsOfService) if (nowMs - backend.lastResultMs > FAILURE_RATE_AGE_MS) backend.failureRate = 0
      return backendsOfService.filter(({ entry, suspendedUntilMs, isMisdirected }) => !entry.leaving && !isMisdirected && !outOfService.has(entry.dataCentre) && suspendedUntilMs <= nowMs)
    },
    list: ofService,
    namedLimits,
    brittle,
    rateWaitMs,
    isLent: backend => shares.isLent(smallestLimit(backend)),
    lendersOf: backend => shares.lendersOf(backend.entry.id, smallestLimit(backend)),
    lend (id, forMs, slotLoan) {
      const backend = backends.get(id)
      if (!backend || rateWaitMs(backend) > 0 || brittle.isHeldBack(backend, 0)) return false
      recordSend(backend, clock.now() + forMs)
      if (slotLoan && brittle.tolerated(backend.entry) !== undefined) brittle.lendSlot(id, slotLoan.loan, slotLoan.forMs)
      return true
    },
    reserve,
    recordConnectFailure (backend) {
      const suspendedMs = Math.min(MAX_SUSPENSION_MS, FIRST_SUSPENSION_MS * 2 ** backend.connectFailures++)
      suspend(backend, suspendedMs)
      metrics.count('backend_failures', 'connect')
      log.warn('backend server cannot be reached', { backendServer: backend.entry.id, suspendedMs })
    },
    recordRoom (backend, { toleratedRejections: tolerated, authentic, notRun, namedLimit }) {
      const { entry } = backend
      if (tolerated === 'unreadable') metrics.count('bad_input', 'tolerated_rejections')
      else if (tolerated !== undefined || (authentic && !notRun)) brittle.record(entry, tolerated)
      if (authentic && !notRun) brittle.recordAccepted(entry.id)
      else if (notRun && namedLimit === undefined) recordRejection(backend)
    },
    endSlotLoan (id, loan, result) {
      const backend = backends.get(id)
      if (backend && result === 'rejected') recordRejection(backend)
      if (result === 'accepted') brittle.recordAccepted(id)
      brittle.endLoan(id, loan)
    },
    recordMisdirected (backend) {
      metrics.count('backend_failures', 'misdirected')
      if (!backend.isMisdirected) log.warn('another backend server answers at the address of this one', { backendServer: backend.entry.id, address: backend.entry.address })
      backend.isMisdirected = true
    },
    recordLeaving,
    recordRequestedPause (backend, pauseMs) {
      if (pauseMs > MAX_REQUESTED_PAUSE_MS) {
        metrics.count('bad_input', 'retry_after')
        return
      }
      backend.pausedUntilMs = Math.max(backend.pausedUntilMs, clock.now() + pauseMs)
      if (suspend(backend, pauseMs)) log.info('backend server asks for a pause', { backendServer: backend.entry.id, pauseMs: Math.round(pauseMs) })
      metrics.count('backend_failures', 'requested_pause')
    },
    recentDepartures: departures.report,
    mergeDepartures (reported) {
      for (const [id, process] of Object.entries(reported)) {
        const backend = backends.get(id as BackendServerId)
        if (backend && processIdentity(backend.entry) === process) recordLeaving(backend)
      }
    },
    recordResult (backend, failed) {
      backend.lastResultMs = clock.now()
      backend.failureRate += FAILURE_RATE_WEIGHT * ((failed ? 1 : 0) - backend.failureRate)
      if (!failed) backend.connectFailures = 0
    },
    forgetFailures (id) {
      const backend = backends.get(id)
      if (backend) backend.failureRate = backend.connectFailures = 0
    },
    forgetConnectFailures (id) {
      const backend = backends.get(id)
      if (!backend || backend.connectFailures === 0) return
      backend.connectFailures = 0
      backend.suspendedUntilMs = backend.pausedUntilMs
    },
    get: id => backends.get(id),
    size: () => backends.size,
    all: () => backends.values()
  }
}
