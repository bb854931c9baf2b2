/** Object API in memory with the faults that claims have to bear. */
import { ObjectApiError } from '../../src/core/errors/index.ts'
import type { ObjectApi, ObjectKind, StoredObject } from '../../src/core/object-api/types.ts'

export type StoreFault = 'none' | 'down' | 'answer lost' | 'landing late' | 'never landing'

export function createFakeStore () {
  const objects = new Map<string, StoredObject>()
  let version = 0
  let late: (() => void)[] = []
  const fake = {
    fault: 'none' as StoreFault,
    /** Faults of single writes, used up in order before `fault` counts. */
    nextWrites: [] as StoreFault[],
    objects,
    /** Lets the writes land that were held back; those that conflict by now have no effect. */
    land () {
      const waiting = late
      late = []
      for (const write of waiting) {
        try { write() } catch { /* Nobody waits for the outcome any more. */ }
      }
    }
  }

  function write<Result> (apply: () => Result): Result {
    const fault = fake.nextWrites.shift() ?? fake.fault
    if (fault === 'down') throw new ObjectApiError('object_api_unavailable')
    if (fault === 'landing late') late.push(apply)
    if (fault === 'answer lost') apply()
    if (fault !== 'none') throw new ObjectApiError('object_write_unknown')
    return apply()
  }

  function put (kind: ObjectKind, name: string, spec: unknown): StoredObject {
    const stored = { kind, name, spec: structuredClone(spec), resourceVersion: ++version, writeId: String(version) }
    objects.set(`${kind}/${name}`, stored)
    return structuredClone(stored)
  }

  function current (kind: ObjectKind, name: string, resourceVersion: number): void {
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
      current(kind, name, resourceVersion)
      return put(kind, name, spec) as StoredObject<Spec>
    }),
    delete: async (kind, name, resourceVersion) => write(() => {
      current(kind, name, resourceVersion)
      objects.delete(`${kind}/${name}`)
      return resourceVersion + 1
    }),
    async * watch () {}
  }
  return Object.assign(fake, { objectApi })
}
