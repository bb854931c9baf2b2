/**
 * Health probes of the backend servers of a data centre: every 250 ms to those that are cold, ramping up, unverified or
 * unreachable, that missed their last probe or that run requests without a permit; every 2 s to the others; and on demand
 * when a grant needs a confirmation that the backend server is warm. Each backend server has at most one probe in flight.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { BackendEntry, BackendTable } from './backend-table.ts'
import { isRamping } from './cold-start.ts'
import { COLD_PROBE_PERIOD_MS, PROBE_FAILURES_UNTIL_UNREACHABLE, PROBE_TIMEOUT_MS, WARM_PROBE_PERIOD_MS } from './constants.ts'
import type { HealthProbe, HealthReport } from './types.ts'

export interface ProbeAnswer {
  report: HealthReport
  /** Sequence number that the probe got when it was sent. */
  probeSequence: number
  sentAt: number
}

export interface ProberOptions {
  table: BackendTable
  healthProbe: HealthProbe
  clock: Clock
  /** Returns the next sequence number for grants, probes and transitions to cold. */
  nextSequence: () => number
  onAnswer: (entry: BackendEntry, answer: ProbeAnswer) => void
  /** Called when a backend server becomes unreachable. */
  onUnreachable: (entry: BackendEntry) => void
}

export interface Prober {
  /** Sends a probe now unless one is in flight. */
  probe(entry: BackendEntry): void
  start(): void
  stop(): void
}

export function createProber ({ table, healthProbe, clock, nextSequence, onAnswer, onUnreachable }: ProberOptions): Prober {
  let cancel: TimerCancel | undefined

  async function sendProbe (entry: BackendEntry): Promise<void> {
    const sentAt = clock.now()
    const probeSequence = nextSequence()
    entry.probing = true
    entry.probedAt = sentAt
    const report = await healthProbe(entry.spec.address, PROBE_TIMEOUT_MS).catch(() => undefined)
    entry.probing = false
    // The backend server may have been removed or moved to another address in the meantime.
    if (table.get(entry.id) !== entry) return
    if (report) {
      entry.probeFailures = 0
      entry.unreachable = false
      onAnswer(entry, { report, probeSequence, sentAt })
      return
    }
    // A busy backend server may answer requests but miss probes. It stays warm, but gets at most `coldAllowance` grants
    // until it answers a probe.
    if (entry.promptProgress.lastFirstByteAt >= sentAt) return
    entry.probeFailures++
    if (entry.unreachable || entry.probeFailures < PROBE_FAILURES_UNTIL_UNREACHABLE) return
    entry.unreachable = true
    onUnreachable(entry)
  }

  function probe (entry: BackendEntry): void {
    if (!entry.probing) void sendProbe(entry)
  }

  function probeDue (): void {
    for (const entry of table.all()) {
      const isStable = entry.verified && !entry.unreachable && entry.probeFailures === 0 && entry.untracked === 0 &&
        entry.warmup.state === 'warm' && !isRamping(entry.warmup, entry.spec)
      const periodMs = isStable ? WARM_PROBE_PERIOD_MS : COLD_PROBE_PERIOD_MS
      if (clock.now() - entry.probedAt >= periodMs) probe(entry)
    }
  }

  return {
    probe,
    start () {
      cancel = clock.every(COLD_PROBE_PERIOD_MS, probeDue)
      probeDue()
    },
    stop () {
      cancel?.()
      cancel = undefined
    }
  }
}
