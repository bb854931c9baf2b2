/**
 * Crashes by fingerprint, in memory. A fingerprint is suspect after one crash and in quarantine when the crashes of
 * distinct instances reach the limit. Entries end by the monotonic clock and their number is bounded.
 */
import type { Clock } from '../clock/index.ts'
import { MAX_CRASHES, MAX_ENTRIES } from './constants.ts'
import type { CrashReport } from './types.ts'

export interface BookEntry {
  fingerprint: string
  /** By backend server and instance. */
  crashes: Map<string, CrashReport>
  endsMs: number
  isQuarantined: boolean
  /** Whether an object of this fingerprint was seen or written. */
  isStored: boolean
}

export interface CrashBook {
  get(fingerprint: string): BookEntry | undefined
  /**
   * Adds crashes that are `remainingMs` from their end. Returns the entry when the crashes were new, and undefined
   * when they were known or lifted.
   */
  add(crashes: readonly CrashReport[], remainingMs: number): BookEntry | undefined
  /** Forgets a fingerprint; its crashes known so far no longer count. */
  lift(fingerprint: string): void
  entries(): BookEntry[]
}

export interface CrashBookOptions {
  crashLimit: number
  durationMs: number
  clock: Clock
  maxEntries?: number
  onQuarantined(entry: BookEntry): void
}

export function createCrashBook ({ crashLimit, durationMs, clock, onQuarantined, maxEntries = MAX_ENTRIES }: CrashBookOptions): CrashBook {
  const entries = new Map<string, BookEntry>()
  /** Crashes that were lifted, with the time until which late reports about them may come. */
  const lifted = new Map<string, number>()

  function get (fingerprint: string): BookEntry | undefined {
    const entry = entries.get(fingerprint)
    if (entry && entry.endsMs <= clock.now()) {
      entries.delete(fingerprint)
      return undefined
    }
    return entry
  }

  function add (crashes: readonly CrashReport[], remainingMs: number): BookEntry | undefined {
    const first = crashes[0]
    const endsMs = clock.now() + Math.min(remainingMs, durationMs)
    if (!first || endsMs <= clock.now()) return undefined
    const entry = get(first.fingerprint) ?? create(first.fingerprint)
    const fresh = crashes.filter(crash => isNew(entry, crash))
    if (fresh.length === 0) return undefined
    for (const crash of fresh) entry.crashes.set(instanceKey(crash), crash)
    entry.endsMs = Math.max(entry.endsMs, endsMs)
    keep(entry)
    if (!entry.isQuarantined && entry.crashes.size >= crashLimit) {
      entry.isQuarantined = true
      onQuarantined(entry)
    }
    return entry
  }

  function create (fingerprint: string): BookEntry {
    return { fingerprint, crashes: new Map(), endsMs: 0, isQuarantined: false, isStored: false }
  }

  function isNew (entry: BookEntry, crash: CrashReport): boolean {
    if (crash.fingerprint !== entry.fingerprint || entry.crashes.size >= MAX_CRASHES) return false
    if ((lifted.get(liftedKey(crash)) ?? 0) > clock.now()) return false
    return !entry.crashes.has(instanceKey(crash))
  }

  /** Moves the entry to the end of the order of age, and makes room. */
  function keep (entry: BookEntry): void {
    entries.delete(entry.fingerprint)
    if (entries.size >= maxEntries) evict()
    entries.set(entry.fingerprint, entry)
  }

  function evict (): void {
    dropEnded()
    if (entries.size < maxEntries) return
    let oldest: string | undefined
    for (const [fingerprint, { isQuarantined }] of entries) {
      oldest ??= fingerprint
      if (isQuarantined) continue
      oldest = fingerprint
      break
    }
    if (oldest !== undefined) entries.delete(oldest)
  }

  function dropEnded (): void {
    for (const fingerprint of [...entries.keys()]) get(fingerprint)
    for (const [key, untilMs] of lifted) {
      if (untilMs <= clock.now()) lifted.delete(key)
    }
  }

  return {
    get,
    add,
    lift (fingerprint) {
      const entry = entries.get(fingerprint)
      entries.delete(fingerprint)
      if (lifted.size >= maxEntries) dropEnded()
      if (!entry || lifted.size >= maxEntries) return
      for (const crash of entry.crashes.values()) lifted.set(liftedKey(crash), clock.now() + durationMs)
    },
    entries () {
      dropEnded()
      return [...entries.values()]
    }
  }
}

function instanceKey ({ backendServer, instance }: CrashReport): string {
  return JSON.stringify([backendServer, instance])
}

function liftedKey ({ fingerprint, backendServer, instance }: CrashReport): string {
  return JSON.stringify([fingerprint, backendServer, instance])
}
