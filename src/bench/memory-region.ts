/**
 * In-memory region for benchmarks and tests of modules that communicate with other VMs. Each VM has peer links, a
 * membership, a clock and an object API client; it can be killed, isolated from the others or declared dead.
 */
import type { Clock } from '../core/clock/index.ts'
import { ObjectApiError, PeerError } from '../core/errors/index.ts'
import { brandId, type BootId, type DataCentreId, type RegionId, type VmId } from '../core/ids/index.ts'
import type { Member, Membership, MemberState } from '../core/membership/types.ts'
import type { ObjectApi } from '../core/object-api/types.ts'
import type { PeerHandler, PeerLinks, PeerMessageType } from '../core/peer/types.ts'
import type { VmIdentity } from '../core/settings/index.ts'

export interface MemoryVm {
  identity: VmIdentity
  clock: Clock
  peers: PeerLinks
  membership: Membership
  objectApi: ObjectApi
}

export interface MemoryRegion {
  add(vm: string, dataCentre: string, boot?: string): MemoryVm
  /** Ends the process of the VM: its timers no longer fire, and it sends no more messages or object API calls. */
  kill(vm: string): void
  /** Makes all messages between the VM and the others fail. */
  isolate(vm: string): void
  /** Ends the isolation of the VM. */
  reconnect(vm: string): void
  /** Sets the state of the VM in the membership and notifies the other VMs. */
  setMemberState(vm: string, state: MemberState): void
  /** Number of messages of a type that a VM has received. */
  receivedCount(type: PeerMessageType, vm: string): number
}

interface SimulatedVm {
  member: Member
  isAlive: boolean
  isIsolated: boolean
  handlers: Map<PeerMessageType, PeerHandler>
  listeners: Set<(member: Member) => void>
  received: Map<PeerMessageType, number>
  traffic: { sentBytes: number, receivedBytes: number }
}

interface MemoryRegionOptions { clock: Clock, objectApi: ObjectApi, delayMs?: () => number }

export function createMemoryRegion ({ clock, objectApi, delayMs }: MemoryRegionOptions): MemoryRegion {
  const simulatedVms = new Map<string, SimulatedVm>()

  function notifyListeners (changed: SimulatedVm): void {
    for (const simulatedVm of simulatedVms.values()) {
      if (simulatedVm === changed || !simulatedVm.isAlive) continue
      for (const listener of simulatedVm.listeners) listener(changed.member)
    }
  }

  function createLinks (self: SimulatedVm): PeerLinks {
    async function deliver (to: VmId, type: PeerMessageType, body: unknown): Promise<unknown> {
      const text = JSON.stringify(body)
      self.traffic.sentBytes += text.length
      if (delayMs) await clock.sleep(delayMs())
      const target = simulatedVms.get(to)
      if (!self.isAlive) return new Promise(() => {})
      if (!target?.isAlive || target.isIsolated || self.isIsolated) throw new PeerError('peer_unreachable')
      target.received.set(type, (target.received.get(type) ?? 0) + 1)
      target.traffic.receivedBytes += text.length
      const handler = target.handlers.get(type)
      if (!handler) throw new PeerError('peer_rejected', { detail: `No handler for ${type}.` })
      const answer = await handler(JSON.parse(text), self.member.vm)
      if (delayMs) await clock.sleep(delayMs())
      return answer
    }

    async function request<Answer> (to: VmId, type: PeerMessageType, body: unknown): Promise<Answer> {
      try {
        return await deliver(to, type, body) as Answer
      } catch (error) {
        throw error instanceof PeerError ? error : new PeerError('peer_rejected', { cause: error })
      }
    }

    return {
      request,
      setAddress () {},
      removeAddress () {},
      setSharedKeys () {},
      notify: (to, type, body) => { request(to, type, body).catch(() => {}) },
      handle: (type, handler) => { self.handlers.set(type, handler) },
      onDisconnect () {},
      listen: async () => 0,
      close: async () => {},
      traffic: () => self.traffic
    }
  }

  function createMembership (self: SimulatedVm): Membership {
    const members = () => [...simulatedVms.values()].map(simulatedVm => simulatedVm.member).filter(member => member.state !== 'dead')
    return {
      self: () => self.member,
      members,
      available: () => members().filter(member => member.state !== 'leaving'),
      get: vm => simulatedVms.get(vm)?.member,
      isIsolated: () => self.isIsolated,
      leave: async () => {},
      onChange (listener) {
        self.listeners.add(listener)
        return () => { self.listeners.delete(listener) }
      },
      start: async () => {},
      stop: async () => {}
    }
  }

  function createClock (self: SimulatedVm): Clock {
    const runIfAlive = (run: () => void) => () => { if (self.isAlive) run() }
    return { ...clock, after: (ms, run) => clock.after(ms, runIfAlive(run)), every: (ms, run) => clock.every(ms, runIfAlive(run)) }
  }

  /** A killed process makes no more calls, but a call that it has already made can still take effect. */
  function createVmObjectApi (self: SimulatedVm): ObjectApi {
    const callIfAlive = async <Result>(call: () => Promise<Result>) => {
      if (!self.isAlive) throw new ObjectApiError('object_api_unavailable')
      return call()
    }
    return {
      get: (...args) => callIfAlive(() => objectApi.get(...args)),
      list: (...args) => callIfAlive(() => objectApi.list(...args)),
      create: (...args) => callIfAlive(() => objectApi.create(...args)),
      update: (...args) => callIfAlive(() => objectApi.update(...args)),
      delete: (...args) => callIfAlive(() => objectApi.delete(...args)),
      watch: (...args) => objectApi.watch(...args)
    }
  }

  const findVm = (vm: string) => simulatedVms.get(vm)!

  return {
    add (vm, dataCentre, boot = `boot-${vm}`) {
      const identity = {
        vm: brandId<VmId>(vm), boot: brandId<BootId>(boot), region: brandId<RegionId>('bagmati'), dataCentre: brandId<DataCentreId>(dataCentre)
      }
      const member: Member = { ...identity, peerAddress: '', callerUrl: '', incarnation: 0, state: 'live' }
      const simulatedVm: SimulatedVm = {
        member, isAlive: true, isIsolated: false, handlers: new Map(), listeners: new Set(), received: new Map(), traffic: { sentBytes: 0, receivedBytes: 0 }
      }
      simulatedVms.set(vm, simulatedVm)
      notifyListeners(simulatedVm)
      return { identity, clock: createClock(simulatedVm), peers: createLinks(simulatedVm), membership: createMembership(simulatedVm), objectApi: createVmObjectApi(simulatedVm) }
    },
    receivedCount: (type, vm) => findVm(vm).received.get(type) ?? 0,
    kill (vm) { findVm(vm).isAlive = false },
    isolate (vm) { findVm(vm).isIsolated = true },
    reconnect (vm) { findVm(vm).isIsolated = false },
    setMemberState (vm, state) {
      const simulatedVm = findVm(vm)
      simulatedVm.member = { ...simulatedVm.member, state }
      notifyListeners(simulatedVm)
    }
  }
}
