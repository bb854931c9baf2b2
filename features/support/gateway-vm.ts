/** Starts the gateway of a VM with real clients of stand-in engines and services; all else is faked. */
import type { Server } from '@hapi/hapi'
import type { Claims } from '../../src/core/claims/index.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { createEngineClient, createServiceClient } from '../../src/core/engine/index.ts'
import { createCallerServer, createGateway, type Gateway, type Limits } from '../../src/core/gateway/index.ts'
import { brandId, type DataCentreId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { settingsSchema } from '../../src/core/settings/types.ts'
import {
  createFakeBilling, createFakeBudget, createFakeExplain, createFakePermits, createFakeQuarantine, createFakeRegion, createFakeRouting, createFakeView, sha256
} from './fakes.ts'

export const KEY = 'key-of-school'
export const DATA_CENTRE = 'bag-a'
export const DEFAULT_LIMITS: Limits = settingsSchema.shape.limits.parse({})

export type FakeView = ReturnType<typeof createFakeView>
export type FakeRegion = ReturnType<typeof createFakeRegion>

/** Contracts, models and routes of the scenarios; `addEngine` and `addApplication` add backend servers. */
export function createSampleView (): FakeView {
  const price = { inputMicrosPerToken: 1, outputMicrosPerToken: 2 }
  return createFakeView({
    Contract: {
      school: { team: 'school', keys: [{ sha256: sha256(KEY) }], models: ['kit', 'kit-large'], services: ['order-desk'], spendLimitMicros: 1_000_000 },
      guest: { team: 'guest', keys: [{ sha256: sha256('key-of-guest') }], models: ['other'], spendLimitMicros: 1_000_000 },
      expired: { team: 'expired', keys: [{ sha256: sha256('key-expired'), expiresAtWallMs: 1 }], models: ['kit'], spendLimitMicros: 1_000_000 }
    },
    Model: { kit: { alias: 'desk', tier: 0, contextTokens: 1000 }, 'kit-large': { alias: 'desk', tier: 1, contextTokens: 1000 }, other: {} },
    Version: { 'kit-v1': { model: 'kit', ...price }, 'kit-large-v1': { model: 'kit-large', ...price } },
    DataCentre: { [DATA_CENTRE]: { region: 'bagmati' } },
    Service: {
      'order-desk': {
        routes: [
          { method: 'POST', path: '/dispatches', idempotent: false, priceMicros: 5 },
          { method: 'GET', path: '/status', idempotent: true }
        ]
      }
    }
  })
}

export function addEngine (view: FakeView, name: string, address: string): void {
  view.put('BackendServer', name, { dataCentre: DATA_CENTRE, address, versions: ['kit-v1', 'kit-large-v1', 'kit-v2'] })
}

export function addApplication (view: FakeView, name: string, address: string): void {
  view.put('BackendServer', name, { dataCentre: DATA_CENTRE, address, service: 'order-desk' })
}

export interface GatewayVmOptions {
  view: FakeView
  region: FakeRegion
  vm?: string
  claims?: (membership: ReturnType<FakeRegion['join']>) => Claims
  limits?: Partial<Limits>
  firstByteTimeoutMs?: number
  idleTimeoutMs?: number
}

export type GatewayVm = Awaited<ReturnType<typeof startGatewayVm>>

const noClaims: Claims = {
  acquire: () => Promise.reject(new Error('this scenario has no claims')),
  find: () => Promise.reject(new Error('this scenario has no claims')),
  stop: async () => {}
}

export async function startGatewayVm (options: GatewayVmOptions) {
  const { view, region, vm = 'vm-1', firstByteTimeoutMs, idleTimeoutMs } = options
  const limits = { ...DEFAULT_LIMITS, ...options.limits }
  const clock = systemClock
  const metrics = createMetrics()
  const member = region.join(brandId<VmId>(vm))
  const permits = createFakePermits(view)
  const billing = createFakeBilling()
  const budget = createFakeBudget()
  const quarantine = createFakeQuarantine()
  const routing = createFakeRouting(view)
  const { traces, explain } = createFakeExplain()
  const server: Server = createCallerServer({ host: '127.0.0.1', port: 0, limits })
  const state = { isAcceptingRequests: true }
  const clientOptions = { clock, metrics, firstByteTimeoutMs, idleTimeoutMs }
  const gateway: Gateway = createGateway({
    server,
    identity: { vm: member.member.vm, boot: member.member.boot, region: member.member.region, dataCentre: member.member.dataCentre },
    view,
    routing: routing.routing,
    chooseDataCentres ({ version }) {
      const isActive = version === undefined || view.get('Version', version)?.state === 'active'
      return isActive ? [{ dataCentre: brandId<DataCentreId>(DATA_CENTRE), reason: 'only one' }] : []
    },
    permits: permits.client,
    claims: options.claims?.(member) ?? noClaims,
    billing: billing.billing,
    budget: budget.budget,
    quarantine: quarantine.quarantine,
    engine: createEngineClient(clientOptions),
    services: createServiceClient(clientOptions),
    explain,
    entryPoints: () => ['http://other-vm'],
    peers: member.peers,
    membership: member.membership,
    isAcceptingRequests: () => state.isAcceptingRequests,
    limits,
    clock,
    metrics,
    log: silentLog
  })
  await server.start()
  return { url: `http://127.0.0.1:${server.info.port}`, server, gateway, metrics, permits, billing, budget, quarantine, routing, traces, member, state }
}
