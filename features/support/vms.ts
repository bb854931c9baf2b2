/** In-process member lists and peer links whose member states and message losses tests control. */
import { PeerError } from '../../src/core/errors/index.ts'
import { brandId, type BootId, type DataCentreId, type RegionId, type VmId } from '../../src/core/ids/index.ts'
import type { PlacedVm } from '../../src/core/feed-relay/relay-choice.ts'
import type { Member, Membership, MemberState } from '../../src/core/membership/types.ts'
import type { PeerHandler, PeerLinks, PeerMessageType } from '../../src/core/peer/types.ts'

const DATA_CENTRES = 6

/** Puts a VM whose name ends with a number into one of six data centres. */
export function placeVm (vm: VmId): PlacedVm {
  const number = Number(/\d+$/.exec(vm)?.[0] ?? 0)
  return { vm, dataCentre: brandId<DataCentreId>(`dc-${number % DATA_CENTRES}`) }
}

export const placeVms = (vms: readonly VmId[]): PlacedVm[] => vms.map(placeVm)

/** Creates one member list that all VMs share. */
export function createMemberList () {
  const members = new Map<VmId, Member>()
  const listeners = new Set<(member: Member) => void>()

  function put (vm: VmId, dataCentre: DataCentreId): void {
    const region = brandId<RegionId>('bagmati')
    members.set(vm, { vm, boot: brandId<BootId>('boot'), region, dataCentre, peerAddress: '', callerUrl: '', incarnation: 0, state: 'live' })
  }

  function setState (vm: VmId, state: MemberState): void {
    const member = { ...members.get(vm)!, state }
    members.set(vm, member)
    for (const listener of listeners) listener(member)
  }

  /** Returns the membership interface of one VM. */
  function viewOf (vm: VmId): Membership {
    const notDead = () => [...members.values()].filter(member => member.state !== 'dead')
    return {
      self: () => members.get(vm)!,
      members: notDead,
      available: () => notDead().filter(member => member.state !== 'leaving'),
      get: name => members.get(name),
      isIsolated: () => false,
      leave: async () => {},
      onChange (listener) {
        listeners.add(listener)
        return () => { listeners.delete(listener) }
      },
      start: async () => {},
      stop: async () => {}
    }
  }

  return { put, setState, viewOf }
}

/** Creates peer links that call the handlers of other VMs directly. Message bodies are copied, as over a network. */
export function createPeerHub () {
  const handlers = new Map<string, PeerHandler>()
  /** VMs that no message reaches or leaves. */
  const cut = new Set<VmId>()
  const state = { lostTypes: new Set<PeerMessageType>(), sent: 0 }

  async function deliver (from: VmId, to: VmId, type: PeerMessageType, body: unknown): Promise<unknown> {
    state.sent += 1
    const handler = handlers.get(`${to} ${type}`)
    if (!handler || cut.has(from) || cut.has(to) || state.lostTypes.has(type)) throw new PeerError('peer_unreachable')
    return structuredClone(await handler(structuredClone(body), from))
  }

  function linksOf (vm: VmId): PeerLinks {
    return {
      setAddress () {},
      removeAddress () {},
      setSharedKeys () {},
      request: async <Answer>(to: VmId, type: PeerMessageType, body: unknown) => await deliver(vm, to, type, body) as Answer,
      notify (to, type, body) { deliver(vm, to, type, body).catch(() => {}) },
      handle (type, handler) { handlers.set(`${vm} ${type}`, handler) },
      onDisconnect () {},
      listen: async () => 0,
      close: async () => {},
      traffic: () => ({ sentBytes: 0, receivedBytes: 0 })
    }
  }

  return { linksOf, cut, state }
}
