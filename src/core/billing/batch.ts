/**
 * Writes one batch of billing records. The name follows from origin and sequence. Whoever finds the name taken
 * compares the contents and writes only what is missing under the next part name, so that the origin and any
 * number of witnesses can flush the same batch and each record is stored once.
 */
import { ObjectApiError } from '../errors/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import type { BillingBatchSpec, BillingRecord } from './types.ts'

/** Name of the object; parts after the first have a suffix. */
export function batchName ({ vm, boot, sequence }: Omit<BillingBatchSpec, 'records'>, part = 0): string {
  const name = `${vm}-${boot}-${sequence}`
  return part === 0 ? name : `${name}.${part}`
}

interface StoreBatchOptions {
  objectApi: ObjectApi
  batch: BillingBatchSpec
  /** Called when part of the batch had been stored before. */
  onFound?: () => void
}

/** Returns when every record of the batch is stored. Errors of the object API pass through; repeating is safe. */
export async function storeBatch ({ objectApi, batch, onFound = () => {} }: StoreBatchOptions): Promise<void> {
  let missing = batch.records
  for (let part = 0; missing.length > 0; part++) {
    const name = batchName(batch, part)
    const created = await createUnlessPresent(objectApi, name, { ...batch, records: missing })
    if (created) return
    onFound()
    const { spec } = await objectApi.get<BillingBatchSpec>('BillingBatch', name)
    missing = without(missing, spec.records)
  }
}

async function createUnlessPresent (objectApi: ObjectApi, name: string, spec: BillingBatchSpec): Promise<boolean> {
  try {
    await objectApi.create('BillingBatch', name, spec)
    return true
  } catch (error) {
    if (error instanceof ObjectApiError && error.kind === 'object_exists') return false
    throw error
  }
}

function without (records: BillingRecord[], stored: BillingRecord[]): BillingRecord[] {
  const ids = new Set(stored.map(record => record.id))
  return records.filter(record => !ids.has(record.id))
}
