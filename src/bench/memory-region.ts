/**
 * VMs of one region in memory, for benchmarks and tests of modules that talk to other VMs: links, membership and a
 * clock per VM. A VM can be killed, cut off from the others or declared dead.
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
  /** The process ends: no timer, message or call of it takes effect any more. */
  kill(vm: string): void
  /** No message passes between the VM and the others. */
  cut(vm: string): void
  /** Messages pass again. */
  join(vm: string): void
  /** What the other VMs believe about the VM. */
  declare(vm: string, state: MemberState): void
  /** Messages of a type that a VM has received. */
  delivered(type: PeerMessageType, vm: string): number
}

interface Node {
  member: Member
  alive: boolean
  cut: boolean
  handlers: Map<PeerMessageType, PeerHandler>
  listeners: Set<(member: Member) => void>
  received: Map<PeerMessageType, number>
  traffic: { sentBytes: number, receivedBytes: number }
}

interface MemoryRegionOptions { clock: Clock, objectApi: ObjectApi, delayMs?: () => number }

export function createMemoryRegion ({ clock, objectApi, delayMs }: MemoryRegionOptions): MemoryRegion {
  const nodes = new Map<string, Node>()

  function announce (changed: Node): void {
    for (const node of nodes.values()) {
      if (node === changed || !node.alive) continue
      for (const listener of node.listeners) listener(changed.member)
    }
  }

  function links (self: Node): PeerLinks {
    async function deliver (to: VmId, type: PeerMessageType, body: unknown): Promise<unknown> {
      const text = JSON.stringify(body)
      self.traffic.sentBytes += text.length
      if (delayMs) await clock.sleep(delayMs())
      const target = nodes.get(to)
      if (!self.alive) return new Promise(() => {})
      if (!target?.alive || target.cut || self.cut) throw new PeerError('peer_unreachable')
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

  function membershipOf (self: Node): Membership {
    const members = () => [...nodes.values()].map(node => node.member).filter(member => member.state !== 'dead')
    return {
      self: () => self.member,
      members,
      available: () => members().filter(member => member.state !== 'leaving'),
      get: vm => nodes.get(vm)?.member,
      isIsolated: () => self.cut,
      leave: async () => {},
      onChange (listener) {
        self.listeners.add(listener)
        return () => { self.listeners.delete(listener) }
      },
      start: async () => {},
      stop: async () => {}
    }
  }

  function clockOf (self: Node): Clock {
    const whileAlive = (run: () => void) => () => { if (self.alive) run() }
    return { ...clock, after: (ms, run) => clock.after(ms, whileAlive(run)), every: (ms, run) => clock.every(ms, whileAlive(run)) }
  }

  /** A killed process sends nothing; a call it had sent may still take effect. */
  function objectApiOf (self: Node): ObjectApi {
    const whileAlive = async <Result>(call: () => Promise<Result>) => {
      if (!self.alive) throw new ObjectApiError('object_api_unavailable')
      return call()
    }
    return {
      get: (...args) => whileAlive(() => objectApi.get(...args)),
      list: (...args) => whileAlive(() => objectApi.list(...args)),
      create: (...args) => whileAlive(() => objectApi.create(...args)),
      update: (...args) => whileAlive(() => objectApi.update(...args)),
      delete: (...args) => whileAlive(() => objectApi.delete(...args)),
      watch: (...args) => objectApi.watch(...args)
    }
  }

  const find = (vm: string) => nodes.get(vm)!

  return {
    add (vm, dataCentre, boot = `boot-${vm}`) {
      const identity = {
        vm: brandId<VmId>(vm), boot: brandId<BootId>(boot), region: brandId<RegionId>('bagmati'), dataCentre: brandId<DataCentreId>(dataCentre)
      }
      const member: Member = { ...identity, peerAddress: '', callerUrl: '', incarnation: 0, state: 'live' }
      const node: Node = {
        member, alive: true, cut: false, handlers: new Map(), listeners: new Set(), received: new Map(), traffic: { sentBytes: 0, receivedBytes: 0 }
      }
      nodes.set(vm, node)
      announce(node)
      return { identity, clock: clockOf(node), peers: links(node), membership: membershipOf(node), objectApi: objectApiOf(node) }
    },
    delivered: (type, vm) => find(vm).received.get(type) ?? 0,
    kill (vm) { find(vm).alive = false },
    cut (vm) { find(vm).cut = true },
    join (vm) { find(vm).cut = false },
    declare (vm, state) {
      const node = find(vm)
      node.member = { ...node.member, state }
      announce(node)
    }
  }
}
