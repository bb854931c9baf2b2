/**
 * The feeds of the store that keep a VM's views current: configuration, backend servers, data centres out of service and
 * roll-outs. An object that cannot be read is counted and changes nothing.
 */
import type { BackendEntry, BackendPool } from '../backend-pool/index.ts'
import { brandId, type BackendServerId, type DataCentreId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Followed, FollowedKind } from '../feed-relay/index.ts'
import type { Change, SendTime, StoredObject } from '../object-feed/index.ts'
import type { RolloutOrder, VersionTrials } from '../version-trial/index.ts'
import { BACKENDS_SETTLE_MS, CONFIG_WAIT_MS, FEED_WAIT_MS, PROOF_SHARE } from './constants.ts'
import type { ForwardingVmSettings, PlatformAdapter } from './types.ts'

export interface FeedsOptions {
  settings: ForwardingVmSettings
  adapter: PlatformAdapter
  follow(followed: Followed): FollowedKind
  pool: BackendPool
  trials: VersionTrials
  onConfig(object: StoredObject): void
  /** Called when the configuration is known to be current as of a call. */
  onCurrentConfig(sent: SendTime): void
  metrics: Metrics
}

export function createFeeds (options: FeedsOptions): FollowedKind[] {
  const { settings, adapter, follow, pool, trials, onConfig, onCurrentConfig, metrics } = options
  const { kinds } = adapter
  const evacuated = new Set<DataCentreId>()

  function applyEvacuations (): void { pool.setOutOfService(new Set(evacuated)) }

  const feeds = [
    follow({
      kind: kinds.config,
      waitMs: Math.min(CONFIG_WAIT_MS, settings.keyWithdrawalMs * PROOF_SHARE),
      onSnapshot: objects => { for (const object of objects) if (object.name === adapter.configName) onConfig(object) },
      onChange: ({ object, deleted }) => { if (object.name === adapter.configName && !deleted) onConfig(object) },
      onCurrent: onCurrentConfig
    }),
    follow({
      kind: kinds.backendServers,
      waitMs: FEED_WAIT_MS,
      settleMs: BACKENDS_SETTLE_MS,
      onRegained: () => pool.markStoreRecovered(),
      onSnapshot: objects => pool.applySnapshot(objects.flatMap(readBackend)),
      onChange: ({ object, deleted }) => {
        const [entry] = deleted ? [] : readBackend(object)
        if (entry) pool.apply(entry)
        else pool.remove(brandId<BackendServerId>(object.name))
      }
    }),
    follow({
      kind: kinds.evacuations,
      waitMs: FEED_WAIT_MS,
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
    follow({
      kind: kinds.rollouts,
      waitMs: FEED_WAIT_MS,
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
