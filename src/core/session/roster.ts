/**
 * Sessions that began while their model had one version. They have no pin; each VM remembers their hashes and writes
 * them to the object API, in one object per model, when a second version appears or the VM stops. The other VMs read
 * these objects before they choose a version for a session they do not know.
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

interface Remembered { model: ModelId, version: VersionId }

interface LoadedRoster {
  versionOf: Map<string, VersionId>
  atMs: number
  loading?: Promise<void>
}

interface RosterOptions {
  objectApi: ObjectApi
  maxRemembered: number
  /** Versions whose entries are worth keeping. */
  isActive: (version: VersionId) => boolean
  random: () => number
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface Roster {
  remember(model: ModelId, key: string, version: VersionId): void
  /** Version a session began with, from this VM's memory or the rosters of others. Throws in an outage. */
  find(model: ModelId, key: string): Promise<VersionId | undefined>
  /** Version from this VM's memory only. */
  findLocal(key: string): VersionId | undefined
  /** Writes the remembered sessions of a model, now or when the object API is back. */
  publish(model: ModelId): void
  stop(): Promise<void>
}

export function createRoster (options: RosterOptions): Roster {
  const { objectApi, maxRemembered, isActive, random, clock, metrics, log } = options
  const remembered = createLru<Remembered>(maxRemembered)
  const loaded = new Map<ModelId, LoadedRoster>()
  const unpublished = new Set<ModelId>()
  const slot = Math.floor(random() * ROSTER_SLOTS)
  let publishing: Promise<void> | undefined
  const stopTimer = clock.every(UNWRITTEN_RETRY_MS, () => { void publishAll() })

  async function publishAll (): Promise<void> {
    publishing ??= publishEach().finally(() => { publishing = undefined })
    return publishing
  }

  async function publishEach (): Promise<void> {
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
    const own = remembered.entries().filter(([, entry]) => entry.model === model)
    if (own.length === 0) return
    const name = rosterName(model, slot)
    for (let attempt = 0; attempt < MAX_CONFLICT_RETRIES; attempt++) {
      if (await tryPublish(name, model, own)) return
      await clock.sleep(random() * 20)
    }
    throw new Error(`The roster ${name} is changed by too many VMs at once.`)
  }

  async function tryPublish (name: string, model: ModelId, own: [string, Remembered][]): Promise<boolean> {
    const stored = await readRoster(name)
    const spec = { model, versions: merge(stored?.spec.versions ?? {}, own) }
    try {
      if (stored) await objectApi.update('SessionPin', name, spec, stored.resourceVersion)
      else await objectApi.create('SessionPin', name, spec)
    } catch (error) {
      if (error instanceof LacewingError && error.kind !== 'object_api_unavailable') return false
      throw error
    }
    metrics.count('session_pins', 'roster_written')
    log.info('wrote the sessions that began before the second version', { model, sessions: own.length })
    return true
  }

  function merge (stored: Record<string, string>, own: [string, Remembered][]): Record<string, string> {
    const merged: Record<string, Set<string>> = {}
    for (const [version, hashes] of Object.entries(stored)) merged[version] = new Set(splitHashes(hashes))
    for (const [hash, { version }] of own) (merged[version] ??= new Set()).add(hash)
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

  /** Reads the rosters of all slots; a later refresh does not make requests wait. */
  async function load (model: ModelId): Promise<LoadedRoster> {
    const roster: LoadedRoster = loaded.get(model) ?? { versionOf: new Map(), atMs: -Infinity }
    loaded.set(model, roster)
    if (clock.now() - roster.atMs < ROSTER_REFRESH_MS) return roster
    roster.loading ??= refresh(model, roster).finally(() => { roster.loading = undefined })
    if (roster.atMs === -Infinity) await roster.loading
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
    roster.atMs = clock.now()
  }

  return {
    remember: (model, key, version) => remembered.set(shortHash(key), { model, version }),
    findLocal: key => remembered.get(shortHash(key))?.version,
    async find (model, key) {
      const own = remembered.get(shortHash(key))
      if (own) return own.version
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
      await publishAll().catch(error => log.warn('sessions could not be written', { error: errorMessage(error) }))
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
