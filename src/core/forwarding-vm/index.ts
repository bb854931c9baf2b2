/**
 * A VM that forwards callers' requests unchanged. Feeds from the store keep the route table, the backend servers and the
 * roll-outs current. Requests pass through access control, placement and forwarding. The directory lists the live VMs.
 */
import { COLD_WINDOW_MS } from '../backend-pool/constants.ts'
import { createBackendPool, type BackendPool } from '../backend-pool/index.ts'
import { createCapacityLoans } from '../capacity-loan/index.ts'
import { systemClock, type Clock } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import { createConfigLease } from '../forwarding/config-lease.ts'
import { ESCALATION_SHARE } from '../forwarding/constants.ts'
import { createForwarder } from '../forwarding/forward.ts'
import { refuseUnsendableHeads } from '../forwarding/message-head.ts'
import { createRetryAllowances } from '../forwarding/retry-allowance.ts'
import { createRouteTable, type RouteTable } from '../forwarding/route-table.ts'
import { createModelChoice } from '../cascade/model-choice.ts'
import { createCallerServer } from '../forwarding/server.ts'
import type { TrafficConfig } from '../forwarding/types.ts'
import { createDecisionLog, type DecisionLog } from '../logging/decision-log.ts'
import { createMetrics } from '../metrics/index.ts'
import { countCalls, type ObjectStore, type StoredObject } from '../object-feed/index.ts'
import { createCapacityQueue } from '../placement/capacity-queue.ts'
import { rendezvousOrder } from '../placement/rendezvous.ts'
import { createVersionTrials, type TrialReport } from '../version-trial/index.ts'
import { createFairShares } from '../fair-share/index.ts'
import { createWaitEstimates } from '../fair-share/wait-estimate.ts'
import { createPacing } from '../pacing/index.ts'
import { createPartStore } from '../quarantine/part-store.ts'
import { createPartQuarantine } from '../quarantine/request-parts.ts'
import { createFeedRelay, type FeedPoll } from '../feed-relay/index.ts'
import { FLEET_KIND } from '../fleet/constants.ts'
import { createFleet } from '../fleet/index.ts'
import { createFleetRefusals, preferAccepting } from '../resource-limits/index.ts'
import { createResourceLimits } from './resource-limits.ts'
import { LAPSE_HEARTBEATS, RELIST_HISTORY_SHARE, VERSION_TIMEOUT_MS } from './constants.ts'
import { createAdmission } from './admission.ts'
import { createAttemptObserver } from './attempt-observer.ts'
import { createAssignments } from './assignment.ts'
import { createCapacity } from './capacity.ts'
import { createConfigExchange } from './config-exchange.ts'
import { createFairCapacity } from './fair-capacity.ts'
import { createFeeds } from './feeds.ts'
import { createLoadReports } from './load-reports.ts'
import { createPartitionHandling } from './partition.ts'
import { createPorts } from './ports.ts'
import { createStartup, type ProcessStart } from './startup.ts'
import { acceptanceMs, runStop } from './stop.ts'
import type { ForwardingVmSettings, PlatformAdapter } from './types.ts'

export type { ForwardingVmSettings, PlatformAdapter } from './types.ts'

export interface ForwardingVmOptions {
  settings: ForwardingVmSettings
  adapter: PlatformAdapter
  store: ObjectStore
  clock?: Clock
  random?: () => number
  /** Default: the process starts now. */
  processStart?: ProcessStart
  /** Default: JSON lines on standard output. */
  log?: DecisionLog
}

export interface ForwardingVm {
  /** Leaves the fleet, stops accepting requests and unregisters after a short time, and resolves when none are open or the grace period is nearly over. */
  stop(): Promise<void>
  reload(settings: ForwardingVmSettings): void
  log: DecisionLog
  /** Closes all servers and connections immediately. */
  close(): Promise<void>
}

