/** Test harness of several VMs with permit clients, connected by in-memory links that can delay and lose messages. */
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
import { identityOf } from './admission-harness.ts'

export interface ClientVm {
  vm: VmId
  client: PermitClient
  scheduler: Scheduler | undefined
  metrics: Metrics
  handlers: Map<PeerMessageType, PeerHandler>
  reportLeaseLoss: () => void
}

export interface ClientHarness {
  clock: ManualClock
  view: MemoryView
  vms: Map<VmId, ClientVm>
  holder: VmId | undefined
  epoch: number
  leaseHeld: boolean
  objectApiAvailable: boolean
  dead: Set<VmId>
  /** Types of messages that are lost. */
  lostMessages: Set<string>
  /** Types of messages whose answers are lost. */
  lostAnswers: Set<string>
  /** Delay of each answer. */
  answerDelayMs: number
}

export function createClientHarness (vms: number, slots = 4): ClientHarness {
  const harness: ClientHarness = {
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
  putBackendServer(harness.view, 'runner-1', { slots, coldAllowance: slots })
  for (let i = 1; i <= vms; i++) addVm(harness, brandId<VmId>(`vm-${i}`))
  return harness
}

function addVm (harness: ClientHarness, vm: VmId): void {
  const handlers = new Map<PeerMessageType, PeerHandler>()
  const metrics = createMetrics()
  const lostListeners: ((dataCentre: DataCentreId) => void)[] = []
  const { clock, view } = harness
  const client = createPermitClient({
    identity: identityOf(vm),
    peers: createLinks(harness, vm, handlers),
    lease: createLease(harness, vm, lostListeners),
    membership: createMembership(harness, vm),
    view,
    schedulers: () => harness.vms.get(vm)?.scheduler,
    clock,
    metrics,
    log: silentLog,
    objectApiAvailable: () => harness.objectApiAvailable
  })
  harness.vms.set(vm, {
    vm, client, scheduler: undefined, metrics, handlers, reportLeaseLoss: () => lostListeners.forEach(listener => listener(DATA_CENTRE))
  })
  client.start()
}

function createLinks (harness: ClientHarness, from: VmId, handlers: Map<PeerMessageType, PeerHandler>): PeerLinks {
  async function request (to: VmId, type: PeerMessageType, body: unknown): Promise<unknown> {
    if (harness.dead.has(to) || harness.lostMessages.has(type)) throw new PeerError('peer_unreachable')
    const answer = await harness.vms.get(to)!.handlers.get(type)!(structuredClone(body), from)
    if (harness.answerDelayMs > 0) await harness.clock.sleep(harness.answerDelayMs)
    if (harness.lostAnswers.has(type)) throw new PeerError('peer_timeout')
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

function createLease (harness: ClientHarness, vm: VmId, lostListeners: ((dataCentre: DataCentreId) => void)[]): LeaderLease {
  const isHeld = (): boolean => harness.holder === vm && harness.leaseHeld
  return {
    isHeld,
    heldEpoch: () => isHeld() ? harness.epoch : undefined,
    leader: (): LeaseState => ({ dataCentre: DATA_CENTRE, holder: harness.holder, epoch: harness.epoch }),
    observe () {},
    onAcquired () {},
    onLost: listener => { lostListeners.push(listener) },
    start () {},
    release: async () => {}
  }
}

function createMembership (harness: ClientHarness, self: VmId): Membership {
  const member = (vm: VmId): Member => ({
    ...identityOf(vm), peerAddress: '', callerUrl: '', incarnation: 0, state: harness.dead.has(vm) ? 'dead' : 'live'
  })
  const members = (): Member[] => [...harness.vms.keys()].filter(vm => !harness.dead.has(vm)).map(member)
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
export function makeLeader (harness: ClientHarness, vm: VmId): void {
  for (const other of harness.vms.values()) {
    other.scheduler?.stop()
    other.scheduler = undefined
  }
  const epoch = ++harness.epoch
  harness.holder = vm
  harness.leaseHeld = true
  const scheduler = createScheduler({
    identity: identityOf(vm),
    dataCentre: DATA_CENTRE,
    epoch,
    isLeaseHeld: () => harness.holder === vm && harness.epoch === epoch && harness.leaseHeld,
    view: harness.view,
    healthProbe: async () => ({ instance: 'instance-1', state: 'warm', inFlight: 0 }),
    quarantine: { isQuarantined: () => false, isSuspect: () => false, remainingMs: () => 0 },
    peerSummaries: () => [],
    clock: harness.clock,
    metrics: createMetrics(),
    log: silentLog,
    random: createRandom(1)
  })
  harness.vms.get(vm)!.scheduler = scheduler
  scheduler.start()
}
