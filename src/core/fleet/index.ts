/** The VMs that forward requests: each one registers itself in the store and follows the others' entries there. */
import type { Clock } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import { brandId, randomId, type BootId, type VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { NodeSettings } from '../node/types.ts'
import { createObjectFeed, type ObjectStore, type StoredObject } from '../object-feed/index.ts'
import { FLEET_KIND, FLEET_WAIT_MS, REGISTER_RETRY_MS } from './constants.ts'

export interface FleetOptions {
  settings: NodeSettings
  store: ObjectStore
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
}

/** Entry of a VM in the store. */
interface FleetEntry { boot: BootId, callerAddress: string, peerAddress: string, dataCentre: string }

export function createFleet ({ settings, store, clock, log, metrics, random }: FleetOptions) {
  const boot = randomId<BootId>('boot')
  const own: FleetEntry = { boot, callerAddress: settings.callerAddress, peerAddress: settings.peerAddress, dataCentre: settings.dataCentre }
  const entries = new Map<VmId, FleetEntry>([[settings.vm, own]])
  let leaving = false

  function apply ({ name, spec }: StoredObject, deleted: boolean): void {
    const vm = brandId<VmId>(name)
    if (vm === settings.vm) return
    const entry = spec as FleetEntry | null
    if (deleted || typeof entry?.callerAddress !== 'string') entries.delete(vm)
    else entries.set(vm, entry)
  }

  const feed = createObjectFeed({
    kind: FLEET_KIND,
    source: store,
    waitMs: FLEET_WAIT_MS,
    relistMs: settings.storeHistoryMs / 2,
    onSnapshot (objects) {
      for (const vm of [...entries.keys()]) if (vm !== settings.vm) entries.delete(vm)
      for (const object of objects) apply(object, false)
    },
    onChange: ({ object, deleted }) => apply(object, deleted),
    clock,
    log,
    metrics,
    random
  })

  async function register (): Promise<void> {
    while (!leaving) {
      try {
        const created = await store.create(FLEET_KIND, settings.vm, own)
        if (created) return
        const present = await store.get(FLEET_KIND, settings.vm)
        if ((present?.spec as FleetEntry | undefined)?.boot === boot) return
        if (present && await store.replace(FLEET_KIND, settings.vm, own, present.revision)) return
      } catch (error) {
        log.debug('this VM is not registered yet', { error: errorMessage(error) })
      }
      await clock.sleep(REGISTER_RETRY_MS * (0.5 + random()))
    }
  }

  return {
    start (): void {
      feed.start()
      void register()
    },
    vms: (): readonly VmId[] => [...entries.keys()],
    /** Caller addresses of the VMs that take work. */
    addresses (selfReady: boolean): string[] {
      const listed = [...entries].filter(([vm]) => vm !== settings.vm || selfReady || entries.size === 1)
      return listed.map(([, { callerAddress }]) => callerAddress)
    },
    async leave (): Promise<void> {
      leaving = true
      try {
        await store.delete(FLEET_KIND, settings.vm)
      } catch (error) {
        log.warn('the entry of this VM could not be removed', { error: errorMessage(error) })
      }
    }
  }
}

export type Fleet = ReturnType<typeof createFleet>
