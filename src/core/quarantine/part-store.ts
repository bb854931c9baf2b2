/**
 * Stores the evidence behind each certain quarantine of parts of requests, so that VMs that start later, restart or are
 * cut off from the others know it as well. A VM writes the quarantines whose crashes it has seen and deletes them when
 * they end; those that a restored store has lost are written again.
 */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import type { Clock } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { FollowedKind, KindSubscription } from '../feed-relay/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { countCalls, type ObjectStore, type StoredObject } from '../object-feed/index.ts'
import { rendezvousOrder } from '../placement/rendezvous.ts'
import type { VmId } from '../ids/index.ts'
import { PART_KIND, PART_POLL_WAIT_MS, QUARANTINE_DURATION_MS, REFRESH_PERIOD_MS, STORE_RETRY_DELAY_MS } from './constants.ts'
import { partCrashSchema } from './messages.ts'
import type { PartQuarantine, ReportedPartCrash } from './request-parts.ts'

export interface PartStoreOptions {
  store: Pick<ObjectStore, 'create' | 'delete'>
  /** Subscribes to the stored quarantines. */
  follow(subscription: KindSubscription): FollowedKind
  /** The quarantine that stored crashes are added to; it is created after this store, which it writes to. */
  quarantine: () => Pick<PartQuarantine, 'merge' | 'certainQuarantines'>
  self: VmId
  /** Live VMs, including this one; one of them deletes expired objects and writes lost ones again. */
  liveVms: () => readonly VmId[]
  clock: Clock
  log: Log
  metrics: Metrics
}

const specSchema = z.object({ crashes: z.array(partCrashSchema.extend({ wallMs: z.number() })).min(1) })
type PartSpec = z.infer<typeof specSchema>

export function createPartStore ({ store: uncountedStore, follow, quarantine, self, liveVms, clock, log, metrics }: PartStoreOptions) {
  const store = countCalls(uncountedStore, { metrics, reason: 'quarantine' })
  /** Quarantines that this VM has written or is about to write. */
  const written = new Set<string>()
  /** Wall-clock time at which each stored quarantine ends, by the name of its object. */
  const endsWallMs = new Map<string, number>()

  function apply (object: StoredObject): void {
    const parsed = specSchema.safeParse(object.spec)
    if (!parsed.success) return metrics.count('bad_input', 'quarantine_object')
    const { crashes } = parsed.data
    endsWallMs.set(object.name, Math.max(...crashes.map(({ wallMs }) => wallMs)) + QUARANTINE_DURATION_MS)
    const evidence = crashes.map(({ wallMs, ...crash }) => ({ ...crash, ageMs: Math.max(0, clock.wallMs() - wallMs) }))
    quarantine().merge({ crashes: evidence, survivals: {} })
  }

  const followed = follow({
    kind: PART_KIND,
    waitMs: PART_POLL_WAIT_MS,
    onStoreRestored (objects) { writeMissing(new Set(objects.map(({ name }) => name))) },
    onSnapshot (objects) { for (const object of objects) apply(object) },
    onChange ({ object, deleted }) {
      if (deleted) endsWallMs.delete(object.name)
      else apply(object)
    }
  })

  function deleteObject (name: string): void {
    store.delete(PART_KIND, name).catch((error: unknown) => log.warn('a quarantine of parts of requests could not be deleted', { name, error: errorMessage(error) }))
  }

  function deleteExpired (): void {
    if (rendezvousOrder(PART_KIND, liveVms())[0] !== self) return
    for (const [name, endWallMs] of endsWallMs) if (endWallMs <= clock.wallMs()) deleteObject(name)
  }

  /** Stores a quarantine; repeats the write until it succeeds or the quarantine ends. */
  async function write (parts: readonly string[], crashes: readonly ReportedPartCrash[]): Promise<void> {
    const name = objectName(parts)
    const spec: PartSpec = { crashes: crashes.map(({ ageMs, ...crash }) => ({ ...crash, wallMs: clock.wallMs() - ageMs })) }
    written.add(name)
    while (written.has(name)) {
      try {
        await store.create(PART_KIND, name, spec)
        return
      } catch (error) {
        metrics.count('retries', 'quarantine_write')
        log.warn('a quarantine of parts of requests could not be stored; the write is repeated', { parts, error: errorMessage(error) })
        await clock.sleep(STORE_RETRY_DELAY_MS)
      }
    }
  }

  /** Writes the quarantines again that a restored store has lost; one VM writes each of them. */
  function writeMissing (storedNames: ReadonlySet<string>): void {
    for (const { parts, crashes } of quarantine().certainQuarantines()) {
      const name = objectName(parts)
      if (!storedNames.has(name) && rendezvousOrder(name, liveVms())[0] === self) void write(parts, crashes)
    }
  }

  return {
    isLoaded: followed.isLoaded,
    write,
    /** Deletes the object of a quarantine that has ended, so that VMs that start later do not take it up. */
    remove (parts: readonly string[]): void {
      const name = objectName(parts)
      // The VM that wrote it may be gone.
      const isOther = endsWallMs.has(name) && rendezvousOrder(name, liveVms())[0] === self
      if (written.delete(name) || isOther) deleteObject(name)
    },
    /** Deletes expired objects periodically; returns a function that ends this. */
    start: (): (() => void) => clock.every(REFRESH_PERIOD_MS, deleteExpired)
  }
}

export type PartStore = ReturnType<typeof createPartStore>

function objectName (parts: readonly string[]): string {
  return createHash('sha256').update(parts.join()).digest('hex').slice(0, 32)
}
