/**
 * The VMs that forward requests. Each VM registers itself in the store and follows the entries of the others. The
 * membership determines whether a registered VM is live; its pings do not depend on the store. The key that
 * authenticates the links between VMs is also stored there, because the VMs share nothing else.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import { brandId, randomId, type BootId, type DataCentreId, type VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import { createMembership, type Member, type Membership } from '../membership/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ForwardingVmSettings } from '../forwarding-vm/types.ts'
import type { FollowedKind, KindSubscription } from '../feed-relay/index.ts'
import type { PlacedVm } from '../feed-relay/relay-choice.ts'
import { countCalls, isAfter, type ObjectStore, type Revision, type StoredObject } from '../object-feed/index.ts'
import { createPeerLinks } from '../peer/index.ts'
import type { ConnectionLimit } from '../resource-limits/index.ts'
import { rendezvousOrder } from '../placement/rendezvous.ts'
import { CLEANUP_PERIOD_MS, FLEET_COALESCE_MS, FLEET_KIND, FLEET_POLL_WAIT_MS, KEY_KIND, KEY_NAME, LIST_CHECK_PERIOD_MS, LIST_WAIT_MS, MEETING_TIME_MS, REGISTER_RETRY_DELAY_MS, VM_ENTRY_EXPIRY_MS } from './constants.ts'

export interface FleetOptions {
  settings: ForwardingVmSettings
  store: ObjectStore
  /** Limits the incoming connections of other VMs. */
  connectionLimit?: ConnectionLimit
  /** Subscribes to the VMs' entries. */
  follow(subscription: KindSubscription): FollowedKind
  /** Monotonic time at which this process started, after the end of an earlier one of this VM. Default: now. */
  processStartedMs?: number
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
}

/** Entry of a VM in the store. */
interface FleetEntry { boot: BootId, callerAddress: string, peerAddress: string, dataCentre: string }

interface PeerKey { key: string }

