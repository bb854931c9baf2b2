/** Types of the relays: subscriptions to kinds of objects, and the messages that VMs exchange about the store. */
import type { Change, Revision, SendTime, StoredObject } from '../object-feed/index.ts'

/** A kind of objects with the callbacks that receive its updates. */
export interface KindSubscription {
  kind: string
  /** Maximum wait of one long poll of the store, in milliseconds. */
  waitMs: number
  /** Pause after a response of the store with changes, in milliseconds; none by default. */
  coalesceMs?: number
  onSnapshot(objects: StoredObject[]): void
  onChange(change: Change): void
  /** Called at the first response after a store outage, before the changes in it are applied. */
  onStoreRecovered?: () => void
  /**
   * Called when the store has been restored from an older copy, with the objects in the copy. Objects that the copy lacks
   * or has back are passed on as changes only if they are not written again within RESTORED_HOLD_MS.
   */
  onStoreRestored?: (objects: readonly StoredObject[]) => void
  /** Whether the known content of an object stands against that of the copy as well; by default, the copy counts at once. */
  keepsKnownContent?: boolean
  /** Called when all changes up to a call to the store are applied, with the times at which the call was sent. */
  onConfirmed?: (sent: SendTime) => void
}

/** Request of a VM to a relay: the revision that it has of each kind, null before the first list. */
export interface FeedPoll { known: Record<string, Revision | null>, holdMs: number }

/** An object as a relay sends it: complete, or without its contents when it is large. */
export type RelayedObject = StoredObject | { name: string, revision: Revision, isLarge: true }

export interface RelayedChange { object: RelayedObject, deleted: boolean }

/** Update of one kind: a complete list, the changes, or neither. */
export interface KindUpdate {
  revision: Revision
  /** Time between the store's confirmation of the revision and the creation of the response, in milliseconds. */
  ageMs: number
  objects?: RelayedObject[]
  changes?: RelayedChange[]
  /** Time since the end of the last store outage, if that is recent. */
  regainedAgoMs?: number
}

export interface FeedPollResponse {
  /** Undefined when the responding VM has no current copies. */
  kinds?: Record<string, KindUpdate>
  /** Time between receiving the poll and responding, in milliseconds. */
  heldMs: number
}
