/**
 * Quarantines requests that crash backend servers. A request is identified by its fingerprint, a hash of team, kind of
 * call and body. The crashes of distinct instances are counted for each fingerprint that was in flight, so a request
 * that was in flight during only one crash stays below the limit. Reports are sent by peer notification, which works
 * while the object API is down, and are stored in an object, which VMs that start later and VMs of other regions read.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { PeerError } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import type { PeerLinks } from '../peer/index.ts'
import { createCrashRegistry, type CrashEntry } from './crash-registry.ts'
import { CRASH_LIMIT, QUARANTINE_DURATION_MS, REFRESH_PERIOD_MS } from './constants.ts'
import { notificationSchema, partEvidenceSchema, type QuarantineNotification } from './messages.ts'
import { createPartQuarantine, type PartEvidence } from './request-parts.ts'
import { createQuarantineStore } from './store.ts'
import type { Quarantine } from './types.ts'

export type { CrashReport, Quarantine, QuarantineSpec } from './types.ts'

export interface QuarantineOptions {
  peers: PeerLinks
  membership: Membership
  objectApi: ObjectApi
  /** Number of crashed instances at which a fingerprint is quarantined. */
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
    crashLimit = CRASH_LIMIT, durationMs = QUARANTINE_DURATION_MS, refreshPeriodMs = REFRESH_PERIOD_MS
  } = options
  let cancelRefresh: TimerCancel = () => {}

  const registry = createCrashRegistry({
    crashLimit,
    durationMs,
    clock,
    ...(options.maxEntries !== undefined && { maxEntries: options.maxEntries }),
    onQuarantined ({ fingerprint, crashes }) {
      metrics.count('quarantined', 'started')
      log.warn('request quarantined', { fingerprint, crashes: [...crashes.values()].map(({ backendServer }) => backendServer) })
    }
  })
  const parts = createPartQuarantine({ clock, log, metrics })
  const store = createQuarantineStore({ objectApi, registry, clock, metrics, isCleaner })

  function isCleaner (): boolean {
    return membership.members()[0]?.vm === membership.self().vm
  }

  function notifyPeers (type: 'quarantine.report' | 'quarantine.parts', body: QuarantineNotification | PartEvidence): void {
    const self = membership.self().vm
    for (const { vm } of membership.members()) {
      if (vm !== self) peers.notify(vm, type, body)
    }
  }

  function broadcast (notification: QuarantineNotification): void {
    notifyPeers('quarantine.report', notification)
  }

  /** Sends all recent evidence, so that a VM that missed an earlier message has it as well. */
  function broadcastParts (isNew: boolean): boolean {
    const evidence = parts.recentEvidence()
    if (isNew && evidence) notifyPeers('quarantine.parts', evidence)
    return isNew
  }

  function remainingMs (entry: CrashEntry | undefined): number {
    return entry ? entry.expiresMs - clock.now() : 0
  }

  function liftLocally (fingerprint: string): void {
    if (registry.get(fingerprint)?.isQuarantined) log.info('quarantine lifted', { fingerprint })
    registry.lift(fingerprint)
    metrics.count('quarantined', 'lifted')
  }

  peers.handle('quarantine.report', body => {
    const parsed = notificationSchema.safeParse(body)
    if (!parsed.success) {
      metrics.count('bad_input', 'quarantine_malformed')
      throw new PeerError('peer_rejected', { detail: 'not a quarantine report' })
    }
    if ('lift' in parsed.data) return liftLocally(parsed.data.lift)
    registry.add(parsed.data.crashes, parsed.data.remainingMs)
  })

  peers.handle('quarantine.parts', body => {
    const parsed = partEvidenceSchema.safeParse(body)
    if (!parsed.success) {
      metrics.count('bad_input', 'quarantine_malformed')
      throw new PeerError('peer_rejected', { detail: 'not evidence about parts of requests' })
    }
    parts.merge(parsed.data)
  })

  return {
    parts: {
      recordCrash: (crash, partNames) => broadcastParts(parts.recordCrash(crash, partNames)),
      recordSurvival: (partNames, begunMs) => broadcastParts(parts.recordSurvival(partNames, begunMs)),
      remainingMs: parts.remainingMs
    },
    isQuarantined: fingerprint => registry.get(fingerprint)?.isQuarantined ?? false,
    isSuspect: fingerprint => registry.get(fingerprint) !== undefined,
    reportCrash (report) {
      const entry = registry.add([report], durationMs)
      if (!entry) return metrics.count('quarantined', 'crash_known')
      metrics.count('quarantined', 'crash_reported')
      // All crashes are sent, so that a VM that missed an earlier report still reaches the correct count.
      broadcast({ crashes: [...entry.crashes.values()], remainingMs: remainingMs(entry) })
      void store.write(report.fingerprint)
    },
    remainingMs (fingerprint) {
      const entry = registry.get(fingerprint)
      return entry?.isQuarantined ? remainingMs(entry) : 0
    },
    async lift (fingerprint) {
      liftLocally(fingerprint)
      broadcast({ lift: fingerprint })
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
