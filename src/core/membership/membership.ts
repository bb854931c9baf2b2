/**
 * Membership of the VMs of one region, based on SWIM: failure detection, gossip of changes, exchange of full lists on
 * joining and when lists differ, and detection of isolation, in which a VM takes no new work.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerLinks } from '../peer/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import {
  CONTACT_PERIOD_MS, ISOLATION_TIMEOUT_MS, JOIN_FANOUT, LEAVE_FANOUT, MIN_ANNOUNCE_INTERVAL_MS, MIN_EXCHANGE_INTERVAL_MS, PING_PERIOD_MS,
  PING_TIMEOUT_MS, SUSPECT_TIMEOUT_MS, VM_LIST_PERIOD_MS
} from './constants.ts'
import { createDetector, shuffle } from './detector.ts'
import { createGossip } from './gossip.ts'
import { DEAD, LIVE, memberState, toMember, type MemberRecord } from './merge.ts'
import { createPlatformView, type PlatformVm } from './platform.ts'
import { createMemberTable, type RecordSource } from './table.ts'
import type { Member, Membership, MemberState } from './types.ts'
import { createUpdateQueue } from './update-queue.ts'

/** A VM that can be contacted to join the group. */
export interface Seed {
  vm: VmId
  /** `IP:PORT`. */
  peerAddress: string
}

export interface MembershipOptions {
  identity: VmIdentity
  peerAddress: string
  callerUrl: string
  peers: PeerLinks
  seeds: readonly Seed[]
  /** Reads the platform's list of VMs. */
  vmList?: (() => Promise<PlatformVm[]>) | undefined
  vmListPeriodMs?: number
  /** Time of the last answer of the object API, on the same monotonic clock as `clock`. */
  lastObjectApiContact: () => number
  /** Returns the payload of each ping and answer. */
  pingPayload?: (() => unknown) | undefined
  onPingPayload?: ((payload: unknown, from: VmId) => void) | undefined
  pingPeriodMs?: number
  pingTimeoutMs?: number
  suspectTimeoutMs?: number
  isolationTimeoutMs?: number
  clock: Clock
  metrics: Metrics
  log: Log
  random: () => number
}

