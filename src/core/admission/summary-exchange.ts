/**
 * Exchange of leader summaries. Sends those of this VM's schedulers at most every 250 ms when they change and every 2 s
 * otherwise, and keeps the latest summary of each data centre. Under load the counts change all the time, so only a count
 * that doubles, halves, or changes from or to zero is treated as a change; sending every change to all VMs of a region
 * would exceed their control budget. A leader that loses its lease reports this in a last summary.
 */
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import type { DataCentreId, VmId } from '../ids/index.ts'
import type { LeaderLease } from '../lease/types.ts'
import type { Membership } from '../membership/types.ts'
import type { PeerLinks } from '../peer/types.ts'
import type { VmIdentity } from '../settings/index.ts'
import { SUMMARY_IDLE_PERIOD_MS, SUMMARY_MAX_AGE_MS } from './constants.ts'
import type { LeaderSummary, Scheduler } from './types.ts'

export interface ReceivedSummary {
  summary: LeaderSummary
  receivedAt: number
}

export interface SummaryExchange {
  /** Latest summary of each data centre, without stale ones. */
  fresh(): LeaderSummary[]
  /** Latest summary of a data centre, regardless of its age. */
  latest(dataCentre: DataCentreId): ReceivedSummary | undefined
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
  /** Called when the first summary of a new leader epoch arrives. */
  onLeader: (dataCentre: DataCentreId) => void
}

export function createSummaryExchange (options: SummaryExchangeOptions): SummaryExchange {
  const { identity, peers, lease, membership, view, schedulers, clock, onLeader } = options
  const received = new Map<DataCentreId, ReceivedSummary>()
  const sent = new Map<DataCentreId, { text: string, at: number }>()

  function accept (summary: LeaderSummary): void {
    const { dataCentre, leader, epoch } = summary
    const previous = received.get(dataCentre)
    if (previous && previous.summary.epoch > epoch) return
    received.set(dataCentre, { summary, receivedAt: clock.now() })
    if (summary.leaseLost) return
    lease.observe({ dataCentre, holder: leader, epoch })
    if (previous?.summary.epoch !== epoch) onLeader(dataCentre)
  }

  function broadcast (summary: LeaderSummary): void {
    for (const { vm } of membership.members()) {
      if (vm !== identity.vm) peers.notify(vm, 'leader.summary', summary)
    }
  }

  function sendIfDue (dataCentre: DataCentreId, scheduler: Scheduler): void {
    const summary = scheduler.summary()
    accept(summary)
    const text = JSON.stringify(summary, roundCounts)
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
    const latest = received.get(dataCentre)
    if (latest?.summary.leader !== identity.vm) return
    latest.summary = { ...latest.summary, granting: false, leaseLost: true }
    broadcast(latest.summary)
  })

  return {
    fresh: () => [...received.values()]
      .filter(({ receivedAt }) => clock.now() - receivedAt < SUMMARY_MAX_AGE_MS)
      .map(({ summary }) => summary),
    latest: dataCentre => received.get(dataCentre),
    send () {
      for (const { name } of view.list('DataCentre')) {
        const dataCentre = name as DataCentreId
        const scheduler = schedulers(dataCentre)
        if (scheduler && lease.isHeld(dataCentre)) sendIfDue(dataCentre, scheduler)
      }
    }
  }
}

/** Replaces a count by its binary order of magnitude for the comparison with the last summary sent. */
function roundCounts (key: string, value: unknown): unknown {
  return typeof value === 'number' && key !== 'epoch' ? Math.ceil(Math.log2(value + 1)) : value
}
