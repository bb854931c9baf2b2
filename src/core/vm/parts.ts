/** Registers the factory of each part of a VM. A part is created once, when it is first resolved. */
import { container, instanceCachingFactory, type DependencyContainer, type InjectionToken } from 'tsyringe'
import { createPermitClient } from '../admission/index.ts'
import { createBilling } from '../billing/index.ts'
import { createBudget } from '../budget/index.ts'
import { createCascade, PROVEN_RATINGS } from '../cascade/index.ts'
import { createClaims } from '../claims/index.ts'
import { systemClock } from '../clock/index.ts'
import { createConfigController, createConfigReplica } from '../config/index.ts'
import { createEngineClient, createServiceClient } from '../engine/index.ts'
import { createEntryPoints } from '../entry-points/index.ts'
import { createExplain } from '../explain/index.ts'
import { createCallerServer } from '../gateway/index.ts'
import { brandId, randomId, type BootId, type DataCentreId } from '../ids/index.ts'
import { createLeaderLease } from '../lease/index.ts'
import { createLog } from '../logging/index.ts'
import { createMembership, createVmListReader } from '../membership/index.ts'
import { createMetrics } from '../metrics/index.ts'
import { createObjectApi } from '../object-api/index.ts'
import { createPeerLinks, readPeerTls } from '../peer/index.ts'
import { createQuarantine } from '../quarantine/index.ts'
import { createRatingClient } from '../rating/index.ts'
import { createOutcomeReports, createRolloutController } from '../rollout/index.ts'
import { createVersionRouter } from '../routing/index.ts'
import { createSessions } from '../session/index.ts'
import type { Settings } from '../settings/index.ts'
import { createLeaders, isPreferredLeader } from './leaders.ts'
import { createLifecycle } from './lifecycle.ts'
import { TOKENS } from './tokens.ts'

type Parts = DependencyContainer

/** Creates the container of one VM; several VMs in one process have separate containers. */
export function createParts (settings: Settings): Parts {
  const parts = container.createChildContainer()
  parts.register(TOKENS.settings, { useValue: settings })
  parts.register(TOKENS.clock, { useValue: systemClock })
  registerFoundations(parts)
  registerCoordination(parts)
  registerAdmission(parts)
  registerOutcomes(parts)
  registerDecisions(parts)
  registerRollouts(parts)
  return parts
}

function provide<Part> (parts: Parts, token: InjectionToken<Part>, create: () => Part): void {
  parts.register(token, { useFactory: instanceCachingFactory(create) })
}

/** Parts that nearly every other part takes. */
function common (parts: Parts) {
  return {
    identity: parts.resolve(TOKENS.identity),
    clock: parts.resolve(TOKENS.clock),
    metrics: parts.resolve(TOKENS.metrics),
    log: parts.resolve(TOKENS.log)
  }
}

function registerFoundations (parts: Parts): void {
  const { vm, log, limits } = parts.resolve(TOKENS.settings)
  provide(parts, TOKENS.identity, () => ({
    vm: vm.id, boot: randomId<BootId>('boot'), region: vm.region, dataCentre: vm.data_centre
  }))
  provide(parts, TOKENS.log, () => createLog({ level: log.level, format: log.format, vm: vm.id }))
  provide(parts, TOKENS.metrics, () => createMetrics())
  provide(parts, TOKENS.server, () => createCallerServer({ ...splitAddress(vm.caller_address), limits }))
  provide(parts, TOKENS.lifecycle, () => {
    const { log: lines } = common(parts)
    return createLifecycle({
      isIsolated: () => parts.resolve(TOKENS.membership).isIsolated(),
      isOutOfService: () => isOutOfService(parts),
      onChange: phase => lines.info('phase changed', { phase })
    })
  })
}

function isOutOfService (parts: Parts): boolean {
  const { vm, dataCentre } = parts.resolve(TOKENS.identity)
  const view = parts.resolve(TOKENS.view)
  return view.get('VirtualMachine', vm)?.state === 'leaving' || view.get('DataCentre', dataCentre)?.state === 'out_of_service'
}

