/**
 * Fixtures for admission benchmarks and tests: a configuration with one model version, simulated backend servers with a
 * cold start and delayed load reports, and permit requests with defaults.
 */
import type { HealthReport, PermitRequest } from '../core/admission/types.ts'
import type { Clock } from '../core/clock/index.ts'
import type { BackendServer, ConfigView } from '../core/config/types.ts'
import { brandId, type BackendServerId, type DataCentreId, type TeamId, type VersionId } from '../core/ids/index.ts'
import type { ConfigKind } from '../core/object-api/types.ts'
import { createMemoryConfig } from './memory-config.ts'

export interface MemoryView extends ConfigView {
  /** Stores an object with defaults filled in; null deletes it. */
  put<Kind extends ConfigKind>(kind: Kind, name: string, spec: object | null): void
}

export function createMemoryView (): MemoryView {
  const { view, set, change } = createMemoryConfig()
  return {
    ...view,
    put (kind, name, spec) {
      if (spec === null) void change({ kind, name, spec, resourceVersion: view.entry(kind, name)?.resourceVersion })
      else set(kind, name, spec)
    }
  }
}

export interface FakeEngineOptions {
  clock: Clock
  address: string
  coldAllowance: number
  /** Age of the load that health reports contain. */
  reportLagMs?: number
}

/** Simulated backend server that counts the requests in flight and those that exceed its cold allowance. */
export interface FakeEngine {
  readonly address: string
  readonly instance: string
  readonly state: 'cold' | 'warm'
  readonly inFlight: number
  /**
   * Number of requests that began when more requests than the cold allowance were in flight. Only requests that began in
   * the cold state count as in flight, including the new one.
   */
  readonly coldOverloads: number
  begin(id: string): void
  end(id: string): void
  /** Restarts the process: a new instance, cold, with nothing in flight. */
  restart(): void
  /** Turns cold without a restart; requests in flight continue. */
  turnCold(): void
  warmUp(): void
  health(): HealthReport
}

export function createFakeEngine ({ clock, address, coldAllowance, reportLagMs = 0 }: FakeEngineOptions): FakeEngine {
  const running = new Set<string>()
  const startedCold = new Set<string>()
  let loadHistory: { at: number, inFlight: number }[] = [{ at: -Infinity, inFlight: 0 }]
  let boot = 1
  let state: 'cold' | 'warm' = 'cold'
  let coldOverloads = 0

  function recordLoad (): void {
    loadHistory.push({ at: clock.now(), inFlight: running.size })
  }

  function reportedInFlight (): number {
    const asOf = clock.now() - reportLagMs
    const index = loadHistory.findLastIndex(({ at }) => at <= asOf)
    loadHistory = loadHistory.slice(Math.max(0, index))
    return loadHistory[0]!.inFlight
  }

  return {
    address,
    get instance () { return `${address}#${boot}` },
    get state () { return state },
    get inFlight () { return running.size },
    get coldOverloads () { return coldOverloads },
    begin (id) {
      running.add(id)
      if (state === 'cold') startedCold.add(id)
      if (startedCold.size > coldAllowance) coldOverloads++
      recordLoad()
    },
    end (id) {
      startedCold.delete(id)
      if (running.delete(id)) recordLoad()
    },
    restart () {
      boot++
      state = 'cold'
      running.clear()
      startedCold.clear()
      recordLoad()
    },
    turnCold () { state = 'cold' },
    warmUp () {
      state = 'warm'
      startedCold.clear()
    },
    health () {
      return { instance: `${address}#${boot}`, state, inFlight: reportedInFlight() }
    }
  }
}

export const DATA_CENTRE = brandId<DataCentreId>('bag-a')
export const VERSION = brandId<VersionId>('kit-1')

/** Creates a configuration with one model version, the given data centres, and teams of equal weight. */
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

/** Returns the address of a backend server named `<letters>-<number>`; the port is derived from the number. */
export function addressOf (name: string): string {
  return `127.0.0.1:${9000 + Number(name.split('-').at(-1))}`
}

/**
 * Creates a permit request. By default, it has normal priority and no prefix, excludes no backend server, and is neither
 * suspect nor a retry.
 */
export function permitRequest ({ request, ...fields }: Omit<Partial<PermitRequest>, 'request'> & { request: string }): PermitRequest {
  return {
    team: brandId<TeamId>('team-1'),
    version: fields.service === undefined ? VERSION : undefined,
    priority: 'normal',
    waitMs: 10_000,
    fingerprint: `fingerprint of ${request}`,
    prefixHashes: [],
    estimatedTokens: 100,
    exclude: [] as BackendServerId[],
    suspect: false,
    isRetry: false,
    configRevision: 0,
    ...fields,
    request: brandId(request)
  }
}
