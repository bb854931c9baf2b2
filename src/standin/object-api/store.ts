/**
 * In-memory object store with optimistic concurrency. A store-wide counter assigns the resource versions. Watches are
 * served from a bounded history; a watch that starts before it is refused as expired.
 */
import { randomUUID } from 'node:crypto'
import type { StatusReason, WireEvent, WireObject } from './types.ts'

const STATUS_CODES: Record<StatusReason, number> = {
  NotFound: 404, AlreadyExists: 409, Conflict: 409, Expired: 410, Invalid: 422, RequestEntityTooLarge: 413
}

/** Error of a store call, with the reason and status code of the Kubernetes API conventions. */
export class StatusError extends Error {
  readonly reason: StatusReason
  readonly code: number

  constructor (reason: StatusReason, message: string) {
    super(message)
    this.reason = reason
    this.code = STATUS_CODES[reason]
  }
}

export interface StoreOptions {
  maxValueBytes?: number
  /** Number of events kept for watches. */
  maxHistory?: number
}

export interface ObjectStore {
  resourceVersion (): number
  get (kind: string, name: string): WireObject
  list (kind: string): WireObject[]
  create (kind: string, object: WireObject): WireObject
  update (kind: string, name: string, object: WireObject): WireObject
  /** Returns the deleted object, whose resource version is that of the deletion. */
  delete (kind: string, name: string, resourceVersion: string | undefined): WireObject
  /** Returns the events of the kind after the version. Throws `Expired` if the history no longer covers them. */
  eventsAfter (kind: string, resourceVersion: number): WireEvent[]
  subscribe (listener: (event: WireEvent) => void): () => void
  compact (): void
}

export function createObjectStore ({ maxValueBytes = 1_048_576, maxHistory = 10_000 }: StoreOptions = {}): ObjectStore {
  const objects = new Map<string, WireObject>()
  const history: WireEvent[] = []
  const listeners = new Set<(event: WireEvent) => void>()
  let latestVersion = 0
  /** Resource version of the newest event that was removed from the history. */
  let compactedTo = 0

  function getExisting (kind: string, name: string): WireObject {
    const object = objects.get(key(kind, name))
    if (!object) throw new StatusError('NotFound', `${kind} "${name}" not found`)
    return object
  }

  function record (type: WireEvent['type'], object: WireObject): WireObject {
    const event = { type, object }
    history.push(event)
    if (history.length > maxHistory) compactedTo = versionOf(history.shift()!.object)
    for (const listener of listeners) listener(event)
    return object
  }

  function put (type: WireEvent['type'], kind: string, object: WireObject, uid: string): WireObject {
    checkSize(object, maxValueBytes)
    latestVersion += 1
    const metadata = { ...object.metadata, uid, resourceVersion: String(latestVersion) }
    const stored = { ...object, kind, metadata }
    objects.set(key(kind, metadata.name), stored)
    return record(type, stored)
  }

  return {
    resourceVersion: () => latestVersion,
    get: getExisting,
    list: kind => [...objects.values()].filter(object => object.kind === kind),
    create (kind, object) {
      const { name } = object.metadata
      if (objects.has(key(kind, name))) throw new StatusError('AlreadyExists', `${kind} "${name}" already exists`)
      return put('ADDED', kind, object, randomUUID())
    },
    update (kind, name, object) {
      const current = getExisting(kind, name)
      const expected = object.metadata.resourceVersion
      if (!expected) throw new StatusError('Invalid', 'metadata.resourceVersion must be specified for an update')
      checkVersion(current, expected)
      return put('MODIFIED', kind, object, current.metadata.uid!)
    },
    delete (kind, name, expected) {
      const current = getExisting(kind, name)
      if (expected !== undefined) checkVersion(current, expected)
      latestVersion += 1
      objects.delete(key(kind, name))
      return record('DELETED', { ...current, metadata: { ...current.metadata, resourceVersion: String(latestVersion) } })
    },
    eventsAfter (kind, resourceVersion) {
      if (resourceVersion < compactedTo) {
        throw new StatusError('Expired', `too old resource version: ${resourceVersion} (${compactedTo})`)
      }
      return history.filter(({ object }) => object.kind === kind && versionOf(object) > resourceVersion)
    },
    subscribe (listener) {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    compact () {
      history.length = 0
      compactedTo = latestVersion
    }
  }
}

function key (kind: string, name: string): string {
  return `${kind}/${name}`
}

function versionOf (object: WireObject): number {
  return Number(object.metadata.resourceVersion)
}

function checkVersion (current: WireObject, expected: string): void {
  if (current.metadata.resourceVersion === expected) return
  throw new StatusError('Conflict', `the object has been modified; its resource version is ${current.metadata.resourceVersion}`)
}

function checkSize (object: WireObject, maxBytes: number): void {
  const bytes = Buffer.byteLength(JSON.stringify(object.spec ?? null))
  if (bytes > maxBytes) throw new StatusError('RequestEntityTooLarge', `value of ${bytes} bytes exceeds ${maxBytes}`)
}
