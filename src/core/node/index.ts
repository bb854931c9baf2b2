/**
 * A VM that forwards callers' requests as they are: the feeds of the store keep the route table, the backend servers
 * and the roll-outs current; requests pass access, placement and forwarding; the directory names the live VMs.
 */
import { createServer, type IncomingMessage, type Server } from 'node:http'
import { createBackendPool, type Backend, type BackendEntry, type BackendPool } from '../backend-pool/index.ts'
import { systemClock, type Clock } from '../clock/index.ts'
import { errorMessage, GatewayError, type ErrorName } from '../errors/index.ts'
import { createConfigLease } from '../forwarding/config-lease.ts'
import { PROOF_WAIT_MS, RETRY_AFTER_S } from '../forwarding/constants.ts'
import type { Codec } from '../forwarding/exchange.ts'
import { createForwarder, type Assignment, type ForwardedRequest } from '../forwarding/forward.ts'
import { createRetryAllowance, type RetryAllowance } from '../forwarding/retry-allowance.ts'
import { chooseService, createRouteTable, type RouteTable } from '../forwarding/route-table.ts'
import { escalationConfidence } from '../cascade/confidence.ts'
import { createCallerServer } from '../forwarding/server.ts'
import type { CallerConnection } from '../forwarding/caller-connection.ts'
import type { CallerRequest, TrafficConfig } from '../forwarding/types.ts'
import { brandId, type BackendServerId, type DataCentreId, type ModelId, type ServiceId } from '../ids/index.ts'
import { createDecisionLog, type DecisionLog } from '../logging/decision-log.ts'
import { createMetrics } from '../metrics/index.ts'
import { createObjectFeed, type Change, type ObjectFeed, type ObjectStore, type StoredObject } from '../object-feed/index.ts'
import { chooseBackend } from '../placement/index.ts'
import { createRoomQueue } from '../placement/room-queue.ts'
import { hashPoint, rendezvousOrder } from '../placement/rendezvous.ts'
import { createVersionTrials, type RolloutOrder, type TrialReport } from '../version-trial/index.ts'
import { createLoadExchange, type LoadReport } from '../load-exchange/index.ts'
import { createFleet } from '../fleet/index.ts'
import { ADDRESS_TTL_S, CONFIG_WAIT_MS, FEED_WAIT_MS, MAX_ADDRESSES, MIN_REPORTED_LOAD, PROOF_SHARE, RELIST_SHARE, STOP_SETTLE_MS, STOP_SHARE, TAKE_AFTER_STOP_MS } from './constants.ts'
import type { NodeSettings } from './types.ts'

export type { NodeSettings } from './types.ts'

/** What the platform's adapter provides: names and formats of its objects and headers. */
export interface PlatformAdapter extends Codec {
  decodeCallerRequest(method: string, target: string, headers: IncomingMessage['headers'], raw: string[]): CallerRequest
  kinds: { config: string, backendServers: string, rollouts: string, evacuations: string }
  configName: string
  decodeConfig(spec: unknown): TrafficConfig
  decodeBackend(object: StoredObject): BackendEntry | undefined
  decodeRollout(object: StoredObject): RolloutOrder | undefined
  encodeRolloutStatus(order: RolloutOrder, state: NonNullable<RolloutOrder['state']>): unknown
  /** Serves the calls that the platform and callers make besides requests. */
  serveReadiness(isReady: () => boolean): Server
  serveDirectory(addresses: (dataCentre: string) => { addresses: string[], ttlS: number }): Server
}

export interface NodeOptions {
  settings: NodeSettings
  adapter: PlatformAdapter
  store: ObjectStore
  clock?: Clock
  random?: () => number
  /** Default: lines on standard output. */
  log?: DecisionLog
}

export interface Node {
  /** Stops taking work, completes what was taken, and resolves when nothing is left or the grace is used up. */
  stop(): Promise<void>
  reload(settings: NodeSettings): void
  log: DecisionLog
  /** Ends everything at once. */
  close(): Promise<void>
}

