/**
 * The objects `Quarantine/<fingerprint>`. Writes that fail are kept by fingerprint and repeated when the object API is
 * back; the crashes themselves are in memory, so nothing else has to be kept.
 */
import type { Clock } from '../clock/index.ts'
import { LacewingError } from '../errors/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi, StoredObject } from '../object-api/types.ts'
import { MAX_CRASHES, WRITE_ATTEMPTS } from './constants.ts'
import type { BookEntry, CrashBook } from './book.ts'
import { specSchema } from './messages.ts'
import type { CrashReport, QuarantineSpec } from './types.ts'

export interface QuarantineStoreOptions {
  objectApi: ObjectApi
  book: CrashBook
  clock: Clock
  metrics: Metrics
  /** Whether this VM deletes the objects that have ended; one VM of the region does. */
  isCleaner: () => boolean
}

export interface QuarantineStore {
  /** Writes the crashes of a fingerprint now, or later when that fails. */
  write(fingerprint: string): Promise<void>
  remove(fingerprint: string): Promise<void>
  /** Repeats what failed, then takes over what other VMs wrote or lifted. */
  refresh(): Promise<void>
}

export function createQuarantineStore ({ objectApi, book, clock, metrics, isCleaner }: QuarantineStoreOptions): QuarantineStore {
  /** Writes and removals that are due, by fingerprint. */
  const due = new Map<string, 'write' | 'remove'>()

  async function settle (fingerprint: string): Promise<void> {
    const action = due.get(fingerprint)
    try {
      if (action === 'write') await merge(fingerprint)
      if (action === 'remove') await removeObject(fingerprint)
      if (due.get(fingerprint) === action) due.delete(fingerprint)
    } catch (error) {
      countFailure(error)
    }
  }

  function countFailure (error: unknown): void {
    metrics.count('retries', `quarantine_${error instanceof LacewingError ? error.kind : 'internal'}`)
  }

  async function merge (fingerprint: string): Promise<void> {
    for (let attempt = 1; ; attempt++) {
      const entry = book.get(fingerprint)
      if (!entry) return
      try {
        await mergeOnce(entry)
        entry.isStored = true
        return
      } catch (error) {
        if (attempt === WRITE_ATTEMPTS || !isConflict(error)) throw error
      }
    }
  }

  async function mergeOnce (entry: BookEntry): Promise<void> {
    const stored = await find(entry.fingerprint)
    const spec = describe(entry, clock)
    if (!stored) {
      await objectApi.create('Quarantine', entry.fingerprint, spec)
      return
    }
    const known = specSchema.safeParse(stored.spec)
    const merged = known.success ? mergeSpecs(known.data, spec) : spec
    await objectApi.update('Quarantine', entry.fingerprint, merged, stored.resourceVersion)
  }

  async function find (fingerprint: string): Promise<StoredObject | undefined> {
    try {
      return await objectApi.get('Quarantine', fingerprint)
    } catch (error) {
      if (error instanceof LacewingError && error.kind === 'object_not_found') return undefined
      throw error
    }
  }

  async function removeObject (fingerprint: string): Promise<void> {
    const stored = await find(fingerprint)
    if (stored) await objectApi.delete('Quarantine', fingerprint, stored.resourceVersion)
  }

  async function refresh (): Promise<void> {
    for (const fingerprint of [...due.keys()]) await settle(fingerprint)
    try {
      const { items } = await objectApi.list('Quarantine')
      takeOver(items)
      if (isCleaner()) await deleteEnded(items)
    } catch (error) {
      countFailure(error)
    }
  }

  function takeOver (items: readonly StoredObject[]): void {
    const listed = new Set<string>()
    for (const item of items) {
      const parsed = specSchema.safeParse(item.spec)
      if (!parsed.success || parsed.data.fingerprint !== item.name) {
        metrics.count('bad_input', 'quarantine_object')
        continue
      }
      if (due.get(item.name) === 'remove') continue
      listed.add(item.name)
      book.add(parsed.data.crashes, parsed.data.untilWallMs - clock.wallMs())
      const entry = book.get(item.name)
      if (entry) entry.isStored = true
    }
    for (const { fingerprint, isStored } of book.entries()) {
      if (isStored && !listed.has(fingerprint) && !due.has(fingerprint)) book.lift(fingerprint)
    }
  }

  async function deleteEnded (items: readonly StoredObject[]): Promise<void> {
    for (const { name, spec, resourceVersion } of items) {
      const parsed = specSchema.safeParse(spec)
      if (parsed.success && parsed.data.untilWallMs > clock.wallMs()) continue
      await objectApi.delete('Quarantine', name, resourceVersion)
    }
  }

  return {
    async write (fingerprint) {
      due.set(fingerprint, 'write')
      await settle(fingerprint)
    },
    async remove (fingerprint) {
      due.set(fingerprint, 'remove')
      await settle(fingerprint)
    },
    refresh
  }
}

function describe ({ fingerprint, crashes, endsMs }: BookEntry, clock: Clock): QuarantineSpec {
  return { fingerprint, crashes: [...crashes.values()], untilWallMs: Math.round(clock.wallMs() + endsMs - clock.now()) }
}

function mergeSpecs (stored: QuarantineSpec, own: QuarantineSpec): QuarantineSpec {
  const crashes = new Map<string, CrashReport>()
  for (const crash of [...stored.crashes, ...own.crashes]) crashes.set(JSON.stringify([crash.backendServer, crash.instance]), crash)
  return {
    fingerprint: own.fingerprint,
    crashes: [...crashes.values()].slice(0, MAX_CRASHES),
    untilWallMs: Math.max(stored.untilWallMs, own.untilWallMs)
  }
}

function isConflict (error: unknown): boolean {
  return error instanceof LacewingError && ['object_conflict', 'object_exists', 'object_not_found'].includes(error.kind)
}
