/** In-memory object API with the write faults that claims must handle. */
import { ObjectApiError } from '../../src/core/errors/index.ts'
import type { ObjectApi, ObjectKind, StoredObject } from '../../src/core/object-api/types.ts'

/**
 * `lost answer`, `delayed write` and `lost write` report an unknown outcome for a write that is performed at once, by
 * `performDelayed` or never. `down` fails the write and, when set as `fault`, all reads.
 */
export type StoreFault = 'none' | 'down' | 'lost answer' | 'delayed write' | 'lost write'

export function createFakeStore () {
  const objects = new Map<string, StoredObject>()
  let version = 0
  let delayedWrites: (() => void)[] = []
  const fake = {
    fault: 'none' as StoreFault,
    /** Faults of the next writes, in order; `fault` applies once they are used up. */
    nextWrites: [] as StoreFault[],
    objects,
    /** Performs the delayed writes; those that conflict by now have no effect. */
    performDelayed () {
      const writes = delayedWrites
      delayedWrites = []
      for (const write of writes) {
        try { write() } catch { /* The caller already received its error. */ }
      }
    }
  }

  function write<Result> (apply: () => Result): Result {
    const fault = fake.nextWrites.shift() ?? fake.fault
    if (fault === 'down') throw new ObjectApiError('object_api_unavailable')
    if (fault === 'delayed write') delayedWrites.push(apply)
    if (fault === 'lost answer') apply()
    if (fault !== 'none') throw new ObjectApiError('object_write_unknown')
    return apply()
  }

  function put (kind: ObjectKind, name: string, spec: unknown): StoredObject {
    const stored = { kind, name, spec: structuredClone(spec), resourceVersion: ++version, writeId: String(version) }
    objects.set(`${kind}/${name}`, stored)
    return structuredClone(stored)
  }

  function assertVersion (kind: ObjectKind, name: string, resourceVersion: number): void {
    const found = objects.get(`${kind}/${name}`)
    if (!found) throw new ObjectApiError('object_not_found')
    if (found.resourceVersion !== resourceVersion) throw new ObjectApiError('object_conflict')
  }

  function read<Result> (run: () => Result): Result {
    if (fake.fault === 'down') throw new ObjectApiError('object_api_unavailable')
    return run()
  }

  const objectApi: ObjectApi = {
    get: async <Spec>(kind: ObjectKind, name: string) => read(() => {
      const found = objects.get(`${kind}/${name}`)
      if (!found) throw new ObjectApiError('object_not_found')
      return structuredClone(found) as StoredObject<Spec>
    }),
    list: async <Spec>(kind: ObjectKind) => read(() => {
      const items = [...objects.values()].filter(object => object.kind === kind)
      return { items: structuredClone(items) as StoredObject<Spec>[], resourceVersion: version }
    }),
    create: async <Spec>(kind: ObjectKind, name: string, spec: Spec) => write(() => {
      if (objects.has(`${kind}/${name}`)) throw new ObjectApiError('object_exists')
      return put(kind, name, spec) as StoredObject<Spec>
    }),
    update: async <Spec>(kind: ObjectKind, name: string, spec: Spec, resourceVersion: number) => write(() => {
      assertVersion(kind, name, resourceVersion)
      return put(kind, name, spec) as StoredObject<Spec>
    }),
    delete: async (kind, name, resourceVersion) => write(() => {
      assertVersion(kind, name, resourceVersion)
      objects.delete(`${kind}/${name}`)
      return resourceVersion + 1
    }),
    async * watch () {}
  }
  return Object.assign(fake, { objectApi })
}
