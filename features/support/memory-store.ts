/** In-memory object store for tests of the object feed and of forwarding VMs, with faults that tests inject. */
import { ObjectApiError } from '../../src/core/errors/index.ts'
import type { Change, ObjectStore, Revision, StoredObject } from '../../src/core/object-feed/index.ts'

export interface MemoryStore extends ObjectStore {
  put(kind: string, name: string, spec: unknown): void
  remove(kind: string, name: string): void
  /** While set, all calls fail. */
  setDown(down: boolean): void
  /** While set, removals get no response. */
  setRemovalsSilent(silent: boolean): void
  /** While set, lists of the kind fail. */
  setListDown(kind: string, down: boolean): void
  /** Cuts off the watches of the kind that wait, while the store goes on answering. */
  cutWatches(kind: string): void
  /** Drops the history, so that watches from older revisions return undefined. */
  dropHistory(): void
  /** While set, watches return no changes. */
  setChangesHidden(hidden: boolean): void
  /** Keeps a copy of the current content and returns a function that restores it, as the next era of the store. */
  copy(): () => void
  /** Revision of the latest change. */
  revision(): Revision
  /** Reads without a call. */
  peek(kind: string, name: string): StoredObject | undefined
  names(kind: string): string[]
  /** Operation and kind of each call, in order. */
  calls: string[]
}

export function createMemoryStore (): MemoryStore {
  const kinds = new Map<string, Map<string, StoredObject>>()
  let history: { kind: string, revision: number, change: Change }[] = []
  const waiting = new Set<() => void>()
  const calls: string[] = []
  let era = 1
  let revision = 1
  let oldestRevision = 0
  let down = false
  let removalsSilent = false
  const kindsDown = new Set<string>()
  let changesHidden = false
  const cutOff = new Map<string, number>()

  const objectsOf = (kind: string) => {
    const objects = kinds.get(kind) ?? new Map<string, StoredObject>()
    kinds.set(kind, objects)
    return objects
  }

  const nextRevision = (): Revision => ({ era, number: ++revision })
  const hasRevision = (object: StoredObject | undefined, { era: expectedEra, number }: Revision) => expectedEra === era && object?.revision.number === number

  function record (kind: string, object: StoredObject, deleted: boolean): StoredObject {
    if (deleted) objectsOf(kind).delete(object.name)
    else objectsOf(kind).set(object.name, object)
    history.push({ kind, revision, change: { object, deleted } })
    if (!changesHidden) for (const wake of [...waiting]) wake()
    return object
  }

  function recordCall (call: string): void {
    calls.push(call)
    if (down) throw new ObjectApiError('object_api_unavailable')
  }

  const changesSince = (kind: string, after: number) => history.filter(entry => entry.kind === kind && entry.revision > after).map(({ change }) => change)

  const store: MemoryStore = {
    calls,
    put (kind, name, spec) {
      const status = objectsOf(kind).get(name)?.status
      record(kind, { name, revision: nextRevision(), spec, status }, false)
    },
    remove (kind, name) {
      const object = objectsOf(kind).get(name)
      if (object) record(kind, { ...object, revision: nextRevision() }, true)
    },
    setDown (value) {
      down = value
      for (const wake of [...waiting]) wake()
    },
    setRemovalsSilent (value) { removalsSilent = value },
    setListDown (kind, value) {
      if (value) kindsDown.add(kind)
      else kindsDown.delete(kind)
    },
    cutWatches (kind) {
      cutOff.set(kind, (cutOff.get(kind) ?? 0) + 1)
      for (const wake of [...waiting]) wake()
    },
    dropHistory () {
      history = []
      oldestRevision = revision
      for (const wake of [...waiting]) wake()
    },
    setChangesHidden (value) { changesHidden = value },
    copy () {
      const content = [...kinds].map(([kind, objects]) => [kind, [...objects.values()]] as const)
      const copied = { history: [...history], revision }
      return () => {
        kinds.clear()
        era++
        for (const [kind, objects] of content) for (const object of objects) objectsOf(kind).set(object.name, { ...object, revision: { ...object.revision, era } })
        ;({ history, revision } = copied)
        for (const wake of [...waiting]) wake()
      }
    },
    revision: () => ({ era, number: revision }),
    peek: (kind, name) => objectsOf(kind).get(name),
    names: kind => [...objectsOf(kind).keys()],
    async list (kind) {
      recordCall(`list ${kind}`)
      if (kindsDown.has(kind)) throw new ObjectApiError('object_api_unavailable')
      return { objects: [...objectsOf(kind).values()], revision: store.revision() }
    },
    async watch (kind, after, waitMs) {
      recordCall(`watch ${kind}`)
      const cuts = cutOff.get(kind)
      const isCutOff = () => cutOff.get(kind) !== cuts
      const isUnknown = () => after.era !== era || after.number < oldestRevision || after.number > revision
      if (isUnknown()) return undefined
      if (changesHidden || changesSince(kind, after.number).length === 0) {
        await new Promise<void>(resolve => {
          const finish = () => {
            clearTimeout(timer)
            waiting.delete(wake)
            resolve()
          }
          const timer = setTimeout(finish, waitMs)
          const wake = () => { if (down || isCutOff() || isUnknown() || changesSince(kind, after.number).length > 0) finish() }
          waiting.add(wake)
        })
      }
      if (down || isCutOff()) throw new ObjectApiError('object_api_unavailable')
      if (isUnknown()) return undefined
      return { changes: changesHidden ? [] : changesSince(kind, after.number), revision: store.revision() }
    },
    async get (kind, name) {
      recordCall(`get ${kind}`)
      return objectsOf(kind).get(name)
    },
    async create (kind, name, spec) {
      recordCall(`create ${kind}`)
      if (objectsOf(kind).has(name)) return undefined
      return record(kind, { name, revision: nextRevision(), spec, status: undefined }, false)
    },
    async replace (kind, name, spec, expected) {
      recordCall(`replace ${kind}`)
      const object = objectsOf(kind).get(name)
      return hasRevision(object, expected) ? record(kind, { ...object!, revision: nextRevision(), spec }, false) : undefined
    },
    async replaceStatus (kind, name, status, expected) {
      recordCall(`status ${kind}`)
      const object = objectsOf(kind).get(name)
      return hasRevision(object, expected) ? record(kind, { ...object!, revision: nextRevision(), status }, false) : undefined
    },
    async delete (kind, name) {
      recordCall(`delete ${kind}`)
      if (removalsSilent) await new Promise(() => {})
      store.remove(kind, name)
    }
  }
  return store
}
