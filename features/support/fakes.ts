/** Small fakes of the interfaces that the gateway depends on; most record the calls they receive. */
import { createHash } from 'node:crypto'
import type { Permit, PermitAnswer, PermitClient, PermitRelease, PermitRequest } from '../../src/core/admission/types.ts'
import type { Billing, BillingRecord } from '../../src/core/billing/types.ts'
import type { Budget } from '../../src/core/budget/types.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { CONFIG_SCHEMAS, type ConfigEntry, type ConfigRecord, type ConfigSpecs, type ConfigView, type Contract } from '../../src/core/config/types.ts'
import { BillingError, BudgetError, PeerError, RoutingError } from '../../src/core/errors/index.ts'
import type { Explain, ExplainTrace } from '../../src/core/explain/types.ts'
import { brandId, randomId, type BootId, type DataCentreId, type ModelId, type PermitId, type RegionId, type RequestId, type VersionId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { Member, Membership } from '../../src/core/membership/types.ts'
import type { ConfigKind } from '../../src/core/object-api/types.ts'
import type { PeerHandler, PeerLinks, PeerMessageType } from '../../src/core/peer/types.ts'
import { createPartQuarantine } from '../../src/core/quarantine/request-parts.ts'
import type { CrashReport, Quarantine } from '../../src/core/quarantine/types.ts'
import type { VersionChoice, VersionOutcome, VersionRouter } from '../../src/core/routing/types.ts'

type SpecInput = Record<string, Record<string, unknown>>

/** In-memory configuration; specs are parsed by the real schemas. */
export function createFakeView (objects: Partial<Record<ConfigKind, SpecInput>>): ConfigView & { put(kind: ConfigKind, name: string, spec: Record<string, unknown>): void } {
  const entries = new Map<string, ConfigEntry<ConfigKind>>()
  const listeners = new Set<(records: readonly ConfigRecord[]) => void>()
  let revision = 0

  function put (kind: ConfigKind, name: string, spec: Record<string, unknown>): void {
    revision++
    const parsed = CONFIG_SCHEMAS[kind].parse(spec) as ConfigSpecs[ConfigKind]
    entries.set(`${kind}/${name}`, { name, resourceVersion: revision, spec: parsed })
    const record = { kind, name, resourceVersion: revision, spec: parsed, writeId: '', deleted: false }
    for (const listener of listeners) listener([record])
  }

  for (const [kind, specs] of Object.entries(objects)) {
    for (const [name, spec] of Object.entries(specs)) put(kind as ConfigKind, name, spec)
  }
  return {
    put,
    revision: () => revision,
    get: <Kind extends ConfigKind>(kind: Kind, name: string) => entries.get(`${kind}/${name}`)?.spec as ConfigSpecs[Kind] | undefined,
    entry: <Kind extends ConfigKind>(kind: Kind, name: string) => entries.get(`${kind}/${name}`) as ConfigEntry<Kind> | undefined,
    list: <Kind extends ConfigKind>(kind: Kind) => [...entries].filter(([key]) => key.startsWith(`${kind}/`)).map(([, entry]) => entry as ConfigEntry<Kind>),
    onChange (listener) {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}

export function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/** Grants permits for backend servers that are in service, serve the request and are not excluded. */
export function createFakePermits (view: ConfigView) {
  const held = new Map<PermitId, Permit>()
  const releases: Omit<PermitRelease, 'id'>[] = []
  const requests: PermitRequest[] = []
  const fake = {
    releases,
    requests,
    /** Called before each answer; may change the configuration first or return another answer. */
    beforeAnswer: (_: PermitRequest): PermitAnswer | void => {},
    mayStart: (_: Permit) => true,
    /** Selects one of these backend servers, by default the first that was configured. */
    selectServer: <Entry>(entries: Entry[]): Entry | undefined => entries[0]
  }
  const client: PermitClient = {
    async acquire (dataCentre: DataCentreId, request: PermitRequest): Promise<PermitAnswer> {
      requests.push(request)
      const scripted = fake.beforeAnswer(request)
      if (scripted) return scripted
      const selected = fake.selectServer(view.list('BackendServer').filter(({ name, spec }) =>
        spec.dataCentre === dataCentre && spec.state === 'in_service' && !request.exclude.includes(brandId(name)) &&
        (request.version ? spec.versions.includes(request.version) : spec.service === request.service)))
      if (!selected) return { granted: false, refusal: { reason: 'no_backend_server', retryAfterMs: 1000, passedOver: [] } }
      const permit: Permit = {
        id: randomId('permit'), dataCentre, epoch: 1, backendServer: brandId(selected.name), address: selected.spec.address, version: request.version, startWithinMs: 1000
      }
      held.set(permit.id, permit)
      return { granted: true, permit, passedOver: [], queuedMs: 0 }
    },
    mayStart: permit => fake.mayStart(permit),
    reportFirstByte () {},
    release (permit, release) {
      if (!held.delete(permit.id)) throw new Error('permit released twice')
      releases.push(release)
    },
    summaries: () => [],
    start () {},
    stop () {},
    heldCount: () => held.size
  }
  return Object.assign(fake, { client })
}

export function createFakeBilling () {
  const records: BillingRecord[] = []
  const fake = { records, accepts: true, fails: false }
  const billing: Billing = {
    canAccept: () => fake.accepts,
    async record (record) {
      if (fake.fails) throw new BillingError('billing_unavailable')
      records.push(record)
    },
    pending: () => 0,
    start () {},
    drain: async () => 0
  }
  return Object.assign(fake, { billing })
}

export function createFakeBudget () {
  const fake = { open: 0, settled: [] as number[], exhausted: false }
  const budget: Budget = {
    async reserve () {
      if (fake.exhausted) throw new BudgetError('budget_exhausted')
      fake.open++
      return {
        settle (cost) {
          fake.open--
          fake.settled.push(cost)
        }
      }
    },
    async returnChunks () {}
  }
  return Object.assign(fake, { budget })
}

export function createFakeQuarantine () {
  const reports: CrashReport[] = []
  const fake = { reports, quarantined: new Set<string>() }
  const quarantine: Quarantine = {
    parts: createPartQuarantine({ clock: systemClock, log: silentLog, metrics: createMetrics() }),
    isQuarantined: fingerprint => fake.quarantined.has(fingerprint),
    isSuspect: fingerprint => reports.some(report => report.fingerprint === fingerprint),
    reportCrash (report) {
      reports.push(report)
      const servers = new Set(reports.filter(entry => entry.fingerprint === report.fingerprint).map(entry => entry.backendServer))
      if (servers.size >= 2) fake.quarantined.add(report.fingerprint)
    },
    remainingMs: () => 600_000,
    lift: async () => {},
    start: async () => {},
    stop () {}
  }
  return Object.assign(fake, { quarantine })
}

/** Chooses the first active, untried version of the model, or of the models with this alias in order of tier. */
export function createFakeRouting (view: ConfigView) {
  const outcomes: VersionOutcome[] = []
  const fake = { outcomes, escalateBelow: 0 }
  const isActive = (contract: Contract, version: VersionId) => {
    const spec = view.get('Version', version)
    return spec?.state === 'active' && contract.models.includes(spec.model)
  }
  const routing: VersionRouter = {
    async choose ({ contract, model, promptTokens, tried }): Promise<VersionChoice> {
      const models = view.list('Model').filter(({ name, spec }) => name === model || spec.alias === model).sort((a, b) => a.spec.tier - b.spec.tier)
      if (models.length === 0) throw new RoutingError('unknown_model')
      const permitted = models.filter(({ name }) => contract.models.includes(brandId<ModelId>(name)))
      if (permitted.length === 0) throw new RoutingError('model_not_permitted')
      if (permitted.every(({ spec }) => promptTokens > spec.contextTokens)) throw new RoutingError('prompt_too_large')
      const names = permitted.map(({ name }) => name)
      const versions = names.flatMap(name => view.list('Version').filter(({ spec }) => spec.model === name).map(entry => brandId<VersionId>(entry.name)))
      const activeUntried = versions.filter(version => isActive(contract, version) && !tried.includes(version))
      if (activeUntried.length === 0) throw new RoutingError('no_permitted_version')
      const version = activeUntried[0]!
      return { version, model: view.get('Version', version)!.model, canEscalate: names.length > 1 && activeUntried.length > 1, reason: 'first active' }
    },
    isStillPermitted: isActive,
    permittedModels: contract => [...contract.models],
    observe: outcome => { outcomes.push(outcome) },
    shouldEscalate: (_, choice, confidence) => choice.canEscalate && (confidence ?? 1) < fake.escalateBelow
  }
  return Object.assign(fake, { routing })
}

export function createFakeExplain () {
  const traces = new Map<RequestId, ExplainTrace>()
  const explain: Explain = {
    begin: (request, team) => { traces.set(request, { request, team, steps: [] }) },
    add: (request, step, text) => { traces.get(request)?.steps.push({ atMs: 0, step, text }) },
    setCost: (request, costMicros) => { Object.assign(traces.get(request) ?? {}, { costMicros }) },
    find: async request => traces.get(request)
  }
  return { traces, explain }
}

/** Creates VMs of one region that share one member list and call each other's peer handlers directly. */
export function createFakeRegion () {
  const members = new Map<VmId, Member>()
  const handlers = new Map<string, PeerHandler>()
  const dead = new Set<VmId>()

  function join (vm: VmId) {
    const member: Member = {
      vm, boot: brandId<BootId>(`${vm}-boot-1`), region: brandId<RegionId>('bagmati'), dataCentre: brandId<DataCentreId>('bag-a'), peerAddress: '127.0.0.1:1', callerUrl: `http://${vm}`, incarnation: 1, state: 'live'
    }
    members.set(vm, member)
    const fake = { isolated: false }
    const membership: Membership = {
      self: () => member,
      members: () => [...members.values()].filter(entry => entry.state !== 'dead'),
      available: () => [...members.values()].filter(entry => ['live', 'suspect'].includes(entry.state)),
      get: id => members.get(id),
      isIsolated: () => fake.isolated,
      leave: async () => { member.state = 'leaving' },
      onChange: () => () => {},
      start: async () => {},
      stop: async () => {}
    }
    const peers: PeerLinks = {
      setAddress () {},
      removeAddress () {},
      setSharedKeys () {},
      async request<Answer> (to: VmId, type: PeerMessageType, body: unknown): Promise<Answer> {
        const handler = handlers.get(`${to}/${type}`)
        if (!handler || dead.has(to) || dead.has(vm)) throw new PeerError('peer_unreachable')
        const answer = structuredClone(await handler(structuredClone(body), vm)) as Answer
        if (dead.has(to)) throw new PeerError('peer_timeout')
        return answer
      },
      notify () {},
      handle: (type, handler) => { handlers.set(`${vm}/${type}`, handler) },
      onDisconnect () {},
      listen: async () => 1,
      close: async () => {},
      traffic: () => ({ sentBytes: 0, receivedBytes: 0 })
    }
    return Object.assign(fake, { member, membership, peers })
  }

  /** Makes a VM unreachable and sets its membership state to dead. */
  function kill (vm: VmId): void {
    dead.add(vm)
    members.get(vm)!.state = 'dead'
  }

  return { join, kill }
}