function registerCoordination (parts: Parts): void {
  const { vm, object_api: api, peer, platform, membership: timing } = parts.resolve(TOKENS.settings)
  provide(parts, TOKENS.objectApi, () => createObjectApi({ url: api.url, timeoutMs: api.timeout_ms, ...common(parts) }))
  provide(parts, TOKENS.peers, () => {
    const { metrics } = common(parts)
    const links = createPeerLinks({
      ...common(parts), address: vm.peer_address, sharedKeys: peer.shared_keys, tls: readPeerTls(peer)
    })
    metrics.gauge('peer_sent_bytes', 'Payload bytes sent to other VMs since the start', () => links.traffic().sentBytes)
    metrics.gauge('peer_received_bytes', 'Payload bytes received from other VMs since the start', () => links.traffic().receivedBytes)
    return links
  })
  provide(parts, TOKENS.view, () => createConfigReplica())
  provide(parts, TOKENS.membership, () => createMembership({
    ...common(parts),
    peerAddress: vm.peer_address,
    callerUrl: `http://${vm.caller_address}`,
    peers: parts.resolve(TOKENS.peers),
    seeds: vm.seeds.filter(seed => seed.vm !== vm.id).map(seed => ({ vm: seed.vm, peerAddress: seed.peer_address })),
    vmList: platform.vm_list_url === '' ? undefined : createVmListReader({ url: platform.vm_list_url }),
    vmListPeriodMs: platform.vm_list_period_ms,
    lastObjectApiContact: () => parts.resolve(TOKENS.objectApi).lastContact(),
    pingPayload: () => parts.resolve(TOKENS.config).pingPayload(),
    onPingPayload: (payload, from) => parts.resolve(TOKENS.config).onPingPayload(from, payload),
    pingPeriodMs: timing.ping_period_ms,
    pingTimeoutMs: timing.ping_timeout_ms,
    suspectTimeoutMs: timing.suspect_timeout_ms,
    isolationTimeoutMs: timing.isolation_timeout_ms,
    random: Math.random
  }))
  provide(parts, TOKENS.config, () => createConfigController({
    ...common(parts),
    objectApi: parts.resolve(TOKENS.objectApi),
    replica: parts.resolve(TOKENS.view),
    peers: parts.resolve(TOKENS.peers),
    membership: parts.resolve(TOKENS.membership)
  }))
  provide(parts, TOKENS.entryPoints, () => createEntryPoints({
    ...common(parts),
    membership: parts.resolve(TOKENS.membership),
    view: parts.resolve(TOKENS.view),
    isAcceptingWork: () => parts.resolve(TOKENS.lifecycle).isTakingWork(),
    maxAgeS: parts.resolve(TOKENS.settings).entry_points.max_age_s
  }))
  provide(parts, TOKENS.explain, () => createExplain({
    clock: parts.resolve(TOKENS.clock),
    peers: parts.resolve(TOKENS.peers),
    membership: parts.resolve(TOKENS.membership),
    maxTraces: parts.resolve(TOKENS.settings).explain.max_traces
  }))
}

function regionDataCentres (parts: Parts): DataCentreId[] {
  const { region, dataCentre } = parts.resolve(TOKENS.identity)
  const listed = parts.resolve(TOKENS.view).list('DataCentre')
  const names = listed.filter(({ spec }) => spec.region === region).map(({ name }) => brandId<DataCentreId>(name))
  return [...new Set([dataCentre, ...names])]
}

function registerAdmission (parts: Parts): void {
  const { lease, admission } = parts.resolve(TOKENS.settings)
  provide(parts, TOKENS.lease, () => createLeaderLease({
    ...common(parts),
    objectApi: parts.resolve(TOKENS.objectApi),
    dataCentres: () => regionDataCentres(parts),
    isPreferred: dataCentre => isPreferredLeader(dataCentre, {
      identity: parts.resolve(TOKENS.identity),
      membership: parts.resolve(TOKENS.membership),
      dataCentres: regionDataCentres(parts)
    }),
    ttlMs: lease.lease_ttl_ms,
    marginMs: lease.clock_margin_ms
  }))
  provide(parts, TOKENS.leaders, () => createLeaders({
    ...common(parts),
    lease: parts.resolve(TOKENS.lease),
    view: parts.resolve(TOKENS.view),
    membership: parts.resolve(TOKENS.membership),
    quarantine: parts.resolve(TOKENS.quarantine),
    healthProbe: parts.resolve(TOKENS.engine).health,
    summaries: () => parts.resolve(TOKENS.permits).summaries(),
    settings: admission
  }))
  provide(parts, TOKENS.permits, () => createPermitClient({
    ...common(parts),
    peers: parts.resolve(TOKENS.peers),
    lease: parts.resolve(TOKENS.lease),
    membership: parts.resolve(TOKENS.membership),
    view: parts.resolve(TOKENS.view),
    schedulers: dataCentre => parts.resolve(TOKENS.leaders).scheduler(dataCentre),
    objectApiAvailable: () => isObjectApiAvailable(parts),
    leaseTtlMs: lease.lease_ttl_ms,
    permitStartMs: admission.permit_start_ms,
    retryBudgetShare: admission.retry_budget_share
  }))
}

