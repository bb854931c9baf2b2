/**
 * A VM's copy of all objects of one kind, independent of the source of its updates. It reports each change once and in
 * order, and keeps the most recent changes for the VMs that poll this one.
 */
import type { Clock } from '../clock/index.ts'
import type { Change, SendTime, StoredObject } from '../object-feed/index.ts'
import { LARGE_OBJECT_BYTES, MAX_RECENT_CHANGES, RECOVERY_REPORT_MS } from './constants.ts'
import type { KindSubscription, KindUpdate, RelayedObject } from './types.ts'

interface RecentChange { change: Change, revision: number }

const specSizes = new WeakMap<StoredObject, number>()

/** Omits a spec that is too large for the link of a relay with many followers; followers read such objects from the store. */
function withoutLargeSpec (object: StoredObject): RelayedObject {
  const bytes = specSizes.get(object) ?? JSON.stringify(object.spec ?? null).length
  specSizes.set(object, bytes)
  if (bytes <= LARGE_OBJECT_BYTES) return object
  const { name, revision } = object
  return { name, revision, isLarge: true }
}

export function createReplica ({ onSnapshot, onChange, onConfirmed, onStoreRecovered }: KindSubscription, clock: Clock) {
  const objects = new Map<string, StoredObject>()
  let revision: number | undefined
  const recentChanges: RecentChange[] = []
  /** Revision after which no change is missing from the recent changes. */
  let completeSince = 0
  let confirmed: SendTime = { monotonicMs: -Infinity, wallMs: -Infinity }
  let recoveredMs = -Infinity

  function applySnapshot (listedObjects: readonly StoredObject[], listRevision: number): void {
    if (revision === undefined) {
      for (const object of listedObjects) objects.set(object.name, object)
      completeSince = listRevision
      revision = listRevision
      onSnapshot([...listedObjects])
      return
    }
    if (listRevision < revision) return
    // A later list is converted to changes, so that followers do not have to receive the complete list.
    const names = new Set(listedObjects.map(({ name }) => name))
    const missing = [...objects.values()].filter(({ name }) => !names.has(name))
    for (const object of missing) applyChange({ object, deleted: true }, listRevision)
    for (const object of listedObjects) applyChange({ object, deleted: false }, listRevision)
    revision = listRevision
  }

  function applyChange (change: Change, batchRevision: number): void {
    const { object, deleted } = change
    const existing = objects.get(object.name)
    revision = Math.max(revision ?? 0, batchRevision)
    if (existing ? existing.revision > object.revision || (!deleted && existing.revision === object.revision) : deleted) return
    if (deleted) objects.delete(object.name)
    else objects.set(object.name, object)
    recentChanges.push({ change, revision: batchRevision })
    if (recentChanges.length > MAX_RECENT_CHANGES) completeSince = recentChanges.shift()!.revision
    onChange(change)
  }

  function recordRecovery (agoMs = 0): void {
    const atMs = clock.now() - agoMs
    // Several sources may report the end of the same outage.
    if (atMs < recoveredMs + RECOVERY_REPORT_MS) return
    recoveredMs = atMs
    onStoreRecovered?.()
  }

  /** Time since the store confirmed this copy: the longer of the times that the two clocks measure. */
  function ageMs (): number {
    return Math.max(clock.now() - confirmed.monotonicMs, clock.wallMs() - confirmed.wallMs)
  }

  return {
    applySnapshot,
    applyChange,
    /** Records that there are no further changes up to a revision. */
    advance (to: number): void { if (revision !== undefined && to > revision) revision = to },
    confirm (sent: SendTime): void {
      if (sent.monotonicMs > confirmed.monotonicMs) confirmed = sent
      onConfirmed?.(sent)
    },
    recordRecovery,
    isLoaded: () => revision !== undefined,
    revision: () => revision,
    ageMs,
    confirmedMs: () => confirmed.monotonicMs,
    /**
     * Returns the update for a VM that has the kind up to a revision; undefined before the first list. A VM with a higher
     * revision gets no changes: if there were later ones, either this copy would contain them or its stated age would be
     * wrong.
     */
    updateSince (knownRevision: number | null): KindUpdate | undefined {
      if (revision === undefined) return undefined
      const regainedAgoMs = clock.now() - recoveredMs
      const update: KindUpdate = { revision, ageMs: ageMs(), ...regainedAgoMs < RECOVERY_REPORT_MS && { regainedAgoMs } }
      if (knownRevision === null || knownRevision < completeSince) return { ...update, objects: [...objects.values()].map(withoutLargeSpec) }
      const changes = recentChanges.filter(entry => entry.revision > knownRevision).map(({ change }) => ({ ...change, object: withoutLargeSpec(change.object) }))
      return changes.length > 0 ? { ...update, changes } : update
    }
  }
}

export type Replica = ReturnType<typeof createReplica>
