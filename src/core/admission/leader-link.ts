/**
 * Way to the leader of a data centre: the scheduler of this VM when it leads, otherwise messages to the VM that does.
 * Also answers the messages that other VMs send to the schedulers of this one.
 */
import type { DataCentreId, VmId } from '../ids/index.ts'
import type { LeaderLease } from '../lease/types.ts'
import type { PeerLinks } from '../peer/types.ts'
import type { VmIdentity } from '../settings/index.ts'
import { DEFAULT_RETRY_AFTER_MS } from './constants.ts'
import type { Acknowledgement, PermitAskMessage, PermitReport, PermitReportMessage, PermitSyncMessage } from './messages.ts'
import type { PermitAnswer, PermitRequest, PermitSync, Scheduler } from './types.ts'

export interface LeaderLink {
  leader: VmId
  epoch: number
  request(ask: string, request: PermitRequest, timeoutMs: number): Promise<PermitAnswer>
  report(report: PermitReport): Promise<Acknowledgement>
  sync(sync: PermitSync): Promise<Acknowledgement>
}

export interface LeaderLinkOptions {
  identity: VmIdentity
  peers: PeerLinks
  lease: LeaderLease
  schedulers: (dataCentre: DataCentreId) => Scheduler | undefined
}

/** Link to the known leader of the data centre; undefined when none is known. */
export function findLeaderLink (dataCentre: DataCentreId, options: LeaderLinkOptions): LeaderLink | undefined {
  const { identity, lease, schedulers } = options
  const scheduler = schedulers(dataCentre)
  const heldEpoch = lease.heldEpoch(dataCentre)
  if (scheduler && heldEpoch !== undefined) return localLink(scheduler, identity.vm, heldEpoch)
  const state = lease.leader(dataCentre)
  if (!state || state.holder === undefined || state.holder === identity.vm) return undefined
  return remoteLink(dataCentre, state.holder, state.epoch, options.peers)
}

function localLink (scheduler: Scheduler, vm: VmId, epoch: number): LeaderLink {
  return {
    leader: vm,
    epoch,
    request: (ask, request) => scheduler.request(request, vm, ask),
    report: async report => {
      applyReport(scheduler, report, vm)
      return { accepted: true }
    },
    sync: async sync => {
      scheduler.sync(sync)
      return { accepted: true }
    }
  }
}

function remoteLink (dataCentre: DataCentreId, leader: VmId, epoch: number, peers: PeerLinks): LeaderLink {
  return {
    leader,
    epoch,
    request (ask, request, timeoutMs) {
      const body: PermitAskMessage = { dataCentre, ask, request }
      return peers.request<PermitAnswer>(leader, 'permit.request', body, { timeoutMs })
    },
    report (report) {
      const body: PermitReportMessage = { dataCentre, epoch, report }
      return peers.request<Acknowledgement>(leader, 'permit.release', body)
    },
    sync (sync) {
      const body: PermitSyncMessage = { dataCentre, epoch, sync }
      return peers.request<Acknowledgement>(leader, 'permit.sync', body)
    }
  }
}

function applyReport (scheduler: Scheduler, { releases, firstBytes, abandoned }: PermitReport, from: VmId): void {
  for (const report of firstBytes) scheduler.firstByte(report, from)
  for (const release of releases) scheduler.release(release, from)
  for (const ask of abandoned) scheduler.abandon(ask, from)
}

/** Registers the handlers of the messages to this VM's schedulers. */
export function handlePermitMessages ({ peers, lease, schedulers }: LeaderLinkOptions): void {
  /** The scheduler of the data centre if this VM leads it in the epoch the sender means. */
  function schedulerOf (dataCentre: DataCentreId, epoch: number): Scheduler | undefined {
    return lease.heldEpoch(dataCentre) === epoch ? schedulers(dataCentre) : undefined
  }

  peers.handle('permit.request', (body, from) => {
    const { dataCentre, ask, request } = body as PermitAskMessage
    return schedulers(dataCentre)?.request(request, from, ask) ?? notLeader()
  })
  peers.handle('permit.release', (body, from): Acknowledgement => {
    const { dataCentre, epoch, report } = body as PermitReportMessage
    const scheduler = schedulerOf(dataCentre, epoch)
    if (scheduler) applyReport(scheduler, report, from)
    return { accepted: scheduler !== undefined }
  })
  peers.handle('permit.sync', (body, from): Acknowledgement => {
    const { dataCentre, epoch, sync } = body as PermitSyncMessage
    const scheduler = schedulerOf(dataCentre, epoch)
    scheduler?.sync({ ...sync, vm: from })
    return { accepted: scheduler !== undefined }
  })
}

/** Refusal that sends the asker to another data centre or back later. */
export function notLeader (): PermitAnswer {
  return { granted: false, refusal: { reason: 'not_leader', retryAfterMs: DEFAULT_RETRY_AFTER_MS, passedOver: [] } }
}
