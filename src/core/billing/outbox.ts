/**
 * Records of this VM that are not stored in the object API yet, in batches. A batch gets its sequence number when it is
 * opened, before any witness holds its records, and accepts records until its first flush starts, which seals it.
 */
import type { VmIdentity } from '../settings/index.ts'
import type { BootId, VmId } from '../ids/index.ts'
import { MAX_BATCH_RECORDS } from './constants.ts'
import type { BillingBatchSpec, BillingRecord } from './types.ts'

export interface OutboxEntry {
  record: BillingRecord
  sequence: number
  witness?: { vm: VmId, boot: BootId }
  /** Whether the object API has stored the record. */
  isStored: boolean
  /** Resolves when the object API has stored the record. */
  whenStored: Promise<void>
}

interface Entry extends OutboxEntry { markStored: () => void }

interface Batch { sequence: number, sealed: boolean, entries: Map<string, Entry> }

export interface Outbox {
  /** Adds a record, or returns the pending entry with the same id. */
  add(record: BillingRecord): OutboxEntry
  count(): number
  /** Seals the oldest batch and returns it; undefined when nothing is pending. */
  sealOldest(): BillingBatchSpec | undefined
  /** Marks all records of a batch as stored and removes them; returns the witnesses that held any of them. */
  complete(sequence: number): Set<VmId>
  entries(): OutboxEntry[]
}

export function createOutbox ({ vm, boot }: VmIdentity, maxBatchRecords = MAX_BATCH_RECORDS): Outbox {
  const batches: Batch[] = []
  let nextSequence = 1
  let pending = 0

  function getOpenBatch (): Batch {
    const last = batches.at(-1)
    if (last && !last.sealed && last.entries.size < maxBatchRecords) return last
    const batch = { sequence: nextSequence++, sealed: false, entries: new Map<string, Entry>() }
    batches.push(batch)
    return batch
  }

  const findPending = (id: string) => batches.find(batch => batch.entries.has(id))?.entries.get(id)

  return {
    add (record) {
      const existing = findPending(record.id)
      if (existing) return existing
      const batch = getOpenBatch()
      const entry = createEntry(record, batch.sequence)
      batch.entries.set(record.id, entry)
      pending++
      return entry
    },
    count: () => pending,
    sealOldest () {
      const batch = batches[0]
      if (!batch) return undefined
      batch.sealed = true
      const records = [...batch.entries.values()].map(entry => entry.record)
      return { vm, boot, sequence: batch.sequence, records }
    },
    complete (sequence) {
      const index = batches.findIndex(batch => batch.sequence === sequence)
      const [batch] = index < 0 ? [] : batches.splice(index, 1)
      const entries = [...batch?.entries.values() ?? []]
      pending -= entries.length
      for (const entry of entries) entry.markStored()
      return new Set(entries.flatMap(entry => entry.witness?.vm ?? []))
    },
    entries: () => batches.flatMap(batch => [...batch.entries.values()])
  }
}

function createEntry (record: BillingRecord, sequence: number): Entry {
  let resolve = () => {}
  const whenStored = new Promise<void>(_resolve => { resolve = _resolve })
  const entry: Entry = {
    record,
    sequence,
    isStored: false,
    whenStored,
    markStored () {
      entry.isStored = true
      resolve()
    }
  }
  return entry
}
