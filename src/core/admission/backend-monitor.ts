/** Updates the state of backend servers from probe answers, first bytes, releases and lost connections. */
import type { BackendServerId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { BackendEntry, BackendTable } from './backend-table.ts'
import { discardGrant, markCold, observeFirstByte, observeProbe } from './cold-start.ts'
import type { PermitRecord } from './permits.ts'
import { updatePromptRate } from './prompt-progress.ts'
import type { PrefixIndex } from './prefix-index.ts'
import type { ProbeAnswer, Prober } from './probes.ts'
import type { PermitRelease } from './types.ts'

export interface BackendMonitor {
  handleProbeAnswer(entry: BackendEntry, answer: ProbeAnswer): void
  handleUnreachable(entry: BackendEntry): void
  handleFirstByte(record: PermitRecord, instance: string): void
  /** Applies a release, after its permit was removed. */
  handleRelease(record: PermitRecord, release: PermitRelease): void
  probe(backendServer: BackendServerId): void
}

export interface BackendMonitorOptions {
  table: BackendTable
  prefixes: PrefixIndex
  prober: Prober
  metrics: Metrics
  log: Log
  nextSequence: () => number
  now: () => number
  /** Whether the takeover wait was over at a time. Answers to probes sent before its end do not verify a backend server. */
  isSettled: (at: number) => boolean
  /** Called after a change that may allow another grant. */
  onChange: () => void
}

export function createBackendMonitor (options: BackendMonitorOptions): BackendMonitor {
  const { table, prefixes, prober, metrics, log, nextSequence, now, isSettled, onChange } = options

  function handleColdTransition (entry: BackendEntry, reason: 'report' | 'instance' | 'crash' | 'unreachable'): void {
    prefixes.clear(entry.id)
    metrics.count('cold_starts', reason)
    log.warn('backend server turned cold', { backendServer: entry.id, reason })
  }

  function handleProbeAnswer (entry: BackendEntry, { report, probeSequence, sentAt }: ProbeAnswer): void {
    const previousInstance = entry.warmup.instance
    const becameCold = observeProbe(entry.warmup, entry.spec, { report, probeSequence, sequence: nextSequence(), now: now() })
    if (becameCold) handleColdTransition(entry, previousInstance === report.instance ? 'report' : 'instance')
    table.applyLoadReport(entry, { report, sentAt })
    if (isSettled(sentAt)) entry.verified = true
    // The next probe determines whether the new instance is warm.
    if (becameCold) prober.probe(entry)
    onChange()
  }

  function recordFirstByte (record: PermitRecord): void {
    const entry = table.get(record.backendServer)
    if (!entry || record.firstByteAt < Infinity) return
    updatePromptRate(entry.promptProgress, record, now())
    record.firstByteAt = now()
  }

  function checkInstance (record: PermitRecord, instance: string): void {
    const entry = table.get(record.backendServer)
    if (!entry) return
    if (!observeFirstByte(entry.warmup, { instance, grantSequence: record.grantSequence, sequence: nextSequence() })) return
    handleColdTransition(entry, 'instance')
    prober.probe(entry)
  }

  function handleCrash (entry: BackendEntry, record: PermitRecord): void {
    // All requests in flight report the same crash; only the first report is applied.
    if (record.grantSequence < entry.warmup.lastColdSequence) return
    const wasWarm = entry.warmup.state === 'warm'
    markCold(entry.warmup, nextSequence())
    if (wasWarm) handleColdTransition(entry, 'crash')
    prober.probe(entry)
  }

  function handleRelease (record: PermitRecord, { outcome, instance }: PermitRelease): void {
    const entry = table.get(record.backendServer)
    if (!entry) return
    if (outcome === 'not_sent') {
      discardGrant(entry.warmup, record.grantSequence)
      return
    }
    table.recordRelease(entry)
    if (outcome === 'crashed') handleCrash(entry, record)
    else if (instance !== undefined) checkInstance(record, instance)
    if (outcome === 'failed') prober.probe(entry)
  }

  return {
    handleProbeAnswer,
    handleUnreachable (entry) {
      markCold(entry.warmup, nextSequence())
      handleColdTransition(entry, 'unreachable')
      onChange()
    },
    handleFirstByte (record, instance) {
      recordFirstByte(record)
      checkInstance(record, instance)
      onChange()
    },
    handleRelease,
    probe (backendServer) {
      const entry = table.get(backendServer)
      if (entry) prober.probe(entry)
    }
  }
}
