/** Several VMs with permit clients, connected by links in memory that can delay and lose messages. */
import { createBasicView, DATA_CENTRE, putBackendServer, type MemoryView } from '../../src/bench/admission-fixture.ts'
import { createPermitClient, createScheduler } from '../../src/core/admission/index.ts'
import type { PermitClient, Scheduler } from '../../src/core/admission/types.ts'
import { createRandom } from '../../src/bench/random.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { PeerError } from '../../src/core/errors/index.ts'
import { brandId, type DataCentreId, type VmId } from '../../src/core/ids/index.ts'
import type { LeaderLease, LeaseState } from '../../src/core/lease/types.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import type { Member, Membership } from '../../src/core/membership/types.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import type { PeerHandler, PeerLinks, PeerMessageType } from '../../src/core/peer/types.ts'
import { identityOf } from './admission-stand.ts'

export interface ClientVm {
  vm: VmId
  client: PermitClient
  scheduler: Scheduler | undefined
  metrics: Metrics
  handlers: Map<PeerMessageType, PeerHandler>
  loseLease: () => void
}

export interface ClientStand {
  clock: ManualClock
  view: MemoryView
  vms: Map<VmId, ClientVm>
  holder: VmId | undefined
  epoch: number
  leaseHeld: boolean
  objectApiAvailable: boolean
  dead: Set<VmId>
  /** Types of messages, or of their answers, that get lost. */
  lostMessages: Set<string>
  lostAnswers: Set<string>
  /** Delay of each answer. */
  answerDelayMs: number
}

export function createClientStand (vms: number, slots = 4): ClientStand {
  const stand: ClientStand = {
    clock: createManualClock(),
    view: createBasicView(),
    vms: new Map(),
    holder: undefined,
    epoch: 0,
    leaseHeld: true,
    objectApiAvailable: true,
    dead: new Set(),
    lostMessages: new Set(),
    lostAnswers: new Set(),
    answerDelayMs: 0
  }
  putBackendServer(stand.view, 'runner-1', { slots, coldAllowance: slots })
  for (let i = 1; i <= vms; i++) addVm(stand, brandId<VmId>(`vm-${i}`))
  return stand
}

function addVm (stand: ClientStand, vm: VmId): void {
  const handlers = new Map<PeerMessageType, PeerHandler>()
  const metrics = createMetrics()
  const lostListeners: ((dataCentre: DataCentreId) => void)[] = []
  const { clock, view } = stand
  const client = createPermitClient({
    identity: identityOf(vm),
    peers: linksOf(stand, vm, handlers),
    lease: leaseOf(stand, vm, lostListeners),
    membership: membershipOf(stand, vm),
    view,
    schedulers: () => stand.vms.get(vm)?.scheduler,
    clock,
    metrics,
    log: silentLog,
    objectApiAvailable: () => stand.objectApiAvailable
  })
  stand.vms.set(vm, {
    vm, client, scheduler: undefined, metrics, handlers, loseLease: () => lostListeners.forEach(listener => listener(DATA_CENTRE))
  })
  client.start()
}

function linksOf (stand: ClientStand, from: VmId, handlers: Map<PeerMessageType, PeerHandler>): PeerLinks {
  async function request (to: VmId, type: PeerMessageType, body: unknown): Promise<unknown> {
    if (stand.dead.has(to) || stand.lostMessages.has(type)) throw new PeerError('peer_unreachable')
    const answer = await stand.vms.get(to)!.handlers.get(type)!(structuredClone(body), from)
    if (stand.answerDelayMs > 0) await stand.clock.sleep(stand.answerDelayMs)
    if (stand.lostAnswers.has(type)) throw new PeerError('peer_timeout')
    return structuredClone(answer)
  }
  return {
    setAddress () {},
    removeAddress () {},
    setSharedKeys () {},
    request: async <Answer>(to: VmId, type: PeerMessageType, body: unknown) => await request(to, type, body) as Answer,
    notify: (to, type, body) => { void request(to, type, body).catch(() => {}) },
    handle: (type, handler) => { handlers.set(type, handler) },
    onDisconnect () {},
    listen: async () => 0,
    close: async () => {},
    traffic: () => ({ sentBytes: 0, receivedBytes: 0 })
  }
}

function leaseOf (stand: ClientStand, vm: VmId, lostListeners: ((dataCentre: DataCentreId) => void)[]): LeaderLease {
  const isHeld = (): boolean => stand.holder === vm && stand.leaseHeld
  return {
    isHeld,
    heldEpoch: () => isHeld() ? stand.epoch : undefined,
    leader: (): LeaseState => ({ dataCentre: DATA_CENTRE, holder: stand.holder, epoch: stand.epoch }),
    observe () {},
    onAcquired () {},
    onLost: listener => { lostListeners.push(listener) },
    start () {},
    release: async () => {}
  }
}

function membershipOf (stand: ClientStand, self: VmId): Membership {
  const member = (vm: VmId): Member => ({
    ...identityOf(vm), peerAddress: '', callerUrl: '', incarnation: 0, state: stand.dead.has(vm) ? 'dead' : 'live'
  })
  const members = (): Member[] => [...stand.vms.keys()].filter(vm => !stand.dead.has(vm)).map(member)
  return {
    self: () => member(self),
    members,
    available: members,
    get: member,
    isIsolated: () => false,
    leave: async () => {},
    onChange: () => () => {},
    start: async () => {},
    stop: async () => {}
  }
}

/** Makes a VM the leader of the next epoch. */
export function leadBy (stand: ClientStand, vm: VmId): void {
  for (const other of stand.vms.values()) {
    other.scheduler?.stop()
    other.scheduler = undefined
  }
  const epoch = ++stand.epoch
  stand.holder = vm
  stand.leaseHeld = true
  const scheduler = createScheduler({
    identity: identityOf(vm),
    dataCentre: DATA_CENTRE,
    epoch,
    isLeaseHeld: () => stand.holder === vm && stand.epoch === epoch && stand.leaseHeld,
    view: stand.view,
    healthProbe: async () => ({ instance: 'instance-1', state: 'warm', inFlight: 0 }),
    quarantine: { isQuarantined: () => false, isSuspect: () => false, remainingMs: () => 0 },
    peerSummaries: () => [],
    clock: stand.clock,
    metrics: createMetrics(),
    log: silentLog,
    random: createRandom(1)
  })
  stand.vms.get(vm)!.scheduler = scheduler
  scheduler.start()
}
