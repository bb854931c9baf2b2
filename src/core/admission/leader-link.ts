/**
 * Connection to the leader of a data centre: the scheduler of this VM if this VM is the leader, otherwise peer messages.
 * Also handles the messages that other VMs send to the schedulers of this VM.
 */
import type { DataCentreId, VmId } from '../ids/index.ts'
import type { LeaderLease } from '../lease/types.ts'
import type { PeerLinks } from '../peer/types.ts'
import type { VmIdentity } from '../settings/index.ts'
import { DEFAULT_RETRY_AFTER_MS } from './constants.ts'
import type { Acknowledgement, PermitRequestMessage, PermitReport, PermitReportMessage, PermitSyncMessage } from './messages.ts'
import type { PermitAnswer, PermitRequest, PermitSync, Scheduler } from './types.ts'

export interface LeaderLink {
  leader: VmId
  epoch: number
  request(callId: string, request: PermitRequest, timeoutMs: number): Promise<PermitAnswer>
  report(report: PermitReport): Promise<Acknowledgement>
  sync(sync: PermitSync): Promise<Acknowledgement>
}

export interface LeaderLinkOptions {
  identity: VmIdentity
  peers: PeerLinks
  lease: LeaderLease
  schedulers: (dataCentre: DataCentreId) => Scheduler | undefined
}

/** Finds the link to the current leader of the data centre; undefined when no leader is known. */
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
    request: (callId, request) => scheduler.request(request, vm, callId),
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
    request (callId, request, timeoutMs) {
      const body: PermitRequestMessage = { dataCentre, ask: callId, request }
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
  for (const callId of abandoned) scheduler.abandon(callId, from)
}

/** Registers the handlers of the messages to this VM's schedulers. */
export function handlePermitMessages ({ peers, lease, schedulers }: LeaderLinkOptions): void {
  /** Returns the scheduler of the data centre if this VM leads it in the epoch of the message. */
  function schedulerOf (dataCentre: DataCentreId, epoch: number): Scheduler | undefined {
    return lease.heldEpoch(dataCentre) === epoch ? schedulers(dataCentre) : undefined
  }

  peers.handle('permit.request', (body, from) => {
    const { dataCentre, ask: callId, request } = body as PermitRequestMessage
    return schedulers(dataCentre)?.request(request, from, callId) ?? notLeaderRefusal()
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

/** Refusal after which the caller tries another data centre or retries later. */
export function notLeaderRefusal (): PermitAnswer {
  return { granted: false, refusal: { reason: 'not_leader', retryAfterMs: DEFAULT_RETRY_AFTER_MS, passedOver: [] } }
}
