/** Registers the factory of each component of a VM. A component is created once, when it is first resolved. */
import { container, instanceCachingFactory, type DependencyContainer, type InjectionToken } from 'tsyringe'
import { createPermitClient } from '../admission/index.ts'
import { createBilling } from '../billing/index.ts'
import { createBudget } from '../budget/index.ts'
import { createCascade, MINIMUM_RATINGS } from '../cascade/index.ts'
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
import { createLeaderSchedulers, isPreferredLeader } from './leaders.ts'
import { createLifecycle } from './lifecycle.ts'
import { TOKENS } from './tokens.ts'

type Components = DependencyContainer

/** Creates the container of one VM; several VMs in one process have separate containers. */
export function createComponents (settings: Settings): Components {
  const components = container.createChildContainer()
  components.register(TOKENS.settings, { useValue: settings })
  components.register(TOKENS.clock, { useValue: systemClock })
  registerBaseComponents(components)
  registerCoordination(components)
  registerAdmission(components)
  registerRequestRecords(components)
  registerRouting(components)
  registerRollouts(components)
  return components
}

function provide<Component> (components: Components, token: InjectionToken<Component>, create: () => Component): void {
  components.register(token, { useFactory: instanceCachingFactory(create) })
}

/** Returns the options that nearly every component requires. */
function commonOptions (components: Components) {
  return {
    identity: components.resolve(TOKENS.identity),
    clock: components.resolve(TOKENS.clock),
    metrics: components.resolve(TOKENS.metrics),
    log: components.resolve(TOKENS.log)
  }
}

function registerBaseComponents (components: Components): void {
  const { vm, log, limits } = components.resolve(TOKENS.settings)
  provide(components, TOKENS.identity, () => ({
    vm: vm.id, boot: randomId<BootId>('boot'), region: vm.region, dataCentre: vm.data_centre
  }))
  provide(components, TOKENS.log, () => createLog({ level: log.level, format: log.format, vm: vm.id }))
  provide(components, TOKENS.metrics, () => createMetrics())
  provide(components, TOKENS.server, () => createCallerServer({ ...parseAddress(vm.caller_address), limits }))
  provide(components, TOKENS.lifecycle, () => {
    const { log: logger } = commonOptions(components)
    return createLifecycle({
      isIsolated: () => components.resolve(TOKENS.membership).isIsolated(),
      isOutOfService: () => isOutOfService(components),
      onChange: phase => logger.info('phase changed', { phase })
    })
  })
}

function isOutOfService (components: Components): boolean {
  const { vm, dataCentre } = components.resolve(TOKENS.identity)
  const view = components.resolve(TOKENS.view)
  return view.get('VirtualMachine', vm)?.state === 'leaving' || view.get('DataCentre', dataCentre)?.state === 'out_of_service'
}

