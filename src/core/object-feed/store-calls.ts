/**
 * Counts the calls to the store by kind, operation and reason. Each call is billed, a pending watch as one call, so the
 * metric shows which step of a VM causes the costs of a start, an outage or a calm minute.
 */
import type { Metrics } from '../metrics/index.ts'
import type { ObjectStore } from './types.ts'

const OPERATIONS = ['list', 'watch', 'get', 'create', 'replace', 'replaceStatus', 'delete'] as const satisfies readonly (keyof ObjectStore)[]

/** Step of a VM that makes a call. */
export type StoreCallReason =
  | 'start' | 'relist' | 'failure' | 'history_dropped' | 'changes' | 'large_object' | 'register' | 'peer_key' | 'absent_vm' | 'unregister'
  | 'quarantine' | 'rollout_state'

export interface CountedCallsOptions { metrics: Metrics, reason: StoreCallReason }

/** Returns the operations of a store, which also count each call before it is sent. */
export function countCalls<Store extends Partial<ObjectStore>> (store: Store, { metrics, reason }: CountedCallsOptions): Store {
  const counted = OPERATIONS.filter(operation => store[operation]).map(operation => {
    const call = store[operation] as (kind: string, ...rest: unknown[]) => unknown
    return [operation, (kind: string, ...rest: unknown[]) => {
      metrics.countStoreCall({ kind, operation, reason })
      return call.call(store, kind, ...rest)
    }]
  })
  return Object.fromEntries(counted) as Store
}
