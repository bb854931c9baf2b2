/**
 * Subscribes to the objects in the store that a VM needs: configuration, backend servers, data centres out of service
 * and roll-outs. An object that cannot be decoded is counted and not applied.
 */
import type { BackendEntry, BackendPool } from '../backend-pool/index.ts'
import { brandId, type BackendServerId, type DataCentreId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { FollowedKind, KindSubscription } from '../feed-relay/index.ts'
import type { Change, SendTime, StoredObject } from '../object-feed/index.ts'
import type { RolloutOrder, VersionTrials } from '../version-trial/index.ts'
import { BACKENDS_COALESCE_MS, CONFIG_POLL_SHARE, CONFIG_POLL_WAIT_MS, FEED_POLL_WAIT_MS } from './constants.ts'
import type { ForwardingVmSettings, PlatformAdapter } from './types.ts'

export interface FeedsOptions {
  settings: ForwardingVmSettings
  adapter: PlatformAdapter
  follow(subscription: KindSubscription): FollowedKind
  pool: BackendPool
  trials: VersionTrials
  onConfig(object: StoredObject): void
  /** Called when the store has confirmed the configuration, with the times at which the confirming call was sent. */
  onConfigConfirmed(sent: SendTime): void
  /** Called when the store has been restored from an older copy, with the configuration in it, if any. */
  onConfigRestored(object: StoredObject | undefined): void
  metrics: Metrics
}

export function createFeeds (options: FeedsOptions): FollowedKind[] {
  const { settings, adapter, follow, pool, trials, onConfig, onConfigConfirmed, onConfigRestored, metrics } = options
  const { kinds } = adapter
  const outOfServiceDataCentres = new Set<DataCentreId>()

  function applyOutOfService (): void { pool.setOutOfService(new Set(outOfServiceDataCentres)) }

  const feeds = [
    follow({
      kind: kinds.config,
      waitMs: Math.min(CONFIG_POLL_WAIT_MS, settings.keyWithdrawalMs * CONFIG_POLL_SHARE),
      onSnapshot: objects => { for (const object of objects) if (object.name === adapter.configName) onConfig(object) },
      onChange: ({ object, deleted }) => { if (object.name === adapter.configName && !deleted) onConfig(object) },
      onConfirmed: onConfigConfirmed,
      onStoreRestored: objects => onConfigRestored(objects.find(({ name }) => name === adapter.configName))
    }),
    follow({
      kind: kinds.backendServers,
      waitMs: FEED_POLL_WAIT_MS,
      coalesceMs: BACKENDS_COALESCE_MS,
      onStoreRecovered: () => pool.markStoreRecovered(),
      onStoreRestored: objects => pool.markStoreRestored(new Set(objects.map(({ name }) => name))),
      onSnapshot: objects => pool.applySnapshot(objects.flatMap(decodeBackend)),
      onChange: ({ object, deleted }) => {
        const [entry] = deleted ? [] : decodeBackend(object)
        if (entry) pool.apply(entry)
        else pool.remove(brandId<BackendServerId>(object.name))
      }
    }),
    follow({
      kind: kinds.evacuations,
      waitMs: FEED_POLL_WAIT_MS,
      onSnapshot: objects => {
        outOfServiceDataCentres.clear()
        for (const { name } of objects) outOfServiceDataCentres.add(brandId<DataCentreId>(name))
        applyOutOfService()
      },
      onChange: ({ object, deleted }: Change) => {
        if (deleted) outOfServiceDataCentres.delete(brandId<DataCentreId>(object.name))
        else outOfServiceDataCentres.add(brandId<DataCentreId>(object.name))
        applyOutOfService()
      }
    }),
    follow({
      kind: kinds.rollouts,
      waitMs: FEED_POLL_WAIT_MS,
      // An earlier order may name another version; the state of the known order is written again.
      keepsKnownContent: true,
      onStoreRestored: objects => { for (const order of objects.flatMap(decodeRollout)) trials.applyRestored(order) },
      onSnapshot: objects => trials.applyAll(objects.flatMap(decodeRollout)),
      onChange: ({ object, deleted }) => {
        if (deleted) trials.remove(object.name)
        else for (const order of decodeRollout(object)) trials.apply(order)
      }
    })
  ]

  function decodeRollout (object: StoredObject): RolloutOrder[] {
    const order = adapter.decodeRollout(object)
    if (order) return [order]
    metrics.count('bad_input', 'rollout')
    return []
  }

  function decodeBackend (object: StoredObject): BackendEntry[] {
    const entry = adapter.decodeBackend(object)
    if (entry) return [entry]
    metrics.count('bad_input', 'backend_entry')
    return []
  }

  return feeds
}
