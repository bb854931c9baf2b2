/**
 * Watches the object API on the two first available VMs of each data centre. A watch that ends is opened again from
 * the last version; when that version is compacted, the objects are listed again.
 */
import type { Clock } from '../clock/index.ts'
import { errorMessage, LacewingError } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import { CONFIG_KINDS, type ConfigKind, type ObjectApi, type StoredObject, type WatchEvent } from '../object-api/types.ts'
import { MAX_RETRY_MS, REOPEN_MS, RETRY_MS, WATCHERS_PER_DATA_CENTRE } from './constants.ts'
import type { ConfigReplica } from './replica.ts'
import type { ConfigRecord } from './types.ts'

export interface WatcherOptions {
  objectApi: ObjectApi
  replica: ConfigReplica
  membership: Membership
  clock: Clock
  metrics: Metrics
  log: Log
  /** Receives what a watch or list brought that was new here. */
  onNew: (records: ConfigRecord[]) => void
  random: () => number
}

export interface Watcher {
  /** Lists all kinds into the replica. Rejects when the object API is unavailable. */
  load (): Promise<void>
  start (): void
  stop (): void
  isWatching (): boolean
}

export function createWatcher ({ objectApi, replica, membership, clock, metrics, log, onNew, random }: WatcherOptions): Watcher {
  let session: AbortController | undefined
  let unsubscribe = () => {}

  async function load (): Promise<void> {
    const lists = await Promise.all(CONFIG_KINDS.map(async kind => ({ kind, list: await objectApi.list(kind) })))
    for (const { kind, list } of lists) {
      const applied = replica.applyList(kind, list.items.map(toRecord), list.resourceVersion)
      note(applied, 'list')
    }
    replica.markComplete(Math.min(...lists.map(({ list }) => list.resourceVersion)))
    replica.markSynced()
  }

  function note (applied: ConfigRecord[], source: string): void {
    if (applied.length === 0) return
    metrics.count('config_applied', source, applied.length)
    onNew(applied)
  }

  function elect (): void {
    const shouldWatch = isElected(membership)
    if (shouldWatch && !session) {
      session = new AbortController()
      log.info('watching the object API')
      void run(session.signal)
    } else if (!shouldWatch && session) {
      session.abort()
      session = undefined
      log.info('stopped watching the object API')
    }
  }

  async function run (signal: AbortSignal): Promise<void> {
    let failures = 0
    while (!signal.aborted) {
      try {
        await watchOnce(signal, () => { failures = 0 })
        if (!signal.aborted) await clock.sleep(jittered(REOPEN_MS))
      } catch (error) {
        if (signal.aborted) return
        failures += 1
        await recover(error, failures)
      }
    }
  }

  async function recover (error: unknown, failures: number): Promise<void> {
    const isGone = error instanceof LacewingError && error.kind === 'object_gone'
    metrics.count('retries', isGone ? 'config_relist' : 'config_watch')
    if (isGone && await tryLoad()) return
    if (failures === 1) log.warn('the watch of the object API failed', { cause: errorMessage(error) })
    await clock.sleep(jittered(Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** failures)))
  }

  async function tryLoad (): Promise<boolean> {
    try {
      await load()
      return true
    } catch {
      metrics.count('object_api_failures', 'config_relist')
      return false
    }
  }

  async function watchOnce (signal: AbortSignal, onProgress: () => void): Promise<void> {
    const progress = new Map<ConfigKind, number>()
    for await (const event of objectApi.watch(CONFIG_KINDS, replica.completeTo(), signal)) {
      if (signal.aborted) return
      onProgress()
      if (event.type === 'BOOKMARK') noteBookmark(progress, event.object)
      else note(replica.apply([eventRecord(event)]), 'watch')
    }
  }

  /** Each kind is complete up to its own bookmark, and the replica up to the lowest of them. */
  function noteBookmark (progress: Map<ConfigKind, number>, { kind, resourceVersion }: StoredObject): void {
    progress.set(kind as ConfigKind, resourceVersion)
    if (progress.size === CONFIG_KINDS.length) replica.markComplete(Math.min(...progress.values()))
  }

  function jittered (ms: number): number {
    return ms * (0.5 + random() / 2)
  }

  return {
    load,
    isWatching: () => session !== undefined,
    start () {
      unsubscribe = membership.onChange(elect)
      elect()
    },
    stop () {
      unsubscribe()
      session?.abort()
      session = undefined
    }
  }
}

/** Whether this VM is one of the first available VMs of its data centre in string order of their ids. */
export function isElected (membership: Membership): boolean {
  const { vm, dataCentre } = membership.self()
  const candidates = membership.available().filter(member => member.dataCentre === dataCentre).map(member => member.vm)
  return candidates.sort().slice(0, WATCHERS_PER_DATA_CENTRE).includes(vm)
}

export function toRecord (object: StoredObject): ConfigRecord {
  return { ...object, deleted: false } as ConfigRecord
}

function eventRecord ({ type, object }: WatchEvent): ConfigRecord {
  const isDeleted = type === 'DELETED'
  return { ...object, spec: isDeleted ? null : object.spec, deleted: isDeleted } as ConfigRecord
}
