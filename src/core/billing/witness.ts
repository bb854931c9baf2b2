/**
 * Both sides of the witness: sending records to another VM, and holding the records of other VMs until they are
 * durable. A witness flushes what it holds when membership declares the origin dead or restarted, and looks up
 * batches that were held long, because the message that releases them is not confirmed.
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
import { MAX_WITNESS_TRIES, UNKNOWN_ORIGIN_MS, WITNESS_COOL_DOWN_MS, WITNESS_HOLD_MS } from './constants.ts'
import type { BillingBatchSpec, BillingRecord } from './types.ts'

interface WitnessClientOptions {
  peers: PeerLinks
  membership: Membership
  timeoutMs: number
  clock: Clock
  metrics: Metrics
}

export interface WitnessClient {
  /** Sends records to the best reachable witness; undefined when none took them. */
  send(batch: BillingBatchSpec): Promise<{ vm: VmId, boot: BootId } | undefined>
  release(batch: Omit<BillingBatchSpec, 'records'>, witnesses: Iterable<VmId>): void
  hasCandidate(): boolean
}

export function createWitnessClient ({ peers, membership, timeoutMs, clock, metrics }: WitnessClientOptions): WitnessClient {
  const passedOverUntil = new Map<VmId, number>()

  function candidates (): Member[] {
    const self = membership.self()
    const others = membership.available().filter(member => member.vm !== self.vm && isReachable(member))
    const byRank = others.sort((a, b) => rank(self.vm, a.vm).localeCompare(rank(self.vm, b.vm)))
    const elsewhere = byRank.filter(member => member.dataCentre !== self.dataCentre)
    const nearby = byRank.filter(member => member.dataCentre === self.dataCentre)
    return [...elsewhere, ...nearby]
  }

  const isReachable = ({ vm }: Member) => clock.now() >= (passedOverUntil.get(vm) ?? -Infinity)

  async function sendTo (member: Member, batch: BillingBatchSpec): Promise<boolean> {
    try {
      await peers.request(member.vm, 'billing.witness', batch, { timeoutMs })
      return true
    } catch (error) {
      passedOverUntil.set(member.vm, clock.now() + WITNESS_COOL_DOWN_MS)
      metrics.count('retries', `billing_witness_${error instanceof PeerError ? error.kind : 'failed'}`)
      return false
    }
  }

  return {
    async send (batch) {
      for (const member of candidates().slice(0, MAX_WITNESS_TRIES)) {
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

/** Orders the possible witnesses of one VM differently for each VM, so that the records spread evenly. */
function rank (self: VmId, candidate: VmId): string {
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
  /** Flushes the batches whose origin is gone, or all of them. */
  flush(which: 'orphaned' | 'all'): Promise<void>
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
    const known: HeldBatch = held.get(name) ?? { ...batch, records: new Map(), sinceMs: clock.now() }
    held.set(name, known)
    count -= known.records.size
    for (const record of batch.records) known.records.set(record.id, record)
    count += known.records.size
  }

  function drop (name: string): void {
    count -= held.get(name)?.records.size ?? 0
    held.delete(name)
  }

  function isOrphaned ({ vm, boot, sinceMs }: HeldBatch): boolean {
    const heldMs = clock.now() - sinceMs
    const origin = membership.get(vm)
    if (heldMs >= WITNESS_HOLD_MS) return true
    if (!origin || origin.boot !== boot) return heldMs >= UNKNOWN_ORIGIN_MS
    return origin.state === 'dead'
  }

  async function flushOne (name: string, batch: HeldBatch): Promise<void> {
    const records = [...batch.records.values()]
    const { vm, boot, sequence } = batch
    const onFound = () => metrics.count('billing_flushes', 'witness_found_batch')
    await storeBatch({ objectApi, batch: { vm, boot, sequence, records }, onFound })
    metrics.count('billing_flushes', 'witness')
    log.info('flushed billing records held for another VM', { origin: vm, boot, sequence, records: records.length })
    // Records that arrived during the flush stay held.
    for (const record of records) batch.records.delete(record.id)
    count -= records.length
    if (batch.records.size === 0) held.delete(name)
  }

  async function flushAll (which: 'orphaned' | 'all'): Promise<void> {
    for (const [name, batch] of [...held]) {
      if (which === 'orphaned' && !isOrphaned(batch)) continue
      try {
        await flushOne(name, batch)
        backoff.succeeded()
      } catch (error) {
        backoff.failed()
        metrics.count('billing_flushes', `witness_failed_${error instanceof LacewingError ? error.kind : errorMessage(error)}`)
        return
      }
    }
  }

  return {
    count: () => count,
    async flush (which) {
      if (flushing) return flushing
      if (which === 'orphaned' && !backoff.mayTry()) return
      flushing = flushAll(which).finally(() => { flushing = undefined })
      return flushing
    }
  }
}
