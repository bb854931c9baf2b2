/**
 * Exchanges between VMs the load that each of them has placed on each backend server. Without it, several VMs would
 * place long prompts on the same backend server, because each would see only its own load. In a small fleet each VM
 * reports to every other one. In a large fleet each VM reports to a collector, which sums the reports, exchanges the
 * totals with the other collectors and responds with the load of all other VMs; the number of messages of a VM that is
 * not a collector is then independent of the size of the fleet. The reports also carry evidence about prompts and
 * backend servers that only some VMs have seen.
 */
import type { ReportedDepartures } from '../backend-pool/announced-departures.ts'
import type { ReportedBrittle } from '../backend-pool/brittle-limits.ts'
import type { ReportedLimits } from '../backend-pool/named-limits.ts'
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { UsageReport } from '../fair-share/team-usage.ts'
import type { BackendServerId, VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Audience, PaceReport } from '../pacing/index.ts'
import type { PartEvidence } from '../quarantine/request-parts.ts'
import type { ReachabilityReport } from '../reachability/index.ts'
import type { RefusalReport } from '../resource-limits/index.ts'
import type { TrialSessionsReport } from '../version-trial/index.ts'
import { sumUsage } from './usage-sum.ts'
import { COLLECT_TIMEOUT_MS, MAX_DIRECT_VMS, MAX_REPORT_AGE_MS, PERIODS_PER_COLLECTION, REPORT_PERIOD_MS } from './constants.ts'

/** Load by backend server, in requests; backend servers without load are omitted. */
export type LoadReport = Record<BackendServerId, number>

/** What a VM reports to another one. */
export interface VmReport { loads: LoadReport, evidence?: FleetEvidence, configVersion?: number, usage?: UsageReport }

/** Evidence that one VM has and all must know; receivers pass on what is new to them. */
export interface FleetEvidence { promptParts?: PartEvidence, limits?: ReportedLimits, brittle?: ReportedBrittle, departures?: ReportedDepartures, paces?: PaceReport, trialSessions?: TrialSessionsReport, oldSessions?: TrialSessionsReport, refusals?: RefusalReport, reachability?: ReachabilityReport }

/** The VMs that sum the reports of a large fleet. */
export interface Collectors {
  isCollector: boolean
  /** The other collectors, in order of preference of this VM. */
  others: readonly VmId[]
}

export interface LoadExchangeOptions {
  /** Live VMs, including this one. */
  vms: () => readonly VmId[]
  self: VmId
  ownLoad: () => LoadReport
  /** Usage by team, reported in each period; `undefined` if teams do not share capacity fairly. */
  ownUsage?: () => UsageReport | undefined
  /** Recent evidence for the other VMs, if any; the audience is `collected` in the response of a collector. */
  recentEvidence?: (audience: Audience) => FleetEvidence | undefined
  onEvidence?: (evidence: FleetEvidence, from: VmId) => void
  /** Version of the configuration that is in force on this VM. */
  configVersion?: () => number | undefined
  /** Called with the version that is in force on another VM. */
  onConfigVersion?: (from: VmId, version: number) => void
  collectors: () => Collectors
  send(to: VmId, report: VmReport): void
  /** Reports to a collector and resolves with the load of all other VMs; rejects when the collector does not respond in time. */
  collect(to: VmId, report: VmReport, timeoutMs: number): Promise<VmReport>
  clock: Clock
  metrics: Metrics
}

export interface LoadExchange {
  /** Records a VM's report or another collector's total. Returns the load of all VMs except the sender and the evidence in a large fleet, and an empty report in a small one. */
  accept(from: VmId, report: VmReport): VmReport
  /** Last reported load that the other VMs have placed on a backend server. */
  othersLoad(backend: BackendServerId): number
  /** Usage of the services by the other VMs, as last reported. */
  othersUsage(): UsageReport
  start(): void
  stop(): void
}

