/** Reads bills from the batches in the object API and counts each record id once. */
import { BillingError, errorMessage } from '../errors/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { ObjectApi, StoredObject } from '../object-api/types.ts'
import type { BillingBatchSpec, BillingRecord } from './types.ts'

export interface TeamBill {
  records: number
  inputTokens: number
  outputTokens: number
  costMicros: number
}

export interface Bills {
  /** One record per id, in the order in which they were stored. */
  records: BillingRecord[]
  totals: Map<TeamId, TeamBill>
  /** Number of stored records that have the same id as an earlier one. */
  duplicates: number
}

/** Reads the bills of all teams or of one team. Throws BillingError `billing_unavailable`. */
export async function readBills ({ objectApi, team }: { objectApi: ObjectApi, team?: TeamId }): Promise<Bills> {
  const batches = await listBatches(objectApi)
  const storedRecords = batches.flatMap(batch => batch.spec.records).filter(record => !team || record.team === team)
  // The record stored first for an id counts, so that a total does not change when a duplicate appears later.
  const byId = new Map<string, BillingRecord>()
  for (const record of storedRecords) {
    if (!byId.has(record.id)) byId.set(record.id, record)
  }
  const records = [...byId.values()]
  return { records, totals: sumByTeam(records), duplicates: storedRecords.length - records.length }
}

async function listBatches (objectApi: ObjectApi): Promise<StoredObject<BillingBatchSpec>[]> {
  try {
    const { items } = await objectApi.list<BillingBatchSpec>('BillingBatch')
    return items.sort((a, b) => a.resourceVersion - b.resourceVersion)
  } catch (error) {
    throw new BillingError('billing_unavailable', { detail: `Bills cannot be read: ${errorMessage(error)}`, cause: error })
  }
}

function sumByTeam (records: BillingRecord[]): Map<TeamId, TeamBill> {
  const totals = new Map<TeamId, TeamBill>()
  for (const { team, lines, costMicros } of records) {
    const total = totals.get(team) ?? { records: 0, inputTokens: 0, outputTokens: 0, costMicros: 0 }
    total.records++
    total.costMicros += costMicros
    for (const line of lines) {
      total.inputTokens += line.inputTokens
      total.outputTokens += line.outputTokens
    }
    totals.set(team, total)
  }
  return totals
}
