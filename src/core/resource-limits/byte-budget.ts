/**
 * Byte budget of a VM, for the load of callers whose bodies or unread responses exceed its memory together. Everything
 * held for others is charged to claims. Receiving pauses while there is no room. In a shortage, holders without progress
 * are given up first, then the newest claim of the team, address and connection that holds the most. A reserve is kept
 * for small claims and for one large one. Running requests that fill the budget together are completed one after another.
 */
import type { Clock } from '../clock/index.ts'
import { EVICTION_DELAY_MS, GARBAGE_SHARE, MAX_BLOCK_BYTES, MAX_ROOM_WAIT_MS, MAX_ROOM_WAITERS, MIN_COLLECTION_GAP_MS, MIN_PROGRESS_BYTES_PER_MS, SHORTAGE_GARBAGE_SHARE, SMALL_CLAIM_BYTES } from './constants.ts'
import type { ByteBudget, ByteClaim, EvictionReason, Holder } from './types.ts'

export interface ByteBudgetOptions {
  totalBytes: number
  /** Part of the total that only small claims and one large claim may use. */
  reserveBytes: number
  clock: Pick<Clock, 'now'>
  minProgressBytesPerMs?: number
  /** Frees the memory of buffers that are no longer used; default: they count as free at once. */
  collect?: (() => void) | undefined
  /** Called for each claim that is given up and each body that is refused at once. */
  onRefusal?: (reason: EvictionReason | 'crowded') => void
}

interface Entry {
  holder: Holder
  bytes: number
  evict: ((reason: EvictionReason) => void) | undefined
  progressWindowMs: number
  /** Whether it is given up only for a lack of progress. */
  onlyWithoutProgress: boolean
  /** Start of the current measurement of progress, and the bytes since then. */
  measuredSinceMs: number
  progressBytes: number
  /** Whether the progress in the last complete window was too little. */
  wasSlow: boolean
  /** Callback and start of the wait for room. */
  resume: (() => void) | undefined
  waitingSinceMs: number
}

