/**
 * Exchange of leader summaries: sends those of this VM's schedulers when they change, at most every 250 ms, and every
 * 2 s otherwise; keeps the latest of each data centre. Under load the counts change all the time, so a change of a
 * count matters here when it doubles, halves, or becomes or leaves zero; sending every change to all VMs of a region
 * would exceed their control budget. A leader that loses its lease says so in a last summary.
 */
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import type { DataCentreId, VmId } from '../ids/index.ts'
import type { LeaderLease } from '../lease/types.ts'
import type { Membership } from '../membership/types.ts'
import type { PeerLinks } from '../peer/types.ts'
import type { VmIdentity } from '../settings/index.ts'
import { SUMMARY_IDLE_PERIOD_MS, SUMMARY_STALE_MS } from './constants.ts'
import type { LeaderSummary, Scheduler } from './types.ts'

export interface KnownSummary {
  summary: LeaderSummary
  receivedAt: number
}

export interface SummaryExchange {
  /** Latest summary of each data centre that is not stale. */
  fresh(): LeaderSummary[]
  /** Latest summary of a data centre, however old. */
  latest(dataCentre: DataCentreId): KnownSummary | undefined
  /** Sends the summaries of the local schedulers that are due. */
  send(): void
}

export interface SummaryExchangeOptions {
  identity: VmIdentity
  peers: PeerLinks
  lease: LeaderLease
  membership: Membership
  view: ConfigView
  /** Schedulers of the leases that this VM holds. */
  schedulers: (dataCentre: DataCentreId) => Scheduler | undefined
  clock: Clock
  /** Called when a leader of a new epoch is heard of. */
  onLeader: (dataCentre: DataCentreId) => void
}

export function createSummaryExchange (options: SummaryExchangeOptions): SummaryExchange {
  const { identity, peers, lease, membership, view, schedulers, clock, onLeader } = options
  const known = new Map<DataCentreId, KnownSummary>()
  const sent = new Map<DataCentreId, { text: string, at: number }>()

  function accept (summary: LeaderSummary): void {
    const { dataCentre, leader, epoch } = summary
    const before = known.get(dataCentre)
    if (before && before.summary.epoch > epoch) return
    known.set(dataCentre, { summary, receivedAt: clock.now() })
    if (summary.leaseLost) return
    lease.observe({ dataCentre, holder: leader, epoch })
    if (before?.summary.epoch !== epoch) onLeader(dataCentre)
  }

  function broadcast (summary: LeaderSummary): void {
    for (const { vm } of membership.members()) {
      if (vm !== identity.vm) peers.notify(vm, 'leader.summary', summary)
    }
  }

  function sendIfDue (dataCentre: DataCentreId, scheduler: Scheduler): void {
    const summary = scheduler.summary()
    accept(summary)
    const text = JSON.stringify(summary, coarse)
    const last = sent.get(dataCentre)
    if (last?.text === text && clock.now() - last.at < SUMMARY_IDLE_PERIOD_MS) return
    sent.set(dataCentre, { text, at: clock.now() })
    broadcast(summary)
  }

  peers.handle('leader.summary', (body, from: VmId) => {
    const summary = body as LeaderSummary
    if (summary.leader === from) accept(summary)
  })
  lease.onLost(dataCentre => {
    const own = known.get(dataCentre)
    if (own?.summary.leader !== identity.vm) return
    own.summary = { ...own.summary, granting: false, leaseLost: true }
    broadcast(own.summary)
  })

  return {
    fresh: () => [...known.values()]
      .filter(({ receivedAt }) => clock.now() - receivedAt < SUMMARY_STALE_MS)
      .map(({ summary }) => summary),
    latest: dataCentre => known.get(dataCentre),
    send () {
      for (const { name } of view.list('DataCentre')) {
        const dataCentre = name as DataCentreId
        const scheduler = schedulers(dataCentre)
        if (scheduler && lease.isHeld(dataCentre)) sendIfDue(dataCentre, scheduler)
      }
    }
  }
}

/** Replaces a count by its order of magnitude when a summary is compared with the last one sent. */
function coarse (key: string, value: unknown): unknown {
  return typeof value === 'number' && key !== 'epoch' ? Math.ceil(Math.log2(value + 1)) : value
}
