/**
 * Billing: every answer is billed exactly once. A record goes into the VM's outbox and to a witness, another VM that
 * keeps a copy, preferably in another data centre; then the answer may end. Records are written to the object API in
 * batches. A batch name is derived from the origin and the sequence number, so a retry after a lost response or a
 * second writer finds the existing batch and adds only the missing records.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { BillingError, errorMessage, LacewingError, ObjectApiError } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership, Member } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import type { PeerLinks } from '../peer/types.ts'
import type { VmIdentity } from '../settings/index.ts'
import { createBackoff } from './backoff.ts'
import { batchName, storeBatch } from './batch.ts'
import { ACKNOWLEDGE_TIMEOUT_MS } from './constants.ts'
import { groupBy } from './group.ts'
import { createOutbox, type OutboxEntry } from './outbox.ts'
import type { Billing } from './types.ts'
import { createWitnessClient, createWitnessStore } from './witness.ts'

export { readBills, type Bills, type TeamBill } from './read-bills.ts'
export { createAnswerRecord, priceTokens, createServiceRecord, type AttemptUsage } from './pricing.ts'
export type * from './types.ts'

export interface BillingOptions {
  identity: VmIdentity
  objectApi: ObjectApi
  peers: PeerLinks
  membership: Membership
  flushPeriodMs?: number
  /** Maximum number of the VM's own pending records and, separately, of records that it holds as a witness. */
  maxOutboxRecords?: number
  witnessTimeoutMs?: number
  acknowledgeTimeoutMs?: number
  random?: () => number
  clock: Clock
  metrics: Metrics
  log: Log
}

export function createBilling (options: BillingOptions): Billing {
  const { identity, objectApi, peers, membership, clock, metrics, log } = options
  const { flushPeriodMs = 500, maxOutboxRecords = 100_000, witnessTimeoutMs = 300 } = options
  const { acknowledgeTimeoutMs = ACKNOWLEDGE_TIMEOUT_MS, random = Math.random } = options
  const { vm, boot } = identity
  const outbox = createOutbox(identity)
  const backoff = createBackoff({ clock, random })
  const witnessClient = createWitnessClient({ peers, membership, timeoutMs: witnessTimeoutMs, clock, metrics })
  const witnessStore = createWitnessStore({
    objectApi, peers, membership, maxRecords: maxOutboxRecords, backoff: createBackoff({ clock, random }), clock, metrics, log
  })
  let flushing: Promise<void> | undefined
  let stopTimer: TimerCancel | undefined

  metrics.gauge('billing_outbox_records', 'Billing records not durable yet', outbox.count)
  metrics.gauge('billing_witness_records', 'Billing records held for other VMs', witnessStore.count)
  membership.onChange(member => { void reassignWitness(member) })

  async function acknowledge (entry: OutboxEntry): Promise<void> {
    if (await sendToWitness([entry])) return metrics.count('billing_records', 'witnessed')
    // Without a witness the object API must store the record before the answer may end.
    void flush()
    const stored = await Promise.race([entry.whenStored.then(() => true), clock.sleep(acknowledgeTimeoutMs).then(() => false)])
    if (stored) return metrics.count('billing_records', 'stored')
    metrics.count('refusals', 'billing_unavailable')
    throw new BillingError('billing_unavailable', {
      detail: 'Neither a witness nor the object API accepted the billing record; it stays in the outbox.'
    })
  }

  /** Sends entries to a witness; all of them must belong to the same batch. */
  async function sendToWitness (entries: OutboxEntry[]): Promise<boolean> {
    const { sequence } = entries[0]!
    const records = entries.map(entry => entry.record)
    const witness = await witnessClient.send({ vm, boot, sequence, records })
    if (!witness) return false
    for (const entry of entries) entry.witness = witness
    // The batch may have been stored in the object API while the message was in flight.
    if (entries.every(entry => entry.isStored)) witnessClient.release({ vm, boot, sequence }, [witness.vm])
    return true
  }

  async function flush (): Promise<void> {
    if (flushing) return flushing
    flushing = flushAll().finally(() => { flushing = undefined })
    return flushing
  }

  async function flushAll (): Promise<void> {
    for (let batch = outbox.sealOldest(); batch; batch = outbox.sealOldest()) {
      try {
        await storeBatch({ objectApi, batch, onExistingPart: () => metrics.count('billing_flushes', 'found_batch') })
      } catch (error) {
        return flushFailed(error)
      }
      flushSucceeded()
      metrics.count('billing_flushes', 'stored')
      witnessClient.release(batch, outbox.complete(batch.sequence))
    }
  }

  function flushSucceeded (): void {
    if (backoff.isFailing()) log.info('object API accepts billing batches again', { pending: outbox.count() })
    backoff.recordSuccess()
  }

  function flushFailed (error: unknown): void {
    metrics.count('billing_flushes', `failed_${error instanceof LacewingError ? error.kind : 'other'}`)
    if (!backoff.isFailing()) log.warn('billing batch cannot be written; the records stay in the outbox', { error: errorMessage(error) })
    backoff.recordFailure()
  }

  /** Reads from the object API, because with nothing to flush only a read can show that it has recovered. */
  async function probeObjectApi (): Promise<void> {
    try {
      await objectApi.get('BillingBatch', batchName({ vm, boot, sequence: 0 }))
      flushSucceeded()
    } catch (error) {
      if (error instanceof ObjectApiError && error.kind === 'object_not_found') flushSucceeded()
      else backoff.recordFailure()
    }
  }

  async function tick (): Promise<void> {
    void witnessStore.flush('orphaned')
    if (!backoff.canAttempt()) return
    if (outbox.count() > 0) await flush()
    else if (backoff.isFailing()) await probeObjectApi()
  }

  /** If a witness left, died or restarted, sends the pending records that it held to another witness. */
  async function reassignWitness (member: Member): Promise<void> {
    if (member.state === 'dead' || member.state === 'leaving') void witnessStore.flush('orphaned')
    const isLost = ({ witness }: OutboxEntry) =>
      witness?.vm === member.vm && (witness.boot !== member.boot || member.state === 'dead' || member.state === 'leaving')
    const lost = groupBy(outbox.entries().filter(isLost), entry => entry.sequence)
    for (const entries of lost.values()) {
      for (const entry of entries) entry.witness = undefined
      metrics.count('retries', 'billing_witness_lost', entries.length)
      if (!await sendToWitness(entries)) void flush()
    }
  }

  return {
    canAccept: () => outbox.count() < maxOutboxRecords && (witnessClient.hasCandidate() || !backoff.isFailing()),
    async record (billingRecord) {
      // The answer has been delivered, so its record is added even if the outbox is full.
      await acknowledge(outbox.add(billingRecord))
    },
    pending: outbox.count,
    start () {
      stopTimer ??= clock.every(flushPeriodMs, () => { void tick() })
    },
    async drain (timeoutMs) {
      const deadline = clock.now() + timeoutMs
      const isDone = () => outbox.count() === 0 && witnessStore.count() === 0
      while (!isDone() && clock.now() < deadline) {
        await flush()
        await witnessStore.flush('all')
        if (!isDone()) await clock.sleep(Math.min(flushPeriodMs, deadline - clock.now()))
      }
      stopTimer?.()
      stopTimer = undefined
      return outbox.count()
    }
  }
}