export async function startNode (options: NodeOptions): Promise<Node> {
  const { adapter, store, clock = systemClock, random = Math.random } = options
  let { settings } = options
  const { kinds } = adapter
  const log = options.log ?? createDecisionLog({ vm: settings.vm, clock })
  const metrics = createMetrics()
  let table: RouteTable | undefined
  let stoppingSinceMs: number | undefined
  const lease = createConfigLease({ boundMs: settings.keyWithdrawalMs, strict: settings.strictKeyWithdrawal, clock })
  const evacuated = new Set<DataCentreId>()
  const fleet = createFleet({ settings, store, clock, log, metrics, random })

  const pool: BackendPool = createBackendPool({
    cold: {
      limit: service => {
        const rate = table?.service(service)?.coldRate ?? 0
        return rate === 0 ? 0 : rate * settings.coldOvershoot + settings.coldSlack
      },
      vms: () => fleet.vms(),
      self: settings.vm
    },
    clock,
    log,
    metrics
  })
  const allowances = new Map<ServiceId, RetryAllowance>()

  function retries (service: ServiceId): RetryAllowance {
    const known = allowances.get(service)
    if (known) return known
    const created = createRetryAllowance({
      share: settings.retryShare, windowMs: settings.retryWindowMs, slack: settings.retrySlack, vmCount: () => fleet.vms().length, clock
    })
    allowances.set(service, created)
    return created
  }

  const room = createRoomQueue(clock)
  const loads = createLoadExchange({
    vms: () => fleet.liveVms(),
    self: settings.vm,
    ownLoad () {
      const loaded = [...pool.all()].filter(({ load }) => load > MIN_REPORTED_LOAD)
      return Object.fromEntries(loaded.map(backend => [backend.entry.id, Math.round(backend.load * 100) / 100]))
    },
    send: (to, report) => fleet.peers.notify(to, 'load.report', report),
    clock,
    random
  })
  fleet.peers.handle('load.report', (report, from) => loads.accept(from, report as LoadReport))

  /** Costs stand for the time that the models take; without costs all weigh the same. */
  function modelWeight (service: ServiceId, model: ModelId | undefined): number {
    const costs = table?.service(service)?.engine?.modelCosts
    if (!costs || model === undefined) return 1
    return (costs.get(model) ?? 1) / Math.max(...costs.values(), Number.MIN_VALUE)
  }

  /** Mean load of the backend servers of a service, of all VMs. */
  function meanLoad (service: ServiceId): number {
    const backends = pool.eligible(service)
    return backends.reduce((sum, backend) => sum + backend.load + loads.othersLoad(backend.entry.id), 0) / Math.max(1, backends.length)
  }

  const trials = createVersionTrials({
    vm: settings.vm,
    boot: fleet.boot,
    vms: () => fleet.liveVms(),
    report: (to, report) => fleet.peers.notify(to, 'rollout.outcomes', report),
    async writeStatus (order, state) {
      return await store.replaceStatus(kinds.rollouts, order.name, adapter.encodeRolloutStatus(order, state), order.revision) !== undefined
    },
    bound: () => ({ share: settings.trialShare, slack: settings.trialSlack }),
    clock,
    log,
    metrics
  })
  fleet.peers.handle('rollout.outcomes', report => trials.accept(report as TrialReport))

  function applyConfig (object: StoredObject): void {
    let config: TrafficConfig
    try {
      config = adapter.decodeConfig(object.spec)
    } catch (error) {
      metrics.count('bad_input', 'config')
      log.error('the configuration cannot be read; the one before stays in force', { revision: object.revision, error: errorMessage(error) })
      return
    }
    if (table && config.version <= table.version) return
    table = createRouteTable(config)
    callers.applyLimits(config.limits)
    metrics.count('config_applied', 'version')
    log.info('configuration in force', { version: config.version, revision: object.revision, routes: config.routes.length, teams: config.teams.length })
  }

  function applyEvacuations (): void { pool.setOutOfService(new Set(evacuated)) }

  const feedDefaults = { source: store, waitMs: FEED_WAIT_MS, relistMs: settings.storeHistoryMs * RELIST_SHARE, clock, log, metrics, random }
  const feeds: ObjectFeed[] = [
    createObjectFeed({
      ...feedDefaults,
      kind: kinds.config,
      waitMs: Math.min(CONFIG_WAIT_MS, settings.keyWithdrawalMs * PROOF_SHARE),
      onSnapshot: objects => { for (const object of objects) if (object.name === adapter.configName) applyConfig(object) },
      onChange: ({ object, deleted }) => { if (object.name === adapter.configName && !deleted) applyConfig(object) },
      onCurrent: sent => lease.renew(sent)
    }),
    createObjectFeed({
      ...feedDefaults,
      kind: kinds.backendServers,
      onRegained: () => pool.noteStoreReturned(),
      onSnapshot: objects => pool.applySnapshot(objects.flatMap(readBackend)),
      onChange: ({ object, deleted }) => {
        const [entry] = deleted ? [] : readBackend(object)
        if (entry) pool.apply(entry)
        else pool.remove(brandId<BackendServerId>(object.name))
      }
    }),
    createObjectFeed({
      ...feedDefaults,
      kind: kinds.evacuations,
      onSnapshot: objects => {
        evacuated.clear()
        for (const { name } of objects) evacuated.add(brandId<DataCentreId>(name))
        applyEvacuations()
      },
      onChange: ({ object, deleted }: Change) => {
        if (deleted) evacuated.delete(brandId<DataCentreId>(object.name))
        else evacuated.add(brandId<DataCentreId>(object.name))
        applyEvacuations()
      }
    }),
    createObjectFeed({
      ...feedDefaults,
      kind: kinds.rollouts,
      onSnapshot: objects => trials.applyAll(objects.flatMap(readRollout)),
      onChange: ({ object, deleted }) => {
        if (deleted) trials.remove(object.name)
        else for (const order of readRollout(object)) trials.apply(order)
      }
    })
  ]

  function readRollout (object: StoredObject): RolloutOrder[] {
    const order = adapter.decodeRollout(object)
    if (order) return [order]
    metrics.count('bad_input', 'rollout')
    return []
  }

  function readBackend (object: StoredObject): BackendEntry[] {
    const entry = adapter.decodeBackend(object)
    if (entry) return [entry]
    metrics.count('bad_input', 'backend_entry')
    return []
  }

  function prepare ({ request, service, route }: ForwardedRequest, tried: ReadonlySet<Backend>): () => Assignment | undefined {
    const rule = trials.rule(service, request.session ?? request.id!, tried.size > 0)
    const affinityKey = route.kind === 'streaming' ? request.prompt.at(-2)?.id ?? request.prompt.at(-1)?.id : undefined
    return () => {
      const permitted = pool.eligible(service).filter(({ entry }) => rule.allows(entry.version))
      const usable = spreadOver(permitted, rule.spread).filter(backend => hasRoom(backend) && pool.hasColdRoom(backend))
      const fresh = usable.filter(backend => !tried.has(backend))
      const backend = chooseBackend({
        candidates: fresh.length > 0 ? fresh : usable,
        affinityKey,
        dataCentre: settings.dataCentre,
        othersLoad: ({ entry }) => loads.othersLoad(entry.id),
        random
      })
      return backend && { backend, version: backend.entry.version }
    }
  }

  /** The first backend servers in an order that all VMs share. */
  function spreadOver (backends: Backend[], share: number): Backend[] {
    if (share >= 1) return backends
    const byId = new Map(backends.map(backend => [backend.entry.id, backend]))
    const count = Math.max(1, Math.ceil(share * backends.length))
    return rendezvousOrder('trial', [...byId.keys()]).slice(0, count).map(id => byId.get(id)!)
  }

  /** This VM's part of the connections and slots of a backend server. */
  function hasRoom ({ entry, inFlight }: Backend): boolean {
    const connections = (table?.service(entry.service)?.maxConnections ?? Infinity) / fleet.vms().length
    return inFlight < Math.max(2, Math.min(connections, entry.slots))
  }

  const forwarder = createForwarder({
    codec: adapter,
    prepare,
    mayFindRoom: service => pool.eligible(service).length > 0,
    modelWeight,
    escalationConfidence: service => escalationConfidence(meanLoad(service)),
    room,
    retries,
    mayStillRun ({ request, route, team }) {
      if (!needsKey(route.anonymous)) return undefined
      if (!lease.isValid()) return 'keys_unproven'
      return request.key !== undefined && table!.team(request.key)?.id === team?.id ? undefined : 'unauthenticated'
    },
    noteSend: backend => pool.noteSend(backend),
    noteConnectFailure: backend => pool.noteConnectFailure(backend),
    noteResult (backend, { service, route }, result) {
      pool.noteResult(backend, result.failed)
      trials.observe(service, { version: backend.entry.version, route: route.name, ...result })
    },
    clock,
    metrics,
    log,
    random
  })

  function needsKey (anonymous: boolean): boolean {
    return table!.hasTeams && !anonymous
  }

  const callers = createCallerServer({
    decode: adapter.decodeCallerRequest,
    table: () => table,
    handle: (request, body, caller) => { void admit(request, body, caller, clock.now()) },
    isClosing: () => stoppingSinceMs !== undefined,
    metrics
  })

  async function admit (request: CallerRequest, body: Buffer | undefined, caller: CallerConnection, receivedMs: number): Promise<void> {
    const refuse = (error: ErrorName) => {
      metrics.count('refusals', error)
      log.request('refused', { id: request.id, error, configVersion: table?.version, proofAgeMs: Math.round(lease.ageMs()) })
      caller.fail(new GatewayError(error, { retryAfterMs: RETRY_AFTER_S * 1000 }))
    }
    if (stoppingSinceMs !== undefined && clock.now() - stoppingSinceMs > TAKE_AFTER_STOP_MS) return refuse('vm_leaving')
    if (!table || !feeds.every(feed => feed.isLoaded())) return refuse('vm_not_ready')
    const takesAnyone = table.match(request.host, request.target)?.anonymous ?? false
    // Also an unknown route or key may be one that a newer configuration knows.
    if (needsKey(takesAnyone) && !await lease.waitValid(PROOF_WAIT_MS)) return refuse('keys_unproven')
    const route = table.match(request.host, request.target)
    if (!route) return refuse('unknown_route')
    if (request.id === undefined) return refuse('bad_request')
    const team = request.key === undefined ? undefined : table.team(request.key)
    if (!team && needsKey(route.anonymous)) return refuse('unauthenticated')
    const service = chooseService(route, hashPoint(request.session ?? request.id))
    if (!service) return refuse('permit_refused')
    await forwarder.forward({ request, route, service, team, body, receivedMs, caller })
  }

  function isReady (): boolean {
    return table !== undefined && feeds.every(feed => feed.isLoaded()) && stoppingSinceMs === undefined
  }

  const readiness = adapter.serveReadiness(isReady)
  const directory = adapter.serveDirectory(() => ({
    addresses: fleet.addresses(isReady()).slice(0, MAX_ADDRESSES),
    ttlS: Math.min(ADDRESS_TTL_S, settings.longestAddressTtlMs / 1000)
  }))
  const metricsServer = createServer((_incoming, outgoing) => {
    void metrics.render().then(text => outgoing.end(text), (error: unknown) => { outgoing.statusCode = 500; outgoing.end(errorMessage(error)) })
  })

  log.info('VM starts', { dataCentre: settings.dataCentre })
  for (const feed of feeds) feed.start()
  fleet.start()
  trials.start()
  loads.start()
  await Promise.all([
    listen(callers.server, settings.callerAddress), listen(readiness, settings.readinessAddress),
    listen(directory, settings.directoryAddress), listen(metricsServer, settings.metricsAddress)
  ])

  return {
    log,
    reload (changed) {
      settings = changed
      log.info('settings reloaded', {})
    },
    async stop () {
      stoppingSinceMs = clock.now()
      log.info('VM stops', { openRequests: callers.open() })
      void fleet.leave()
      const endMs = stoppingSinceMs + settings.stopGraceMs * STOP_SHARE
      while (clock.now() < endMs) {
        await clock.sleep(STOP_SETTLE_MS)
        callers.server.closeIdleConnections()
        if (clock.now() - stoppingSinceMs > TAKE_AFTER_STOP_MS && callers.open() === 0) break
      }
      log.info('VM stopped', { openRequests: callers.open() })
    },
    async close () {
      for (const feed of feeds) feed.stop()
      trials.stop()
      loads.stop()
      await fleet.close()
      for (const server of [callers.server, readiness, directory, metricsServer]) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}

function listen (server: Server, address: string): Promise<void> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, () => resolve())
  })
}
