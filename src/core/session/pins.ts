/**
 * Session pins in the object API, with a bounded cache. The first writer of a pin wins. Pins chosen during an outage
 * are written later.
 */
import type { Clock } from '../clock/index.ts'
import { LacewingError, ObjectApiError } from '../errors/index.ts'
import type { VersionId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi, StoredObject } from '../object-api/types.ts'
import { MAX_CONFLICT_RETRIES, MAX_UNWRITTEN_PINS, PIN_CACHE_MS, UNWRITTEN_RETRY_MS } from './constants.ts'
import { createLru } from './lru.ts'
import type { SessionPinSpec } from './types.ts'

interface CachedPin { version: VersionId, readAtMs: number }

interface PinsOptions {
  objectApi: ObjectApi
  maxCached: number
  clock: Clock
  metrics: Metrics
}

export interface Pins {
  /** Version of the pin; `undefined` if there is none. Throws if the object API cannot be read and no version is cached. */
  find(key: string): Promise<VersionId | undefined>
  /** Version of the pin if it is in the cache, also when the entry is due to be read again. */
  findCached(key: string): VersionId | undefined
  /** Creates the pin and returns the pinned version, which is that of an earlier writer if there was one. */
  create(key: string, spec: SessionPinSpec): Promise<VersionId>
  /** Replaces a pin if its version is still `from`; returns the pinned version. */
  move(key: string, spec: SessionPinSpec, from: VersionId): Promise<VersionId>
  /** Keeps a pin in memory and writes it once the object API is available again. */
  writeLater(key: string, spec: SessionPinSpec): void
  unwritten(): number
  stop(): Promise<void>
}

export function createPins ({ objectApi, maxCached, clock, metrics }: PinsOptions): Pins {
  const cache = createLru<CachedPin>(maxCached)
  const unwritten = new Map<string, SessionPinSpec>()
  let writing: Promise<void> | undefined
  const stopTimer = clock.every(UNWRITTEN_RETRY_MS, () => { void writeAll() })

  function updateCache (key: string, version: VersionId): VersionId {
    cache.set(key, { version, readAtMs: clock.now() })
    return version
  }

  async function find (key: string): Promise<VersionId | undefined> {
    const cached = cache.get(key)
    if (cached && (clock.now() - cached.readAtMs < PIN_CACHE_MS || unwritten.has(key))) return cached.version
    try {
      const stored = await read(key)
      return stored && updateCache(key, stored.spec.version)
    } catch (error) {
      if (cached) return cached.version
      throw error
    }
  }

  async function read (key: string): Promise<StoredObject<SessionPinSpec> | undefined> {
    try {
      return await objectApi.get<SessionPinSpec>('SessionPin', key)
    } catch (error) {
      if (kindOf(error) === 'object_not_found') return undefined
      throw error
    }
  }

  async function create (key: string, spec: SessionPinSpec): Promise<VersionId> {
    for (let attempt = 0; attempt < MAX_CONFLICT_RETRIES; attempt++) {
      if (await tryCreate(key, spec)) return updateCache(key, spec.version)
      const stored = await read(key)
      if (stored) return updateCache(key, stored.spec.version)
      metrics.count('retries', 'session_pin_lost_answer')
    }
    throw new ObjectApiError('object_write_unknown', { detail: 'The session pin could not be written.' })
  }

  /** Resolves to false if the pin already exists or the outcome of the write is unknown. */
  async function tryCreate (key: string, spec: SessionPinSpec): Promise<boolean> {
    try {
      await objectApi.create('SessionPin', key, spec)
      metrics.count('session_pins', 'created')
      return true
    } catch (error) {
      if (kindOf(error) !== 'object_exists' && kindOf(error) !== 'object_write_unknown') throw error
      return false
    }
  }

  async function move (key: string, spec: SessionPinSpec, from: VersionId): Promise<VersionId> {
    for (let attempt = 0; attempt < MAX_CONFLICT_RETRIES; attempt++) {
      const stored = await read(key)
      if (!stored) return create(key, spec)
      if (stored.spec.version !== from) return updateCache(key, stored.spec.version)
      try {
        await objectApi.update('SessionPin', key, spec, stored.resourceVersion)
        metrics.count('session_pins', 'moved')
        return updateCache(key, spec.version)
      } catch (error) {
        if (kindOf(error) !== 'object_conflict' && kindOf(error) !== 'object_write_unknown') throw error
        metrics.count('retries', 'session_pin_conflict')
      }
    }
    return updateCache(key, spec.version)
  }

  function writeLater (key: string, spec: SessionPinSpec): void {
    updateCache(key, spec.version)
    if (unwritten.size < MAX_UNWRITTEN_PINS) unwritten.set(key, spec)
    else metrics.count('session_pins', 'unwritten_dropped')
  }

  async function writeAll (): Promise<void> {
    writing ??= writePending().finally(() => { writing = undefined })
    return writing
  }

  async function writePending (): Promise<void> {
    for (const [key, spec] of [...unwritten]) {
      try {
        await create(key, spec)
        unwritten.delete(key)
        metrics.count('session_pins', 'written_later')
      } catch {
        // The object API is still unavailable; the timer retries.
        return
      }
    }
  }

  return {
    find,
    findCached: key => cache.get(key)?.version,
    create,
    move,
    writeLater,
    unwritten: () => unwritten.size,
    async stop () {
      stopTimer()
      await writeAll()
    }
  }
}

function kindOf (error: unknown): string | undefined {
  return error instanceof LacewingError ? error.kind : undefined
}
