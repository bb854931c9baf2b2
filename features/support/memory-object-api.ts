/** In-memory object API for tests with a manual clock. Tests inject faults into its next writes with `failNextWrite`. */
import type { Clock } from '../../src/core/clock/index.ts'
import { ObjectApiError } from '../../src/core/errors/index.ts'
import type { ObjectApi, ObjectKind, WatchEvent } from '../../src/core/object-api/types.ts'
import { decodeObject, encodeObject } from '../../src/core/object-api/wire.ts'
import { createObjectStore, StatusError } from '../../src/standin/object-api/store.ts'

/**
 * `lost answer`, `delayed write` and `lost write` report an unknown outcome for a write that is performed at once, by
 * `performDelayed` or never. `slow answer` performs the write and answers after a second.
 */
export type WriteFault = 'lost answer' | 'delayed write' | 'lost write' | 'slow answer'

const SLOW_ANSWER_MS = 1000
const ERROR_NAMES = {
  NotFound: 'object_not_found',
  AlreadyExists: 'object_exists',
  Conflict: 'object_conflict',
  Expired: 'object_gone',
  Invalid: 'object_api_unavailable',
  RequestEntityTooLarge: 'object_api_unavailable'
} as const

export function createMemoryObjectApi ({ clock }: { clock: Clock }) {
  const store = createObjectStore()
  const delayedWrites: (() => unknown)[] = []
  const faults: WriteFault[] = []
  const watches = new Set<AbortController>()
  const state = { down: false, writes: 0, reads: 0 }

  function mapStatusErrors<Result> (run: () => Result): Result {
    try {
      return run()
    } catch (error) {
      if (error instanceof StatusError) throw new ObjectApiError(ERROR_NAMES[error.reason], { detail: error.message })
      throw error
    }
  }

  function assertAvailable (): void {
    if (state.down) throw new ObjectApiError('object_api_unavailable')
  }

  async function write<Result> (run: () => Result): Promise<Result> {
    assertAvailable()
    state.writes += 1
    const fault = faults.shift()
    if (fault === 'delayed write') delayedWrites.push(() => { try { run() } catch { /* The precondition no longer holds. */ } })
    if (fault === 'lost answer') mapStatusErrors(run)
    if (fault === 'lost answer' || fault === 'delayed write' || fault === 'lost write') throw new ObjectApiError('object_write_unknown')
    const result = mapStatusErrors(run)
    if (fault === 'slow answer') await clock.sleep(SLOW_ANSWER_MS)
    return result
  }

  async function read<Result> (run: () => Result): Promise<Result> {
    assertAvailable()
    state.reads += 1
    return mapStatusErrors(run)
  }

  async function * watch (kinds: readonly ObjectKind[], from: number, signal: AbortSignal): AsyncGenerator<WatchEvent> {
    assertAvailable()
    const controller = new AbortController()
    watches.add(controller)
    let wakeUp = () => {}
    const queue: WatchEvent[] = []
    const add = (type: WatchEvent['type'], wire: Parameters<typeof decodeObject>[1]) => {
      const kind = wire.kind as ObjectKind
      if (kinds.includes(kind)) queue.push({ type, object: decodeObject(kind, wire) })
      wakeUp()
    }
    for (const event of mapStatusErrors(() => kinds.flatMap(kind => store.eventsAfter(kind, from)))) add(event.type, event.object)
    const unsubscribe = store.subscribe(event => add(event.type, event.object))
    const stop = () => wakeUp()
    signal.addEventListener('abort', stop)
    controller.signal.addEventListener('abort', stop)
    const version = String(store.resourceVersion())
    for (const kind of kinds) add('BOOKMARK', { kind, metadata: { name: '', resourceVersion: version } })
    try {
      while (!signal.aborted && !controller.signal.aborted) {
        const event = queue.shift()
        if (event) yield event
        else await new Promise<void>(resolve => { wakeUp = resolve })
      }
    } finally {
      unsubscribe()
      watches.delete(controller)
    }
  }

  const api: ObjectApi = {
    get: (kind, name) => read(() => decodeObject(kind, store.get(kind, name))),
    list: kind => read(() => ({ items: store.list(kind).map(item => decodeObject(kind, item)), resourceVersion: store.resourceVersion() })),
    create: (kind, name, spec) => write(() => decodeObject(kind, store.create(kind, encodeObject({ kind, name, spec, writeId: 'w', baseVersion: 0 }) as never))),
    update: (kind, name, spec, base) => write(() => decodeObject(kind, store.update(kind, name, encodeObject({ kind, name, spec, writeId: 'w', baseVersion: base }) as never))),
    delete: (kind, name, version) => write(() => Number(store.delete(kind, name, String(version)).metadata.resourceVersion)),
    watch
  }
  return {
    ...api,
    store,
    state,
    failNextWrite: (fault: WriteFault) => { faults.push(fault) },
    performDelayed () { for (const run of delayedWrites.splice(0)) run() },
    cutWatches () { for (const controller of [...watches]) controller.abort() },
    waitingWatches: () => watches.size
  }
}

export type MemoryObjectApi = ReturnType<typeof createMemoryObjectApi>
