/**
 * Decides for each service whether this VM is cut off from it: its own connections to several backend servers fail in
 * a row, while other VMs still open connections to the same service. It answers partitions between some VMs and all
 * backend servers, where the requests of this VM can still be served through another one. If nobody reaches the
 * service, it is gone, and no VM counts as cut off.
 */
import type { BackendServerId, ServiceId, VmId } from '../ids/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import {
  CHECK_PERIOD_MS, DECISION_TIME_MS, MAX_CUT_OFF_AGE_MS, MAX_DISCARDS_OF_ONE_SERVER, MAX_EVIDENCE_AGE_MS, MAX_FAILURE_GAP_MS, MAX_PROBES_TO_RETURN, MAX_REPORT_DELAY_MS, MAX_REPORTED_SERVICES, MAX_REPORTED_VMS, MIN_CHECKED_SERVERS, MIN_FAILED_SERVERS,
  MIN_FAILURES_OF_ONE_SERVER, PROBES_TO_RETURN, STATEMENT_MEMORY_MS, UNSTABLE_AFTER_RETURN_MS
} from './constants.ts'

/**
 * What the VMs know of the ways to the services. The stamp of a statement grows with each new one of the same VM. A
 * copy of a statement looks newer with each hop by the delay of the hop; the stamp shows that it is a copy.
 */
export interface ReachabilityReport {
  /** By service: the last connection that a VM has opened, with its age in ms, the VM and its stamp. */
  reached?: Record<ServiceId, readonly [ageMs: number, vm: VmId, stamp: number]>
  /** VMs that are cut off: the age in ms of what is known, the services and the stamp of the VM. */
  cutOff?: Record<VmId, readonly [ageMs: number, services: readonly ServiceId[], stamp: number]>
}

/** When a VM has stated something, as far as this VM knows. */
interface Statement { atMs: number, stamp: number }

export interface Reachability {
  /** Records whether a connection of this VM to a backend server was opened. */
  recordConnection(service: ServiceId, backendServer: BackendServerId, isOpen: boolean): void
  /** Whether this VM is cut off from a service that other VMs reach. */
  isCutOff(service: ServiceId): boolean
  /** Whether connections to several backend servers have failed since one was opened, so that a failure says nothing about a single one. */
  isDoubtful(service: ServiceId): boolean
  /** Time that the decision whether this VM is cut off may still take, in milliseconds; 0 if it is clear. */
  doubtMs(service: ServiceId): number
  /** Whether another VM says that it is cut off, from a service or from any. */
  isVmCutOff(vm: VmId, service?: ServiceId): boolean
  /** Services that this VM is cut off from. */
  lostServices(): ServiceId[]
  /** Records the result of a connection that was opened to find out whether the service can be reached again. */
  recordProbe(service: ServiceId, backendServer: BackendServerId, isOpen: boolean): void
  /** What is known, for the other VMs; `undefined` if it is nothing. */
  report(): ReachabilityReport | undefined
  /** Takes over another VM's report; ignores what cannot be read. */
  merge(report: unknown): void
}

export interface ReachabilityOptions {
  self: VmId
  /** Number of backend servers of a service that this VM may use. */
  serverCount: (service: ServiceId) => number
  /** Called when this VM reaches a service again. Default: ignored. */
  onReturn?: (service: ServiceId) => void
  /** Called when several backend servers have failed and more evidence would decide; `failed` have failed already. Default: ignored. */
  onDoubt?: (service: ServiceId, failed: ReadonlySet<BackendServerId>) => void
  clock: Pick<Clock, 'now' | 'wallMs'>
  log: Log
  metrics: Metrics
}

interface ServiceState {
  /** Monotonic time of this VM's last successful connection. */
  openedMs: number
  /** The last connection of each other VM. */
  others: Map<VmId, Statement>
  /** The run of failures and the backend servers in it; `undefined` after a success. */
  failures: { sinceMs: number, lastMs: number, count: number, backendServers: Set<BackendServerId> } | undefined
  /** Whether this VM was cut off at the last check. */
  wasCutOff: boolean
  probes: ProbeResults
  probesToReturn: number
  returnedMs: number
  /** Monotonic time of the last check of the backend servers that had not failed. */
  checkedMs: number
}

