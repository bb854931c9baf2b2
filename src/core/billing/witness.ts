/**
 * Both sides of the witness protocol: sending records to another VM, and holding the records of other VMs until the
 * object API has stored them. A witness flushes the records that it holds when membership declares the origin dead or
 * restarted. It also flushes batches held for a long time, because the message that releases them is not acknowledged.
 */
import { createHash } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import { errorMessage, LacewingError, PeerError } from '../errors/index.ts'
import type { BootId, VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Member, Membership } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import type { PeerLinks } from '../peer/types.ts'
import { batchName, storeBatch } from './batch.ts'
import type { Backoff } from './backoff.ts'
import { MAX_WITNESS_ATTEMPTS, UNKNOWN_ORIGIN_GRACE_MS, WITNESS_COOLDOWN_MS, WITNESS_HOLD_MS } from './constants.ts'
import type { BillingBatchSpec, BillingRecord } from './types.ts'

interface WitnessClientOptions {
  peers: PeerLinks
  membership: Membership
  timeoutMs: number
  clock: Clock
  metrics: Metrics
}

export interface WitnessClient {
  /** Sends records to the highest-ranked witness that accepts them and returns it; undefined if none does. */
  send(batch: BillingBatchSpec): Promise<{ vm: VmId, boot: BootId } | undefined>
  /** Tells witnesses that a batch is stored, so that they drop it. */
  release(batch: Omit<BillingBatchSpec, 'records'>, witnesses: Iterable<VmId>): void
  hasCandidate(): boolean
}

export function createWitnessClient ({ peers, membership, timeoutMs, clock, metrics }: WitnessClientOptions): WitnessClient {
  const cooldownUntilMs = new Map<VmId, number>()

  function candidates (): Member[] {
    const self = membership.self()
    const others = membership.available().filter(member => member.vm !== self.vm && isPastCooldown(member))
    const byRank = others.sort((a, b) => rankKey(self.vm, a.vm).localeCompare(rankKey(self.vm, b.vm)))
    const otherDataCentres = byRank.filter(member => member.dataCentre !== self.dataCentre)
    const sameDataCentre = byRank.filter(member => member.dataCentre === self.dataCentre)
    return [...otherDataCentres, ...sameDataCentre]
  }

  const isPastCooldown = ({ vm }: Member) => clock.now() >= (cooldownUntilMs.get(vm) ?? -Infinity)

  async function sendTo (member: Member, batch: BillingBatchSpec): Promise<boolean> {
    try {
      await peers.request(member.vm, 'billing.witness', batch, { timeoutMs })
      return true
    } catch (error) {
      cooldownUntilMs.set(member.vm, clock.now() + WITNESS_COOLDOWN_MS)
      metrics.count('retries', `billing_witness_${error instanceof PeerError ? error.kind : 'failed'}`)
      return false
    }
  }

  return {
    async send (batch) {
      for (const member of candidates().slice(0, MAX_WITNESS_ATTEMPTS)) {
        if (await sendTo(member, batch)) return { vm: member.vm, boot: member.boot }
      }
      return undefined
    },
    release ({ vm, boot, sequence }, witnesses) {
      for (const witness of witnesses) peers.notify(witness, 'billing.drop', { vm, boot, sequence })
    },
    hasCandidate: () => candidates().length > 0
  }
}

/** Returns the sort key of a witness candidate. It depends on the sender, so that records spread evenly over the VMs. */
function rankKey (self: VmId, candidate: VmId): string {
  return createHash('sha256').update(`${self} ${candidate}`).digest('hex')
}

interface HeldBatch extends Omit<BillingBatchSpec, 'records'> {
  records: Map<string, BillingRecord>
  sinceMs: number
}

interface WitnessStoreOptions {
  objectApi: ObjectApi
  peers: PeerLinks
  membership: Membership
  maxRecords: number
  backoff: Backoff
  clock: Clock
  metrics: Metrics
  log: Log
}

export interface WitnessStore {
  /** Flushes the batches whose origin is gone or that were held too long, or all batches. */
  flush(scope: 'orphaned' | 'all'): Promise<void>
  count(): number
}

export function createWitnessStore (options: WitnessStoreOptions): WitnessStore {
  const { objectApi, peers, membership, maxRecords, backoff, clock, metrics, log } = options
  const held = new Map<string, HeldBatch>()
  let count = 0
  let flushing: Promise<void> | undefined

  peers.handle('billing.witness', body => {
    const batch = body as BillingBatchSpec
    if (count + batch.records.length > maxRecords) {
      metrics.count('refusals', 'witness_full')
      throw new Error('The witness holds its maximum number of billing records.')
    }
    hold(batch)
    return { held: true }
  })
  peers.handle('billing.drop', body => {
    drop(batchName(body as BillingBatchSpec))
  })

  function hold (batch: BillingBatchSpec): void {
    const name = batchName(batch)
    const heldBatch: HeldBatch = held.get(name) ?? { ...batch, records: new Map(), sinceMs: clock.now() }
    held.set(name, heldBatch)
    count -= heldBatch.records.size
    for (const record of batch.records) heldBatch.records.set(record.id, record)
    count += heldBatch.records.size
  }

  function drop (name: string): void {
    count -= held.get(name)?.records.size ?? 0
    held.delete(name)
  }

  function isOrphaned ({ vm, boot, sinceMs }: HeldBatch): boolean {
    const heldMs = clock.now() - sinceMs
    const origin = membership.get(vm)
    if (heldMs >= WITNESS_HOLD_MS) return true
    if (!origin || origin.boot !== boot) return heldMs >= UNKNOWN_ORIGIN_GRACE_MS
    return origin.state === 'dead'
  }

  async function flushOne (name: string, batch: HeldBatch): Promise<void> {
    const records = [...batch.records.values()]
    const { vm, boot, sequence } = batch
    const onExistingPart = () => metrics.count('billing_flushes', 'witness_found_batch')
    await storeBatch({ objectApi, batch: { vm, boot, sequence, records }, onExistingPart })
    metrics.count('billing_flushes', 'witness')
    log.info('flushed billing records held for another VM', { origin: vm, boot, sequence, records: records.length })
    // Records that arrived during the flush stay in the batch.
    for (const record of records) batch.records.delete(record.id)
    count -= records.length
    if (batch.records.size === 0) held.delete(name)
  }

  async function flushAll (scope: 'orphaned' | 'all'): Promise<void> {
    for (const [name, batch] of [...held]) {
      if (scope === 'orphaned' && !isOrphaned(batch)) continue
      try {
        await flushOne(name, batch)
        backoff.recordSuccess()
      } catch (error) {
        backoff.recordFailure()
        metrics.count('billing_flushes', `witness_failed_${error instanceof LacewingError ? error.kind : errorMessage(error)}`)
        return
      }
    }
  }

  return {
    count: () => count,
    async flush (scope) {
      if (flushing) return flushing
      if (scope === 'orphaned' && !backoff.canAttempt()) return
      flushing = flushAll(scope).finally(() => { flushing = undefined })
      return flushing
    }
  }
}
