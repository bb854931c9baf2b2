/**
 * Replicates the store's objects to all VMs with few calls to the store: some VMs, the roots, follow the store and the
 * others follow a root or a relay. A VM follows the store directly while it is a root, knows too few other VMs, or finds
 * no relay with current copies. A VM that starts lists the VMs in the store and then looks for a relay. One that restarts
 * lists all kinds there, because after a power loss of all VMs the relays start anew themselves. A relay's response
 * contains the age of the store's confirmation, so that a VM knows the age of its data whatever the source.
 */
import { readInstant, type Clock, type TimerCancel } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { countCalls, createObjectFeed, createRetryTurns, isAfter, type ObjectFeed, type ObjectStore, type Revision, type StoredObject } from '../object-feed/index.ts'
import { COALESCE_MS, LIST_CHECK_MS, MAX_CONFIRMATION_AGE_MS, MAX_RELAYS_TRIED, MIN_HOLD_MS, POLL_HOLD_MS, POLL_TIMEOUT_MS, RELAY_BACKOFF_MS, ROLE_CHECK_PERIOD_MS, START_RELAY_WAIT_MS, START_RETRY_MS } from './constants.ts'
import { chooseRelays, type PlacedVm } from './relay-choice.ts'
import { createReplica, type Replica } from './replica.ts'
import type { FeedPoll, FeedPollResponse, KindSubscription, KindUpdate, RelayedObject } from './types.ts'

export type { FeedPoll, FeedPollResponse, KindSubscription } from './types.ts'

export interface FeedRelayOptions {
  self: PlacedVm
  store: Pick<ObjectStore, 'list' | 'watch' | 'get'>
  /** Maximum time between two lists of one kind, in milliseconds; must be shorter than the store's history. */
  relistMs: number
  /** Kind whose confirmation shows that a relay can reach the store; this kind has the shortest polls. */
  confirmationKind: string
  /** Kind that names the other VMs; a VM that starts looks for a relay once it knows others. */
  vmKind: string
  /** Whether the list of the VMs contains an entry of an earlier process of this VM. Default: it does not. */
  isRestart?: () => boolean
  /**
   * Time from which the silence of the store counts as an outage, in milliseconds: shorter ones, such as a call that is cut
   * off, let no entries lapse. Default: any silence.
   */
  minOutageMs?: number
  /** Live VMs; may leave out this one. */
  liveVms: () => readonly PlacedVm[]
  poll(to: VmId, poll: FeedPoll, timeoutMs: number): Promise<FeedPollResponse>
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
}

export interface FollowedKind {
  /** Whether the objects have been loaded. */
  isLoaded(): boolean
  /** Monotonic time at which the last successful call to the store was sent. */
  confirmedMs(): number
}

interface HeldPoll { sinceMs: number, finish(): void }

interface Kind { subscription: KindSubscription, replica: Replica, feed: ObjectFeed }

