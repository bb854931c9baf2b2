/**
 * Reads and writes the objects `Quarantine/<fingerprint>`. A failed write is queued by its fingerprint alone, because
 * the crashes are in memory, and is retried at each refresh until it succeeds.
 */
import type { Clock } from '../clock/index.ts'
import { LacewingError } from '../errors/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi, StoredObject } from '../object-api/types.ts'
import { MAX_CRASHES, MAX_WRITE_ATTEMPTS } from './constants.ts'
import type { CrashEntry, CrashRegistry } from './crash-registry.ts'
import { quarantineSpecSchema } from './messages.ts'
import type { CrashReport, QuarantineSpec } from './types.ts'

export interface QuarantineStoreOptions {
  objectApi: ObjectApi
  registry: CrashRegistry
  clock: Clock
  metrics: Metrics
  /** Whether this VM deletes expired objects; one VM of the region does. */
  isCleaner: () => boolean
}

export interface QuarantineStore {
  /** Writes the crashes of a fingerprint; a failed write is retried at the next refresh. */
  write(fingerprint: string): Promise<void>
  remove(fingerprint: string): Promise<void>
  /** Retries failed writes and removals, then applies the reports and lifts of other VMs. */
  refresh(): Promise<void>
}

export function createQuarantineStore ({ objectApi, registry, clock, metrics, isCleaner }: QuarantineStoreOptions): QuarantineStore {
  /** Writes and removals that have not succeeded yet, by fingerprint. */
  const pendingActions = new Map<string, 'write' | 'remove'>()

  async function runPendingAction (fingerprint: string): Promise<void> {
    const action = pendingActions.get(fingerprint)
    try {
      if (action === 'write') await mergeWithRetry(fingerprint)
      if (action === 'remove') await removeObject(fingerprint)
      if (pendingActions.get(fingerprint) === action) pendingActions.delete(fingerprint)
    } catch (error) {
      countFailure(error)
    }
  }

  function countFailure (error: unknown): void {
    metrics.count('retries', `quarantine_${error instanceof LacewingError ? error.kind : 'internal'}`)
  }

  async function mergeWithRetry (fingerprint: string): Promise<void> {
    for (let attempt = 1; ; attempt++) {
      const entry = registry.get(fingerprint)
      if (!entry) return
      try {
        await tryMerge(entry)
        entry.isStored = true
        return
      } catch (error) {
        if (attempt === MAX_WRITE_ATTEMPTS || !isConflict(error)) throw error
      }
    }
  }

  async function tryMerge (entry: CrashEntry): Promise<void> {
    const stored = await findObject(entry.fingerprint)
    const spec = toSpec(entry, clock)
    if (!stored) {
      await objectApi.create('Quarantine', entry.fingerprint, spec)
      return
    }
    const parsed = quarantineSpecSchema.safeParse(stored.spec)
    const merged = parsed.success ? mergeSpecs(parsed.data, spec) : spec
    await objectApi.update('Quarantine', entry.fingerprint, merged, stored.resourceVersion)
  }

  async function findObject (fingerprint: string): Promise<StoredObject | undefined> {
    try {
      return await objectApi.get('Quarantine', fingerprint)
    } catch (error) {
      if (error instanceof LacewingError && error.kind === 'object_not_found') return undefined
      throw error
    }
  }

  async function removeObject (fingerprint: string): Promise<void> {
    const stored = await findObject(fingerprint)
    if (stored) await objectApi.delete('Quarantine', fingerprint, stored.resourceVersion)
  }

  async function refresh (): Promise<void> {
    for (const fingerprint of [...pendingActions.keys()]) await runPendingAction(fingerprint)
    try {
      const { items } = await objectApi.list('Quarantine')
      importObjects(items)
      if (isCleaner()) await deleteExpired(items)
    } catch (error) {
      countFailure(error)
    }
  }

  function importObjects (items: readonly StoredObject[]): void {
    const listed = new Set<string>()
    for (const item of items) {
      const parsed = quarantineSpecSchema.safeParse(item.spec)
      if (!parsed.success || parsed.data.fingerprint !== item.name) {
        metrics.count('bad_input', 'quarantine_object')
        continue
      }
      if (pendingActions.get(item.name) === 'remove') continue
      listed.add(item.name)
      registry.add(parsed.data.crashes, parsed.data.untilWallMs - clock.wallMs())
      const entry = registry.get(item.name)
      if (entry) entry.isStored = true
    }
    // A stored object that is no longer listed was deleted, because another VM lifted the quarantine or found it expired.
    for (const { fingerprint, isStored } of registry.entries()) {
      if (isStored && !listed.has(fingerprint) && !pendingActions.has(fingerprint)) registry.lift(fingerprint)
    }
  }

  async function deleteExpired (items: readonly StoredObject[]): Promise<void> {
    for (const { name, spec, resourceVersion } of items) {
      const parsed = quarantineSpecSchema.safeParse(spec)
      if (parsed.success && parsed.data.untilWallMs > clock.wallMs()) continue
      await objectApi.delete('Quarantine', name, resourceVersion)
    }
  }

  return {
    async write (fingerprint) {
      pendingActions.set(fingerprint, 'write')
      await runPendingAction(fingerprint)
    },
    async remove (fingerprint) {
      pendingActions.set(fingerprint, 'remove')
      await runPendingAction(fingerprint)
    },
    refresh
  }
}

function toSpec ({ fingerprint, crashes, expiresMs }: CrashEntry, clock: Clock): QuarantineSpec {
  return { fingerprint, crashes: [...crashes.values()], untilWallMs: Math.round(clock.wallMs() + expiresMs - clock.now()) }
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
