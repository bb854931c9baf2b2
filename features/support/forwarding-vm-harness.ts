/** Test harness of a forwarding VM in this process, with an in-memory store and an adapter with its own header names. */
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { findFreePorts } from '../../src/cli/dev/free-ports.ts'
import type { BackendEntry } from '../../src/core/backend-pool/index.ts'
import { systemClock, type Clock } from '../../src/core/clock/index.ts'
import type { BackendResponseHead, Route, TrafficConfig } from '../../src/core/forwarding/types.ts'
import { brandId, type BackendServerId, type DataCentreId, type ModelId, type RegionId, type RequestId, type ServiceId, type SessionId, type TeamId, type VersionId, type VmId } from '../../src/core/ids/index.ts'
import type { DecisionLog } from '../../src/core/logging/decision-log.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { startForwardingVm, type ForwardingVm, type ForwardingVmSettings, type PlatformAdapter } from '../../src/core/forwarding-vm/index.ts'
import { createMemoryStore, type MemoryStore } from './memory-store.ts'

export const KINDS = { config: 'config', backendServers: 'backend-servers', rollouts: 'rollouts', evacuations: 'evacuations' }
export const LIMITS = { maxHeaderBytes: 4000, maxBodyBytes: 1000, headerTimeoutMs: 500, idleTimeoutMs: 2000 }
const SERVICE = brandId<ServiceId>('service')
export const HARNESS_VM = brandId<VmId>('vm-1')

type HeaderMap = Record<string, string | string[] | undefined>
const firstValue = (value: string | string[] | undefined) => (Array.isArray(value) ? value[0] : value)

function forwardedHeaders (raw: readonly string[]): string[] {
  const dropped = new Set(['host', 'connection', 'content-length', 'transfer-encoding', 'authorization', 'last-event-id'])
  return raw.flatMap((value, index) => (index % 2 === 0 && !dropped.has(value.toLowerCase()) ? [value, raw[index + 1]!] : []))
}

/** Adapter with header names of its own, so that the core cannot depend on the names of a platform. */
export const adapter: PlatformAdapter = {
  kinds: KINDS,
  configName: 'main',
  decodeConfig: spec => {
    if (typeof (spec as TrafficConfig | undefined)?.version !== 'number') throw new Error('version: not a number')
    return spec as TrafficConfig
  },
  decodeBackend: ({ name, spec }) => (spec === 'unreadable' ? undefined : { ...spec as BackendEntry, id: brandId<BackendServerId>(name) }),
  decodeRollout: () => undefined,
  encodeRolloutStatus: (_order, state) => state,
  decodeCallerRequest (method, target, headers: HeaderMap, raw) {
    const id = firstValue(headers['x-test-id'])
    const session = firstValue(headers['x-test-session'])
    const waitMs = firstValue(headers['x-test-wait-ms'])
    const model = firstValue(headers['x-test-model'])
    const lastEventId = firstValue(headers['last-event-id'])
    return {
      id: id === undefined ? undefined : brandId<RequestId>(id),
      method,
      target,
      host: firstValue(headers.host) ?? '',
      key: /^Bearer (.+)$/.exec(firstValue(headers.authorization) ?? '')?.[1],
      timeoutMs: waitMs === undefined ? undefined : Number(waitMs),
      session: session === undefined ? undefined : brandId<SessionId>(session),
      model: model === undefined ? undefined : brandId<ModelId>(model),
      promptTokens: 100,
      maxOutputTokens: 10,
      prompt: (firstValue(headers['x-test-prompt']) ?? '').split(',').filter(Boolean).map(part => ({ id: part, tokens: 10 })),
      lastEventId: lastEventId === undefined ? undefined : Number(lastEventId),
      headers: forwardedHeaders(raw)
    }
  },
  encodeBackendRequest (request, call, bodyBytes) {
    const headers = ['host', request.host, ...request.headers, 'x-test-backend', call.backendServer, 'content-length', String(bodyBytes)]
    headers.push('x-test-remaining-ms', String(Math.round(call.remainingMs)))
    if (call.team !== undefined) headers.push('x-test-team', call.team)
    if (call.model !== undefined) headers.push('x-test-model', call.model)
    if (call.lastEventId !== undefined) headers.push('last-event-id', String(call.lastEventId))
    return headers
  },
  decodeBackendHead (request, status, headers: HeaderMap, raw): BackendResponseHead {
    const confidence = firstValue(headers['x-test-confidence'])
    const limit = firstValue(headers['x-test-limit'])
    const tolerated = firstValue(headers['x-test-tolerated-rejections'])
    return {
      status,
      notRun: headers['x-test-not-run'] !== undefined || status === 421,
      misdirected: status === 421,
      authentic: headers['x-test-mark'] !== undefined && headers['x-test-id'] === request.id && headers['content-encoding'] === undefined,
      leaving: headers['x-test-leaving'] !== undefined,
      requestedPauseMs: status === 503 && headers['x-test-pause-ms'] !== undefined ? Number(firstValue(headers['x-test-pause-ms'])) : undefined,
      namedLimit: limit === undefined ? undefined : Number(limit),
      toleratedRejections: tolerated === undefined ? undefined : Number.isFinite(Number(tolerated)) ? Number(tolerated) : 'unreadable',
      confidence: confidence === undefined ? undefined : Number(confidence),
      headers: forwardedHeaders(raw)
    }
  },
  serveReadiness: isReady => createServer((_incoming, outgoing) => {
    outgoing.statusCode = isReady() ? 200 : 503
    outgoing.end()
  }),
  serveDirectory: addresses => createServer((_incoming, outgoing) => outgoing.end(JSON.stringify(addresses(''))))
}

