/**
 * Object API in memory, for benchmarks and tests of modules that use the interface. Faults are set per call:
 * unavailable calls, writes whose answer is lost and which cannot be read back, and a delay for each call.
 */
import type { Clock } from '../core/clock/index.ts'
import { ObjectApiError } from '../core/errors/index.ts'
import type { ObjectApi, ObjectKind, StoredObject } from '../core/object-api/types.ts'

export type StoreFault = 'unavailable' | 'lost_answer' | 'lost_write'
export type StoreCall = 'get' | 'list' | 'create' | 'update' | 'delete'

export interface MemoryObjectApi extends ObjectApi {
  /** Decides the fault of each call; undefined lets it pass. */
  setFault(fault: (call: StoreCall, kind: ObjectKind, name: string) => StoreFault | undefined): void
  objects(kind: ObjectKind): StoredObject[]
  calls: Record<StoreCall, number>
}

interface MemoryObjectApiOptions { clock?: Clock, delayMs?: () => number }

export function createMemoryObjectApi ({ clock, delayMs = () => 0 }: MemoryObjectApiOptions = {}): MemoryObjectApi {
  const objects = new Map<string, StoredObject>()
  const calls: MemoryObjectApi['calls'] = { get: 0, list: 0, create: 0, update: 0, delete: 0 }
  let resourceVersion = 0
  let faultOf: (call: StoreCall, kind: ObjectKind, name: string) => StoreFault | undefined = () => undefined

  async function call<Result> (type: StoreCall, kind: ObjectKind, name: string, act: () => Result): Promise<Result> {
    calls[type]++
    const fault = faultOf(type, kind, name)
    if (clock) await clock.sleep(delayMs() / 2)
    else await Promise.resolve()
    if (fault === 'unavailable') throw new ObjectApiError('object_api_unavailable')
    if (fault === 'lost_write') throw new ObjectApiError('object_write_unknown')
    const result = structuredClone(act())
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

  function existing (kind: ObjectKind, name: string): StoredObject {
    const found = objects.get(`${kind}/${name}`)
    if (!found) throw new ObjectApiError('object_not_found')
    return found
  }

  function expectVersion (kind: ObjectKind, name: string, version: number): void {
    if (existing(kind, name).resourceVersion !== version) throw new ObjectApiError('object_conflict')
  }

  const ofKind = (kind: ObjectKind) => [...objects.values()].filter(object => object.kind === kind)

  return {
    calls,
    setFault (fault) { faultOf = fault },
    objects: ofKind,
    get: <Spec>(kind: ObjectKind, name: string) => call('get', kind, name, () => existing(kind, name) as StoredObject<Spec>),
    list: <Spec>(kind: ObjectKind) => call('list', kind, '', () => ({ items: ofKind(kind) as StoredObject<Spec>[], resourceVersion })),
    create: <Spec>(kind: ObjectKind, name: string, spec: Spec) => call('create', kind, name, () => {
      if (objects.has(`${kind}/${name}`)) throw new ObjectApiError('object_exists')
      return put(kind, name, spec) as StoredObject<Spec>
    }),
    update: <Spec>(kind: ObjectKind, name: string, spec: Spec, version: number) => call('update', kind, name, () => {
      expectVersion(kind, name, version)
      return put(kind, name, spec) as StoredObject<Spec>
    }),
    delete: (kind, name, version) => call('delete', kind, name, () => {
      expectVersion(kind, name, version)
      objects.delete(`${kind}/${name}`)
      return ++resourceVersion
    }),
    watch: () => { throw new ObjectApiError('object_api_unavailable', { detail: 'The object API in memory has no watches.' }) }
  }
}
