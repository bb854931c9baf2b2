/** Interface of the object store, and its objects and changes. */
import type { Instant } from '../clock/index.ts'
import type { Revision } from './revision.ts'

export type { Revision } from './revision.ts'

export interface StoredObject<Spec = unknown, Status = unknown> {
  name: string
  /** Revision of the store at the last change of this object. */
  revision: Revision
  spec: Spec
  status: Status | undefined
}

export interface Snapshot {
  objects: StoredObject[]
  /** Revision up to which the list contains all changes; objects in it may be newer. */
  revision: Revision
}

export interface Change { object: StoredObject, deleted: boolean }

export interface ChangeBatch { changes: Change[], revision: Revision }

export interface ObjectSource {
  /** Returns all objects of a kind; throws ObjectApiError. */
  list(kind: string): Promise<Snapshot>
  /**
   * Returns the changes after a revision, as soon as there are any or after `waitMs`; `undefined` when the history no
   * longer includes the revision, or when the revision is of another era than the store. Throws ObjectApiError.
   */
  watch(kind: string, after: Revision, waitMs: number): Promise<ChangeBatch | undefined>
}

export interface ObjectStore extends ObjectSource {
  get(kind: string, name: string): Promise<StoredObject | undefined>
  /** Creates an object; `undefined` when one of that name exists. */
  create(kind: string, name: string, spec: unknown): Promise<StoredObject | undefined>
  /** Replaces the spec if the object still has that revision; `undefined` when it has another. */
  replace(kind: string, name: string, spec: unknown, revision: Revision): Promise<StoredObject | undefined>
  /** Replaces the status if the object still has that revision; `undefined` when it has another. */
  replaceStatus(kind: string, name: string, status: unknown, revision: Revision): Promise<StoredObject | undefined>
  delete(kind: string, name: string): Promise<void>
}

/** Time at which a call was sent. */
export type SendTime = Instant