export function createLoadExchange (options: LoadExchangeOptions): LoadExchange {
  const { vms, self, ownLoad, ownUsage = () => undefined, recentEvidence = () => undefined, onEvidence = () => {}, configVersion = () => undefined, onConfigVersion = () => {}, collectors, send, collect, clock, metrics } = options
  const reports = new Map<VmId, { report: LoadReport, usage: UsageReport | undefined, atMs: number }>()
  let loadSums = new Map<BackendServerId, number>()
  /** The latest response of a collector. */
  let collectedLoads: { loads: LoadReport, usage: UsageReport | undefined, atMs: number } | undefined
  /** Whether a report to a collector is in progress. */
  let isReporting = false
  let periodCount = 0
  /** VMs that have got an empty report since the last load; further empty reports are not sent to them. */
  let idleReceivers: readonly VmId[] = []
  let cancelTimer: TimerCancel | undefined

  function addToSums (report: LoadReport, sign: 1 | -1): void {
    for (const [id, load] of Object.entries(report)) loadSums.set(id as BackendServerId, (loadSums.get(id as BackendServerId) ?? 0) + sign * load)
  }

  function recomputeSums (): void {
    loadSums = new Map()
    for (const [vm, { report, atMs }] of reports) {
      if (clock.now() - atMs > MAX_REPORT_AGE_MS) reports.delete(vm)
      else addToSums(report, 1)
    }
  }

  function runPeriod (): void {
    recomputeSums()
    const others = vms().filter(vm => vm !== self)
    if (others.length <= MAX_DIRECT_VMS) return sendToAll(others)
    if (++periodCount % PERIODS_PER_COLLECTION !== 0) return
    const { isCollector, others: collectorVms } = collectors()
    if (!isCollector) return void reportToCollector(collectorVms)
    collectedLoads = undefined
    const excluded = new Set(collectorVms)
    const total = toReport(totalLoad(excluded), totalUsage(excluded), 'computing')
    for (const vm of collectorVms) send(vm, total)
  }

  function sendToAll (others: readonly VmId[]): void {
    collectedLoads = undefined
    const report = toReport(ownLoad(), ownUsage(), 'computing')
    // Usage is also reported without any, because VMs without reports take this one for cut off.
    const isIdle = Object.keys(report.loads).length === 0 && !report.evidence && !report.usage
    for (const vm of others) if (!isIdle || !idleReceivers.includes(vm)) send(vm, report)
    idleReceivers = isIdle ? others : []
  }

  async function reportToCollector (collectorVms: readonly VmId[]): Promise<void> {
    if (isReporting) return
    isReporting = true
    for (const vm of collectorVms) {
      try {
        const response = await collect(vm, toReport(ownLoad(), ownUsage(), 'computing'), COLLECT_TIMEOUT_MS)
        collectedLoads = { loads: response.loads, usage: response.usage, atMs: clock.now() }
        acceptFacts(vm, response)
        break
      } catch {
        metrics.count('retries', 'load_report')
      }
    }
    isReporting = false
  }

  function toReport (loads: LoadReport, usage: UsageReport | undefined, audience: Audience): VmReport {
    const evidence = recentEvidence(audience)
    const version = configVersion()
    return { loads, ...evidence && { evidence }, ...version !== undefined && { configVersion: version }, ...usage && { usage } }
  }

  function acceptFacts (from: VmId, { evidence, configVersion: version }: VmReport): void {
    if (evidence) onEvidence(evidence, from)
    if (version !== undefined) onConfigVersion(from, version)
  }

  /** Load of this VM and of all VMs that reported to it, except the excluded ones. */
  function totalLoad (excluded: ReadonlySet<VmId>): LoadReport {
    const total = new Map<BackendServerId, number>(Object.entries(ownLoad()) as [BackendServerId, number][])
    for (const [vm, entry] of reports) {
      if (excluded.has(vm)) continue
      for (const [id, load] of Object.entries(entry.report)) total.set(id as BackendServerId, (total.get(id as BackendServerId) ?? 0) + load)
    }
    return Object.fromEntries([...total].map(([id, load]) => [id, Math.round(load * 100) / 100])) as LoadReport
  }

  function reportedUsage (excluded: ReadonlySet<VmId>): UsageReport {
    return sumUsage([...reports].flatMap(([vm, { usage, atMs }]) => usage && !excluded.has(vm) ? [{ usage, ageMs: clock.now() - atMs }] : []))
  }

  /** Usage by this VM and by all VMs that reported to it, except the excluded ones; `undefined` if it is not reported. */
  function totalUsage (excluded: ReadonlySet<VmId>): UsageReport | undefined {
    const own = ownUsage()
    return own && sumUsage([{ usage: own, ageMs: 0 }, { usage: reportedUsage(excluded), ageMs: 0 }])
  }

  return {
    accept (from, vmReport) {
      const { loads: report } = vmReport
      acceptFacts(from, vmReport)
      const previous = reports.get(from)?.report
      reports.set(from, { report, usage: vmReport.usage, atMs: clock.now() })
      if (previous) addToSums(previous, -1)
      addToSums(report, 1)
      return vms().length - 1 > MAX_DIRECT_VMS ? toReport(totalLoad(new Set([from])), totalUsage(new Set([from])), 'collected') : { loads: {} }
    },
    othersLoad (backend) {
      if (collectedLoads && clock.now() - collectedLoads.atMs <= MAX_REPORT_AGE_MS) return collectedLoads.loads[backend] ?? 0
      return Math.max(0, loadSums.get(backend) ?? 0)
    },
    othersUsage () {
      const { usage, atMs = -Infinity } = collectedLoads ?? {}
      const ageMs = clock.now() - atMs
      return ageMs <= MAX_REPORT_AGE_MS ? sumUsage(usage ? [{ usage, ageMs }] : []) : reportedUsage(new Set([self]))
    },
    start () { cancelTimer = clock.every(REPORT_PERIOD_MS, runPeriod) },
    stop () { cancelTimer?.() }
  }
}
