/**
 * Interface of the object API client. Objects follow the Kubernetes API conventions; `resourceVersion` is a number
 * from one counter of the whole store, so that versions of different objects can be compared.
 */

/** Kinds of object that lacewingstage keeps. The first group is configuration, the second the system's own state. */
export const CONFIG_KINDS = [
  'Contract', 'Model', 'Version', 'BackendServer', 'DataCentre', 'VirtualMachine', 'Service', 'Rollout', 'Operator'
] as const
export const STATE_KINDS = ['Lease', 'Claim', 'SessionPin', 'BillingBatch', 'Spend', 'Quarantine'] as const

export type ConfigKind = typeof CONFIG_KINDS[number]
export type StateKind = typeof STATE_KINDS[number]
export type ObjectKind = ConfigKind | StateKind

export interface StoredObject<Spec = unknown> {
  kind: ObjectKind
  name: string
  resourceVersion: number
  spec: Spec
  /** Id of the write that produced this version; resolves a write whose answer was lost. */
  writeId: string
}

export interface ObjectList<Spec = unknown> {
  items: StoredObject<Spec>[]
  /** Version of the store at the time of the list; a watch continues from it. */
  resourceVersion: number
}

export interface WatchEvent {
  type: 'ADDED' | 'MODIFIED' | 'DELETED' | 'BOOKMARK'
  object: StoredObject
}

export interface CallOptions {
  timeoutMs?: number
}

/**
 * Client of the object API. Errors: `object_conflict`, `object_exists`, `object_not_found`, `object_gone`,
 * `object_api_unavailable` (the write certainly did not take effect) and `object_write_unknown` (the outcome could
 * not be found out by reading back).
 */
export interface ObjectApi {
  get<Spec>(kind: ObjectKind, name: string, options?: CallOptions): Promise<StoredObject<Spec>>
  list<Spec>(kind: ObjectKind, options?: CallOptions): Promise<ObjectList<Spec>>
  create<Spec>(kind: ObjectKind, name: string, spec: Spec, options?: CallOptions): Promise<StoredObject<Spec>>
  /** Replaces the object if it still has `resourceVersion`. */
  update<Spec>(kind: ObjectKind, name: string, spec: Spec, resourceVersion: number, options?: CallOptions): Promise<StoredObject<Spec>>
  /** Returns a version of the store at which the object is gone; it orders the deletion among other writes. */
  delete(kind: ObjectKind, name: string, resourceVersion: number, options?: CallOptions): Promise<number>
  /** Streams changes of the kinds after `resourceVersion` until the signal aborts or the connection ends. */
  watch(kinds: readonly ObjectKind[], resourceVersion: number, signal: AbortSignal): AsyncIterable<WatchEvent>
}
