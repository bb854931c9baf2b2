/**
 * Exchange of configuration between VMs: pushes accepted changes, repairs differences detected through membership
 * pings, and probes whether a revision is in force.
 */
import type { VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerLinks } from '../peer/types.ts'
import { PULL_TIMEOUT_MS, PUSH_TIMEOUT_MS } from './constants.ts'
import type { ObjectVersion, ProbeAnswer, ProbeMessage, PullMessage, PushMessage, RepairAnswer } from './messages.ts'
import type { ConfigReplica, ConfigSummary } from './replica.ts'
import type { ConfigRecord } from './types.ts'

export interface ExchangeOptions {
  replica: ConfigReplica
  peers: PeerLinks
  membership: Membership
  metrics: Metrics
  log: Log
  /** Whether pushes are sent; only benchmarks disable them. */
  push: boolean
}

export interface Exchange {
  /** Sends records to the VMs without waiting; a lost push is repaired once a ping shows a different hash. */
  push (records: ConfigRecord[], to: readonly VmId[]): void
  pushToAll (records: ConfigRecord[]): void
  /**
   * Fetches the differing records from a VM and applies them. Resolves to true if that VM has loaded its configuration;
   * rejects if it is unreachable.
   */
  pullFrom (vm: VmId): Promise<boolean>
  onSummary (from: VmId, summary: ConfigSummary): void
  /** Resolves to true if everything up to the revision is in force on the VM; to false also if the VM is unreachable. */
  probe (vm: VmId, revision: number): Promise<boolean>
  otherVms (): VmId[]
}

export function createExchange ({ replica, peers, membership, metrics, log, push: pushEnabled }: ExchangeOptions): Exchange {
  const activePulls = new Set<VmId>()
  /**
   * Last differing hash of each VM. If a VM has no newer revision, a repair starts only when two successive pings of it show
   * the same differing hash.
   */
  const lastDifferingHash = new Map<VmId, number>()

  peers.handle('config.push', body => {
    applyRecords((body as PushMessage).records, 'push')
    return { revision: replica.revision() }
  })
  peers.handle('config.pull', body => {
    const message = body as PullMessage
    if (message.ask === 'probe') return { inForce: isInForce(message) } satisfies ProbeAnswer
    return { synced: replica.isSynced(), snapshot: replica.snapshotFor(message.digest) } satisfies RepairAnswer
  })

  function applyRecords (records: readonly ConfigRecord[], source: string): void {
    const applied = replica.apply(records)
    metrics.count('config_applied', source, applied.length)
    if (applied.length < records.length) metrics.count('config_applied', `${source}_stale`, records.length - applied.length)
  }

  function otherVms (): VmId[] {
    const self = membership.self().vm
    return membership.members().map(member => member.vm).filter(vm => vm !== self)
  }

  function push (records: ConfigRecord[], to: readonly VmId[]): void {
    if (!pushEnabled || records.length === 0) return
    for (const vm of to) {
      const message: PushMessage = { records }
      peers.request(vm, 'config.push', message, { timeoutMs: PUSH_TIMEOUT_MS })
        .catch(() => metrics.count('peer_failures', 'config_push'))
    }
  }

  async function pullFrom (vm: VmId): Promise<boolean> {
    const message: PullMessage = { ask: 'repair', digest: replica.digest() }
    const { synced, snapshot } = await peers.request<RepairAnswer>(vm, 'config.pull', message, { timeoutMs: PULL_TIMEOUT_MS })
    // A VM that is still loading may lack objects, so an object that is missing there need not have been deleted.
    const applied = synced ? replica.applySnapshot(snapshot) : replica.apply(snapshot.records)
    metrics.count('config_applied', 'pull', applied.length)
    return synced
  }

  function repair (vm: VmId): void {
    if (activePulls.has(vm)) return
    activePulls.add(vm)
    metrics.count('config_applied', 'repair_started')
    pullFrom(vm)
      .catch(error => {
        metrics.count('peer_failures', 'config_pull')
        log.debug('configuration could not be pulled', { vm, cause: String(error) })
      })
      .finally(() => activePulls.delete(vm))
  }

  function onSummary (from: VmId, summary: ConfigSummary): void {
    const ownSummary = replica.summary()
    if (summary.hash === ownSummary.hash) {
      lastDifferingHash.delete(from)
      if (replica.isSynced()) replica.markComplete(summary.completeTo)
      return
    }
    // A VM with an older revision pulls the differences itself. If the other VM has no newer revision, only a difference that
    // persists shows that each side lacks records.
    const isPersistent = lastDifferingHash.get(from) === summary.hash
    lastDifferingHash.set(from, summary.hash)
    if (summary.revision > ownSummary.revision || isPersistent) repair(from)
  }

  function isInForce ({ revision, hash, completeTo, objects }: ProbeMessage): boolean {
    if (objects.some(({ kind, name }) => replica.isInvalid(kind, name))) return false
    if (replica.summary().hash === hash || replica.completeTo() >= revision) return true
    return replica.completeTo() >= completeTo && objects.every(hasObjectVersion)
  }

  function hasObjectVersion ({ kind, name, resourceVersion }: ObjectVersion): boolean {
    const current = replica.record(kind, name)
    return current !== undefined && current.resourceVersion >= resourceVersion
  }

  /** Returns undefined while this VM lacks the revision itself, because equal hashes would then prove nothing. */
  function createProbeMessage (revision: number): ProbeMessage | undefined {
    const { hash, completeTo } = replica.summary()
    const hasRevision = completeTo >= revision || replica.recordsBetween(revision - 1, revision).length > 0
    if (!hasRevision) return undefined
    const objects = replica.recordsBetween(completeTo, revision).map(({ kind, name, resourceVersion }) => ({ kind, name, resourceVersion }))
    return { ask: 'probe', revision, hash, completeTo, objects }
  }

  async function probe (vm: VmId, revision: number): Promise<boolean> {
    const message = createProbeMessage(revision)
    if (!message) return false
    if (vm === membership.self().vm) return isInForce(message)
    try {
      const { inForce } = await peers.request<ProbeAnswer>(vm, 'config.pull', message, { timeoutMs: PULL_TIMEOUT_MS })
      return inForce
    } catch {
      metrics.count('peer_failures', 'config_probe')
      return false
    }
  }

  return {
    push,
    pushToAll: records => push(records, otherVms()),
    pullFrom,
    onSummary,
    probe,
    otherVms
  }
}
