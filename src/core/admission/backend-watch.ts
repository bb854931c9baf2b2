/** Applies what is learned about backend servers: probe answers, first bytes, releases and lost connections. */
import type { BackendServerId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { BackendEntry, BackendTable } from './backend-table.ts'
import { forgetGrant, observeFirstByte, observeProbe, turnCold } from './cold-start.ts'
import type { PermitRecord } from './permits.ts'
import { noteFirstByte } from './prompt-progress.ts'
import type { PrefixIndex } from './prefix-index.ts'
import type { ProbeAnswer, Prober } from './probes.ts'
import type { PermitRelease } from './types.ts'

export interface BackendWatch {
  probeAnswered(entry: BackendEntry, answer: ProbeAnswer): void
  unreachable(entry: BackendEntry): void
  firstByte(record: PermitRecord, instance: string): void
  /** Applies a release whose permit was removed. */
  released(record: PermitRecord, release: PermitRelease): void
  probe(backendServer: BackendServerId): void
}

export interface BackendWatchOptions {
  table: BackendTable
  prefixes: PrefixIndex
  prober: Prober
  metrics: Metrics
  log: Log
  nextNumber: () => number
  now: () => number
  /** Whether the takeover wait is over; answers to earlier probes do not verify a backend server. */
  isSettled: (at: number) => boolean
  /** Called after something changed that may allow a grant. */
  changed: () => void
}

export function createBackendWatch (options: BackendWatchOptions): BackendWatch {
  const { table, prefixes, prober, metrics, log, nextNumber, now, isSettled, changed } = options

  function noteCold (entry: BackendEntry, reason: 'report' | 'instance' | 'crash' | 'unreachable'): void {
    prefixes.clear(entry.id)
    metrics.count('cold_starts', reason)
    log.warn('backend server turned cold', { backendServer: entry.id, reason })
  }

  function probeAnswered (entry: BackendEntry, { report, probe, sentAt }: ProbeAnswer): void {
    const wasInstance = entry.warmth.instance
    const turned = observeProbe(entry.warmth, entry.spec, { report, probe, number: nextNumber(), now: now() })
    if (turned) noteCold(entry, wasInstance === report.instance ? 'report' : 'instance')
    table.applyLoad(entry, { report, sentAt })
    if (isSettled(sentAt)) entry.verified = true
    // The next probe decides whether the new instance is warm.
    if (turned) prober.probe(entry)
    changed()
  }

  function learnFirstByte (record: PermitRecord): void {
    const entry = table.get(record.backendServer)
    if (!entry || record.firstByteAt < Infinity) return
    noteFirstByte(entry.promptProgress, record, now())
    record.firstByteAt = now()
  }

  function observe (record: PermitRecord, instance: string): void {
    const entry = table.get(record.backendServer)
    if (!entry) return
    if (!observeFirstByte(entry.warmth, { instance, grant: record.grant, number: nextNumber() })) return
    noteCold(entry, 'instance')
    prober.probe(entry)
  }

  function crashed (entry: BackendEntry, record: PermitRecord): void {
    // All requests in flight report the same crash; only the first one counts.
    if (record.grant < entry.warmth.coldSince) return
    const wasWarm = entry.warmth.state === 'warm'
    turnCold(entry.warmth, nextNumber())
    if (wasWarm) noteCold(entry, 'crash')
    prober.probe(entry)
  }

  function released (record: PermitRecord, { outcome, instance }: PermitRelease): void {
    const entry = table.get(record.backendServer)
    if (!entry) return
    if (outcome === 'not_sent') {
      forgetGrant(entry.warmth, record.grant)
      return
    }
    table.noteRelease(entry)
    if (outcome === 'crashed') crashed(entry, record)
    else if (instance !== undefined) observe(record, instance)
    if (outcome === 'failed') prober.probe(entry)
  }

  return {
    probeAnswered,
    unreachable (entry) {
      turnCold(entry.warmth, nextNumber())
      noteCold(entry, 'unreachable')
      changed()
    },
    firstByte (record, instance) {
      learnFirstByte(record)
      observe(record, instance)
      changed()
    },
    released,
    probe (backendServer) {
      const entry = table.get(backendServer)
      if (entry) prober.probe(entry)
    }
  }
}