export function createFleet ({ settings, connectionLimit, store, follow, processStartedMs, clock, log, metrics, random }: FleetOptions) {
  const boot = randomId<BootId>('boot')
  const createdMs = clock.now()
  const ownEntry: FleetEntry = { boot, callerAddress: settings.callerAddress, peerAddress: settings.peerAddress, dataCentre: settings.dataCentre }
  const entries = new Map<VmId, FleetEntry>([[settings.vm, ownEntry]])
  /** Cached names of the entries; undefined after a change. */
  let registeredVms: readonly VmId[] | undefined
  /** Monotonic time since which each absent VM has not been a live member. */
  const absentSinceMs = new Map<VmId, number>()
  const identity = { vm: settings.vm, boot, region: settings.region, dataCentre: settings.dataCentre }
  /** Monotonic time at which the store confirmed the entry of this process; Infinity while it has none. */
  let registeredMs = Infinity
  let registeredRevision: Revision | undefined
  /** Whether an earlier process of this VM had been registered, so that the other VMs know its entry already. */
  let wasRegistered = false
  /** Whether an entry of an earlier process of this VM has been read. */
  let hasEarlierEntry = false
  /** Revision of the stored entry of an earlier process, which can be replaced without reading it again. */
  let earlierRevision: Revision | undefined
  let leaving = false
  let areLinksOpen = false
  /** Keys of the links, the stored one first; empty before it has been read. */
  let linkKeys: string[] = []
  let cancelCleanup: TimerCancel | undefined

  const peers = createPeerLinks({ identity, address: settings.peerAddress, sharedKeys: [randomId('unset')], connectionLimit, clock, metrics, log })
  const membership: Membership = createMembership({
    identity,
    peerAddress: settings.peerAddress,
    callerUrl: settings.callerAddress,
    peers,
    seeds: [],
    vmList: async () => [...entries].filter(([vm]) => vm !== settings.vm)
      .map(([id, { peerAddress }]) => ({ id, address: peerAddress, state: 'live' as const })),
    lastObjectApiContact: () => followedEntries.confirmedMs(),
    clock,
    metrics,
    log,
    random
  })

  function applyEntry ({ name, spec, revision }: StoredObject, deleted: boolean): void {
    const vm = brandId<VmId>(name)
    const entry = spec as FleetEntry | null
    if (vm === settings.vm) {
      if (deleted && !leaving) replaceRemovedEntry(revision)
      earlierRevision = !deleted && entry?.boot !== boot ? revision : undefined
      hasEarlierEntry ||= earlierRevision !== undefined
      return
    }
    registeredVms = undefined
    if (deleted || typeof entry?.callerAddress !== 'string' || typeof entry.peerAddress !== 'string') return void entries.delete(vm)
    entries.set(vm, entry)
    // A VM that starts polls relays that it has not met yet.
    if (!membership.get(vm)) peers.setAddress(vm, entry.peerAddress)
  }

  /** The others may have removed the entry while this VM was paused, and use its parts of the limits until they know it again. */
  function replaceRemovedEntry (removed: Revision): void {
    const isEarlierEntry = registeredRevision !== undefined && isAfter(registeredRevision, removed)
    if (!isEarlierEntry) {
      registeredMs = Infinity
      registeredRevision = undefined
      wasRegistered = false
    }
    void register()
  }

  /** Writes what a store that was restored from an older copy has lost: the entry of this VM, and the key of the links. */
  function restoreOwnObjects (objects: readonly StoredObject[]): void {
    if (leaving) return
    const own = objects.find(({ name }) => name === settings.vm)?.spec as FleetEntry | undefined
    if (own?.boot !== boot) void register()
    void restoreKey()
  }

  const followedEntries = follow({
    kind: FLEET_KIND,
    waitMs: FLEET_POLL_WAIT_MS,
    coalesceMs: FLEET_COALESCE_MS,
    onStoreRestored: restoreOwnObjects,
    onSnapshot (objects) {
      registeredVms = undefined
      for (const vm of [...entries.keys()]) if (vm !== settings.vm) entries.delete(vm)
      for (const object of objects) applyEntry(object, false)
    },
    onChange: ({ object, deleted }) => applyEntry(object, deleted)
  })

  /** Repeats a step that needs the store until it succeeds; returns `undefined` when this VM leaves. */
  async function retryUntilDone<Result> (stepName: string, step: () => Promise<Result | undefined>): Promise<Result | undefined> {
    for (;;) {
      if (leaving) return undefined
      try {
        const result = await step()
        if (result !== undefined) return result
      } catch (error) {
        metrics.count('retries', stepName)
        log.warn('a step of joining the fleet failed and is repeated', { what: stepName, error: errorMessage(error) })
      }
      await clock.sleep(REGISTER_RETRY_DELAY_MS * (0.5 + random()))
    }
  }

  async function register (): Promise<void> {
    const registry = countCalls(store, { metrics, reason: 'register' })
    await entriesLoaded()
    const registered = await retryUntilDone('register', async () => {
      if (earlierRevision) {
        const replaced = await registry.replace(FLEET_KIND, settings.vm, ownEntry, earlierRevision)
        earlierRevision = undefined
        if (replaced && registeredMs === Infinity) wasRegistered = true
        if (replaced) return replaced
      }
      const created = await registry.create(FLEET_KIND, settings.vm, ownEntry)
      // The others may have removed an earlier entry in the meantime, and know this VM only from this one.
      if (created && registeredMs === Infinity) wasRegistered = false
      if (created) return created
      const existing = await registry.get(FLEET_KIND, settings.vm)
      if ((existing?.spec as FleetEntry | undefined)?.boot === boot) return existing
      // What the earlier process has sent counts from before the start of this one.
      if (existing && registeredMs === Infinity) wasRegistered = true
      return existing && await registry.replace(FLEET_KIND, settings.vm, ownEntry, existing.revision)
    })
    if (!registered) return
    registeredMs = Math.min(registeredMs, clock.now())
    registeredRevision = registered.revision
  }

  /** Returns the stored key; stores the given one if there is none. */
  async function readKey (initialKey: string): Promise<string | undefined> {
    const keys = countCalls(store, { metrics, reason: 'peer_key' })
    const keyObject = await retryUntilDone('peer_key', async () => await keys.get(KEY_KIND, KEY_NAME) ?? await keys.create(KEY_KIND, KEY_NAME, { key: initialKey }))
    const key = (keyObject?.spec as PeerKey | undefined)?.key
    return typeof key === 'string' ? key : undefined
  }

  async function joinPeers (): Promise<void> {
    const key = await readKey(randomId('key') + randomId(''))
    if (key === undefined) return
    linkKeys = [key]
    peers.setSharedKeys(linkKeys)
    await peers.listen()
    areLinksOpen = true
    await entriesLoaded()
    await membership.start()
  }

  /** Waits for the list of the VMs: it shows whether the own entry exists, and the membership contacts the VMs on it when it starts, and again only after seconds. */
  async function entriesLoaded (): Promise<void> {
    const untilMs = clock.now() + LIST_WAIT_MS
    for (;;) {
      if (leaving || followedEntries.isLoaded() || clock.now() >= untilMs) return
      await clock.sleep(LIST_CHECK_PERIOD_MS)
    }
  }

  /** VMs that started after the restore may have stored another key; both are accepted then. */
  async function restoreKey (): Promise<void> {
    const [ownKey] = linkKeys
    if (ownKey === undefined) return
    const key = await readKey(ownKey)
    if (key === undefined || linkKeys.includes(key)) return
    linkKeys = [key, ...linkKeys]
    peers.setSharedKeys(linkKeys)
  }

  function isLiveOrSuspect (member: Member | undefined): boolean {
    return member?.state === 'live' || member?.state === 'suspect'
  }

  /** Removes the entries of VMs that have been absent for too long; only the first available VM in rendezvous order does so. */
  function removeExpiredEntries (): void {
    const [cleanupVm] = rendezvousOrder(FLEET_KIND, membership.available().map(({ vm }) => vm))
    for (const vm of entries.keys()) {
      if (vm === settings.vm || isLiveOrSuspect(membership.get(vm))) {
        absentSinceMs.delete(vm)
        continue
      }
      const vmAbsentSinceMs = absentSinceMs.get(vm) ?? clock.now()
      absentSinceMs.set(vm, vmAbsentSinceMs)
      if (cleanupVm !== settings.vm || clock.now() - vmAbsentSinceMs < VM_ENTRY_EXPIRY_MS) continue
      absentSinceMs.delete(vm)
      log.info('removing the entry of an absent VM', { gone: vm })
      countCalls(store, { metrics, reason: 'absent_vm' }).delete(FLEET_KIND, vm).catch((error: unknown) => log.warn('the entry of an absent VM could not be removed', { gone: vm, error: errorMessage(error) }))
    }
  }

  return {
    boot,
    peers,
    /** Whether the entries of the other VMs have been loaded; before that, this VM would take whole limits for its part of them. */
    isLoaded: followedEntries.isLoaded,
    /** Whether an earlier process of this VM was registered. The list may already have the entry of this one. */
    isRestart: () => hasEarlierEntry || wasRegistered,
    /** Whether the links to the other VMs can be used. */
    areLinksOpen: () => areLinksOpen,
    /** Monotonic time from which the other VMs have read an entry of this one, if they reach the store; Infinity before it is registered. */
    knownSinceMs (): number {
      if (registeredMs === Infinity) return Infinity
      return wasRegistered ? processStartedMs ?? createdMs : registeredMs + FLEET_COALESCE_MS
    },
    start (): void {
      void register()
      joinPeers().catch((error: unknown) => log.error('the links to the other VMs could not be opened', { error: errorMessage(error) }))
      cancelCleanup = clock.every(CLEANUP_PERIOD_MS, removeExpiredEntries)
    },
    /**
     * All registered VMs. Limits for the whole fleet are divided by their number, because a VM that is cut off may still
     * send requests. Returns the same array until an entry changes.
     */
    vms (): readonly VmId[] {
      registeredVms ??= [...entries.keys()]
      return registeredVms
    },
    /** VMs that respond to pings, including this one. */
    liveVms: (): readonly VmId[] => membership.available().map(({ vm }) => vm),
    isLive: (vm: VmId): boolean => isLiveOrSuspect(membership.get(vm)),
    /** Keys of the links, the stored one first; empty before it has been read. */
    linkKeys: (): readonly string[] => linkKeys,
    /** Address for callers of a registered VM. */
    callerAddressOf: (vm: VmId): string | undefined => entries.get(vm)?.callerAddress,
    /** The members behind `liveVms`. */
    available: (): readonly Member[] => membership.available(),
    /** VMs that may relay the store: the live ones, and while this VM starts also those that it has not met yet. */
    relayCandidates (): readonly PlacedVm[] {
      const live = membership.available()
      if (clock.now() - createdMs > MEETING_TIME_MS) return live
      const unmet = [...entries].filter(([vm]) => !membership.get(vm)).map(([vm, { dataCentre }]) => ({ vm, dataCentre: brandId<DataCentreId>(dataCentre) }))
      return [...live, ...unmet]
    },
    /** Caller addresses of the live VMs that `choose` returns; suspect VMs only if there are no others. */
    addresses (isSelfReady: boolean, choose = (vms: readonly VmId[]): readonly VmId[] => vms): string[] {
      const others = [...entries.keys()].filter(vm => vm !== settings.vm)
      const vmsInState = (state: Member['state']) => others.filter(vm => membership.get(vm)?.state === state)
      const usable = [...vmsInState('live'), ...isSelfReady ? [settings.vm] : []]
      const addressOf = (vm: VmId) => (vm === settings.vm ? ownEntry : entries.get(vm)!).callerAddress
      return choose(usable.length > 0 ? usable : vmsInState('suspect')).map(addressOf)
    },
    /** Stops immediately, without notifying the other VMs. */
    async close (): Promise<void> {
      leaving = true
      cancelCleanup?.()
      await membership.stop()
      await peers.close()
    },
    /** Ends this VM's membership, so that callers are no longer sent to it. It stays registered and keeps its parts of the limits. */
    async leave (): Promise<void> {
      leaving = true
      cancelCleanup?.()
      await membership.leave()
    },
    /** Gives up this VM's parts of the limits; called when nothing that it has sent counts against them any more. */
    async unregister (): Promise<void> {
      try {
        await countCalls(store, { metrics, reason: 'unregister' }).delete(FLEET_KIND, settings.vm)
      } catch (error) {
        log.warn('the entry of this VM could not be removed', { error: errorMessage(error) })
      }
    }
  }
}

export type Fleet = ReturnType<typeof createFleet>
