/**
 * Interface of the object API client. Objects follow the Kubernetes API conventions; `resourceVersion` is a number
 * from one counter for all objects, so that versions of different objects can be compared.
 */

/** Kinds of stored objects: CONFIG_KINDS are configuration, STATE_KINDS are written by the system itself. */
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
  /** Id of the write that produced this version; used to determine the outcome of a write whose response was lost. */
  writeId: string
}

export interface ObjectList<Spec = unknown> {
  items: StoredObject<Spec>[]
  /** Resource version at the time of the list, from which a watch can continue. */
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
 * `object_api_unavailable` (a write certainly did not take effect) and `object_write_unknown` (the outcome of a write
 * could not be determined).
 */
export interface ObjectApi {
  get<Spec>(kind: ObjectKind, name: string, options?: CallOptions): Promise<StoredObject<Spec>>
  list<Spec>(kind: ObjectKind, options?: CallOptions): Promise<ObjectList<Spec>>
  create<Spec>(kind: ObjectKind, name: string, spec: Spec, options?: CallOptions): Promise<StoredObject<Spec>>
  /** Replaces the object if its version is still `resourceVersion`. */
  update<Spec>(kind: ObjectKind, name: string, spec: Spec, resourceVersion: number, options?: CallOptions): Promise<StoredObject<Spec>>
  /** Returns a resource version at which the object is absent, which orders the deletion relative to other writes. */
  delete(kind: ObjectKind, name: string, resourceVersion: number, options?: CallOptions): Promise<number>
  /** Streams changes to the kinds after `resourceVersion` until the signal aborts or a connection ends. */
  watch(kinds: readonly ObjectKind[], resourceVersion: number, signal: AbortSignal): AsyncIterable<WatchEvent>
}
