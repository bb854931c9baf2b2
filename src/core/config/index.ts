/**
 * Configuration of a VM: the replica of the configuration in force, and the controller that loads it, stores changes in
 * the object API, distributes them and repairs differences between VMs.
 */
import type { Clock } from '../clock/index.ts'
import { ConfigError, errorMessage } from '../errors/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import type { PeerLinks } from '../peer/types.ts'
import type { VmIdentity } from '../settings/types.ts'
import { MAX_CONCURRENT_FULL_PULLS, IN_FORCE_POLL_MS, MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS } from './constants.ts'
import { ConfigConflictError, ConfigInvalidError } from './errors.ts'
import { createExchange } from './exchange.ts'
import type { ConfigReplica, ConfigSummary, InvalidObject } from './replica.ts'
import type { AcceptedChange, ConfigChange, ConfigRecord } from './types.ts'
import { validateChanges, type Validation } from './validation.ts'
import { createWatcher, isDesignatedWatcher } from './watcher.ts'
import { storeChanges } from './writer.ts'

export { ConfigConflictError, ConfigInvalidError, describeProblem, type ConfigProblem } from './errors.ts'
export {
  createConfigReplica, type ConfigDigest, type ConfigReplica, type ConfigSnapshot, type ConfigSummary, type InvalidObject
} from './replica.ts'
export type { ConfigDifference, FieldDifference } from './validation.ts'
export { MAX_INTENT_ATTEMPTS } from './constants.ts'

export interface ConfigControllerOptions {
  objectApi: ObjectApi
  replica: ConfigReplica
  peers: PeerLinks
  membership: Membership
  identity: VmIdentity
  clock: Clock
  metrics: Metrics
  log: Log
  /** Whether accepted changes are pushed; only benchmarks disable it. */
  push?: boolean
  /** Whether this VM may watch the object API; only benchmarks and tests disable it. */
  watch?: boolean
  /** Source of jitter, 0 to 1. */
  random?: () => number
}

export interface InForceReport {
  revision: number
  inForce: VmId[]
  /** VMs that did not confirm the revision before the timeout, including unreachable ones. */
  missing: VmId[]
}

export interface ConfigController {
  /** Resolves once the configuration is loaded from the object API or from peers; until then the VM is not ready. */
  start (): Promise<void>
  stop (): void
  /**
   * Validates, stores and pushes changes. Throws ConfigInvalidError, ConfigConflictError, or ConfigError `vm_not_ready`,
   * `config_unavailable` (not stored) or `config_outcome_unknown`.
   */
  change (changes: readonly ConfigChange[]): Promise<AcceptedChange[]>
  /** Validates changes without storing them. */
  check (changes: readonly ConfigChange[]): Pick<Validation, 'problems' | 'differences'>
  /** Resolves when the revision is in force on all VMs or the timeout expires. */
  waitInForce (revision: number, timeoutMs: number): Promise<InForceReport>
  /** Returns the payload of each membership ping and of its answer. */
  pingPayload (): ConfigSummary
  onPingPayload (from: VmId, payload: unknown): void
  /** Fetches the differing records from a VM and applies them. */
  pullFrom (vm: VmId): Promise<void>
  isWatching (): boolean
  /** Objects whose newest version, written by another client, violates the schema; their last valid version stays in force. */
  invalidObjects (): InvalidObject[]
}

