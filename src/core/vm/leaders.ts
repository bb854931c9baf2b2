/** Runs one admission scheduler for each data centre whose lease this VM holds. */
import { createScheduler, type HealthProbe, type LeaderSummary, type Scheduler } from '../admission/index.ts'
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import type { DataCentreId } from '../ids/index.ts'
import type { LeaderLease } from '../lease/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Quarantine } from '../quarantine/index.ts'
import type { Settings, VmIdentity } from '../settings/index.ts'

export interface LeaderSchedulers {
  scheduler(dataCentre: DataCentreId): Scheduler | undefined
  schedulers(): Scheduler[]
  start(): void
  stop(): void
}

export interface LeaderSchedulersOptions {
  identity: VmIdentity
  lease: LeaderLease
  view: ConfigView
  membership: Membership
  quarantine: Quarantine
  healthProbe: HealthProbe
  /** Latest summaries of all leaders, for limits that apply across data centres. */
  summaries: () => LeaderSummary[]
  settings: Settings['admission']
  clock: Clock
  metrics: Metrics
  log: Log
}

export function createLeaderSchedulers (options: LeaderSchedulersOptions): LeaderSchedulers {
  const { identity, lease, view, membership, quarantine, healthProbe, summaries, settings, clock, metrics, log } = options
  const schedulers = new Map<DataCentreId, Scheduler>()
  let isStarted = false

  function startScheduler (dataCentre: DataCentreId, epoch: number): void {
    stopScheduler(dataCentre)
    const scheduler = createScheduler({
      identity,
      dataCentre,
      epoch,
      isLeaseHeld: () => lease.heldEpoch(dataCentre) === epoch,
      view,
      healthProbe,
      quarantine,
      peerSummaries: () => summaries().filter(summary => summary.dataCentre !== dataCentre),
      permitStartMs: settings.permit_start_ms,
      loadReportLagMs: settings.load_report_lag_ms,
      maxQueue: settings.max_queue,
      retryBudgetShare: settings.retry_budget_share,
      clock,
      metrics,
      log
    })
    schedulers.set(dataCentre, scheduler)
    scheduler.start()
  }

  function stopScheduler (dataCentre: DataCentreId): void {
    schedulers.get(dataCentre)?.stop()
    schedulers.delete(dataCentre)
  }

  return {
    scheduler: dataCentre => schedulers.get(dataCentre),
    schedulers: () => [...schedulers.values()],
    start () {
      if (isStarted) return
      isStarted = true
      lease.onAcquired(startScheduler)
      lease.onLost(stopScheduler)
      membership.onChange(member => {
        if (member.state !== 'dead') return
        for (const scheduler of schedulers.values()) scheduler.handleMemberDeath(member.vm)
      })
    },
    stop () {
      for (const dataCentre of schedulers.keys()) stopScheduler(dataCentre)
    }
  }
}

/**
 * Whether this VM should try to acquire the lease of the data centre: its own, or another one of its region that has no
 * available VM. Data centres without a VM are distributed over the available VMs by their position in the sorted list.
 */
export function isPreferredLeader (dataCentre: DataCentreId, { identity, membership, dataCentres }: {
  identity: VmIdentity
  membership: Membership
  dataCentres: DataCentreId[]
}): boolean {
  if (dataCentre === identity.dataCentre) return true
  const available = membership.available()
  if (available.some(member => member.dataCentre === dataCentre)) return false
  const vmIds = available.map(member => member.vm).sort()
  const position = Math.max(0, [...dataCentres].sort().indexOf(dataCentre))
  return vmIds[position % vmIds.length] === identity.vm
}