function registerCoordination (components: Components): void {
  const { vm, object_api: objectApiSettings, peer, platform, membership: membershipSettings } = components.resolve(TOKENS.settings)
  provide(components, TOKENS.objectApi, () => createObjectApi({ url: objectApiSettings.url, timeoutMs: objectApiSettings.timeout_ms, ...commonOptions(components) }))
  provide(components, TOKENS.peers, () => {
    const { metrics } = commonOptions(components)
    const links = createPeerLinks({
      ...commonOptions(components), address: vm.peer_address, sharedKeys: peer.shared_keys, tls: readPeerTls(peer)
    })
    metrics.gauge('peer_sent_bytes', 'Payload bytes sent to other VMs since the start', () => links.traffic().sentBytes)
    metrics.gauge('peer_received_bytes', 'Payload bytes received from other VMs since the start', () => links.traffic().receivedBytes)
    return links
  })
  provide(components, TOKENS.view, () => createConfigReplica())
  provide(components, TOKENS.membership, () => createMembership({
    ...commonOptions(components),
    peerAddress: vm.peer_address,
    callerUrl: `http://${vm.caller_address}`,
    peers: components.resolve(TOKENS.peers),
    seeds: vm.seeds.filter(seed => seed.vm !== vm.id).map(seed => ({ vm: seed.vm, peerAddress: seed.peer_address })),
    vmList: platform.vm_list_url === '' ? undefined : createVmListReader({ url: platform.vm_list_url }),
    vmListPeriodMs: platform.vm_list_period_ms,
    lastObjectApiContact: () => components.resolve(TOKENS.objectApi).lastContact(),
    pingPayload: () => components.resolve(TOKENS.config).pingPayload(),
    onPingPayload: (payload, from) => components.resolve(TOKENS.config).onPingPayload(from, payload),
    pingPeriodMs: membershipSettings.ping_period_ms,
    pingTimeoutMs: membershipSettings.ping_timeout_ms,
    suspectTimeoutMs: membershipSettings.suspect_timeout_ms,
    isolationTimeoutMs: membershipSettings.isolation_timeout_ms,
    random: Math.random
  }))
  provide(components, TOKENS.config, () => createConfigController({
    ...commonOptions(components),
    objectApi: components.resolve(TOKENS.objectApi),
    replica: components.resolve(TOKENS.view),
    peers: components.resolve(TOKENS.peers),
    membership: components.resolve(TOKENS.membership)
  }))
  provide(components, TOKENS.entryPoints, () => createEntryPoints({
    ...commonOptions(components),
    membership: components.resolve(TOKENS.membership),
    view: components.resolve(TOKENS.view),
    isAcceptingRequests: () => components.resolve(TOKENS.lifecycle).isAcceptingRequests(),
    maxAgeS: components.resolve(TOKENS.settings).entry_points.max_age_s
  }))
  provide(components, TOKENS.explain, () => createExplain({
    clock: components.resolve(TOKENS.clock),
    peers: components.resolve(TOKENS.peers),
    membership: components.resolve(TOKENS.membership),
    maxTraces: components.resolve(TOKENS.settings).explain.max_traces
  }))
}

function regionDataCentres (components: Components): DataCentreId[] {
  const { region, dataCentre } = components.resolve(TOKENS.identity)
  const dataCentres = components.resolve(TOKENS.view).list('DataCentre')
  const names = dataCentres.filter(({ spec }) => spec.region === region).map(({ name }) => brandId<DataCentreId>(name))
  return [...new Set([dataCentre, ...names])]
}

function registerAdmission (components: Components): void {
  const { lease, admission } = components.resolve(TOKENS.settings)
  provide(components, TOKENS.lease, () => createLeaderLease({
    ...commonOptions(components),
    objectApi: components.resolve(TOKENS.objectApi),
    dataCentres: () => regionDataCentres(components),
    isPreferred: dataCentre => isPreferredLeader(dataCentre, {
      identity: components.resolve(TOKENS.identity),
      membership: components.resolve(TOKENS.membership),
      dataCentres: regionDataCentres(components)
    }),
    ttlMs: lease.lease_ttl_ms,
    marginMs: lease.clock_margin_ms
  }))
  provide(components, TOKENS.leaderSchedulers, () => createLeaderSchedulers({
    ...commonOptions(components),
    lease: components.resolve(TOKENS.lease),
    view: components.resolve(TOKENS.view),
    membership: components.resolve(TOKENS.membership),
    quarantine: components.resolve(TOKENS.quarantine),
    healthProbe: components.resolve(TOKENS.engine).health,
    summaries: () => components.resolve(TOKENS.permits).summaries(),
    settings: admission
  }))
  provide(components, TOKENS.permits, () => createPermitClient({
    ...commonOptions(components),
    peers: components.resolve(TOKENS.peers),
    lease: components.resolve(TOKENS.lease),
    membership: components.resolve(TOKENS.membership),
    view: components.resolve(TOKENS.view),
    schedulers: dataCentre => components.resolve(TOKENS.leaderSchedulers).scheduler(dataCentre),
    objectApiAvailable: () => isObjectApiAvailable(components),
    leaseTtlMs: lease.lease_ttl_ms,
    permitStartMs: admission.permit_start_ms,
    retryBudgetShare: admission.retry_budget_share
  }))
}