export function createConfigController ({
  objectApi, replica, peers, membership, identity, clock, metrics, log, push = true, watch = true, random = Math.random
}: ConfigControllerOptions): ConfigController {
  const exchange = createExchange({ replica, peers, membership, metrics, log, push })
  const watcher = createWatcher({ objectApi, replica, membership, clock, metrics, log, onApplied: forwardToDataCentre, random })
  const stopping = new AbortController()
  metrics.gauge('config_invalid_objects', 'Objects whose newest version breaks the schema', () => replica.invalidObjects().length)

  /** Forwards records received from the object API, such as changes by other clients, to the other VMs of the data centre. */
  function forwardToDataCentre (records: ConfigRecord[]): void {
    if (!replica.isSynced() || !isDesignatedWatcher(membership)) return
    const others = membership.members().filter(member => member.dataCentre === identity.dataCentre && member.vm !== identity.vm)
    exchange.push(records, others.map(member => member.vm))
  }

  async function load (): Promise<'object_api' | 'peers' | undefined> {
    try {
      await watcher.load()
      return 'object_api'
    } catch (error) {
      metrics.count('object_api_failures', 'config_load')
      log.debug('configuration could not be loaded from the object API', { cause: errorMessage(error) })
    }
    if (!await loadFromPeers()) return undefined
    replica.markSynced()
    return 'peers'
  }

  /** Pulls from every reachable peer, because each may hold the newest version of some object. */
  async function loadFromPeers (): Promise<boolean> {
    const vms = exchange.otherVms()
    let isLoaded = false
    while (vms.length > 0) {
      // The first answers contain the full configuration, later ones only the differences.
      const batch: VmId[] = vms.splice(0, isLoaded ? vms.length : MAX_CONCURRENT_FULL_PULLS)
      const answers = await Promise.allSettled(batch.map(vm => exchange.pullFrom(vm)))
      isLoaded ||= answers.some(answer => answer.status === 'fulfilled' && answer.value)
    }
    return isLoaded
  }

  async function loadWithRetries (): Promise<void> {
    for (let attempt = 0; !stopping.signal.aborted; attempt++) {
      const source = await load()
      if (source) {
        log.info('configuration loaded', { source, revision: replica.revision() })
        return
      }
      metrics.count('retries', 'config_load')
      await clock.sleep(Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** attempt) * (0.5 + random() / 2))
    }
  }

  function apply (record: ConfigRecord, source: string): void {
    const applied = replica.apply([record])
    metrics.count('config_applied', source, applied.length)
  }

  function validate (changes: readonly ConfigChange[]): Validation {
    if (!replica.isSynced()) throw new ConfigError('vm_not_ready')
    return validateChanges(replica, changes)
  }

  async function change (changes: readonly ConfigChange[]): Promise<AcceptedChange[]> {
    const validation = validate(changes)
    if (validation.problems.length > 0) {
      metrics.count('config_conflicts', 'invalid')
      throw new ConfigInvalidError(validation.problems)
    }
    try {
      return await storeChanges(validation.changes, {
        objectApi,
        onStored (record) {
          apply(record, 'accepted')
          exchange.pushToAll([record])
        },
        onConflictingState: record => apply(record, 'conflict')
      })
    } catch (error) {
      if (error instanceof ConfigConflictError) metrics.count('config_conflicts', 'revision')
      else if (error instanceof ConfigError) metrics.count('config_conflicts', error.kind)
      throw error
    }
  }

  async function waitInForce (revision: number, timeoutMs: number): Promise<InForceReport> {
    const deadlineMs = clock.now() + timeoutMs
    const inForce = new Set<VmId>()
    for (;;) {
      const vms = [identity.vm, ...exchange.otherVms()]
      const unconfirmed = vms.filter(vm => !inForce.has(vm))
      await Promise.all(unconfirmed.map(async vm => {
        if (await exchange.probe(vm, revision)) inForce.add(vm)
      }))
      const missing = vms.filter(vm => !inForce.has(vm))
      if (missing.length === 0 || clock.now() >= deadlineMs) return { revision, inForce: [...inForce].sort(), missing: missing.sort() }
      await clock.sleep(Math.min(IN_FORCE_POLL_MS, deadlineMs - clock.now()))
    }
  }

  return {
    async start () {
      await loadWithRetries()
      if (watch && !stopping.signal.aborted) watcher.start()
    },
    stop () {
      stopping.abort()
      watcher.stop()
    },
    change,
    check (changes) {
      const { problems, differences } = validate(changes)
      return { problems, differences }
    },
    waitInForce,
    pingPayload: () => replica.summary(),
    onPingPayload (from, payload) {
      if (isSummary(payload)) exchange.onSummary(from, payload)
      else metrics.count('bad_input', 'config_ping_payload')
    },
    async pullFrom (vm) { await exchange.pullFrom(vm) },
    isWatching: () => watcher.isWatching(),
    invalidObjects: () => replica.invalidObjects()
  }
}

function isSummary (payload: unknown): payload is ConfigSummary {
  const { revision, hash, completeTo } = (payload ?? {}) as Partial<ConfigSummary>
  return [revision, hash, completeTo].every(value => typeof value === 'number')
}
