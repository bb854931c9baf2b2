/**
 * Retries writes of this VM's claims that failed or have an unknown outcome, until the claim has its intended state. A
 * create whose response was lost may take effect late, so an entry stays until its claim has been found or its maximum
 * age is reached.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage, ObjectApiError } from '../errors/index.ts'
import type { RequestId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import { MAX_PENDING_CLAIMS, OBJECT_API_TIMEOUT_MS, RECONCILE_MAX_AGE_MS, RECONCILE_PERIOD_MS } from './constants.ts'
import type { ClaimSpec } from './types.ts'

/** Intended fields of the claim. The state `not_run` means that the call was never sent. */
export type ClaimTarget = Pick<ClaimSpec, 'state' | 'answer' | 'outcomeUnknown'>

export interface PendingClaim {
  name: string
  request: RequestId
  attempt: number
  target: ClaimTarget
}

export interface Reconciler {
  add(pending: PendingClaim): void
  get(name: string): PendingClaim | undefined
  /** Tries to reconcile one entry immediately; resolves to true if the entry is reconciled or there is none. */
  tryReconcile(name: string): Promise<boolean>
  /** Tries to reconcile all entries. */
  reconcileAll(): Promise<void>
  stop(): void
}

export interface ReconcilerOptions {
  objectApi: ObjectApi
  clock: Clock
  metrics: Metrics
  log: Log
}

export function createReconciler ({ objectApi, clock, metrics, log }: ReconcilerOptions): Reconciler {
  const entries = new Map<string, PendingClaim & { addedAt: number }>()
  let isRunning = false
  const cancelTimer: TimerCancel = clock.every(RECONCILE_PERIOD_MS, () => { void reconcileAll() })

  function add (pending: PendingClaim): void {
    entries.set(pending.name, { ...pending, addedAt: clock.now() })
    metrics.count('claims', 'reconcile_pending')
    if (entries.size <= MAX_PENDING_CLAIMS) return
    metrics.count('claims', 'reconcile_dropped')
    entries.delete(entries.keys().next().value!)
  }

  async function tryReconcile (name: string): Promise<boolean> {
    const entry = entries.get(name)
    if (!entry) return true
    if (!await reconcile(entry)) return false
    // The entry may have been replaced during the calls to the object API.
    if (entries.get(name) === entry) entries.delete(name)
    metrics.count('claims', `reconciled_${entry.target.state}`)
    return true
  }

  /** Resolves to true if the entry needs no further reconciliation. */
  async function reconcile ({ name, request, attempt, target }: PendingClaim): Promise<boolean> {
    try {
      const found = await objectApi.get<ClaimSpec>('Claim', name, { timeoutMs: OBJECT_API_TIMEOUT_MS })
      const { spec } = found
      // The stored attempt is older, so the write that takes the claim over may still take effect.
      if (spec.attempt < attempt) return false
      if (spec.request !== request || spec.attempt !== attempt || spec.state !== 'dispatched' || spec.outcomeUnknown) return true
      await objectApi.update<ClaimSpec>('Claim', name, { ...spec, ...target }, found.resourceVersion, { timeoutMs: OBJECT_API_TIMEOUT_MS })
      return true
    } catch (error) {
      if (!(error instanceof ObjectApiError)) throw error
      return false
    }
  }

  async function reconcileAll (): Promise<void> {
    if (isRunning) return
    isRunning = true
    try {
      for (const [name, entry] of [...entries]) {
        if (await tryReconcile(name)) continue
        if (clock.now() - entry.addedAt < RECONCILE_MAX_AGE_MS) continue
        entries.delete(name)
        metrics.count('claims', 'reconcile_expired')
      }
    } catch (error) {
      log.error('reconciling claims failed', { error: errorMessage(error) })
    } finally {
      isRunning = false
    }
  }

  return { add, get: name => entries.get(name), tryReconcile, reconcileAll, stop: cancelTimer }
}
