/**
 * Health probes of the backend servers of a data centre: every 250 ms to those that are cold, ramping up, unverified,
 * unreachable or loaded by requests that no permit explains, every 2 s to the others, and on demand when a grant needs a proof. One probe per backend server is
 * under way at a time.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { BackendEntry, BackendTable } from './backend-table.ts'
import { isRamping } from './cold-start.ts'
import { COLD_PROBE_PERIOD_MS, PROBE_FAILURES_UNTIL_UNREACHABLE, PROBE_TIMEOUT_MS, WARM_PROBE_PERIOD_MS } from './constants.ts'
import type { HealthProbe, HealthReport } from './types.ts'

export interface ProbeAnswer {
  report: HealthReport
  /** Number given when the probe was sent. */
  probe: number
  sentAt: number
}

export interface ProberOptions {
  table: BackendTable
  healthProbe: HealthProbe
  clock: Clock
  /** Gives the next number in the order of grants, probes and turns to cold. */
  nextNumber: () => number
  onAnswer: (entry: BackendEntry, answer: ProbeAnswer) => void
  /** Called when a backend server becomes unreachable. */
  onUnreachable: (entry: BackendEntry) => void
}

export interface Prober {
  /** Probes now unless a probe is under way. */
  probe(entry: BackendEntry): void
  start(): void
  stop(): void
}

export function createProber ({ table, healthProbe, clock, nextNumber, onAnswer, onUnreachable }: ProberOptions): Prober {
  let cancel: TimerCancel | undefined

  async function run (entry: BackendEntry): Promise<void> {
    const sentAt = clock.now()
    const probe = nextNumber()
    entry.probing = true
    entry.probedAt = sentAt
    const report = await healthProbe(entry.spec.address, PROBE_TIMEOUT_MS).catch(() => undefined)
    entry.probing = false
    // The backend server may have been removed or moved to another address in the meantime.
    if (table.get(entry.id) !== entry) return
    if (report) {
      entry.failures = 0
      entry.unreachable = false
      onAnswer(entry, { report, probe, sentAt })
      return
    }
    // A busy backend server may answer requests and miss probes; without a probe it gets no new ones, but stays warm.
    if (entry.promptProgress.lastFirstByteAt >= sentAt) return
    entry.failures++
    if (entry.unreachable || entry.failures < PROBE_FAILURES_UNTIL_UNREACHABLE) return
    entry.unreachable = true
    onUnreachable(entry)
  }

  function probe (entry: BackendEntry): void {
    if (!entry.probing) void run(entry)
  }

  function probeDue (): void {
    for (const entry of table.all()) {
      const isSettled = entry.verified && !entry.unreachable && entry.failures === 0 && entry.unexplained === 0 &&
        entry.warmth.state === 'warm' && !isRamping(entry.warmth, entry.spec)
      const periodMs = isSettled ? WARM_PROBE_PERIOD_MS : COLD_PROBE_PERIOD_MS
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