export const route = (prefix: string, kind: Route['kind'], more: Partial<Route> = {}): Route => ({
  name: prefix,
  host: 'desk.example',
  pathPrefix: prefix,
  kind,
  resumable: kind === 'streaming',
  timeoutMs: 3000,
  targetLatencyMs: 400,
  maxEventGapMs: 300,
  priority: 1,
  models: [],
  targets: [{ service: SERVICE, weight: 1 }],
  maxAttempts: kind === 'non_idempotent' ? 1 : 3,
  allowsAnonymous: false,
  ...more
})

export function trafficConfig (version: number, { keys = ['good-key'], coldRate = 0 } = {}): TrafficConfig {
  return {
    version,
    routes: [
      route('/order/', 'non_idempotent'), route('/read/', 'idempotent'), route('/stream/', 'streaming'),
      route('/cascade/', 'streaming', { models: [brandId<ModelId>('small'), brandId<ModelId>('large')] }),
      route('/short/', 'non_idempotent', { timeoutMs: 400 }), route('/long/', 'non_idempotent', { timeoutMs: 60_000 }),
      route('/once/', 'streaming', { resumable: false }),
      route('/open/', 'idempotent', { allowsAnonymous: true })
    ],
    services: [{ id: SERVICE, maxConnections: 1000, coldRate, engine: undefined }],
    teams: [{ id: brandId<TeamId>('team-1'), keys, priority: undefined }],
    limits: LIMITS
  }
}

export function backendEntry (address: string, more: Partial<BackendEntry> = {}): Omit<BackendEntry, 'id'> {
  return {
    service: SERVICE,
    address,
    dataCentre: brandId<DataCentreId>('dc-1'),
    version: brandId<VersionId>('v1'),
    slots: 2,
    leaving: false,
    coldLeftMs: 0,
    startedWallMs: undefined,
    ...more
  }
}

/** Settings of a VM that uses five ports of the loopback address. */
export function harnessSettings (ports: readonly number[]): ForwardingVmSettings {
  const addressAt = (index: number) => `127.0.0.1:${ports[index]}`
  return {
    vm: HARNESS_VM,
    dataCentre: brandId<DataCentreId>('dc-1'),
    region: brandId<RegionId>('region-1'),
    callerAddress: addressAt(0),
    readinessAddress: addressAt(1),
    directoryAddress: addressAt(2),
    peerAddress: addressAt(3),
    metricsAddress: addressAt(4),
    storeAddress: '',
    storeHistoryMs: 20_000,
    backendHeartbeatMs: 1000,
    contactMs: 3000,
    backendDrainMs: 2000,
    stopGraceMs: 3000,
    keyWithdrawalMs: 2000,
    strictKeyWithdrawal: true,
    retryShare: 0.9,
    retryWindowMs: 10_000,
    retrySlack: 50,
    trialShare: 0.15,
    trialSlack: 30,
    coldOvershoot: 1.5,
    coldSlack: 5,
    sessionMs: 5000,
    maxAddressTtlMs: 5000
  }
}

export interface ForwardingVmHarness {
  vm: ForwardingVm
  store: MemoryStore
  settings: ForwardingVmSettings
  /** Messages that the VM has logged as errors. */
  errors: string[]
  /** Decisions about requests that the VM has logged. */
  decisions: { decision: string, fields: Record<string, unknown>, atMs: number }[]
}

export async function startForwardingVmHarness ({ clock = systemClock, configured = true, coldRate, store = createMemoryStore(), overrides = {}, random, adapter: ownAdapter = adapter }: { clock?: Clock, configured?: boolean, coldRate?: number, store?: MemoryStore, overrides?: Partial<ForwardingVmSettings>, random?: () => number, adapter?: PlatformAdapter } = {}): Promise<ForwardingVmHarness> {
  const settings = { ...harnessSettings(await findFreePorts(5)), ...overrides }
  if (configured) store.put(KINDS.config, 'main', trafficConfig(1, { coldRate }))
  const errors: string[] = []
  const decisions: ForwardingVmHarness['decisions'] = []
  const log: DecisionLog = { ...silentLog, error: message => { errors.push(message) }, request (decision, fields) { decisions.push({ decision, fields: { ...fields }, atMs: performance.now() }) } }
  const vm = await startForwardingVm({ settings, adapter: ownAdapter, store, clock, random, log })
  return { vm, store, settings, errors, decisions }
}

export interface RawResponse { status: number, head: string, body: string, ended: 'closed' | 'reset', connected: boolean }

/** Sends bytes and collects the response until the connection ends. */
export function exchangeBytes (address: string, bytes: string): Promise<RawResponse> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = connect(Number(port), host)
    let received = ''
    let ended: RawResponse['ended'] = 'closed'
    let connected = false
    socket.on('connect', () => { connected = true })
    socket.on('data', chunk => { received += chunk.toString('latin1') })
    socket.on('error', () => { ended = 'reset' })
    socket.on('close', () => {
      const [head = '', ...rest] = received.split('\r\n\r\n')
      resolve({ status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0), head, body: rest.join('\r\n\r\n'), ended, connected })
    })
    socket.write(bytes)
  })
}
