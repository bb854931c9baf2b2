/**
 * The leader's table of the backend servers of its data centre: configuration, warm-up state, reachability and load.
 * The load is the number of permits that were granted by or registered with this leader, plus the requests that appear
 * only in the backend server's own report, for example those of a VM that did not register its permits. Reports lag, so
 * the load is never lower than the number of permits.
 */
import type { BackendServer, ConfigView } from '../config/types.ts'
import type { BackendServerId, DataCentreId } from '../ids/index.ts'
import { createWarmupState, type WarmupState } from './cold-start.ts'
import type { Permits } from './permits.ts'
import { createPromptProgress, type PromptProgress } from './prompt-progress.ts'
import type { HealthReport, PermitRequest } from './types.ts'

export interface BackendEntry {
  id: BackendServerId
  spec: BackendServer
  warmup: WarmupState
  promptProgress: PromptProgress
  /** Whether a probe sent after the takeover wait was answered. No permits are granted before. */
  verified: boolean
  /** Requests in flight that the backend server reports but that match no permit. */
  untracked: number
  /** Times of recent releases. A lagging report may still count their requests. */
  releaseTimes: number[]
  probing: boolean
  probedAt: number
  probeFailures: number
  unreachable: boolean
}

export interface LoadReport {
  report: HealthReport
  /** When the probe that returned the report was sent. */
  sentAt: number
}

export interface BackendTable {
  /** Applies added, changed and removed backend servers of the configuration. */
  refresh(): void
  get(id: BackendServerId): BackendEntry | undefined
  all(): BackendEntry[]
  /** Backend servers that have the request's version or service, in any state. */
  serving(request: Pick<PermitRequest, 'version' | 'service'>): BackendEntry[]
  load(entry: BackendEntry): number
  recordRelease(entry: BackendEntry): void
  /**
   * Applies a load report: updates the untracked load and reclaims permits of dead VMs whose requests have ended
   * according to the report. The report reflects a moment not earlier than `loadReportLagMs` before the probe, so it
   * includes the requests of live VMs whose first byte had arrived by then. The rest of the reported load is an upper
   * bound for the other requests. Permits without a first byte are not subtracted: their requests may never have
   * started, and such a permit may be released while the request of a dead VM still runs.
   */
  applyLoadReport(entry: BackendEntry, report: LoadReport): void
}

export interface BackendTableOptions {
  view: ConfigView
  dataCentre: DataCentreId
  permits: Permits
  loadReportLagMs: number
  now: () => number
}

export function createBackendTable (options: BackendTableOptions): BackendTable {
  const { view, dataCentre, permits, loadReportLagMs, now } = options
  const entries = new Map<BackendServerId, BackendEntry>()

  function refresh (): void {
    const present = new Set<BackendServerId>()
    for (const { name, spec } of view.list('BackendServer')) {
      if (spec.dataCentre !== dataCentre) continue
      const id = name as BackendServerId
      present.add(id)
      const existing = entries.get(id)
      // Another address means another process, whose state is unknown.
      if (existing && existing.spec.address === spec.address) existing.spec = spec
      else entries.set(id, createEntry(id, spec))
    }
    for (const id of entries.keys()) if (!present.has(id)) entries.delete(id)
  }

  function load (entry: BackendEntry): number {
    return permits.count(entry.id) + entry.untracked
  }

  function recordRelease (entry: BackendEntry): void {
    entry.releaseTimes = entry.releaseTimes.filter(at => now() - at <= 2 * loadReportLagMs)
    entry.releaseTimes.push(now())
  }

  function applyLoadReport (entry: BackendEntry, { report, sentAt }: LoadReport): void {
    const records = permits.ofBackendServer(entry.id)
    const running = records.filter(({ reclaimAt, firstByteAt }) => reclaimAt === undefined && firstByteAt <= sentAt - loadReportLagMs)
    const unaccounted = Math.max(0, report.inFlight - running.length)
    const reclaimable = records.filter(({ reclaimAt }) => reclaimAt !== undefined && reclaimAt <= sentAt)
    for (const record of reclaimable.slice(unaccounted)) permits.remove(record.id)
    entry.untracked = countUntracked(entry, report.inFlight, unaccounted, sentAt)
  }

  /**
   * Number of requests that match no permit. Until the backend server is verified, this is the whole unaccounted load,
   * which is the reported load minus the running requests of live VMs. Afterwards it rises to the reported load in
   * excess of all permits and recent releases, and falls only when the unaccounted load falls below it.
   */
  function countUntracked (entry: BackendEntry, reported: number, unaccounted: number, sentAt: number): number {
    if (!entry.verified) return unaccounted
    const recent = entry.releaseTimes.filter(at => at >= sentAt - loadReportLagMs).length
    const excess = reported - permits.count(entry.id) - recent
    return Math.min(unaccounted, Math.max(entry.untracked, excess))
  }

  return {
    refresh,
    get: id => entries.get(id),
    all: () => [...entries.values()],
    serving: ({ version, service }) => [...entries.values()].filter(({ spec }) =>
      version === undefined ? service !== undefined && spec.service === service : spec.versions.includes(version)),
    load,
    recordRelease,
    applyLoadReport
  }
}

function createEntry (id: BackendServerId, spec: BackendServer): BackendEntry {
  return {
    id,
    spec,
    warmup: createWarmupState(),
    promptProgress: createPromptProgress(),
    verified: false,
    untracked: 0,
    releaseTimes: [],
    probing: false,
    probedAt: -Infinity,
    probeFailures: 0,
    unreachable: false
  }
}
