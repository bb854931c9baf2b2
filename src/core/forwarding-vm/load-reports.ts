/** The load reports of this VM: what it tells the other VMs, and where what they tell goes. */
import type { BackendPool } from '../backend-pool/index.ts'
import type { Clock } from '../clock/index.ts'
import type { FairShares } from '../fair-share/index.ts'
import { chooseCollectors } from '../feed-relay/relay-choice.ts'
import type { Fleet } from '../fleet/index.ts'
import type { VmId } from '../ids/index.ts'
import { MAX_DIRECT_VMS } from '../load-exchange/constants.ts'
import { createLoadExchange, type FleetEvidence, type LoadExchange, type VmReport } from '../load-exchange/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Pacing } from '../pacing/index.ts'
import type { PartQuarantine } from '../quarantine/request-parts.ts'
import type { Reachability } from '../reachability/index.ts'
import type { FleetRefusals } from '../resource-limits/index.ts'
import type { VersionTrials } from '../version-trial/index.ts'
import { MIN_REPORTED_LOAD } from './constants.ts'
import type { ForwardingVmSettings } from './types.ts'

export interface LoadReportsOptions {
  settings: Pick<ForwardingVmSettings, 'vm' | 'dataCentre'>
  fleet: Fleet
  pool: BackendPool
  partQuarantine: PartQuarantine
  pacing: Pacing
  trials: Pick<VersionTrials, 'sessionsReport' | 'mergeSessions'>
  refusals: FleetRefusals
  reachability: Pick<Reachability, 'report' | 'merge'>
  /** Default: teams do not share capacity fairly. */
  shares?: FairShares | undefined
  configVersion: () => number | undefined
  onConfigVersion: (from: VmId, version: number) => void
  clock: Clock
  metrics: Metrics
}

export function createLoadReports ({ settings, fleet, pool, partQuarantine, pacing, trials, refusals, reachability, shares, configVersion, onConfigVersion, clock, metrics }: LoadReportsOptions): LoadExchange {
  const currentCollectors = () => chooseCollectors(fleet.available(), { vm: settings.vm, dataCentre: settings.dataCentre })

  /** A collector passes on the samples of the VMs that report to it, but not those of the other collectors. */
  function isRelayedFrom (from: VmId): boolean {
    if (fleet.liveVms().length - 1 <= MAX_DIRECT_VMS) return false
    const { isCollector, others } = currentCollectors()
    return isCollector && !others.includes(from)
  }

  const loads = createLoadExchange({
    vms: () => fleet.liveVms(),
    self: settings.vm,
    ownLoad () {
      const loaded = [...pool.all()].filter(({ load }) => load > MIN_REPORTED_LOAD)
      return Object.fromEntries(loaded.map(backend => [backend.entry.id, Math.round(backend.load * 100) / 100]))
    },
    ownUsage: () => shares?.report(),
    recentEvidence (audience) {
      const promptParts = partQuarantine.recentEvidence()
      const limits = pool.namedLimits.report()
      const hasLimits = Object.keys(limits).length > 0
      const departures = pool.recentDepartures()
      const paces = pacing.report(audience)
      return withoutMissing({
        promptParts, limits: hasLimits ? limits : undefined, brittle: pool.brittle.report(), departures, paces, trialSessions: trials.sessionsReport(audience), oldSessions: trials.sessionsReport(audience, 'old'), refusals: refusals.report(), reachability: reachability.report()
      })
    },
    onEvidence ({ promptParts, limits, brittle, departures, paces, trialSessions, oldSessions, refusals: refusing, reachability: reached }, from) {
      if (promptParts) partQuarantine.merge(promptParts)
      if (limits) pool.namedLimits.merge(limits)
      if (brittle) pool.brittle.merge(brittle)
      if (departures) pool.mergeDepartures(departures)
      if (paces) pacing.merge(paces, { isRelay: isRelayedFrom(from) })
      if (trialSessions) trials.mergeSessions(trialSessions)
      if (oldSessions) trials.mergeSessions(oldSessions, 'old')
      if (refusing) refusals.merge(refusing)
      if (reached) reachability.merge(reached)
    },
    configVersion,
    onConfigVersion,
    collectors: currentCollectors,
    send: (to, report) => fleet.peers.notify(to, 'load.report', report),
    collect: (to, report, timeoutMs) => fleet.peers.request(to, 'load.report', report, { timeoutMs }),
    clock,
    metrics
  })
  fleet.peers.handle('load.report', (report, from) => loads.accept(from, report as VmReport))
  return loads
}

/** Evidence without the kinds of which there is none; `undefined` if nothing is left. */
function withoutMissing (evidence: { [Kind in keyof FleetEvidence]: FleetEvidence[Kind] | undefined }): FleetEvidence | undefined {
  const present = Object.entries(evidence).filter(([, value]) => value !== undefined)
  return present.length > 0 ? Object.fromEntries(present) as FleetEvidence : undefined
}