export function createFeedRelay (options: FeedRelayOptions) {
  const { self, store, relistMs, confirmationKind, vmKind, isRestart = () => false, minOutageMs = 0, liveVms, poll, clock, log, metrics, random } = options
  const kinds = new Map<string, Kind>()
  const backoffUntilMs = new Map<VmId, number>()
  /** Polls of other VMs that wait for changes. */
  const heldPolls = new Set<HeldPoll>()
  const retryTurns = createRetryTurns({ clock, random, relayedMs: () => Math.max(-Infinity, ...[...kinds.values()].map(({ replica }) => replica.confirmedMs())) })
  let running = false
  let startedMs = -Infinity
  /** Monotonic time of the last current answer of a relay. */
  let relayedMs = -Infinity
  /** Current source of the copies; undefined before the start. */
  let source: VmId | 'store' | undefined
  let cancelCoalesce: TimerCancel | undefined
  let endSourceChoice = () => {}
  /** Resolves when a source is chosen. Until then, the feeds list their kinds but do not read changes. */
  const sourceChoice = new Promise<void>(resolve => { endSourceChoice = resolve })

  function follow (subscription: KindSubscription): FollowedKind {
    const replica = createReplica({
      ...subscription,
      onSnapshot (objects) {
        subscription.onSnapshot(objects)
        scheduleHeldResponses()
      },
      onChange (change) {
        subscription.onChange(change)
        scheduleHeldResponses()
      },
      onConfirmed (sent) {
        subscription.onConfirmed?.(sent)
        if (subscription.kind === confirmationKind) finishHeldPolls(MIN_HOLD_MS)
      }
    }, clock)
    const { kind, waitMs, coalesceMs = 0 } = subscription
    const feed = createObjectFeed({
      kind,
      source: store,
      waitMs,
      coalesceMs,
      relistMs,
      retryTurns,
      // The other VMs may still register while this one looks for a relay.
      whenListed: kind === vmKind ? undefined : () => sourceChoice,
      onSnapshot: replica.applySnapshot,
      onChange: replica.applyChange,
      onStoreRecovered (awayMs) {
        // Another VM may have passed on confirmations meanwhile.
        const silentMs = Math.min(awayMs, clock.now() - replica.confirmedMs())
        if (silentMs >= minOutageMs) replica.recordRecovery()
        else log.info('the store was not away for long enough for entries to lapse', { kind, silentMs: Math.round(silentMs) })
      },
      onConfirmed: replica.confirm,
      clock,
      log,
      metrics,
      random
    })
    kinds.set(kind, { subscription, replica, feed })
    return { isLoaded: replica.isLoaded, confirmedMs: replica.confirmedMs }
  }

  function scheduleHeldResponses (): void {
    if (heldPolls.size === 0) return
    cancelCoalesce ??= clock.after(COALESCE_MS, () => {
      cancelCoalesce = undefined
      finishHeldPolls()
    })
  }

  function finishHeldPolls (minHeldMs = 0): void {
    for (const { sinceMs, finish } of [...heldPolls]) if (clock.now() - sinceMs >= minHeldMs) finish()
  }

  function switchSource (next: VmId | 'store'): void {
    if (source === next) return
    log.info('the store is followed through', { source: next, before: source })
    metrics.count('feed_source', next === 'store' ? 'store' : 'relay')
    // The relays may have no current copies because no VM reaches the store.
    if (next === 'store' && source !== undefined) retryTurns.recordUnknown()
    source = next
    for (const { feed } of kinds.values()) {
      if (next === 'store') feed.start()
      else feed.stop()
    }
    endSourceChoice()
  }

  async function run (): Promise<void> {
    await loadVms()
    for (;;) {
      if (!running) return
      const { isRoot, sources } = chooseRelays(liveVms(), self)
      const usableSources = sources.filter(vm => (backoffUntilMs.get(vm) ?? -Infinity) <= clock.now())
      if (isRoot) switchSource('store')
      const relay = isRoot && !isRefused() ? undefined : await pollAvailableRelay(usableSources)
      if (!running) return
      if (!isRoot && (relay !== undefined || !isStarting())) switchSource(relay ?? 'store')
      if (isRoot || relay === undefined) await clock.sleep(isStarting() ? startRetryMs() : ROLE_CHECK_PERIOD_MS)
    }
  }

  /** Lists the VMs in the store, and after a restart all other kinds, side by side. Returns when other VMs are known, from the list or because they have made contact. */
  async function loadVms (): Promise<void> {
    const { feed: vmFeed, replica } = kinds.get(vmKind)!
    vmFeed.start()
    while (!replica.isLoaded() && !liveVms().some(({ vm }) => vm !== self.vm)) {
      if (!running) return
      await clock.sleep(LIST_CHECK_MS)
    }
    if (isRestart()) for (const { feed } of kinds.values()) feed.start()
  }

  /** Whether the store has not answered the latest call for one of the kinds; a root then gets its copies from the other root as well. */
  function isRefused (): boolean {
    return [...kinds.values()].some(({ feed }) => feed.isDisconnected())
  }

  /** Whether this VM has no source yet and may wait for a relay; all VMs may have started at the same time. */
  function isStarting (): boolean {
    return source === undefined && clock.now() - startedMs < START_RELAY_WAIT_MS
  }

  function startRetryMs (): number {
    return START_RETRY_MS * (0.5 + random())
  }

  /** Polls the relays in order until one returns current data; returns that relay. */
  async function pollAvailableRelay (relays: readonly VmId[]): Promise<VmId | undefined> {
    for (const relay of relays.slice(0, MAX_RELAYS_TRIED)) {
      try {
        if (await pollRelay(relay)) return relay
        metrics.count('feed_relay_failures', 'stale')
      } catch (error) {
        metrics.count('feed_relay_failures', 'unreachable')
        log.debug('relay does not respond', { relay, error: errorMessage(error) })
      }
      backoffUntilMs.set(relay, clock.now() + (isStarting() ? startRetryMs() : RELAY_BACKOFF_MS))
    }
    return undefined
  }

  async function pollRelay (relay: VmId): Promise<boolean> {
    const sentAt = readInstant(clock)
    const knownRevisions = Object.fromEntries([...kinds].map(([kind, { replica }]) => [kind, replica.revision() ?? null]))
    // The first poll to a new relay is not held, so that the VM gets its data immediately.
    const holdMs = source === relay ? POLL_HOLD_MS : 0
    const { kinds: updates, heldMs } = await poll(relay, { known: knownRevisions, holdMs }, holdMs + POLL_TIMEOUT_MS)
    if (!running || !updates) return false
    for (const [kind, { replica }] of kinds) {
      const update = updates[kind]
      if (!update) return false
      await applyUpdate(kind, replica, update)
      // The relay created the response no earlier than `heldMs` after the poll was sent.
      const shiftMs = heldMs - update.ageMs
      replica.confirm({ monotonicMs: sentAt.monotonicMs + shiftMs, wallMs: sentAt.wallMs + shiftMs })
    }
    relayedMs = clock.now()
    return true
  }

  async function applyUpdate (kind: string, replica: Replica, { revision, objects, changes, regainedAgoMs }: KindUpdate): Promise<void> {
    if (regainedAgoMs !== undefined) replica.recordRecovery(regainedAgoMs)
    if (objects) {
      const completeObjects = await Promise.all(objects.map(object => readComplete(kind, object)))
      replica.applySnapshot(completeObjects.filter(object => object !== undefined), revision)
    }
    const completeChanges = await Promise.all((changes ?? []).map(async ({ object, deleted }) => (
      { deleted, object: deleted ? { spec: undefined, status: undefined, ...object } : await readComplete(kind, object) }
    )))
    // In one turn: between two changes of a revision, a poll would be answered with this revision and only some of them.
    for (const { object, deleted } of completeChanges) if (object) replica.applyChange({ object, deleted }, revision)
    replica.advance(revision)
  }

  /** Reads a large object from the store and returns others unchanged; undefined when the object has been deleted in the meantime. */
  async function readComplete (kind: string, object: RelayedObject): Promise<StoredObject | undefined> {
    return 'isLarge' in object ? await countCalls(store, { metrics, reason: 'large_object' }).get(kind, object.name) : object
  }

  /** Responds to the poll of another VM, immediately if there are changes and otherwise after the hold. */
  async function answerPoll ({ known: knownRevisions, holdMs }: FeedPoll): Promise<FeedPollResponse> {
    const receivedMs = clock.now()
    const hasChanges = () => [...kinds].some(([kind, { replica }]) => isNewer(replica.revision(), knownRevisions[kind] ?? undefined))
    if (holdMs > 0 && hasCurrentCopies() && !hasChanges()) await waitForChanges(Math.min(holdMs, POLL_HOLD_MS, MAX_CONFIRMATION_AGE_MS - confirmationAgeMs()))
    const heldMs = clock.now() - receivedMs
    if (!hasCurrentCopies()) return { heldMs }
    const updates: Record<string, KindUpdate> = {}
    for (const [kind, { replica }] of kinds) {
      const update = replica.updateSince(knownRevisions[kind] ?? null)
      if (update) updates[kind] = update
    }
    return { kinds: updates, heldMs }
  }

  /** Whether this VM's copies are complete and recent enough to serve to other VMs. */
  function hasCurrentCopies (): boolean {
    const followedKinds = [...kinds.values()]
    if (!followedKinds.every(({ replica }) => replica.isLoaded())) return false
    // A root that the store refuses has current copies as well while another root answers it.
    const isRelayed = source !== 'store' || clock.now() - relayedMs <= MAX_CONFIRMATION_AGE_MS
    return confirmationAgeMs() <= MAX_CONFIRMATION_AGE_MS && (isRelayed || !isRefused())
  }

  function confirmationAgeMs (): number {
    return kinds.get(confirmationKind)?.replica.ageMs() ?? Infinity
  }

  function waitForChanges (holdMs: number): Promise<void> {
    return new Promise(resolve => {
      const held: HeldPoll = {
        sinceMs: clock.now(),
        finish () {
          cancel()
          heldPolls.delete(held)
          resolve()
        }
      }
      const cancel = clock.after(holdMs, held.finish)
      heldPolls.add(held)
    })
  }

  return {
    /** Subscribes to a kind; must be called before the start. */
    follow,
    start (): void {
      running = true
      startedMs = clock.now()
      void run()
    },
    stop (): void {
      running = false
      for (const { feed } of kinds.values()) feed.stop()
      finishHeldPolls()
    },
    answerPoll
  }
}

function isNewer (revision: Revision | undefined, known: Revision | undefined): boolean {
  return revision !== undefined && (known === undefined || isAfter(revision, known))
}

export type FeedRelay = ReturnType<typeof createFeedRelay>