export function createMembership (options: MembershipOptions): Membership {
  const {
    identity, peerAddress, callerUrl, peers, seeds, vmList, lastObjectApiContact, pingPayload, onPingPayload, clock, metrics, log, random,
    vmListPeriodMs = VM_LIST_PERIOD_MS, pingPeriodMs = PING_PERIOD_MS, pingTimeoutMs = PING_TIMEOUT_MS,
    suspectTimeoutMs = SUSPECT_TIMEOUT_MS, isolationTimeoutMs = ISOLATION_TIMEOUT_MS
  } = options
  const listeners = new Set<(member: Member) => void>()
  const cancelTimers: TimerCancel[] = []
  const notifiedStates = new Map<VmId, MemberState>()
  const queue = createUpdateQueue()
  const platform = createPlatformView(identity.vm, clock)
  const createdMs = clock.now()
  let lastPeerContactMs = createdMs
  let lastExchangeMs = -Infinity
  let lastAnnounceMs = -Infinity
  let wasIsolated = false
  let running = false
  let cachedMembers: Member[] | undefined

  const table = createMemberTable({
    self: {
      ...identity,
      peerAddress,
      callerUrl,
      // Wall-clock seconds, so that a restarted VM usually starts with a higher incarnation than its previous run.
      incarnation: Math.max(0, Math.floor(clock.wallMs() / 1000)),
      health: LIVE,
      leaving: false
    },
    clock,
    metrics,
    log,
    suspectTimeoutMs,
    onUpdate,
    onRemove (vm) {
      queue.remove(vm)
      notifiedStates.delete(vm)
      cachedMembers = undefined
      peers.removeAddress(vm)
    }
  })
  const messages = createGossip({ table, queue, peers, clock, metrics, pingTimeoutMs, pingPayload, onPingPayload, onAnswer })
  const detector = createDetector({ table, messages, clock, metrics, log, random, pingPeriodMs, onTick: updateIsolation })
  peers.onDisconnect(vm => { if (running) void detector.probe(vm) })

  function onUpdate (record: MemberRecord, previous: MemberRecord | undefined, { fromList = false }: RecordSource): void {
    cachedMembers = undefined
    // Records that a joining VM receives in a full list are already known to the other members.
    if (table.hasJoined() || !fromList) queue.push(record.vm)
    if (record.vm !== identity.vm && record.health !== DEAD) peers.setAddress(record.vm, record.peerAddress)
    if (record.vm === identity.vm && record.health === LIVE && running) announceSelf()
    notifyListeners(record, previous?.boot !== record.boot)
  }

  /** Announces a new incarnation of this VM to two members immediately instead of waiting for the next period. */
  function announceSelf (): void {
    if (clock.now() - lastAnnounceMs < MIN_ANNOUNCE_INTERVAL_MS) return
    lastAnnounceMs = clock.now()
    for (const { vm } of shuffle(table.others(), random).slice(0, 2)) messages.announce(vm)
  }

  function notifyListeners (record: MemberRecord, isNewRun: boolean): void {
    const state = stateOf(record)
    if (!isNewRun && notifiedStates.get(record.vm) === state) return
    notifiedStates.set(record.vm, state)
    const member = toMember(record, isPlatformLeaving(record))
    for (const listener of listeners) callListener(listener, member)
  }

  /** An error in a listener must not be reported as a failed ping of the member that sent the update. */
  function callListener (listener: (member: Member) => void, member: Member): void {
    try {
      listener(member)
    } catch (error) {
      log.error('membership listener failed', { member: member.vm, error: errorMessage(error) })
    }
  }

  function isPlatformLeaving ({ vm }: MemberRecord): boolean {
    return platform.isLeaving(vm, table.firstSeenMs(vm))
  }

  function stateOf (record: MemberRecord): MemberState {
    return memberState(record, isPlatformLeaving(record))
  }

  function onAnswer (from: VmId, digest: number): void {
    lastPeerContactMs = clock.now()
    updateIsolation()
    const isDue = clock.now() - lastExchangeMs >= MIN_EXCHANGE_INTERVAL_MS
    const listsDiffer = digest !== table.digest() && queue.isEmpty()
    if (isDue && (listsDiffer || !table.hasJoined())) void exchange(from)
  }

  async function exchange (vm: VmId): Promise<boolean> {
    lastExchangeMs = clock.now()
    try {
      await messages.exchange(vm)
      return true
    } catch {
      metrics.count('retries', 'membership_exchange')
      return false
    }
  }

  /** VMs that may be running but are not live members: seeds, listed VMs, and dead members that were not leaving. */
  function contactCandidates (): Seed[] {
    const listed = platform.vms().map(({ id, address }) => ({ vm: id, peerAddress: address }))
    const dead = table.records().filter(({ health, leaving }) => health === DEAD && !leaving)
    const candidates = new Map([...seeds, ...dead, ...listed].map(({ vm, peerAddress: address }) => [vm, address]))
    candidates.delete(identity.vm)
    for (const { vm } of table.others()) candidates.delete(vm)
    return [...candidates].map(([vm, address]) => ({ vm, peerAddress: address }))
  }

  function contact ({ vm, peerAddress: address }: Seed): Promise<boolean> {
    peers.setAddress(vm, address)
    return exchange(vm)
  }

  async function contactRandomCandidate (): Promise<void> {
    const [chosen] = shuffle(contactCandidates(), random)
    if (chosen) await contact(chosen)
  }

  async function readVmList (): Promise<void> {
    if (!vmList) return
    try {
      platform.update(await vmList())
    } catch (error) {
      metrics.count('retries', 'vm_list')
      log.debug('the VM list cannot be read', { error: errorMessage(error) })
      return
    }
    cachedMembers = undefined
    for (const record of table.records()) notifyListeners(record, false)
  }

  function isIsolated (): boolean {
    if (table.isReplaced()) return true
    const lastContactMs = Math.max(createdMs, lastPeerContactMs, lastObjectApiContact())
    return clock.now() - lastContactMs >= isolationTimeoutMs
  }

  function updateIsolation (): void {
    const isolated = isIsolated()
    if (isolated === wasIsolated) return
    wasIsolated = isolated
    metrics.count('membership_changes', isolated ? 'isolated' : 'connected')
    // Also logged when another process runs under this VM's id, which has the same effect.
    if (isolated) log.warn('this VM reaches neither a peer nor the object API; it refuses new work')
    else log.info('this VM reaches a peer or the object API again')
  }

  function members (): Member[] {
    cachedMembers ??= table.records()
      .filter(({ health }) => health !== DEAD)
      .sort((left, right) => left.vm < right.vm ? -1 : 1)
      .map(record => toMember(record, isPlatformLeaving(record)))
    return cachedMembers
  }

  function announceStop (): void {
    table.markSelfDead()
    const receivers = shuffle(table.others(), random).slice(0, LEAVE_FANOUT)
    for (const { vm } of receivers) messages.announce(vm)
  }

  return {
    self: () => toMember(table.self(), isPlatformLeaving(table.self())),
    members: () => [...members()],
    available: () => members().filter(({ state }) => state === 'live' || state === 'suspect'),
    get (vm) {
      const record = table.get(vm)
      return record && toMember(record, isPlatformLeaving(record))
    },
    isIsolated,
    async leave () {
      table.leave()
      const receivers = shuffle(table.others(), random).slice(0, LEAVE_FANOUT)
      await Promise.allSettled(receivers.map(({ vm }) => messages.ping(vm)))
    },
    onChange (listener) {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    async start () {
      running = true
      await readVmList()
      await Promise.all(shuffle(contactCandidates(), random).slice(0, JOIN_FANOUT).map(contact))
      detector.start()
      cancelTimers.push(
        clock.every(CONTACT_PERIOD_MS, () => void contactRandomCandidate()),
        clock.every(vmListPeriodMs, () => void readVmList())
      )
    },
    async stop () {
      if (!running) return
      running = false
      detector.stop()
      for (const cancel of cancelTimers.splice(0)) cancel()
      if (table.self().leaving) announceStop()
    }
  }
}
