/**
 * The feeds of the store that keep a VM's views current: configuration, backend servers, data centres out of service and
 * roll-outs. An object that cannot be read is counted and changes nothing.
 */
import type { BackendEntry, BackendPool } from '../backend-pool/index.ts'
import type { Clock } from '../clock/index.ts'
import type { SendTime } from '../forwarding/config-lease.ts'
import { brandId, type BackendServerId, type DataCentreId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { createObjectFeed, type Change, type ObjectFeed, type ObjectStore, type StoredObject } from '../object-feed/index.ts'
import type { RolloutOrder, VersionTrials } from '../version-trial/index.ts'
import { CONFIG_WAIT_MS, FEED_WAIT_MS, PROOF_SHARE, RELIST_SHARE } from './constants.ts'
import type { ForwardingVmSettings, PlatformAdapter } from './types.ts'

export interface FeedsOptions {
  settings: ForwardingVmSettings
  adapter: PlatformAdapter
  store: ObjectStore
  pool: BackendPool
  trials: VersionTrials
  onConfig(object: StoredObject): void
  /** Called when the configuration is known to be current as of a call. */
  onCurrentConfig(sent: SendTime): void
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
}

export function createFeeds (options: FeedsOptions): ObjectFeed[] {
  const { settings, adapter, store, pool, trials, onConfig, onCurrentConfig, clock, log, metrics, random } = options
  const { kinds } = adapter
  const evacuated = new Set<DataCentreId>()

  function applyEvacuations (): void { pool.setOutOfService(new Set(evacuated)) }

  const feedDefaults = { source: store, waitMs: FEED_WAIT_MS, relistMs: settings.storeHistoryMs * RELIST_SHARE, clock, log, metrics, random }
  const feeds = [
    createObjectFeed({
      ...feedDefaults,
      kind: kinds.config,
      waitMs: Math.min(CONFIG_WAIT_MS, settings.keyWithdrawalMs * PROOF_SHARE),
      onSnapshot: objects => { for (const object of objects) if (object.name === adapter.configName) onConfig(object) },
      onChange: ({ object, deleted }) => { if (object.name === adapter.configName && !deleted) onConfig(object) },
      onCurrent: onCurrentConfig
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

  return feeds
}
