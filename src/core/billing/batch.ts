/**
 * Writes one batch of billing records. The object name is derived from the origin and the sequence number. A writer
 * that finds the name in use compares the contents and writes only the missing records under the next part name, so
 * that the origin and any number of witnesses can flush the same batch and each record is stored once.
 */
import { ObjectApiError } from '../errors/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import type { BillingBatchSpec, BillingRecord } from './types.ts'

/** Returns the object name of a part; parts after the first have a suffix. */
export function batchName ({ vm, boot, sequence }: Omit<BillingBatchSpec, 'records'>, part = 0): string {
  const name = `${vm}-${boot}-${sequence}`
  return part === 0 ? name : `${name}.${part}`
}

interface StoreBatchOptions {
  objectApi: ObjectApi
  batch: BillingBatchSpec
  /** Called for each part of the batch that already exists in the object API. */
  onExistingPart?: () => void
}

/** Resolves when every record of the batch is stored. Throws errors of the object API unchanged; retries are safe. */
export async function storeBatch ({ objectApi, batch, onExistingPart = () => {} }: StoreBatchOptions): Promise<void> {
  let missing = batch.records
  for (let part = 0; missing.length > 0; part++) {
    const name = batchName(batch, part)
    const created = await createIfAbsent(objectApi, name, { ...batch, records: missing })
    if (created) return
    onExistingPart()
    const { spec } = await objectApi.get<BillingBatchSpec>('BillingBatch', name)
    missing = excludeStored(missing, spec.records)
  }
}

async function createIfAbsent (objectApi: ObjectApi, name: string, spec: BillingBatchSpec): Promise<boolean> {
  try {
    await objectApi.create('BillingBatch', name, spec)
    return true
  } catch (error) {
    if (error instanceof ObjectApiError && error.kind === 'object_exists') return false
    throw error
  }
}

function excludeStored (records: BillingRecord[], stored: BillingRecord[]): BillingRecord[] {
  const ids = new Set(stored.map(record => record.id))
  return records.filter(record => !ids.has(record.id))
}
