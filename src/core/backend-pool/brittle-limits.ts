/**
 * Decides what a VM may send to brittle backend servers. It answers overload: such a backend server fails if it must
 * reject more than a few requests a second, counted over all VMs. Each VM therefore sends only what it has a slot for,
 * its own or a borrowed one, and pauses after a rejection. All backend servers of a service count as brittle if one says
 * so, because one that has failed or has just started cannot say so itself.
 */
import type { Clock } from '../clock/index.ts'
import type { BackendServerId, ServiceId, VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { hashFraction } from '../placement/rendezvous.ts'
import { BRITTLE_MEMORY_MS, BRITTLE_NOTICE_MS, BRITTLE_TRANSITION_MS, ENDED_LIMIT_REPORT_MS, MAX_REJECTION_PAUSE_MS, MAX_REPORTED_BRITTLE, MIN_REJECTION_PAUSE_MS, MIN_TOLERATED_RATE } from './constants.ts'
import type { Backend, BackendEntry } from './types.ts'

/** Tolerated rejections per second, null if the latest answer named none; age of the answer and rest of a pause in milliseconds. */
export type ReportedBrittleness = [tolerated: number | null, ageMs: number, pauseMs: number]

export type ReportedBrittle = Record<BackendServerId, ReportedBrittleness>

export interface BrittleLimits {
  /** Rejections per second that a backend server tolerates from all VMs together; `undefined` if it is not brittle. */
  tolerated(entry: Pick<BackendEntry, 'id' | 'service'>): number | undefined
  /** Whether a pause after a rejection, a request that tests its end, or the requests sent before the brittle time leave no room. */
  isHeldBack(backend: Backend, othersLoad: number): boolean
  /** Marks a request that is sent after a pause as its test; returns the function that ends it. */
  startTest(backend: BackendServerId): () => void
  isPaused(backend: BackendServerId): boolean
  /** Slots that this VM uses itself or has lent. */
  usedSlots(backend: Backend): number
  /** Counts a slot that this VM has borrowed from another one; returns the function that ends it. */
  borrowSlot(backend: Backend): () => void
  lendSlot(backend: BackendServerId, loan: string, forMs: number): void
  endLoan(backend: BackendServerId, loan: string): void
  /** Records what an answer says; `undefined` if it does not name the backend server brittle. */
  record(entry: BackendEntry, tolerated: number | undefined): void
  /** Records a rejection for want of room; `holders` VMs hold the slots of the backend server. */
  recordRejection(entry: BackendEntry, holders: number): void
  /** Records that a backend server has accepted a request. */
  recordAccepted(backend: BackendServerId): void
  /** Pauses, ended statements and a few others of each service, for the other VMs; `undefined` if there are none. */
  report(): ReportedBrittle | undefined
  merge(reported: ReportedBrittle): void
}

export interface BrittleLimitsOptions {
  self: VmId
  /** Service of a backend server in the pool. */
  serviceOf(backend: BackendServerId): ServiceId | undefined
  clock: Clock
  log: Log
  metrics: Metrics
}

interface Statement { service: ServiceId, tolerated: number | undefined, answeredMs: number }

interface BrittleService { tolerated: number, sinceMs: number }

interface Pause {
  untilMs: number
  durationMs: number
  /** Whether a request is testing whether there is room again. */
  isTested: boolean
  /** Whether other VMs get the pause in the reports: they do not pass on one that they have got in a report themselves. */
  isOwn: boolean
}

export function createBrittleLimits ({ self, serviceOf, clock, log, metrics }: BrittleLimitsOptions): BrittleLimits {
  const statements = new Map<BackendServerId, Statement>()
  /** Services of which a backend server is brittle. */
  const services = new Map<ServiceId, BrittleService>()
  const pauses = new Map<BackendServerId, Pause>()
  const borrowed = new WeakMap<Backend, number>()
  /** Ends of the loans by backend server and loan, in case that their return is lost. */
  const lent = new Map<BackendServerId, Map<string, number>>()

  function updateService (service: ServiceId): void {
    const named = [...statements.values()].flatMap(statement => statement.service === service && statement.tolerated !== undefined ? [statement.tolerated] : [])
    const known = services.get(service)
    if (named.length > 0) {
      if (!known) {
        log.info('service is brittle', { service, toleratedRejections: Math.min(...named) })
        metrics.count('brittle_services', 'started')
      }
      services.set(service, { tolerated: Math.min(...named), sinceMs: known?.sinceMs ?? clock.now() })
    } else if (services.delete(service)) {
      log.info('service is not brittle any more', { service })
      metrics.count('brittle_services', 'ended')
    }
  }

  function apply (id: BackendServerId, service: ServiceId, tolerated: number | undefined, answeredMs: number): void {
    const previous = statements.get(id)
    statements.set(id, { service, tolerated, answeredMs })
    if (tolerated === undefined) pauses.delete(id)
    if (!previous || previous.tolerated !== tolerated) updateService(service)
  }

  function tolerated ({ id, service }: Pick<BackendEntry, 'id' | 'service'>): number | undefined {
    if (services.size === 0) return undefined
    const statement = statements.get(id)
    return statement ? statement.tolerated : services.get(service)?.tolerated
  }

  /** Forgets ends of brittle times that all VMs know, and backend servers that have left for good. */
  function forgetOld (): void {
    for (const [id, { service, tolerated, answeredMs }] of statements) {
      const ageMs = clock.now() - answeredMs
      const isOld = tolerated === undefined ? ageMs >= ENDED_LIMIT_REPORT_MS : serviceOf(id) === undefined && ageMs >= BRITTLE_MEMORY_MS
      if (!isOld) continue
      statements.delete(id)
      pauses.delete(id)
      updateService(service)
    }
  }

  function startTest (id: BackendServerId): void {
    const pause = pauses.get(id)
    if (pause) pause.isTested = true
  }

  /** A request that was accepted has ended the pause already, so the end of any other one is that of the test. */
  function endTest (id: BackendServerId): void {
    const pause = pauses.get(id)
    if (pause) pause.isTested = false
  }

  function lentSlots (id: BackendServerId): number {
    const loans = lent.get(id)
    if (!loans) return 0
    for (const [loan, endMs] of loans) if (endMs <= clock.now()) loans.delete(loan)
    if (loans.size === 0) lent.delete(id)
    return loans.size
  }

  function pauseMs (id: BackendServerId): number {
    return Math.max(0, Math.round((pauses.get(id)?.untilMs ?? -Infinity) - clock.now()))
  }

  /** Takes over a pause of another VM, and ends it later than that one, so that they do not all test the backend server at once. */
  function pause (id: BackendServerId, forMs: number): void {
    if (!(forMs > 0) || pauseMs(id) > 0) return
    const durationMs = Math.min(MAX_REJECTION_PAUSE_MS, Math.max(forMs, pauses.get(id)?.durationMs ?? 0))
    pauses.set(id, { untilMs: clock.now() + durationMs * spread(id), durationMs, isTested: false, isOwn: false })
  }

  /** The VMs start again at different times. */
  function spread (id: BackendServerId): number {
    return 1 + hashFraction(`${self}/${id}`)
  }

  return {
    tolerated,
    isHeldBack ({ entry, inFlight }, othersLoad) {
      const pause = pauses.get(entry.id)
      // After a pause, a single request shows whether there is room again.
      if (pause && (clock.now() < pause.untilMs || pause.isTested)) return true
      const sinceMs = services.get(entry.service)?.sinceMs ?? -Infinity
      return clock.now() - sinceMs < BRITTLE_TRANSITION_MS && inFlight + othersLoad > entry.slots - 1
    },
    startTest (id) {
      startTest(id)
      return () => endTest(id)
    },
    isPaused: id => pauseMs(id) > 0,
    usedSlots: backend => backend.inFlight - (borrowed.get(backend) ?? 0) + lentSlots(backend.entry.id),
    borrowSlot (backend) {
      borrowed.set(backend, (borrowed.get(backend) ?? 0) + 1)
      return () => { borrowed.set(backend, borrowed.get(backend)! - 1) }
    },
    lendSlot (id, loan, forMs) {
      const loans = lent.get(id) ?? new Map<string, number>()
      lent.set(id, loans.set(loan, clock.now() + forMs))
      startTest(id)
    },
    endLoan (id, loan) {
      if (lent.get(id)?.delete(loan)) endTest(id)
    },
    record (entry, named) {
      if (named !== undefined || services.has(entry.service)) apply(entry.id, entry.service, named, clock.now())
    },
    recordRejection (entry, holders) {
      const limit = tolerated(entry)
      if (limit === undefined) return
      const earlier = pauses.get(entry.id)
      // Each of the VMs that hold slots may then cause one rejection in each pause.
      const isNew = clock.now() - (services.get(entry.service)?.sinceMs ?? -Infinity) < BRITTLE_NOTICE_MS
      const shortestMs = isNew ? MIN_REJECTION_PAUSE_MS : Math.max(MIN_REJECTION_PAUSE_MS, 1000 * holders / Math.max(limit, MIN_TOLERATED_RATE))
      const durationMs = Math.min(MAX_REJECTION_PAUSE_MS, Math.max(shortestMs, earlier && clock.now() >= earlier.untilMs ? earlier.durationMs * 2 : 0))
      pauses.set(entry.id, { untilMs: clock.now() + durationMs * spread(entry.id), durationMs, isTested: false, isOwn: true })
    },
    recordAccepted (id) {
      const pause = pauses.get(id)
      if (pause && clock.now() >= pause.untilMs) pauses.delete(id)
    },
    report () {
      forgetOld()
      if (statements.size === 0) return undefined
      const counts = new Map<ServiceId, number>()
      const reported: [BackendServerId, ReportedBrittleness][] = []
      for (const [id, { service, tolerated: named, answeredMs }] of [...statements].sort(([, left], [, right]) => right.answeredMs - left.answeredMs)) {
        const pausedMs = pauses.get(id)?.isOwn ? pauseMs(id) : 0
        const count = counts.get(service) ?? 0
        if (named !== undefined && pausedMs === 0 && count >= MAX_REPORTED_BRITTLE) continue
        if (named !== undefined) counts.set(service, count + 1)
        reported.push([id, [named ?? null, Math.round(clock.now() - answeredMs), pausedMs]])
      }
      return Object.fromEntries(reported) as ReportedBrittle
    },
    merge (reported) {
      for (const [key, [named, ageMs, pausedMs]] of Object.entries(reported)) {
        const id = key as BackendServerId
        const known = statements.get(id)
        const service = serviceOf(id) ?? known?.service
        if (service === undefined) continue
        const isUnchanged = known ? (known.tolerated ?? null) === named : named === null
        // An unchanged statement keeps its time: each hop makes an answer look newer than it is.
        if (!isUnchanged && (!known || clock.now() - ageMs > known.answeredMs)) apply(id, service, named ?? undefined, clock.now() - ageMs)
        pause(id, pausedMs)
      }
    }
  }
}