/** Results of probes since the VM is cut off. */
interface ProbeResults {
  /** Successful ones since the last that failed, and their backend servers. */
  count: number
  backendServers: Set<BackendServerId>
  /** How often a failure at a backend server has discarded successes at others since it succeeded itself. */
  discards: Map<BackendServerId, number>
}

const createProbeResults = (): ProbeResults => ({ count: 0, backendServers: new Set(), discards: new Map() })

export function createReachability ({ self, serverCount, onReturn = () => {}, onDoubt = () => {}, clock, log, metrics }: ReachabilityOptions): Reachability {
  const services = new Map<ServiceId, ServiceState>()
  /** What other VMs have said that they are cut off from, and when. */
  const cutOffVms = new Map<VmId, Statement & { services: ReadonlySet<ServiceId> }>()
  /** By the wall clock at the start, so that stamps also grow over a restart, and do not fall when the wall clock is set back. */
  const firstStamp = clock.wallMs() - clock.now()
  metrics.gaugeBy('cut_off', 'Whether this VM is cut off from a service', 'service', () => [...services.keys()].map(service => [service, isCutOff(service) ? 1 : 0] as const))

  function stateOf (service: ServiceId): ServiceState {
    const known = services.get(service)
    if (known) return known
    const created: ServiceState = {
      openedMs: -Infinity, others: new Map(), failures: undefined, wasCutOff: false, probes: createProbeResults(), probesToReturn: PROBES_TO_RETURN, returnedMs: -Infinity, checkedMs: -Infinity
    }
    services.set(service, created)
    return created
  }

  function stampOf (openedMs: number): number {
    return Math.round(firstStamp + openedMs)
  }

  function isDoubtful (service: ServiceId): boolean {
    const { failures, wasCutOff } = services.get(service) ?? {}
    if (!failures) return false
    // While the VM is cut off, probes continue the run.
    if (!wasCutOff && isTooOld(failures)) return false
    if (failures.backendServers.size >= MIN_FAILED_SERVERS) return true
    return serverCount(service) <= 1 && failures.count >= MIN_FAILURES_OF_ONE_SERVER
  }

  function isTooOld ({ lastMs }: { lastMs: number }): boolean {
    return clock.now() - lastMs > MAX_FAILURE_GAP_MS
  }

  /** The last connection that another VM has opened. */
  function latestOther ({ others }: ServiceState): (Statement & { vm: VmId }) | undefined {
    let latest: Statement & { vm: VmId } | undefined
    for (const [vm, { atMs, stamp }] of others) if (!latest || atMs > latest.atMs) latest = { vm, atMs, stamp }
    return latest
  }

  /** The state follows from the evidence, so that it ends by itself when that becomes too old. */
  function isCutOff (service: ServiceId): boolean {
    const state = services.get(service)
    if (!state) return false
    const isLost = isDoubtful(service) && (state.wasCutOff || hasCheckedEnough(service, state.failures!)) && hasEvidence(state, state.failures!)
    if (isLost !== state.wasCutOff) recordChange(service, state, isLost)
    return isLost
  }

  /** Whether so many backend servers have failed that it cannot be they. */
  function hasCheckedEnough (service: ServiceId, { backendServers }: { backendServers: ReadonlySet<BackendServerId> }): boolean {
    return backendServers.size >= Math.min(MIN_CHECKED_SERVERS, serverCount(service))
  }

  function checkIfDue (service: ServiceId, state: ServiceState): void {
    if (!isDoubtful(service) || isCutOff(service) || clock.now() - state.checkedMs < CHECK_PERIOD_MS) return
    state.checkedMs = clock.now()
    onDoubt(service, state.failures!.backendServers)
  }

  /** Whether another VM has opened a connection since the failures began, and lately. */
  function hasEvidence (state: ServiceState, { sinceMs }: { sinceMs: number }): boolean {
    const openedMs = latestOther(state)?.atMs ?? -Infinity
    return clock.now() - openedMs <= MAX_EVIDENCE_AGE_MS && openedMs > sinceMs + MAX_REPORT_DELAY_MS
  }

  function recordChange (service: ServiceId, state: ServiceState, isLost: boolean): void {
    state.wasCutOff = isLost
    state.probes = createProbeResults()
    metrics.count('reachability', isLost ? 'cut_off' : 'connected')
    if (!isLost) return log.info('VM is no longer cut off from a service', { service, reason: state.failures ? 'no other VM reaches it' : 'connected' })
    const isUnstable = clock.now() - state.returnedMs < UNSTABLE_AFTER_RETURN_MS
    state.probesToReturn = isUnstable ? Math.min(MAX_PROBES_TO_RETURN, state.probesToReturn * 2) : PROBES_TO_RETURN
    log.warn('VM is cut off from a service that other VMs reach', {
      service, failedServers: state.failures!.backendServers.size, failingForMs: Math.round(clock.now() - state.failures!.sinceMs), evidenceAgeMs: Math.round(clock.now() - latestOther(state)!.atMs)
    })
  }

  function recordOpen (service: ServiceId, state: ServiceState): void {
    const wasCutOff = state.wasCutOff
    state.openedMs = clock.now()
    state.failures = undefined
    if (!wasCutOff) return
    state.returnedMs = clock.now()
    recordChange(service, state, false)
    onReturn(service)
  }

  function recordFailure (state: ServiceState, backendServer: BackendServerId): void {
    const nowMs = clock.now()
    if (state.failures && !state.wasCutOff && isTooOld(state.failures)) state.failures = undefined
    state.failures ??= { sinceMs: nowMs, lastMs: nowMs, count: 0, backendServers: new Set() }
    state.failures.lastMs = nowMs
    state.failures.count++
    state.failures.backendServers.add(backendServer)
  }

  /** A failed probe discards the successes before it, unless its backend server fails again and again while others succeed. */
  function recordFailedProbe ({ probes }: ServiceState, backendServer: BackendServerId): void {
    const discards = probes.discards.get(backendServer) ?? 0
    if (discards >= MAX_DISCARDS_OF_ONE_SERVER) return
    if (probes.count > 0) probes.discards.set(backendServer, discards + 1)
    probes.count = 0
    probes.backendServers.clear()
  }

  function hasEnoughProbes ({ probes, probesToReturn }: ServiceState, service: ServiceId): boolean {
    const goneServers = [...probes.discards.values()].filter(discards => discards >= MAX_DISCARDS_OF_ONE_SERVER).length
    return probes.count >= probesToReturn && probes.backendServers.size >= Math.min(2, serverCount(service) - goneServers)
  }

  /** VMs that are cut off, this one included, the most recent statements first. */
  function currentCutOffs (): [VmId, [number, readonly ServiceId[], number]][] {
    const own = lostServices()
    const statements = new Map(cutOffVms)
    if (own.length > 0) statements.set(self, { atMs: clock.now(), stamp: stampOf(clock.now()), services: new Set(own) })
    return [...statements]
      .filter(([, { atMs }]) => clock.now() - atMs <= MAX_CUT_OFF_AGE_MS)
      .sort(([, a], [, b]) => b.atMs - a.atMs)
      .slice(0, MAX_REPORTED_VMS)
      .map(([vm, { atMs, stamp, services: lost }]) => [vm, [Math.round(clock.now() - atMs), [...lost], stamp]])
  }

  /** Forgets what is too old to be in a report of any VM, and services that no VM has reached since. */
  function forgetOld (): void {
    const isOld = (atMs: number) => clock.now() - atMs > STATEMENT_MEMORY_MS
    const deleteOld = (statements: Map<VmId, Statement>) => { for (const [vm, { atMs }] of statements) if (isOld(atMs)) statements.delete(vm) }
    deleteOld(cutOffVms)
    for (const [service, { others, openedMs, failures }] of services) {
      deleteOld(others)
      if (others.size === 0 && isOld(openedMs) && (!failures || isOld(failures.lastMs))) services.delete(service)
    }
  }

  function lostServices (): ServiceId[] {
    return [...services.keys()].filter(isCutOff)
  }

  function mergeReached (reached: unknown): void {
    for (const [service, known] of Object.entries(reached ?? {}).slice(0, MAX_REPORTED_SERVICES) as [ServiceId, unknown][]) {
      if (!Array.isArray(known)) continue
      const [ageMs, vm, stamp] = known as [unknown, unknown, unknown]
      // What this VM has reported itself comes back through the others.
      if (!isAge(ageMs, MAX_EVIDENCE_AGE_MS) || typeof vm !== 'string' || vm === self || !isStamp(stamp)) continue
      const { others } = stateOf(service)
      const statement = { atMs: clock.now() - ageMs, stamp }
      if (isNewer(statement, others.get(vm as VmId))) others.set(vm as VmId, statement)
    }
  }

  function mergeCutOffs (cutOff: unknown): void {
    for (const [vm, known] of Object.entries(cutOff ?? {}).slice(0, MAX_REPORTED_VMS) as [VmId, unknown][]) {
      if (vm === self || !Array.isArray(known)) continue
      const [ageMs, lost, stamp] = known as [unknown, unknown, unknown]
      if (!isAge(ageMs, MAX_CUT_OFF_AGE_MS) || !isStamp(stamp) || !Array.isArray(lost) || !lost.every(service => typeof service === 'string')) continue
      const statement = { atMs: clock.now() - ageMs, stamp, services: new Set(lost.slice(0, MAX_REPORTED_SERVICES) as ServiceId[]) }
      if (isNewer(statement, cutOffVms.get(vm))) cutOffVms.set(vm, statement)
    }
  }

  return {
    recordConnection (service, backendServer, isOpen) {
      const state = stateOf(service)
      if (!isOpen) {
        recordFailure(state, backendServer)
        return checkIfDue(service, state)
      }
      // While cut off, only probes decide, so that one connection through a bad link does not end the state.
      if (!isCutOff(service)) recordOpen(service, state)
    },
    isCutOff,
    isDoubtful,
    doubtMs (service) {
      const failures = services.get(service)?.failures
      return failures && !isCutOff(service) ? Math.max(0, failures.sinceMs + DECISION_TIME_MS - clock.now()) : 0
    },
    isVmCutOff (vm, service) {
      if (vm === self) return service === undefined ? lostServices().length > 0 : isCutOff(service)
      const known = cutOffVms.get(vm)
      if (!known || clock.now() - known.atMs > MAX_CUT_OFF_AGE_MS) return false
      return service === undefined ? known.services.size > 0 : known.services.has(service)
    },
    lostServices,
    recordProbe (service, backendServer, isOpen) {
      const state = stateOf(service)
      if (!isOpen) {
        recordFailedProbe(state, backendServer)
        return recordFailure(state, backendServer)
      }
      const { probes } = state
      probes.count++
      probes.backendServers.add(backendServer)
      probes.discards.delete(backendServer)
      if (hasEnoughProbes(state, service)) recordOpen(service, state)
    },
    report () {
      const reached = [...services].flatMap(([service, state]) => {
        const other = latestOther(state)
        const { vm, atMs, stamp } = other && other.atMs > state.openedMs ? other : { vm: self, atMs: state.openedMs, stamp: stampOf(state.openedMs) }
        const ageMs = Math.round(clock.now() - atMs)
        return ageMs <= MAX_EVIDENCE_AGE_MS ? [[service, [ageMs, vm, stamp]] as const] : []
      })
      const cutOffs = currentCutOffs()
      forgetOld()
      if (reached.length === 0 && cutOffs.length === 0) return undefined
      return { ...reached.length > 0 && { reached: Object.fromEntries(reached) }, ...cutOffs.length > 0 && { cutOff: Object.fromEntries(cutOffs) } }
    },
    merge (report) {
      if (typeof report !== 'object' || report === null) return
      const { reached, cutOff } = report as Partial<Record<keyof ReachabilityReport, unknown>>
      mergeReached(reached)
      mergeCutOffs(cutOff)
    }
  }
}

/** Whether a statement is newer than the one that is known, or a copy of it that came by a faster way and has its time more exactly. */
function isNewer ({ atMs, stamp }: Statement, known: Statement | undefined): boolean {
  return !known || stamp > known.stamp || (stamp === known.stamp && atMs < known.atMs)
}

function isStamp (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value)
}

function isAge (value: unknown, maxMs: number): value is number {
  return typeof value === 'number' && value >= 0 && value <= maxMs
}
