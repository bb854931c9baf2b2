/** Store of the forwarding VMs in memory, with the faults that its users must bear. */
import { ObjectApiError } from '../../src/core/errors/index.ts'
import type { Change, ObjectStore, StoredObject } from '../../src/core/object-feed/index.ts'

export interface MemoryStore extends ObjectStore {
  put(kind: string, name: string, spec: unknown): void
  drop(kind: string, name: string): void
  /** Fails all calls while set. */
  setDown(down: boolean): void
  /** Forgets the history, so that polls from older revisions are told so. */
  forgetHistory(): void
  /** Polls return empty without seeing changes while set. */
  setMute(mute: boolean): void
  calls: string[]
}

export function createMemoryStore (): MemoryStore {
  const kinds = new Map<string, Map<string, StoredObject>>()
  let history: { kind: string, revision: number, change: Change }[] = []
  const waiting = new Set<() => void>()
  const calls: string[] = []
  let revision = 1
  let oldest = 0
  let down = false
  let mute = false

  const ofKind = (kind: string) => {
    const objects = kinds.get(kind) ?? new Map<string, StoredObject>()
    kinds.set(kind, objects)
    return objects
  }

  function record (kind: string, object: StoredObject, deleted: boolean): StoredObject {
    if (deleted) ofKind(kind).delete(object.name)
    else ofKind(kind).set(object.name, object)
    history.push({ kind, revision, change: { object, deleted } })
    if (!mute) for (const wake of [...waiting]) wake()
    return object
  }

  function check (call: string): void {
    calls.push(call)
    if (down) throw new ObjectApiError('object_api_unavailable')
  }

  const since = (kind: string, after: number) => history.filter(entry => entry.kind === kind && entry.revision > after).map(({ change }) => change)

  const store: MemoryStore = {
    calls,
    put (kind, name, spec) {
      const status = ofKind(kind).get(name)?.status
      record(kind, { name, revision: ++revision, spec, status }, false)
    },
    drop (kind, name) {
      const object = ofKind(kind).get(name)
      if (object) record(kind, { ...object, revision: ++revision }, true)
    },
    setDown (value) {
      down = value
      for (const wake of [...waiting]) wake()
    },
    forgetHistory () {
      history = []
      oldest = revision
      for (const wake of [...waiting]) wake()
    },
    setMute (value) { mute = value },
    async list (kind) {
      check(`list ${kind}`)
      return { objects: [...ofKind(kind).values()], revision }
    },
    async watch (kind, after, waitMs) {
      check(`watch ${kind}`)
      if (after < oldest) return undefined
      if (mute || since(kind, after).length === 0) {
        await new Promise<void>(resolve => {
          const finish = () => {
            clearTimeout(timer)
            waiting.delete(finish)
            resolve()
          }
          const timer = setTimeout(finish, waitMs)
          waiting.add(finish)
        })
      }
      if (down) throw new ObjectApiError('object_api_unavailable')
      if (after < oldest) return undefined
      return { changes: mute ? [] : since(kind, after), revision }
    },
    async get (kind, name) {
      check(`get ${kind}`)
      return ofKind(kind).get(name)
    },
    async create (kind, name, spec) {
      check(`create ${kind}`)
      if (ofKind(kind).has(name)) return undefined
      return record(kind, { name, revision: ++revision, spec, status: undefined }, false)
    },
    async replace (kind, name, spec, expected) {
      check(`replace ${kind}`)
      const object = ofKind(kind).get(name)
      return object?.revision === expected ? record(kind, { ...object, revision: ++revision, spec }, false) : undefined
    },
    async replaceStatus (kind, name, status, expected) {
      check(`status ${kind}`)
      const object = ofKind(kind).get(name)
      return object?.revision === expected ? record(kind, { ...object, revision: ++revision, status }, false) : undefined
    },
    async delete (kind, name) {
      check(`delete ${kind}`)
      store.drop(kind, name)
    }
  }
  return store
}