export function createByteBudget (options: ByteBudgetOptions): ByteBudget {
  const { totalBytes, reserveBytes, clock, collect, onRefusal = () => {} } = options
  const { minProgressBytesPerMs = MIN_PROGRESS_BYTES_PER_MS } = options
  /** In the order in which they were opened. */
  const entries = new Set<Entry>()
  /** Those whose progress is measured. */
  const measured = new Set<Entry>()
  /** In the order in which they began to wait. */
  const waiters = new Set<Entry>()
  /** The large claim that may use the reserve. */
  let reserveHolder: Entry | undefined
  /** The running request that may exceed the total, because all that hold the budget wait for each other. */
  let excessHolder: Entry | undefined
  let usedBytes = 0
  /** Bytes of large claims that were given back and still take memory until the next collection. */
  let uncollectedBytes = 0
  let collectedMs = -Infinity

  /** `pledgedBytes` are those that other holders may receive from now on. */
  function hasRoom (entry: Entry, pledgedBytes = 0): boolean {
    const bytes = usedBytes + uncollectedBytes + pledgedBytes
    if (bytes < totalBytes - reserveBytes) return true
    if (bytes >= totalBytes) return entry === excessHolder
    // A request that cannot be given up is completed with the reserve.
    if (entry.evict === undefined || entry.bytes < SMALL_CLAIM_BYTES) return true
    reserveHolder ??= entry
    return reserveHolder === entry
  }

  /** Lets waiting holders receive more, in the order of their waits, as far as there is room. */
  function resumeWaiters (): void {
    let pledgedBytes = 0
    for (const entry of waiters) {
      if (!hasRoom(entry, pledgedBytes)) continue
      pledgedBytes += MAX_BLOCK_BYTES
      const { resume } = entry
      stopWaiting(entry)
      restartProgress(entry)
      resume!()
    }
  }

  function stopWaiting (entry: Entry): void {
    entry.resume = undefined
    waiters.delete(entry)
  }

  function recordGarbage (bytes: number): void {
    if (collect) uncollectedBytes += bytes
  }

  /** Collections take tens of milliseconds, so they wait for a share of the budget, or for a shortage. */
  function collectIfDue (): void {
    const dueBytes = totalBytes * (waiters.size > 0 ? SHORTAGE_GARBAGE_SHARE : GARBAGE_SHARE)
    if (!collect || uncollectedBytes < dueBytes || clock.now() - collectedMs < MIN_COLLECTION_GAP_MS) return
    collect()
    collectedMs = clock.now()
    uncollectedBytes = 0
  }

  function release (entry: Entry, bytes: number): void {
    if (entry.bytes > SMALL_CLAIM_BYTES) recordGarbage(bytes)
    entry.bytes -= bytes
    usedBytes -= bytes
    if (waiters.size > 0) resumeWaiters()
  }

  function end (entry: Entry): void {
    if (!entries.delete(entry)) return
    stopWaiting(entry)
    entry.evict = undefined
    measured.delete(entry)
    if (reserveHolder === entry) reserveHolder = undefined
    if (excessHolder === entry) excessHolder = undefined
    release(entry, entry.bytes)
  }

  function restartProgress (entry: Entry): void {
    entry.measuredSinceMs = clock.now()
    entry.progressBytes = 0
    entry.wasSlow = false
  }

  function isTooSlow ({ measuredSinceMs, progressBytes, progressWindowMs }: Entry): boolean {
    const elapsedMs = clock.now() - measuredSinceMs
    return elapsedMs >= progressWindowMs && progressBytes < minProgressBytesPerMs * elapsedMs
  }

  /** Starts the next window once the current one is over, so that a burst does not make up for a later standstill. */
  function judgeProgress (entry: Entry): void {
    if (clock.now() - entry.measuredSinceMs < entry.progressWindowMs) return
    const wasSlow = isTooSlow(entry)
    restartProgress(entry)
    entry.wasSlow = wasSlow
  }

  const isStalled = (entry: Entry) => entry.evict !== undefined && entry.resume === undefined && entry.wasSlow

  function evict (entry: Entry, reason: EvictionReason): void {
    const giveUp = entry.evict
    end(entry)
    onRefusal(reason)
    giveUp?.(reason)
  }

  /** What it receives in excess is bounded by the largest response. */
  function completeOne (): void {
    if (excessHolder || usedBytes < totalBytes) return
    excessHolder = [...waiters].find(entry => entry.evict === undefined)
    resumeWaiters()
  }

  /** The newest claim that can be given up of the connection, in the address, in the team that hold the most. */
  function largestHolder (): Entry | undefined {
    const inTeam = largestGroup([...entries].filter(entry => entry.evict && !entry.onlyWithoutProgress && entry.bytes > SMALL_CLAIM_BYTES), ({ holder }) => holder.team)
    const atAddress = largestGroup(inTeam, ({ holder }) => holder.address)
    return largestGroup(atAddress, ({ holder }) => holder.connection).at(-1)
  }

  return {
    open (holder) {
      const entry: Entry = { holder, bytes: 0, evict: undefined, progressWindowMs: Infinity, onlyWithoutProgress: false, measuredSinceMs: clock.now(), progressBytes: 0, wasSlow: false, resume: undefined, waitingSinceMs: 0 }
      entries.add(entry)
      const isOpen = () => entries.has(entry)
      return {
        bytes: () => entry.bytes,
        add (bytes) {
          if (!isOpen()) return
          entry.bytes += bytes
          usedBytes += bytes
        },
        release (bytes) { if (isOpen()) release(entry, Math.min(bytes, entry.bytes)) },
        mayGrow: () => isOpen() && hasRoom(entry),
        awaitRoom (resume) {
          if (!isOpen()) return
          Object.assign(entry, { resume, waitingSinceMs: clock.now() })
          waiters.add(entry)
        },
        stopWaiting: () => stopWaiting(entry),
        recordProgress (bytes) { entry.progressBytes += bytes },
        suspendProgress () {
          entry.measuredSinceMs = Infinity
          entry.wasSlow = false
        },
        restartProgress: () => restartProgress(entry),
        setEvict (giveUp, { progressWindowMs = Infinity, onlyWithoutProgress = false } = {}) {
          if (!isOpen()) return
          Object.assign(entry, { evict: giveUp, progressWindowMs, onlyWithoutProgress })
          if (progressWindowMs === Infinity) measured.delete(entry)
          else measured.add(entry)
          restartProgress(entry)
        },
        recordCopy (bytes) { if (entry.bytes > SMALL_CLAIM_BYTES) recordGarbage(bytes) },
        recordGarbage,
        end: () => end(entry)
      } satisfies ByteClaim
    },
    usedBytes: () => usedBytes,
    refusesMore () {
      const isCrowded = waiters.size >= MAX_ROOM_WAITERS
      if (isCrowded) onRefusal('crowded')
      return isCrowded
    },
    relieve () {
      for (const entry of measured) judgeProgress(entry)
      collectIfDue()
      resumeWaiters()
      for (const entry of measured) {
        if (waiters.size === 0) return
        if (isStalled(entry)) evict(entry, 'no_progress')
      }
      for (const waiter of waiters) {
        if (waiter.evict && clock.now() - waiter.waitingSinceMs >= MAX_ROOM_WAIT_MS) evict(waiter, 'no_room')
      }
      const [longest] = waiters
      if (!longest || clock.now() - longest.waitingSinceMs < EVICTION_DELAY_MS) return
      const largest = largestHolder()
      if (largest) evict(largest, 'largest_holder')
      else completeOne()
    }
  }
}

function largestGroup<Key> (entries: readonly Entry[], keyOf: (entry: Entry) => Key): Entry[] {
  const groups = new Map<Key, { bytes: number, entries: Entry[] }>()
  for (const entry of entries) {
    const group = groups.get(keyOf(entry)) ?? { bytes: 0, entries: [] }
    groups.set(keyOf(entry), group)
    group.bytes += entry.bytes
    group.entries.push(entry)
  }
  let largest: { bytes: number, entries: Entry[] } = { bytes: -1, entries: [] }
  for (const group of groups.values()) if (group.bytes > largest.bytes) largest = group
  return largest.entries
}
