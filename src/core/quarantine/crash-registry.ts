/**
 * In-memory registry of crashes by fingerprint. A fingerprint is suspect after one crash and in quarantine when the
 * crashes of distinct instances reach the limit. Entries expire on the monotonic clock and their number is limited.
 */
import type { Clock } from '../clock/index.ts'
import { MAX_CRASHES, MAX_ENTRIES } from './constants.ts'
import type { CrashReport } from './types.ts'

export interface CrashEntry {
  fingerprint: string
  /** Keyed by backend server and instance. */
  crashes: Map<string, CrashReport>
  expiresMs: number
  isQuarantined: boolean
  /** Whether an object for this fingerprint has been read or written. */
  isStored: boolean
}

export interface CrashRegistry {
  get(fingerprint: string): CrashEntry | undefined
  /**
   * Adds crashes of one fingerprint that expire in `remainingMs`. Returns the entry if any of them was added, and
   * undefined if none was, for example because all were already recorded or lifted.
   */
  add(crashes: readonly CrashReport[], remainingMs: number): CrashEntry | undefined
  /** Removes a fingerprint; repeated reports of the crashes recorded for it are ignored for the quarantine duration. */
  lift(fingerprint: string): void
  entries(): CrashEntry[]
}

export interface CrashRegistryOptions {
  crashLimit: number
  durationMs: number
  clock: Clock
  maxEntries?: number
  onQuarantined(entry: CrashEntry): void
}

export function createCrashRegistry ({ crashLimit, durationMs, clock, onQuarantined, maxEntries = MAX_ENTRIES }: CrashRegistryOptions): CrashRegistry {
  const entries = new Map<string, CrashEntry>()
  /** Lifted crashes, with the time until which late reports about them are ignored. */
  const liftedCrashes = new Map<string, number>()

  function get (fingerprint: string): CrashEntry | undefined {
    const entry = entries.get(fingerprint)
    if (entry && entry.expiresMs <= clock.now()) {
      entries.delete(fingerprint)
      return undefined
    }
    return entry
  }

  function add (crashes: readonly CrashReport[], remainingMs: number): CrashEntry | undefined {
    const firstCrash = crashes[0]
    const expiresMs = clock.now() + Math.min(remainingMs, durationMs)
    if (!firstCrash || expiresMs <= clock.now()) return undefined
    const entry = get(firstCrash.fingerprint) ?? createEntry(firstCrash.fingerprint)
    const newCrashes = crashes.filter(crash => isNew(entry, crash))
    if (newCrashes.length === 0) return undefined
    for (const crash of newCrashes) entry.crashes.set(instanceKey(crash), crash)
    entry.expiresMs = Math.max(entry.expiresMs, expiresMs)
    insertEntry(entry)
    if (!entry.isQuarantined && entry.crashes.size >= crashLimit) {
      entry.isQuarantined = true
      onQuarantined(entry)
    }
    return entry
  }

  function createEntry (fingerprint: string): CrashEntry {
    return { fingerprint, crashes: new Map(), expiresMs: 0, isQuarantined: false, isStored: false }
  }

  function isNew (entry: CrashEntry, crash: CrashReport): boolean {
    if (crash.fingerprint !== entry.fingerprint || entry.crashes.size >= MAX_CRASHES) return false
    if ((liftedCrashes.get(liftedKey(crash)) ?? 0) > clock.now()) return false
    return !entry.crashes.has(instanceKey(crash))
  }

  /** Inserts the entry as the most recent one, or moves it there; evicts another entry if the registry is full. */
  function insertEntry (entry: CrashEntry): void {
    entries.delete(entry.fingerprint)
    if (entries.size >= maxEntries) evict()
    entries.set(entry.fingerprint, entry)
  }

  /** Removes expired entries or, if that frees no room, the oldest suspect entry, or the oldest entry if none is suspect. */
  function evict (): void {
    removeExpired()
    if (entries.size < maxEntries) return
    let evicted: string | undefined
    for (const [fingerprint, { isQuarantined }] of entries) {
      evicted ??= fingerprint
      if (isQuarantined) continue
      evicted = fingerprint
      break
    }
    if (evicted !== undefined) entries.delete(evicted)
  }

  function removeExpired (): void {
    for (const fingerprint of [...entries.keys()]) get(fingerprint)
    for (const [key, untilMs] of liftedCrashes) {
      if (untilMs <= clock.now()) liftedCrashes.delete(key)
    }
  }

  return {
    get,
    add,
    lift (fingerprint) {
      const entry = entries.get(fingerprint)
      entries.delete(fingerprint)
      if (liftedCrashes.size >= maxEntries) removeExpired()
      if (!entry || liftedCrashes.size >= maxEntries) return
      for (const crash of entry.crashes.values()) liftedCrashes.set(liftedKey(crash), clock.now() + durationMs)
    },
    entries () {
      removeExpired()
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
