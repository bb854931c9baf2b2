/**
 * Roster of the sessions that began while their model had one version. They have no pin. Each VM keeps their hashes in
 * memory and writes them to the object API, to one object per model, when a second version appears or the VM stops. The
 * other VMs read these objects before they choose a version for a session that is not in their memory.
 */
import type { Clock } from '../clock/index.ts'
import { errorMessage, LacewingError } from '../errors/index.ts'
import type { ModelId, VersionId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi, StoredObject } from '../object-api/types.ts'
import {
  MAX_CONFLICT_RETRIES, MAX_ROSTER_SESSIONS, ROSTER_HASH_CHARACTERS, ROSTER_REFRESH_MS, ROSTER_SLOTS, UNWRITTEN_RETRY_MS
} from './constants.ts'
import { createLru } from './lru.ts'
import type { SessionRosterSpec } from './types.ts'

interface RememberedSession { model: ModelId, version: VersionId }

/** Sessions of a model that were read from the rosters of all VMs. */
interface LoadedRoster {
  /** Version by session hash. */
  versionOf: Map<string, VersionId>
  loadedAtMs: number
  loading?: Promise<void>
}

interface RosterOptions {
  objectApi: ObjectApi
  maxRemembered: number
  /** Whether a version is active; entries of other versions are removed when a roster is written. */
  isActive: (version: VersionId) => boolean
  random: () => number
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface Roster {
  remember(model: ModelId, key: string, version: VersionId): void
  /**
   * Version that a session began with, from this VM's memory or the stored rosters. Throws in an outage if these have
   * not been read yet.
   */
  find(model: ModelId, key: string): Promise<VersionId | undefined>
  /** Version that a session began with, from this VM's memory only. */
  findLocal(key: string): VersionId | undefined
  /** Writes the sessions of a model, now or once the object API is available again. */
  publish(model: ModelId): void
  stop(): Promise<void>
}

export function createRoster (options: RosterOptions): Roster {
  const { objectApi, maxRemembered, isActive, random, clock, metrics, log } = options
  const remembered = createLru<RememberedSession>(maxRemembered)
  const loaded = new Map<ModelId, LoadedRoster>()
  const unpublished = new Set<ModelId>()
  const slot = Math.floor(random() * ROSTER_SLOTS)
  let publishing: Promise<void> | undefined
  const stopTimer = clock.every(UNWRITTEN_RETRY_MS, () => { void publishAll() })

  async function publishAll (): Promise<void> {
    publishing ??= publishPending().finally(() => { publishing = undefined })
    return publishing
  }

  async function publishPending (): Promise<void> {
    for (const model of [...unpublished]) {
      try {
        await publishModel(model)
        unpublished.delete(model)
      } catch (error) {
        metrics.count('retries', `session_roster_${error instanceof LacewingError ? error.kind : 'failed'}`)
        return
      }
    }
  }

  async function publishModel (model: ModelId): Promise<void> {
    const sessions = remembered.entries().filter(([, entry]) => entry.model === model)
    if (sessions.length === 0) return
    const name = rosterName(model, slot)
    for (let attempt = 0; attempt < MAX_CONFLICT_RETRIES; attempt++) {
      if (await tryPublish(name, model, sessions)) return
      await clock.sleep(random() * 20)
    }
    throw new Error(`The roster ${name} could not be written because of repeated conflicts.`)
  }

  async function tryPublish (name: string, model: ModelId, sessions: [string, RememberedSession][]): Promise<boolean> {
    const stored = await readRoster(name)
    const spec = { model, versions: merge(stored?.spec.versions ?? {}, sessions) }
    try {
      if (stored) await objectApi.update('SessionPin', name, spec, stored.resourceVersion)
      else await objectApi.create('SessionPin', name, spec)
    } catch (error) {
      if (error instanceof LacewingError && error.kind !== 'object_api_unavailable') return false
      throw error
    }
    metrics.count('session_pins', 'roster_written')
    log.info('session roster written', { model, sessions: sessions.length })
    return true
  }

  function merge (stored: Record<string, string>, sessions: [string, RememberedSession][]): Record<string, string> {
    const merged: Record<string, Set<string>> = {}
    for (const [version, hashes] of Object.entries(stored)) merged[version] = new Set(splitHashes(hashes))
    for (const [hash, { version }] of sessions) (merged[version] ??= new Set()).add(hash)
    const active = Object.entries(merged).filter(([version]) => isActive(version as VersionId))
    return Object.fromEntries(active.map(([version, hashes]) => [version, [...hashes].slice(-MAX_ROSTER_SESSIONS).join('')]))
  }

  async function readRoster (name: string): Promise<StoredObject<SessionRosterSpec> | undefined> {
    try {
      return await objectApi.get<SessionRosterSpec>('SessionPin', name)
    } catch (error) {
      if (error instanceof LacewingError && error.kind === 'object_not_found') return undefined
      throw error
    }
  }

  /** Reads the rosters of all slots. Requests wait for the first read only; later refreshes run in the background. */
  async function load (model: ModelId): Promise<LoadedRoster> {
    const roster: LoadedRoster = loaded.get(model) ?? { versionOf: new Map(), loadedAtMs: -Infinity }
    loaded.set(model, roster)
    if (clock.now() - roster.loadedAtMs < ROSTER_REFRESH_MS) return roster
    roster.loading ??= refresh(model, roster).finally(() => { roster.loading = undefined })
    if (roster.loadedAtMs === -Infinity) await roster.loading
    else roster.loading.catch(() => metrics.count('retries', 'session_roster_refresh'))
    return roster
  }

  async function refresh (model: ModelId, roster: LoadedRoster): Promise<void> {
    const names = Array.from({ length: ROSTER_SLOTS }, (_, index) => rosterName(model, index))
    const rosters = await Promise.all(names.map(readRoster))
    const versionOf = new Map<string, VersionId>()
    for (const [version, hashes] of rosters.flatMap(stored => Object.entries(stored?.spec.versions ?? {}))) {
      for (const hash of splitHashes(hashes)) versionOf.set(hash, version as VersionId)
    }
    roster.versionOf = versionOf
    roster.loadedAtMs = clock.now()
  }

  return {
    remember: (model, key, version) => remembered.set(shortHash(key), { model, version }),
    findLocal: key => remembered.get(shortHash(key))?.version,
    async find (model, key) {
      const localEntry = remembered.get(shortHash(key))
      if (localEntry) return localEntry.version
      const { versionOf } = await load(model)
      return versionOf.get(shortHash(key))
    },
    publish (model) {
      unpublished.add(model)
      loaded.delete(model)
      void publishAll()
    },
    async stop () {
      stopTimer()
      for (const [, { model }] of remembered.entries()) unpublished.add(model)
      await publishAll().catch(error => log.warn('the session roster could not be written', { error: errorMessage(error) }))
    }
  }
}

function rosterName (model: ModelId, slot: number): string {
  return `roster.${model}.${slot}`
}

function shortHash (key: string): string {
  return Buffer.from(key, 'hex').toString('base64url').slice(0, ROSTER_HASH_CHARACTERS)
}

function splitHashes (text: string): string[] {
  const hashes: string[] = []
  for (let at = 0; at < text.length; at += ROSTER_HASH_CHARACTERS) hashes.push(text.slice(at, at + ROSTER_HASH_CHARACTERS))
  return hashes
}
