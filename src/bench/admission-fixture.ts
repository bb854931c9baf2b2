/**
 * Parts shared by the admission benchmarks and tests: a configuration view in memory, model engines with a cold start
 * and lagging load reports, and a seeded random number generator.
 */
import type { HealthReport, PermitRequest } from '../core/admission/types.ts'
import type { Clock } from '../core/clock/index.ts'
import type { BackendServer, ConfigEntry, ConfigRecord, ConfigSpecs, ConfigView } from '../core/config/types.ts'
import { CONFIG_SCHEMAS } from '../core/config/types.ts'
import { brandId, type BackendServerId, type DataCentreId, type TeamId, type VersionId } from '../core/ids/index.ts'
import type { ConfigKind } from '../core/object-api/types.ts'

/** Returns numbers from 0 to 1 that depend on the seed only (mulberry32). */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
}

export interface MemoryView extends ConfigView {
  /** Stores an object with defaults filled in; null deletes it. */
  put<Kind extends ConfigKind>(kind: Kind, name: string, spec: object | null): void
}

export function createMemoryView (): MemoryView {
  const kinds = new Map<ConfigKind, Map<string, ConfigEntry<ConfigKind>>>()
  const listeners = new Set<(records: readonly ConfigRecord[]) => void>()
  let revision = 0

  function entriesOf<Kind extends ConfigKind> (kind: Kind): Map<string, ConfigEntry<Kind>> {
    const entries = kinds.get(kind) ?? new Map()
    kinds.set(kind, entries)
    return entries as Map<string, ConfigEntry<Kind>>
  }

  return {
    revision: () => revision,
    get: (kind, name) => entriesOf(kind).get(name)?.spec,
    entry: (kind, name) => entriesOf(kind).get(name),
    list: kind => [...entriesOf(kind).values()],
    onChange (listener) {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    put (kind, name, spec) {
      revision++
      const entries = entriesOf(kind)
      if (spec === null) entries.delete(name)
      else entries.set(name, { name, resourceVersion: revision, spec: CONFIG_SCHEMAS[kind].parse(spec) as ConfigSpecs[typeof kind] })
      for (const listener of listeners) listener([])
    }
  }
}

export interface FakeEngineOptions {
  clock: Clock
  address: string
  coldAllowance: number
  slots: number
  /** Age of the load that health reports state. */
  reportLagMs?: number
}

/** A backend server seen from outside: counts what is in flight and when that exceeds what it bears while cold. */
export interface FakeEngine {
  readonly address: string
  readonly instance: string
  readonly state: 'cold' | 'warm'
  readonly inFlight: number
  /** Requests that arrived when the cold engine already had as many as it bears. */
  readonly coldOverloads: number
  begin(id: string): void
  end(id: string): void
  /** Restarts the process: a new instance, cold, with nothing in flight. */
  restart(): void
  /** Turns cold without a restart; what is in flight goes on. */
  turnCold(): void
  warmUp(): void
  health(): HealthReport
}

export function createFakeEngine ({ clock, address, coldAllowance, slots, reportLagMs = 0 }: FakeEngineOptions): FakeEngine {
  const running = new Set<string>()
  let history: { at: number, inFlight: number }[] = [{ at: -Infinity, inFlight: 0 }]
  let boot = 1
  let state: 'cold' | 'warm' = 'cold'
  let coldOverloads = 0

  function note (): void {
    history.push({ at: clock.now(), inFlight: running.size })
  }

  function reportedInFlight (): number {
    const asOf = clock.now() - reportLagMs
    const index = history.findLastIndex(({ at }) => at <= asOf)
    history = history.slice(Math.max(0, index))
    return history[0]!.inFlight
  }

  return {
    address,
    get instance () { return `${address}#${boot}` },
    get state () { return state },
    get inFlight () { return running.size },
    get coldOverloads () { return coldOverloads },
    begin (id) {
      running.add(id)
      if (running.size > (state === 'cold' ? coldAllowance : slots)) coldOverloads++
      note()
    },
    end (id) {
      if (running.delete(id)) note()
    },
    restart () {
      boot++
      state = 'cold'
      running.clear()
      note()
    },
    turnCold () { state = 'cold' },
    warmUp () { state = 'warm' },
    health () {
      return { instance: `${address}#${boot}`, state, inFlight: reportedInFlight() }
    }
  }
}

export const DATA_CENTRE = brandId<DataCentreId>('bag-a')
export const VERSION = brandId<VersionId>('kit-1')

/** A configuration with one model version, the given data centres and teams of equal weight. */
export function createBasicView ({ dataCentres = [DATA_CENTRE], teams = ['team-1'], maxConcurrent = 1000 } = {}): MemoryView {
  const view = createMemoryView()
  for (const name of dataCentres) view.put('DataCentre', name, { region: 'bagmati' })
  view.put('Model', 'kit', {})
  view.put('Version', VERSION, { model: 'kit', inputMicrosPerToken: 1, outputMicrosPerToken: 1 })
  for (const team of teams) putContract(view, team, { maxConcurrent })
  return view
}

export function putContract (view: MemoryView, team: string, fields: object = {}): void {
  view.put('Contract', team, { team, keys: [{ sha256: '0'.repeat(64) }], models: ['kit'], spendLimitMicros: 1_000_000_000, ...fields })
}

export function putBackendServer (view: MemoryView, name: string, fields: Partial<BackendServer> = {}): void {
  view.put('BackendServer', name, { dataCentre: DATA_CENTRE, address: addressOf(name), versions: [VERSION], ...fields })
}

/** A stable address for a backend server named `<letters>-<number>`. */
export function addressOf (name: string): string {
  return `127.0.0.1:${9000 + Number(name.split('-').at(-1))}`
}

/** A permit request with defaults that leave every mechanism out of play. */
export function permitRequest (fields: Partial<PermitRequest> & { request: string | PermitRequest['request'] }): PermitRequest {
  return {
    team: brandId<TeamId>('team-1'),
    version: fields.service === undefined ? VERSION : undefined,
    priority: 'normal',
    waitMs: 10_000,
    fingerprint: `fingerprint of ${fields.request}`,
    prefixHashes: [],
    estimatedTokens: 100,
    exclude: [] as BackendServerId[],
    suspect: false,
    isRetry: false,
    configRevision: 0,
    ...fields,
    request: brandId(fields.request)
  }
}