/** The lease is read or renewed several times per ttl, so a reachable object API answers at least once per ttl. */
function isObjectApiAvailable (parts: Parts): boolean {
  const { lease } = parts.resolve(TOKENS.settings)
  const silentMs = parts.resolve(TOKENS.clock).now() - parts.resolve(TOKENS.objectApi).lastContact()
  return silentMs < lease.lease_ttl_ms
}

function registerOutcomes (parts: Parts): void {
  const { billing } = parts.resolve(TOKENS.settings)
  const shared = () => ({
    ...common(parts),
    objectApi: parts.resolve(TOKENS.objectApi),
    peers: parts.resolve(TOKENS.peers),
    membership: parts.resolve(TOKENS.membership),
    view: parts.resolve(TOKENS.view)
  })
  provide(parts, TOKENS.claims, () => createClaims(shared()))
  provide(parts, TOKENS.billing, () => createBilling({
    ...shared(), flushPeriodMs: billing.flush_period_ms, maxOutboxRecords: billing.max_outbox_records
  }))
  provide(parts, TOKENS.budget, () => createBudget(shared()))
  provide(parts, TOKENS.quarantine, () => createQuarantine(shared()))
}

function registerDecisions (parts: Parts): void {
  const { sessions, rating } = parts.resolve(TOKENS.settings)
  provide(parts, TOKENS.engine, () => createEngineClient(common(parts)))
  provide(parts, TOKENS.services, () => createServiceClient(common(parts)))
  provide(parts, TOKENS.sessions, () => createSessions({
    ...common(parts),
    objectApi: parts.resolve(TOKENS.objectApi),
    view: parts.resolve(TOKENS.view),
    tokenKeys: () => sessions.token_keys
  }))
  provide(parts, TOKENS.routing, () => createVersionRouter({
    ...common(parts),
    view: parts.resolve(TOKENS.view),
    sessions: parts.resolve(TOKENS.sessions),
    // Without a rating service nothing is ever proved, so the priors of the versions are trusted.
    cascade: createCascade({ policy: { provenRatings: rating.url === '' ? 0 : PROVEN_RATINGS } }),
    onOutcome: outcome => parts.resolve(TOKENS.outcomes).observe(outcome)
  }))
  provide(parts, TOKENS.rating, () => createRatingClient({
    ...common(parts),
    url: rating.url,
    observe: outcome => parts.resolve(TOKENS.routing).observe(outcome)
  }))
}

/** The leader of the first data centre of the whole configuration also controls the roll-outs, so there is one. */
function rolloutDataCentre (parts: Parts): DataCentreId | undefined {
  const [first] = parts.resolve(TOKENS.view).list('DataCentre').map(({ name }) => name).sort()
  return first === undefined ? undefined : brandId<DataCentreId>(first)
}

function registerRollouts (parts: Parts): void {
  provide(parts, TOKENS.outcomes, () => createOutcomeReports({
    ...common(parts),
    view: parts.resolve(TOKENS.view),
    peers: parts.resolve(TOKENS.peers),
    membership: parts.resolve(TOKENS.membership),
    controller () {
      const dataCentre = rolloutDataCentre(parts)
      return dataCentre && parts.resolve(TOKENS.lease).leader(dataCentre)?.holder
    }
  }))
  provide(parts, TOKENS.rollouts, () => createRolloutController({
    ...common(parts),
    config: {
      view: parts.resolve(TOKENS.view),
      change: async change => (await parts.resolve(TOKENS.config).change([change]))[0]!
    },
    isController () {
      const dataCentre = rolloutDataCentre(parts)
      return dataCentre !== undefined && parts.resolve(TOKENS.lease).isHeld(dataCentre)
    },
    outcomes: parts.resolve(TOKENS.outcomes)
  }))
}

export function splitAddress (address: string): { host: string, port: number } {
  const [host, port] = address.split(':')
  return { host: host!, port: Number(port) }
}
