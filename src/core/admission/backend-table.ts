/**
 * The leader's table of the backend servers of its data centre: configuration, warmth, reachability and load. The
 * load is the permits granted here plus requests that only the backend server's own report shows, for example those
 * of a VM that did not register its permits. Reports lag, so they never lower the count of known permits.
 */
import type { BackendServer, ConfigView } from '../config/types.ts'
import type { BackendServerId, DataCentreId } from '../ids/index.ts'
import { createWarmth, type Warmth } from './cold-start.ts'
import type { Permits } from './permits.ts'
import { createPromptProgress, type PromptProgress } from './prompt-progress.ts'
import type { HealthReport, PermitRequest } from './types.ts'

export interface BackendEntry {
  id: BackendServerId
  spec: BackendServer
  warmth: Warmth
  promptProgress: PromptProgress
  /** Whether a probe sent after the takeover wait was answered; nothing is granted before. */
  verified: boolean
  /** Requests in flight according to the backend server that no permit explains. */
  unexplained: number
  /** Times of recent releases, which a lagging report may still count. */
  releasedAt: number[]
  probing: boolean
  probedAt: number
  failures: number
  unreachable: boolean
}

export interface LoadReport {
  report: HealthReport
  /** When the probe was sent. */
  sentAt: number
}

export interface BackendTable {
  /** Takes over added, changed and removed backend servers from the configuration. */
  refresh(): void
  get(id: BackendServerId): BackendEntry | undefined
  all(): BackendEntry[]
  /** Backend servers that have the request's version or service, whatever their state. */
  serving(request: Pick<PermitRequest, 'version' | 'service'>): BackendEntry[]
  load(entry: BackendEntry): number
  noteRelease(entry: BackendEntry): void
  /**
   * Applies a load report: counts unexplained load and reclaims permits of dead VMs that it shows to be gone. The report
   * reflects a moment not earlier than `loadReportLagMs` before the probe. Requests of live VMs whose first byte was
   * seen by then are part of it, and the rest of it bounds the requests of others. Permits without a first byte do not
   * count: they may never have started and may be given back while the request of a dead VM still runs.
   */
  applyLoad(entry: BackendEntry, report: LoadReport): void
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
      const known = entries.get(id)
      // Another address is another process, about which nothing is known.
      if (known && known.spec.address === spec.address) known.spec = spec
      else entries.set(id, createEntry(id, spec))
    }
    for (const id of entries.keys()) if (!present.has(id)) entries.delete(id)
  }

  function load (entry: BackendEntry): number {
    return permits.count(entry.id) + entry.unexplained
  }

  function noteRelease (entry: BackendEntry): void {
    entry.releasedAt = entry.releasedAt.filter(at => now() - at <= 2 * loadReportLagMs)
    entry.releasedAt.push(now())
  }

  function applyLoad (entry: BackendEntry, { report, sentAt }: LoadReport): void {
    const records = permits.of(entry.id)
    const running = records.filter(({ reclaimAt, firstByteAt }) => reclaimAt === undefined && firstByteAt <= sentAt - loadReportLagMs)
    const unaccounted = Math.max(0, report.inFlight - running.length)
    const reclaimable = records.filter(({ reclaimAt }) => reclaimAt !== undefined && reclaimAt <= sentAt)
    for (const record of reclaimable.slice(unaccounted)) permits.remove(record.id)
    entry.unexplained = unexplainedOf(entry, report.inFlight, unaccounted, sentAt)
  }

  /**
   * Requests that no permit explains. Before the first verification it is all that is not accounted for. Later it
   * rises by what exceeds all permits, and falls only when the unaccounted load does.
   */
  function unexplainedOf (entry: BackendEntry, reported: number, unaccounted: number, sentAt: number): number {
    if (!entry.verified) return unaccounted
    const recent = entry.releasedAt.filter(at => at >= sentAt - loadReportLagMs).length
    const excess = reported - permits.count(entry.id) - recent
    return Math.min(unaccounted, Math.max(entry.unexplained, excess))
  }

  return {
    refresh,
    get: id => entries.get(id),
    all: () => [...entries.values()],
    serving: ({ version, service }) => [...entries.values()].filter(({ spec }) =>
      version === undefined ? service !== undefined && spec.service === service : spec.versions.includes(version)),
    load,
    noteRelease,
    applyLoad
  }
}

function createEntry (id: BackendServerId, spec: BackendServer): BackendEntry {
  return {
    id,
    spec,
    warmth: createWarmth(),
    promptProgress: createPromptProgress(),
    verified: false,
    unexplained: 0,
    releasedAt: [],
    probing: false,
    probedAt: -Infinity,
    failures: 0,
    unreachable: false
  }
}
