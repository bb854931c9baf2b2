/**
 * A VM's copy of all objects of one kind, independent of the source of its updates. It reports each change once and in
 * order, and keeps the most recent changes for the VMs that poll this one. When the store has been restored from an older
 * copy, what the copy lacks or has back is withheld for a time, because its writers write it again.
 */
import { longestElapsedMs, type Clock, type TimerCancel } from '../clock/index.ts'
import { isAfter, isSameRevision, type Change, type Revision, type SendTime, type StoredObject } from '../object-feed/index.ts'
import { LARGE_OBJECT_BYTES, MAX_RECENT_CHANGES, RECOVERY_REPORT_MS, RESTORED_HOLD_MS } from './constants.ts'
import type { KindSubscription, KindUpdate, RelayedObject } from './types.ts'

interface RecentChange { change: Change, revision: Revision }

const specSizes = new WeakMap<StoredObject, number>()

function hasSameContent (left: StoredObject, right: StoredObject): boolean {
  return JSON.stringify([left.spec, left.status]) === JSON.stringify([right.spec, right.status])
}

/** Omits a spec that is too large for the link of a relay with many followers; followers read such objects from the store. */
function withoutLargeSpec (object: StoredObject): RelayedObject {
  const bytes = specSizes.get(object) ?? JSON.stringify(object.spec ?? null).length
  specSizes.set(object, bytes)
  if (bytes <= LARGE_OBJECT_BYTES) return object
  const { name, revision } = object
  return { name, revision, isLarge: true }
}

export function createReplica ({ onSnapshot, onChange, onConfirmed, onStoreRecovered, onStoreRestored, keepsKnownContent = false }: KindSubscription, clock: Clock) {
  const objects = new Map<string, StoredObject>()
  let revision: Revision | undefined
  const recentChanges: RecentChange[] = []
  /** Revision after which no change is missing from the recent changes. */
  let completeSince: Revision = { era: 0, number: 0 }
  /** Changes to what was known that only a restored copy of the store shows, by the names of the objects. */
  const withheld = new Map<string, Change>()
  let cancelRelease: TimerCancel | undefined
  let confirmed: SendTime = { monotonicMs: -Infinity, wallMs: -Infinity }
  let recoveredMs = -Infinity

  function applySnapshot (listedObjects: readonly StoredObject[], listRevision: Revision): void {
    if (revision === undefined) {
      for (const object of listedObjects) objects.set(object.name, object)
      completeSince = latestRevision(listedObjects, listRevision)
      revision = listRevision
      onSnapshot([...listedObjects])
      return
    }
    if (isAfter(revision, listRevision)) return
    if (listRevision.era > revision.era) return applyRestored(listedObjects, listRevision)
    // A later list is converted to changes, so that followers do not have to receive the complete list.
    for (const change of changesTo(listedObjects)) applyChange(change, listRevision)
    revision = listRevision
  }

  /** Changes from this copy to a complete list, including objects that the list contains unchanged. */
  function changesTo (listedObjects: readonly StoredObject[]): Change[] {
    const names = new Set(listedObjects.map(({ name }) => name))
    const missing = [...objects.values()].filter(({ name }) => !names.has(name))
    return [...missing.map(object => ({ object, deleted: true })), ...listedObjects.map(object => ({ object, deleted: false }))]
  }

  function applyRestored (listedObjects: readonly StoredObject[], listRevision: Revision): void {
    recordRecovery()
    onStoreRestored?.(listedObjects)
    const deletedNames = new Set(recentChanges.filter(({ change }) => change.deleted).map(({ change }) => change.object.name))
    for (const change of changesTo(listedObjects)) {
      const { object, deleted } = change
      const known = objects.get(object.name)
      if (deleted) objects.delete(object.name)
      else objects.set(object.name, object)
      if (known && !deleted && hasSameContent(known, object)) continue
      const isGoneOrBack = known ? deleted : deletedNames.has(object.name)
      if (isGoneOrBack || (known && keepsKnownContent)) withheld.set(object.name, change)
      else onChange(change)
    }
    // The followers have other differences to the restored copy, so they need all of it.
    recentChanges.length = 0
    completeSince = latestRevision(listedObjects, listRevision)
    revision = listRevision
    cancelRelease?.()
    cancelRelease = clock.after(RESTORED_HOLD_MS, releaseWithheld)
  }

  function releaseWithheld (): void {
    const changes = [...withheld.values()]
    withheld.clear()
    for (const change of changes) onChange(change)
  }

  function applyChange (change: Change, batchRevision: Revision): void {
    const { object, deleted } = change
    const existing = objects.get(object.name)
    if (!revision || isAfter(batchRevision, revision)) revision = batchRevision
    if (existing ? isAfter(existing.revision, object.revision) || (!deleted && isSameRevision(existing.revision, object.revision)) : deleted) return
    if (deleted) objects.delete(object.name)
    else objects.set(object.name, object)
    // A list takes several calls, so an object in it may be newer than the list; a follower that has the list's revision lacks it.
    recentChanges.push({ change, revision: laterOf(batchRevision, object.revision) })
    if (recentChanges.length > MAX_RECENT_CHANGES) completeSince = laterOf(completeSince, recentChanges.shift()!.revision)
    withheld.delete(object.name)
    onChange(change)
  }

  function recordRecovery (agoMs = 0): void {
    const atMs = clock.now() - agoMs
    // Several sources may report the end of the same outage.
    if (atMs < recoveredMs + RECOVERY_REPORT_MS) return
    recoveredMs = atMs
    onStoreRecovered?.()
  }

  /** Time since the store confirmed this copy. */
  function ageMs (): number {
    return longestElapsedMs(clock, confirmed)
  }

  return {
    applySnapshot,
    applyChange,
    /** Records that there are no further changes up to a revision. */
    advance (to: Revision): void { if (revision !== undefined && isAfter(to, revision)) revision = to },
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
    updateSince (knownRevision: Revision | null): KindUpdate | undefined {
      if (revision === undefined) return undefined
      const regainedAgoMs = clock.now() - recoveredMs
      const update: KindUpdate = { revision, ageMs: ageMs(), ...regainedAgoMs < RECOVERY_REPORT_MS && { regainedAgoMs } }
      if (knownRevision === null || isAfter(completeSince, knownRevision)) return { ...update, objects: [...objects.values()].map(withoutLargeSpec) }
      const changes = recentChanges.filter(entry => isAfter(entry.revision, knownRevision)).map(({ change }) => ({ ...change, object: withoutLargeSpec(change.object) }))
      return changes.length > 0 ? { ...update, changes } : update
    }
  }
}

export type Replica = ReturnType<typeof createReplica>

const laterOf = (one: Revision, other: Revision): Revision => isAfter(one, other) ? one : other

/** The latest of a list and its objects, which may be newer, as a list takes several calls. */
function latestRevision (objects: readonly StoredObject[], listRevision: Revision): Revision {
  return objects.reduce((latest, { revision }) => laterOf(latest, revision), listRevision)
}
