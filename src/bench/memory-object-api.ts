/**
 * In-memory object API for benchmarks and tests. Each call can have a delay and a fault: the API is unavailable, or the
 * outcome of a write is unknown, whether it took effect (`lost_answer`) or not (`lost_write`).
 */
import type { Clock } from '../core/clock/index.ts'
import { ObjectApiError } from '../core/errors/index.ts'
import type { ObjectApi, ObjectKind, StoredObject } from '../core/object-api/types.ts'

export type ObjectApiFault = 'unavailable' | 'lost_answer' | 'lost_write'
export type ObjectApiCall = 'get' | 'list' | 'create' | 'update' | 'delete'

export interface MemoryObjectApi extends ObjectApi {
  /** Sets the function that selects the fault of each call; undefined means no fault. */
  setFault(fault: (call: ObjectApiCall, kind: ObjectKind, name: string) => ObjectApiFault | undefined): void
  objects(kind: ObjectKind): StoredObject[]
  calls: Record<ObjectApiCall, number>
}

interface MemoryObjectApiOptions { clock?: Clock, delayMs?: () => number }

export function createMemoryObjectApi ({ clock, delayMs = () => 0 }: MemoryObjectApiOptions = {}): MemoryObjectApi {
  const objects = new Map<string, StoredObject>()
  const calls: MemoryObjectApi['calls'] = { get: 0, list: 0, create: 0, update: 0, delete: 0 }
  let resourceVersion = 0
  let selectFault: (call: ObjectApiCall, kind: ObjectKind, name: string) => ObjectApiFault | undefined = () => undefined

  async function call<Result> (type: ObjectApiCall, kind: ObjectKind, name: string, perform: () => Result): Promise<Result> {
    calls[type]++
    const fault = selectFault(type, kind, name)
    if (clock) await clock.sleep(delayMs() / 2)
    else await Promise.resolve()
    if (fault === 'unavailable') throw new ObjectApiError('object_api_unavailable')
    if (fault === 'lost_write') throw new ObjectApiError('object_write_unknown')
    const result = structuredClone(perform())
    if (clock) await clock.sleep(delayMs() / 2)
    if (fault === 'lost_answer') throw new ObjectApiError('object_write_unknown')
    return result
  }

  function put (kind: ObjectKind, name: string, spec: unknown): StoredObject {
    resourceVersion++
    const object = { kind, name, resourceVersion, spec: structuredClone(spec), writeId: `write-${resourceVersion}` }
    objects.set(`${kind}/${name}`, object)
    return object
  }

  function getExisting (kind: ObjectKind, name: string): StoredObject {
    const object = objects.get(`${kind}/${name}`)
    if (!object) throw new ObjectApiError('object_not_found')
    return object
  }

  function checkVersion (kind: ObjectKind, name: string, version: number): void {
    if (getExisting(kind, name).resourceVersion !== version) throw new ObjectApiError('object_conflict')
  }

  const objectsOfKind = (kind: ObjectKind) => [...objects.values()].filter(object => object.kind === kind)

  return {
    calls,
    setFault (fault) { selectFault = fault },
    objects: objectsOfKind,
    get: <Spec>(kind: ObjectKind, name: string) => call('get', kind, name, () => getExisting(kind, name) as StoredObject<Spec>),
    list: <Spec>(kind: ObjectKind) => call('list', kind, '', () => ({ items: objectsOfKind(kind) as StoredObject<Spec>[], resourceVersion })),
    create: <Spec>(kind: ObjectKind, name: string, spec: Spec) => call('create', kind, name, () => {
      if (objects.has(`${kind}/${name}`)) throw new ObjectApiError('object_exists')
      return put(kind, name, spec) as StoredObject<Spec>
    }),
    update: <Spec>(kind: ObjectKind, name: string, spec: Spec, version: number) => call('update', kind, name, () => {
      checkVersion(kind, name, version)
      return put(kind, name, spec) as StoredObject<Spec>
    }),
    delete: (kind, name, version) => call('delete', kind, name, () => {
      checkVersion(kind, name, version)
      objects.delete(`${kind}/${name}`)
      return ++resourceVersion
    }),
    watch: () => { throw new ObjectApiError('object_api_unavailable', { detail: 'The in-memory object API does not support watches.' }) }
  }
}
