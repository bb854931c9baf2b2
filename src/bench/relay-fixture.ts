/** Minimal stubs for the parts of a VM that the relay benchmark does not measure. */
import { createHash } from 'node:crypto'
import type { Permit, PermitClient } from '../core/admission/types.ts'
import type { Claims } from '../core/claims/types.ts'
import { systemClock } from '../core/clock/index.ts'
import { CONFIG_SCHEMAS, type ConfigEntry, type ConfigSpecs, type ConfigView } from '../core/config/types.ts'
import { createEngineClient, createServiceClient } from '../core/engine/index.ts'
import { createCallerServer, createGateway } from '../core/gateway/index.ts'
import { brandId, randomId, type BackendServerId, type BootId, type DataCentreId, type RegionId, type VersionId, type VmId } from '../core/ids/index.ts'
import { silentLog } from '../core/logging/index.ts'
import type { Membership } from '../core/membership/types.ts'
import { createMetrics } from '../core/metrics/index.ts'
import type { ConfigKind } from '../core/object-api/types.ts'
import type { PeerLinks } from '../core/peer/types.ts'
import type { VersionRouter } from '../core/routing/types.ts'
import { settingsSchema } from '../core/settings/types.ts'

export const BENCH_KEY = 'bench-key'
export const BENCH_VERSION = brandId<VersionId>('kit-v1')
const BENCH_DATA_CENTRE = brandId<DataCentreId>('bag-a')
const BENCH_BACKEND = brandId<BackendServerId>('engine-1')

/** Starts a gateway in front of one engine; the stubs that it depends on respond immediately. */
export async function startBenchGateway (engineAddress: string): Promise<{ url: string, close(): Promise<void> }> {
  const limits = settingsSchema.shape.limits.parse({})
  const clock = systemClock
  const metrics = createMetrics()
  const server = createCallerServer({ host: '127.0.0.1', port: 0, limits })
  const membership = createMembership()
  const { vm, boot, region, dataCentre } = membership.self()
  const unused = () => { throw new Error('not part of this benchmark') }
  createGateway({
    server,
    identity: { vm, boot, region, dataCentre },
    view: createView(engineAddress),
    routing: createRouting(),
    chooseDataCentres: () => [{ dataCentre: BENCH_DATA_CENTRE, reason: 'only one' }],
    permits: createPermits(engineAddress),
    claims: { acquire: unused, find: unused, stop: async () => {} } satisfies Claims,
    billing: { canAccept: () => true, record: async () => {}, pending: () => 0, start () {}, drain: async () => 0 },
    budget: {
      reserve: async () => ({ settle () {} }),
      returnChunks: async () => {}
    },
    quarantine: {
      parts: { recordCrash: () => false, recordSurvival: () => false, remainingMs: () => 0 },
      isQuarantined: () => false,
      isSuspect: () => false,
      reportCrash () {},
      remainingMs: () => 0,
      lift: async () => {},
      start: async () => {},
      stop () {}
    },
    engine: createEngineClient({ clock, metrics }),
    services: createServiceClient({ clock, metrics }),
    explain: { begin () {}, add () {}, setCost () {}, find: async () => undefined },
    entryPoints: () => [],
    peers: { handle () {} } as Partial<PeerLinks> as PeerLinks,
    membership,
    isAcceptingRequests: () => true,
    limits,
    clock,
    metrics,
    log: silentLog
  })
  await server.start()
  return { url: `http://127.0.0.1:${server.info.port}`, close: () => server.stop({ timeout: 1000 }) }
}

function createMembership (): Membership {
  const member = {
    vm: brandId<VmId>('vm-1'), boot: brandId<BootId>('boot-1'), region: brandId<RegionId>('bagmati'), dataCentre: BENCH_DATA_CENTRE, peerAddress: '', callerUrl: '', incarnation: 1, state: 'live' as const
  }
  return {
    self: () => member,
    members: () => [member],
    available: () => [member],
    get: () => member,
    isIsolated: () => false,
    leave: async () => {},
    onChange: () => () => {},
    start: async () => {},
    stop: async () => {}
  }
}

function createView (address: string): ConfigView {
  const objects: [ConfigKind, string, unknown][] = [
    ['Contract', 'bench', { team: 'bench', keys: [{ sha256: createHash('sha256').update(BENCH_KEY).digest('hex') }], models: ['kit'], spendLimitMicros: 1 }],
    ['Version', BENCH_VERSION, { model: 'kit', inputMicrosPerToken: 1, outputMicrosPerToken: 1 }],
    ['DataCentre', BENCH_DATA_CENTRE, { region: 'bagmati' }],
    ['BackendServer', BENCH_BACKEND, { dataCentre: BENCH_DATA_CENTRE, address, versions: [BENCH_VERSION] }]
  ]
  const entries = objects.map(([kind, name, spec]) => ({ kind, name, resourceVersion: 1, spec: CONFIG_SCHEMAS[kind].parse(spec) as ConfigSpecs[ConfigKind] }))
  const findEntry = <Kind extends ConfigKind>(kind: Kind, name: string) => entries.find(entry => entry.kind === kind && entry.name === name) as ConfigEntry<Kind> | undefined
  return {
    revision: () => 1,
    get: (kind, name) => findEntry(kind, name)?.spec,
    entry: findEntry,
    list: <Kind extends ConfigKind>(kind: Kind) => entries.filter(entry => entry.kind === kind) as unknown as ConfigEntry<Kind>[],
    onChange: () => () => {}
  }
}

function createRouting (): VersionRouter {
  return {
    choose: async ({ model }) => ({ version: BENCH_VERSION, model, canEscalate: false, reason: 'only one' }),
    isStillPermitted: () => true,
    permittedModels: () => ['kit'],
    observe () {},
    shouldEscalate: () => false
  }
}

function createPermits (address: string): PermitClient {
  return {
    async acquire (dataCentre) {
      const permit: Permit = { id: randomId('permit'), dataCentre, epoch: 1, backendServer: BENCH_BACKEND, address, startWithinMs: 1000 }
      return { granted: true, permit, passedOver: [], queuedMs: 0 }
    },
    mayStart: () => true,
    reportFirstByte () {},
    release () {},
    summaries: () => [],
    heldCount: () => 0,
    start () {},
    stop () {}
  }
}