export async function startForwardingVm (options: ForwardingVmOptions): Promise<ForwardingVm> {
  const { adapter, store, clock = systemClock, random = Math.random } = options
  const { processStart = { startedMs: clock.now(), upMs: clock.now() } } = options
  let { settings } = options
  const { kinds } = adapter
  const log = options.log ?? createDecisionLog({ vm: settings.vm, clock })
  const metrics = createMetrics()
  let table: RouteTable | undefined
  /** Object of the configuration that is in force. */
  let configObject: StoredObject | undefined
  let stoppingSinceMs: number | undefined
  const configLease = createConfigLease({ maxAgeMs: settings.keyWithdrawalMs, strict: settings.strictKeyWithdrawal, clock })
  const feedRelay = createFeedRelay({
    self: { vm: settings.vm, dataCentre: settings.dataCentre },
    store,
    relistMs: settings.storeHistoryMs * RELIST_HISTORY_SHARE,
    confirmationKind: kinds.config,
    vmKind: FLEET_KIND,
    isRestart: () => fleet.isRestart(),
    minOutageMs: settings.backendHeartbeatMs * LAPSE_HEARTBEATS,
    liveVms: () => fleet.relayCandidates(),
    poll: (to, poll, timeoutMs) => fleet.peers.request(to, 'feeds.poll', poll, { timeoutMs }),
    clock,
    log,
    metrics,
    random
  })
  const resources = createResourceLimits({ settings, clock, log, metrics })
  const fleet = createFleet({ settings, connectionLimit: resources.connectionLimit('peers'), store, follow: feedRelay.follow, processStartedMs: processStart.startedMs, clock, log, metrics, random })

  fleet.peers.handle('feeds.poll', poll => feedRelay.answerPoll(poll as FeedPoll))

  const pool: BackendPool = createBackendPool({
    cold: {
      limit: service => {
        const rate = table?.service(service)?.coldRate ?? 0
        return rate === 0 ? 0 : rate * settings.coldOvershoot + settings.coldSlack
      },
      vms: () => fleet.vms(),
      self: settings.vm,
      startMs: coldLimitStartMs
    },
    onReturn: (id, reason) => pacing.recordReturn(id, reason),
    clock,
    log,
    metrics
  })
  /** Time from which this VM may use its share of a limit for cold backend servers: the others have given it up one window before. */
  function coldLimitStartMs (): number {
    return fleet.knownSinceMs() + COLD_WINDOW_MS
  }

  const retryAllowance = createRetryAllowances(() => ({
    share: settings.retryShare, windowMs: settings.retryWindowMs, slack: settings.retrySlack, vmCount: () => fleet.vms().length, clock
  }))

  const shares = settings.fairShares
    ? createFairShares({
      slots: service => pool.eligible(service).reduce((sum, { entry }) => sum + entry.slots, 0),
      vmCount: () => fleet.vms().length,
      othersUsage: () => loads.othersUsage(),
      clock,
      log
    })
    : undefined
  const waits = createWaitEstimates(clock)
  const capacityQueue = createCapacityQueue(clock, shares && { usage: shares.fleetUsage, mayStart: shares.mayStart }, waits.recordPause)
  if (shares) metrics.gaugeBy('team_share', 'Requests in flight that a team may have at a service that is short of capacity', 'service', () => shares.shortServices().map(service => [service, shares.share(service) ?? 0]))
  const partStore = createPartStore({
    store, follow: feedRelay.follow, quarantine: () => partQuarantine, self: settings.vm, liveVms: () => fleet.liveVms(), clock, log, metrics
  })
  const partQuarantine = createPartQuarantine({
    onQuarantined: (parts, crashes) => void partStore.write(parts, crashes),
    onEnded: parts => partStore.remove(parts),
    trialPlace (parts) {
      const vms = rendezvousOrder(parts.join(), fleet.liveVms())
      return Math.max(0, vms.indexOf(settings.vm)) / Math.max(1, vms.length)
    },
    clock,
    log,
    metrics
  })
  const pacing = createPacing({
    groupOf (id) {
      const entry = pool.get(id)?.entry
      return entry && `${entry.service}/${entry.version}`
    },
    slotsOf: id => pool.get(id)?.entry.slots,
    isCold: id => (pool.get(id)?.entry.coldLeftMs ?? 0) > 0,
    serverCount: () => pool.size(),
    loadOf: id => (pool.get(id)?.load ?? 0) + loads.othersLoad(id),
    onRecovered: id => pool.forgetFailures(id),
    vms: () => fleet.vms(),
    self: settings.vm,
    clock,
    log,
    metrics
  })
  const refusals = createFleetRefusals({ self: settings.vm, isSelfRefusing: resources.isRefusing, clock })
  const { reachability, probes, peers, reachesService } = createPartitionHandling({ settings, fleet, pool, pacing, refusals, clock, log, metrics, random })
  const trials = createVersionTrials({
    vm: settings.vm,
    boot: fleet.boot,
    vms: () => fleet.liveVms(),
    report: (to, report) => fleet.peers.notify(to, 'rollout.outcomes', report),
    async writeStatus (order, state) {
      return await countCalls(store, { metrics, reason: 'rollout_state' }).replaceStatus(kinds.rollouts, order.name, adapter.encodeRolloutStatus(order, state), order.revision) !== undefined
    },
    sessionMs: settings.sessionMs,
    trialLimit: () => ({ share: settings.trialShare, slack: settings.trialSlack }),
    clock,
    log,
    metrics
  })
  fleet.peers.handle('rollout.outcomes', report => trials.acceptReport(report as TrialReport))
  const loads = createLoadReports({ settings, fleet, pool, partQuarantine, pacing, trials, refusals, reachability, shares, configVersion: () => table?.version, onConfigVersion: (from, version) => configExchange.onReport(from, version), clock, metrics })

  function decodeConfig (object: StoredObject): TrafficConfig | undefined {
    try {
      return adapter.decodeConfig(object.spec)
    } catch (error) {
      metrics.count('bad_input', 'config')
      log.error('the configuration cannot be decoded; the previous one stays in force', { revision: object.revision, error: errorMessage(error) })
      return undefined
    }
  }

  function applyConfig (object: StoredObject): void {
    const config = decodeConfig(object)
    if (!config) return
    if (table && config.version < table.version) return
    configLease.recordWrite()
    if (config.version === table?.version) return
    table = createRouteTable(config)
    configObject = object
    callerServer.applyLimits(config.limits)
    metrics.count('config_applied', 'version')
    log.info('configuration in force', { version: config.version, revision: object.revision, routes: config.routes.length, teams: config.teams.length })
  }

  const configExchange = createConfigExchange({
    version: () => table?.version,
    requestVersion: from => fleet.peers.request<number | undefined>(from, 'traffic-config.version', {}, { timeoutMs: VERSION_TIMEOUT_MS }),
    otherVms: () => fleet.liveVms().filter(vm => vm !== settings.vm),
    random,
    request: from => fleet.peers.request<StoredObject | undefined>(from, 'traffic-config.get', {}),
    apply: applyConfig,
    hasOthers: () => fleet.vms().length > 1,
    clock,
    log,
    metrics
  })
  fleet.peers.handle('traffic-config.get', () => configObject)
  fleet.peers.handle('traffic-config.version', () => table?.version)

  const feeds = createFeeds({
    settings,
    adapter,
    follow: feedRelay.follow,
    pool,
    trials,
    onConfig: applyConfig,
    onConfigConfirmed: sent => configLease.renew(sent),
    onConfigRestored (object) {
      const storedVersion = object && decodeConfig(object)?.version
      log.warn('the store was restored from an older copy', { storedVersion, version: table?.version, revision: object?.revision })
      if ((storedVersion ?? -Infinity) < (table?.version ?? -Infinity)) configLease.recordRestore()
    },
    metrics
  })
  const assignments = createAssignments({
    pool, trials, loads, pacing, table: () => table, vmCount: () => fleet.vms().length, dataCentre: settings.dataCentre, random
  })

  const loans = createCapacityLoans({
    pool,
    self: settings.vm,
    isLive: fleet.isLive,
    request: (to, body, timeoutMs) => fleet.peers.request(to, 'capacity.borrow', body, { timeoutMs }),
    notify: (to, body) => fleet.peers.notify(to, 'capacity.return', body),
    clock,
    metrics,
    random
  })
  fleet.peers.handle('capacity.borrow', loans.accept)
  fleet.peers.handle('capacity.return', loans.acceptReturn)

  if (shares) {
    metrics.gaugeBy('wait_estimate_error_ms', 'Mean difference between wait and estimate', 'service', () => [...waits.quality()].map(([service, { errorMs }]) => [service, errorMs]))
    metrics.gaugeBy('wait_estimate_offset_ms', 'Time added to the estimated waits to correct earlier errors', 'service', () => [...waits.quality()].map(([service, { offsetMs }]) => [service, offsetMs]))
  }
  const fairCapacity = shares && createFairCapacity({
    shares, waits, queue: capacityQueue, tokenCapacity: service => table?.service(service)?.engine?.tokenCapacity, clock, metrics, random
  })
  const capacity = createCapacity({ pool, assignments, loans, queue: capacityQueue, clock, random, fairCapacity })

  const observer = createAttemptObserver({ pool, pacing, trials, isDoubtful: reachability.isDoubtful, onServed: () => startup.record('served') })
  const forwarder = createForwarder({
    codec: refuseUnsendableHeads(adapter, () => metrics.count('bad_input', 'response_head')),
    reserveCapacity: capacity.reserve,
    pace: resources.pace,
    retryAfterMs: fairCapacity?.retryAfterMs,
    onCapacityFreed: capacityQueue.wake,
    reserveReplacement: capacity.reserveReplacement,
    modelChoice: createModelChoice({
      meanLoad: assignments.meanLoad,
      slots: service => table?.service(service)?.engine?.slots,
      cost: (service, model) => table?.service(service)?.engine?.modelCosts.get(model),
      allowance: service => retryAllowance(service).state(ESCALATION_SHARE),
      clock,
      random
    }),
    retryAllowance,
    recheckAccess: forwarded => admission.recheckAccess(forwarded),
    partQuarantine,
    recordNamedLimit: (backend, rate) => pool.namedLimits.record(backend.entry.id, rate),
    recordConnection (backend, isOpen) {
      const { id, service } = backend.entry
      reachability.recordConnection(service, id, isOpen)
      if (isOpen) return
      pool.recordConnectFailure(backend)
      // The other VMs must not take a partition of this one for failures of the backend servers.
      if (!reachability.isDoubtful(service)) pacing.recordConnectFailure(id)
    },
    peers,
    doubtMs: reachability.doubtMs,
    reachesService,
    configVersion: () => table?.version,
    recordAvailability (backend, head) {
      const { leaving, requestedPauseMs } = head
      pool.recordRoom(backend, head)
      if (leaving) pool.recordLeaving(backend)
      if (requestedPauseMs) pool.recordRequestedPause(backend, requestedPauseMs)
    },
    recordRefusal: backend => pacing.recordRefusal(backend.entry.id),
    recordMisdirected: backend => pool.recordMisdirected(backend),
    observe: observer.observe,
    expectedTimes: observer.expectedTimes,
    clock,
    metrics,
    log,
    random
  })

  const callerServer = createCallerServer({
    budget: resources.budget,
    random,
    decode: (method, target, headers, raw) => peers.receive(adapter.decodeCallerRequest(method, target, headers, raw), raw),
    table: () => table,
    handle: received => admission.admit(received),
    isClosing: () => stoppingSinceMs !== undefined,
    clock,
    log,
    metrics
  })

  function isLoaded (): boolean {
    return table !== undefined && feeds.every(feed => feed.isLoaded()) && fleet.isLoaded() && partStore.isLoaded() && configExchange.isSettled()
  }

  function isReady (): boolean {
    const isHeldBack = !startup.areLimitsUsable() && table?.services().every(({ coldRate }) => coldRate > 0)
    return isLoaded() && !isHeldBack && stoppingSinceMs === undefined
  }

  const [configFeed, backendServersFeed, evacuationsFeed, rolloutsFeed] = feeds
  const startup = createStartup({
    processStart,
    isLoaded,
    limitsStartMs: coldLimitStartMs,
    steps: {
      links: fleet.areLinksOpen,
      vms: fleet.isLoaded,
      members: () => fleet.isLoaded() && (fleet.vms().length === 1 || fleet.liveVms().length > 1),
      config: configFeed!.isLoaded,
      backendServers: backendServersFeed!.isLoaded,
      evacuations: evacuationsFeed!.isLoaded,
      rollouts: rolloutsFeed!.isLoaded,
      quarantines: partStore.isLoaded,
      configConfirmed: () => table !== undefined && configLease.isValid(),
      ready: isReady
    },
    clock,
    log,
    metrics,
    random
  })

  const admission = createAdmission({
    table: () => table,
    isTooLate: receivedMs => stoppingSinceMs !== undefined && receivedMs - stoppingSinceMs > acceptanceMs(settings.stopGraceMs),
    isLoaded,
    startup,
    configLease,
    isCutOff: reachability.isCutOff,
    forward: forwarder.forward,
    metrics,
    log
  })

  const ports = createPorts({
    adapter,
    settings,
    callers: callerServer.server,
    isReady,
    maxAddressTtlMs: () => settings.maxAddressTtlMs,
    addresses: () => fleet.addresses(isReady(), vms => preferAccepting(vms, vm => refusals.isRefusing(vm) || reachability.isVmCutOff(vm))),
    limitServers: resources.limitServers,
    metrics
  })
  log.info('VM starts', { dataCentre: settings.dataCentre })
  feedRelay.start()
  fleet.start()
  trials.start()
  loads.start()
  probes.start()
  const stopPartStore = partStore.start()
  startup.start()
  let isClosed = false
  void configExchange.askOthers(() => isClosed || stoppingSinceMs !== undefined)
  await ports.listen()

  return {
    log,
    reload (newSettings) {
      settings = newSettings
      log.info('settings reloaded', {})
    },
    async stop () {
      stoppingSinceMs = clock.now()
      log.info('VM stops', { openRequests: callerServer.openRequests() })
      startup.stop()
      void fleet.leave()
      await runStop({ graceMs: settings.stopGraceMs, openRequests: callerServer.openRequests, arrivals: callerServer.arrivals, unregister: fleet.unregister, clock })
      const openRequests = callerServer.openRequests()
      // The teardown of the process takes many milliseconds, in which its open ports would still take connections.
      ports.close()
      log.info('VM stopped', { openRequests })
    },
    async close () {
      resources.stop()
      isClosed = true
      startup.stop()
      feedRelay.stop()
      trials.stop()
      loads.stop()
      probes.stop()
      stopPartStore()
      await fleet.close()
      ports.close()
    }
  }
}
