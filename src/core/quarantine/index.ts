/**
 * Refuses requests that crash backend servers. The fingerprint covers team and body; the crashes of distinct instances
 * are counted for each fingerprint that was in flight, so a request that merely shared one crash stays below the limit.
 * Reports spread by peer notification, which works while the object API is down, and by an object, from which VMs
 * that start later and VMs of other regions learn them.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { PeerError } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import type { PeerLinks } from '../peer/index.ts'
import { createCrashBook, type BookEntry } from './book.ts'
import { CRASH_LIMIT, DURATION_MS, REFRESH_PERIOD_MS } from './constants.ts'
import { notificationSchema, type QuarantineNotification } from './messages.ts'
import { createQuarantineStore } from './store.ts'
import type { Quarantine } from './types.ts'

export type { CrashReport, Quarantine, QuarantineSpec } from './types.ts'

export interface QuarantineOptions {
  peers: PeerLinks
  membership: Membership
  objectApi: ObjectApi
  /** Crashes of distinct instances that lead to quarantine. */
  crashLimit?: number
  durationMs?: number
  refreshPeriodMs?: number
  maxEntries?: number
  clock: Clock
  metrics: Metrics
  log: Log
}

export function createQuarantine (options: QuarantineOptions): Quarantine {
  const {
    peers, membership, objectApi, clock, metrics, log,
    crashLimit = CRASH_LIMIT, durationMs = DURATION_MS, refreshPeriodMs = REFRESH_PERIOD_MS
  } = options
  let cancelRefresh: TimerCancel = () => {}

  const book = createCrashBook({
    crashLimit,
    durationMs,
    clock,
    ...(options.maxEntries !== undefined && { maxEntries: options.maxEntries }),
    onQuarantined ({ fingerprint, crashes }) {
      metrics.count('quarantined', 'started')
      log.warn('request quarantined', { fingerprint, crashes: [...crashes.values()].map(({ backendServer }) => backendServer) })
    }
  })
  const store = createQuarantineStore({ objectApi, book, clock, metrics, isCleaner })

  function isCleaner (): boolean {
    return membership.members()[0]?.vm === membership.self().vm
  }

  function spread (notification: QuarantineNotification): void {
    const self = membership.self().vm
    for (const { vm } of membership.members()) {
      if (vm !== self) peers.notify(vm, 'quarantine.report', notification)
    }
  }

  function remainingMs (entry: BookEntry | undefined): number {
    return entry ? entry.endsMs - clock.now() : 0
  }

  function liftHere (fingerprint: string): void {
    if (book.get(fingerprint)?.isQuarantined) log.info('quarantine lifted', { fingerprint })
    book.lift(fingerprint)
    metrics.count('quarantined', 'lifted')
  }

  peers.handle('quarantine.report', body => {
    const parsed = notificationSchema.safeParse(body)
    if (!parsed.success) {
      metrics.count('bad_input', 'quarantine_malformed')
      throw new PeerError('peer_rejected', { detail: 'not a quarantine report' })
    }
    if ('lift' in parsed.data) return liftHere(parsed.data.lift)
    book.add(parsed.data.crashes, parsed.data.remainingMs)
  })

  return {
    isQuarantined: fingerprint => book.get(fingerprint)?.isQuarantined ?? false,
    isSuspect: fingerprint => book.get(fingerprint) !== undefined,
    reportCrash (report) {
      const entry = book.add([report], durationMs)
      if (!entry) return metrics.count('quarantined', 'crash_known')
      metrics.count('quarantined', 'crash_reported')
      // All crashes are sent, so that a VM that missed the first report counts right.
      spread({ crashes: [...entry.crashes.values()], remainingMs: remainingMs(entry) })
      void store.write(report.fingerprint)
    },
    remainingMs (fingerprint) {
      const entry = book.get(fingerprint)
      return entry?.isQuarantined ? remainingMs(entry) : 0
    },
    async lift (fingerprint) {
      liftHere(fingerprint)
      spread({ lift: fingerprint })
      await store.remove(fingerprint)
    },
    async start () {
      cancelRefresh = clock.every(refreshPeriodMs, () => void store.refresh())
      await store.refresh()
    },
    stop () {
      cancelRefresh()
    }
  }
}
