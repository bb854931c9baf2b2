/**
 * Watches the object API on the first two available VMs of each data centre. A watch that ends is reopened from the
 * version up to which the replica is complete; if the object API has compacted that version, all objects are listed
 * again.
 */
import type { Clock } from '../clock/index.ts'
import { errorMessage, LacewingError } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import { CONFIG_KINDS, type ConfigKind, type ObjectApi, type StoredObject, type WatchEvent } from '../object-api/types.ts'
import { MAX_RETRY_DELAY_MS, WATCH_REOPEN_DELAY_MS, INITIAL_RETRY_DELAY_MS, WATCHERS_PER_DATA_CENTRE } from './constants.ts'
import type { ConfigReplica } from './replica.ts'
import type { ConfigRecord } from './types.ts'

export interface WatcherOptions {
  objectApi: ObjectApi
  replica: ConfigReplica
  membership: Membership
  clock: Clock
  metrics: Metrics
  log: Log
  /** Receives the records of a watch or list that are newer than those of this VM. */
  onApplied: (records: ConfigRecord[]) => void
  random: () => number
}

export interface Watcher {
  /** Lists the objects of all kinds and applies them to the replica. Rejects if the object API is unavailable. */
  load (): Promise<void>
  start (): void
  stop (): void
  isWatching (): boolean
}

export function createWatcher ({ objectApi, replica, membership, clock, metrics, log, onApplied, random }: WatcherOptions): Watcher {
  let watchAbort: AbortController | undefined
  let unsubscribe = () => {}

  async function load (): Promise<void> {
    const lists = await Promise.all(CONFIG_KINDS.map(async kind => ({ kind, list: await objectApi.list(kind) })))
    for (const { kind, list } of lists) {
      const applied = replica.applyList(kind, list.items.map(objectToRecord), list.resourceVersion)
      reportApplied(applied, 'list')
    }
    replica.markComplete(Math.min(...lists.map(({ list }) => list.resourceVersion)))
    replica.markSynced()
  }

  function reportApplied (applied: ConfigRecord[], source: string): void {
    if (applied.length === 0) return
    metrics.count('config_applied', source, applied.length)
    onApplied(applied)
  }

  function updateWatching (): void {
    const shouldWatch = isDesignatedWatcher(membership)
    if (shouldWatch && !watchAbort) {
      watchAbort = new AbortController()
      log.info('started watching the object API')
      void runWatch(watchAbort.signal)
    } else if (!shouldWatch && watchAbort) {
      watchAbort.abort()
      watchAbort = undefined
      log.info('stopped watching the object API')
    }
  }

  async function runWatch (signal: AbortSignal): Promise<void> {
    let failures = 0
    while (!signal.aborted) {
      try {
        await watchOnce(signal, () => { failures = 0 })
        if (!signal.aborted) await clock.sleep(withJitter(WATCH_REOPEN_DELAY_MS))
      } catch (error) {
        if (signal.aborted) return
        failures += 1
        await handleFailure(error, failures)
      }
    }
  }

  async function handleFailure (error: unknown, failures: number): Promise<void> {
    const isCompacted = error instanceof LacewingError && error.kind === 'object_gone'
    metrics.count('retries', isCompacted ? 'config_relist' : 'config_watch')
    if (isCompacted && await tryLoad()) return
    if (failures === 1) log.warn('watching the object API failed', { cause: errorMessage(error) })
    await clock.sleep(withJitter(Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** failures)))
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
    const bookmarks = new Map<ConfigKind, number>()
    for await (const event of objectApi.watch(CONFIG_KINDS, replica.completeTo(), signal)) {
      if (signal.aborted) return
      onProgress()
      if (event.type === 'BOOKMARK') applyBookmark(bookmarks, event.object)
      else reportApplied(replica.apply([eventToRecord(event)]), 'watch')
    }
  }

  /** Each kind is complete up to its own bookmark, and the replica up to the lowest bookmark of all kinds. */
  function applyBookmark (bookmarks: Map<ConfigKind, number>, { kind, resourceVersion }: StoredObject): void {
    bookmarks.set(kind as ConfigKind, resourceVersion)
    if (bookmarks.size === CONFIG_KINDS.length) replica.markComplete(Math.min(...bookmarks.values()))
  }

  function withJitter (ms: number): number {
    return ms * (0.5 + random() / 2)
  }

  return {
    load,
    isWatching: () => watchAbort !== undefined,
    start () {
      unsubscribe = membership.onChange(updateWatching)
      updateWatching()
    },
    stop () {
      unsubscribe()
      watchAbort?.abort()
      watchAbort = undefined
    }
  }
}

/** Whether this VM is among the first available VMs of its data centre, ordered by id. */
export function isDesignatedWatcher (membership: Membership): boolean {
  const { vm, dataCentre } = membership.self()
  const candidates = membership.available().filter(member => member.dataCentre === dataCentre).map(member => member.vm)
  return candidates.sort().slice(0, WATCHERS_PER_DATA_CENTRE).includes(vm)
}

export function objectToRecord (object: StoredObject): ConfigRecord {
  return { ...object, deleted: false } as ConfigRecord
}

function eventToRecord ({ type, object }: WatchEvent): ConfigRecord {
  const isDeleted = type === 'DELETED'
  return { ...object, spec: isDeleted ? null : object.spec, deleted: isDeleted } as ConfigRecord
}