/** The lease is read or renewed several times per TTL, so a reachable object API responds at least once per TTL. */
function isObjectApiAvailable (components: Components): boolean {
  const { lease } = components.resolve(TOKENS.settings)
  const sinceContactMs = components.resolve(TOKENS.clock).now() - components.resolve(TOKENS.objectApi).lastContact()
  return sinceContactMs < lease.lease_ttl_ms
}

function registerRequestRecords (components: Components): void {
  const { billing } = components.resolve(TOKENS.settings)
  const recordOptions = () => ({
    ...commonOptions(components),
    objectApi: components.resolve(TOKENS.objectApi),
    peers: components.resolve(TOKENS.peers),
    membership: components.resolve(TOKENS.membership),
    view: components.resolve(TOKENS.view)
  })
  provide(components, TOKENS.claims, () => createClaims(recordOptions()))
  provide(components, TOKENS.billing, () => createBilling({
    ...recordOptions(), flushPeriodMs: billing.flush_period_ms, maxOutboxRecords: billing.max_outbox_records
  }))
  provide(components, TOKENS.budget, () => createBudget(recordOptions()))
  provide(components, TOKENS.quarantine, () => createQuarantine(recordOptions()))
}

function registerRouting (components: Components): void {
  const { sessions, rating } = components.resolve(TOKENS.settings)
  provide(components, TOKENS.engine, () => createEngineClient(commonOptions(components)))
  provide(components, TOKENS.services, () => createServiceClient(commonOptions(components)))
  provide(components, TOKENS.sessions, () => createSessions({
    ...commonOptions(components),
    objectApi: components.resolve(TOKENS.objectApi),
    view: components.resolve(TOKENS.view),
    tokenKeys: () => sessions.token_keys
  }))
  provide(components, TOKENS.routing, () => createVersionRouter({
    ...commonOptions(components),
    view: components.resolve(TOKENS.view),
    sessions: components.resolve(TOKENS.sessions),
    // Without a rating service there are no ratings, so the configured prior qualities are trusted from the start.
    cascade: createCascade({ policy: { minimumRatings: rating.url === '' ? 0 : MINIMUM_RATINGS } }),
    onOutcome: outcome => components.resolve(TOKENS.outcomes).observe(outcome)
  }))
  provide(components, TOKENS.rating, () => createRatingClient({
    ...commonOptions(components),
    url: rating.url,
    observe: outcome => components.resolve(TOKENS.routing).observe(outcome)
  }))
}

/**
 * Returns the data centre whose leader also controls the roll-outs: the first by name of all data centres in the
 * configuration, whatever their region, so that there is only one controller.
 */
function rolloutDataCentre (components: Components): DataCentreId | undefined {
  const [first] = components.resolve(TOKENS.view).list('DataCentre').map(({ name }) => name).sort()
  return first === undefined ? undefined : brandId<DataCentreId>(first)
}

function registerRollouts (components: Components): void {
  provide(components, TOKENS.outcomes, () => createOutcomeReports({
    ...commonOptions(components),
    view: components.resolve(TOKENS.view),
    peers: components.resolve(TOKENS.peers),
    membership: components.resolve(TOKENS.membership),
    controller () {
      const dataCentre = rolloutDataCentre(components)
      return dataCentre && components.resolve(TOKENS.lease).leader(dataCentre)?.holder
    }
  }))
  provide(components, TOKENS.rollouts, () => createRolloutController({
    ...commonOptions(components),
    config: {
      view: components.resolve(TOKENS.view),
      change: async change => (await components.resolve(TOKENS.config).change([change]))[0]!
    },
    isController () {
      const dataCentre = rolloutDataCentre(components)
      return dataCentre !== undefined && components.resolve(TOKENS.lease).isHeld(dataCentre)
    },
    outcomes: components.resolve(TOKENS.outcomes)
  }))
}

/** Splits an `IP:PORT` address, whose format the settings schema has validated. */
export function parseAddress (address: string): { host: string, port: number } {
  const [host, port] = address.split(':')
  return { host: host!, port: Number(port) }
}
