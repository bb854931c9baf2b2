/**
 * Follows one kind of objects in the store: lists them first, then reads changes by long polling. An empty poll does not
 * advance the position, because a poll may miss changes shortly before the store discards its history; the next poll
 * then reports the discarded history and the feed lists again. The objects are also listed periodically, so that the
 * position is renewed before it falls out of the history.
 */
import { readInstant, type Clock } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS } from './constants.ts'
import { createRetryTurns, type RetryTurns } from './retry-turns.ts'
import { isAfter, type Revision } from './revision.ts'
import { countCalls, type StoreCallReason } from './store-calls.ts'
import type { Change, ObjectSource, SendTime, StoredObject } from './types.ts'

export { isAfter, isSameRevision } from './revision.ts'
export { createRetryTurns } from './retry-turns.ts'
export { countCalls } from './store-calls.ts'
export type * from './types.ts'

export interface ObjectFeedOptions {
  kind: string
  source: ObjectSource
  /** Maximum wait of one long poll, in milliseconds. */
  waitMs: number
  /** Maximum time between two lists, in milliseconds; must be shorter than the store's history. */
  relistMs: number
  /** Pause after a response with changes, in milliseconds, so that changes in quick succession cost one call. */
  coalesceMs?: number
  /** Shared by the feeds of one VM, so that only one of them calls a store that does not answer. Default: for this feed alone. */
  retryTurns?: RetryTurns
  /** Awaited after a list, before changes are read. */
  whenListed?: () => Promise<void>
  /** Called with all objects and the revision of the list. */
  onSnapshot(objects: StoredObject[], revision: Revision): void
  /** Called with a change and the revision of the response that contained it. */
  onChange(change: Change, revision: Revision): void
  /**
   * Called at the first response after failed calls, before the changes in it are applied, with the longest time for which
   * the store may have been away: since any call of this VM was last answered before the failure. After a call whose
   * connection was cut off, this is short.
   */
  onStoreRecovered?: (awayMs: number) => void
  /** Called when all changes up to a call are applied, with the times at which the call was sent. */
  onConfirmed?: (sent: SendTime) => void
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
}

export interface ObjectFeed {
  /** Lists the objects and follows their changes. Responses to calls from before a stop are discarded. */
  start(): void
  stop(): void
  /** Whether the objects have been listed once. */
  isLoaded(): boolean
  /** Whether the last call failed. */
  isDisconnected(): boolean
}

export function createObjectFeed (options: ObjectFeedOptions): ObjectFeed {
  const { kind, source, waitMs, relistMs, coalesceMs = 0, whenListed, onSnapshot, onChange, onStoreRecovered, onConfirmed, clock, log, metrics, random } = options
  const { retryTurns = createRetryTurns({ clock, random }) } = options
  /** Number of the current start, which identifies responses to calls of an earlier one; `undefined` while stopped. */
  let activeRun: number | undefined
  let startCount = 0
  /** Revision up to which the changes have been read; `undefined` when the objects must be listed. */
  let position: Revision | undefined
  /** Reason of the next list. */
  let listReason: StoreCallReason = 'start'
  /** Revisions of the listed objects; the changes that are read first may be older, as a list takes several calls. */
  let listed = new Map<string, Revision>()
  let lastListMs = -Infinity
  let lastResponseMs = clock.now()
  /** Monotonic time from which the store may have been away; `undefined` after an answered call. */
  let awaySinceMs: number | undefined
  let failures = 0
  let loaded = false

  async function runLoop (runId: number): Promise<void> {
    const isCurrentRun = () => activeRun === runId
    // A feed that has waited for the end of an outage reports the recovery as well.
    awaySinceMs ??= await retryTurns.next(isCurrentRun)
    for (;;) {
      if (!isCurrentRun()) return
      try {
        await fetchNext(isCurrentRun)
        failures = 0
      } catch (error) {
        if (!isCurrentRun()) continue
        await handleFailure(error)
        await retryTurns.next(isCurrentRun)
      }
    }
  }

  async function fetchNext (isCurrentRun: () => boolean): Promise<void> {
    const sentAt = readInstant(clock)
    if (position === undefined || sentAt.monotonicMs - lastListMs >= relistMs) {
      const snapshot = await countCalls(source, { metrics, reason: listReason }).list(kind)
      if (!isCurrentRun()) return
      recordResponse()
      if (position !== undefined && isAfter(position, snapshot.revision)) return await discardList(snapshot.revision)
      position = snapshot.revision
      lastListMs = sentAt.monotonicMs
      listReason = 'relist'
      listed = new Map(snapshot.objects.map(({ name, revision }) => [name, revision]))
      onSnapshot(snapshot.objects, snapshot.revision)
      loaded = true
      onConfirmed?.(sentAt)
      await whenListed?.()
    } else {
      const batch = await countCalls(source, { metrics, reason: 'changes' }).watch(kind, position, waitMs)
      if (!isCurrentRun()) return
      recordResponse()
      if (!batch) {
        metrics.count('retries', 'history_dropped')
        position = undefined
        listReason = 'history_dropped'
        return
      }
      if (batch.changes.length > 0) position = batch.revision
      for (const change of batch.changes.filter(isNew)) onChange(change, batch.revision)
      onConfirmed?.(sentAt)
      if (batch.changes.length > 0 && coalesceMs > 0) await clock.sleep(coalesceMs)
    }
  }

  function isNew ({ object }: Change): boolean {
    const listedRevision = listed.get(object.name)
    return listedRevision === undefined || !isAfter(listedRevision, object.revision)
  }

  async function discardList (revision: Revision): Promise<void> {
    metrics.count('retries', 'older_list')
    log.warn('the store returned a list that is older than what has been read', { kind, revision, position })
    await clock.sleep(MAX_RETRY_DELAY_MS)
  }

  function recordResponse (): void {
    retryTurns.recordAnswer()
    if (awaySinceMs !== undefined) {
      const awayMs = clock.now() - awaySinceMs
      log.info('the store answers again', { kind, silentMs: Math.round(clock.now() - lastResponseMs), awayMs: Math.round(awayMs) })
      onStoreRecovered?.(awayMs)
    }
    lastResponseMs = clock.now()
    awaySinceMs = undefined
  }

  async function handleFailure (error: unknown): Promise<void> {
    metrics.count('object_api_failures', kind)
    retryTurns.recordFailure()
    if (awaySinceMs === undefined) log.warn('the store does not answer', { kind, error: errorMessage(error) })
    awaySinceMs ??= retryTurns.lastContactMs()
    const delayMs = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** failures++)
    // Changes since the last response may have been lost with the connection, so the next call lists the objects.
    lastListMs = -Infinity
    listReason = 'failure'
    await clock.sleep(delayMs * (0.5 + random()))
  }

  return {
    start () {
      if (activeRun !== undefined) return
      activeRun = ++startCount
      position = undefined
      listReason = 'start'
      void runLoop(activeRun)
    },
    stop () { activeRun = undefined },
    isLoaded: () => loaded,
    isDisconnected: () => awaySinceMs !== undefined
  }
}
