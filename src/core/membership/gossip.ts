/** Sends and receives membership messages: pings, indirect pings and full-list exchanges. */
import type { Clock } from '../clock/index.ts'
import { PeerError } from '../errors/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerLinks } from '../peer/index.ts'
import { EXCHANGE_TIMEOUT_MS } from './constants.ts'
import { decodeGossip, decodePingRequest, encodeGossip, encodePingRequest, type Gossip } from './messages.ts'
import { LIVE, type MemberRecord } from './merge.ts'
import type { MemberTable } from './table.ts'
import type { UpdateQueue } from './update-queue.ts'

export interface GossipOptions {
  table: MemberTable
  queue: UpdateQueue
  peers: PeerLinks
  clock: Clock
  metrics: Metrics
  pingTimeoutMs: number
  pingPayload: (() => unknown) | undefined
  onPingPayload: ((payload: unknown, from: VmId) => void) | undefined
  /** Called after a VM answered, with the digest of its list. */
  onAnswer(from: VmId, digest: number): void
}

export interface GossipMessages {
  ping(vm: VmId): Promise<void>
  /** Asks `helper` to ping `vm`; rejects when the helper gets no answer. */
  pingThrough(helper: VmId, vm: VmId): Promise<void>
  /** Exchanges the full member list. */
  exchange(vm: VmId): Promise<void>
  /** Pings without waiting for the answer; a failure only delays dissemination. */
  announce(vm: VmId): void
}

export function createGossip (options: GossipOptions): GossipMessages {
  const { table, queue, peers, metrics, pingTimeoutMs, pingPayload, onPingPayload } = options

  function buildMessage (to: VmId, isFullList: boolean): unknown {
    const updates = isFullList ? table.records() : pendingUpdates(to)
    return encodeGossip({ sender: table.self(), updates, isFullList, digest: table.digest(), payload: pingPayload?.() })
  }

  /** Returns queued updates. A record that shows the receiver as not live comes first, so that the receiver can refute it in its answer. */
  function pendingUpdates (to: VmId): MemberRecord[] {
    const receiverRecord = table.get(to)
    const vms = queue.take(table.others().length + 1).filter(vm => vm !== to && vm !== table.self().vm)
    const records = vms.map(vm => table.get(vm)).filter(record => record !== undefined)
    return receiverRecord && receiverRecord.health !== LIVE ? [receiverRecord, ...records] : records
  }

  function processMessage (body: unknown, from: VmId): Gossip {
    const gossip = decodeGossip(body)
    if (!gossip || gossip.sender.vm !== from) {
      metrics.count('bad_input', 'membership_malformed')
      throw new PeerError('peer_rejected', { detail: 'not a membership message' })
    }
    if (gossip.sender.region !== table.self().region) {
      metrics.count('bad_input', 'membership_region')
      throw new PeerError('peer_rejected', { detail: `this VM belongs to region ${table.self().region}` })
    }
    table.receive(gossip.sender)
    for (const record of gossip.updates) table.receive(record, { fromList: gossip.isFullList })
    if (gossip.isFullList && gossip.updates.some(({ vm }) => vm === table.self().vm)) table.markJoined()
    if (gossip.payload !== undefined) receivePayload(gossip.payload, from)
    return gossip
  }

  /** An error in the payload handler must not fail the ping, because it says nothing about the liveness of the sender. */
  function receivePayload (payload: unknown, from: VmId): void {
    try {
      onPingPayload?.(payload, from)
    } catch {
      metrics.count('bad_input', 'membership_payload')
    }
  }

  async function sendGossip (vm: VmId, isFullList: boolean, timeoutMs: number): Promise<void> {
    const answer = await peers.request(vm, 'membership.ping', buildMessage(vm, isFullList), { timeoutMs })
    const { digest } = processMessage(answer, vm)
    options.onAnswer(vm, digest)
  }

  peers.handle('membership.ping', (body, from) => {
    const { isFullList } = processMessage(body, from)
    return buildMessage(from, isFullList)
  })

  peers.handle('membership.ping-req', async body => {
    const request = decodePingRequest(body)
    if (!request) {
      metrics.count('bad_input', 'membership_malformed')
      throw new PeerError('peer_rejected', { detail: 'not a ping request' })
    }
    await sendGossip(request.vm, false, Math.min(request.timeoutMs, pingTimeoutMs))
    return null
  })

  return {
    ping: vm => sendGossip(vm, false, pingTimeoutMs),
    async pingThrough (helper, vm) {
      const body = encodePingRequest({ vm, timeoutMs: pingTimeoutMs })
      await peers.request(helper, 'membership.ping-req', body, { timeoutMs: 2 * pingTimeoutMs })
    },
    exchange: vm => sendGossip(vm, true, EXCHANGE_TIMEOUT_MS),
    announce (vm) {
      sendGossip(vm, false, pingTimeoutMs).catch(() => metrics.count('retries', 'membership_announce'))
    }
  }
}
