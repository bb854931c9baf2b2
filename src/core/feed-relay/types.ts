/** Types of the relays: subscriptions to kinds of objects, and the messages that VMs exchange about the store. */
import type { Change, SendTime, StoredObject } from '../object-feed/index.ts'

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
  /** Called when all changes up to a call to the store are applied, with the times at which the call was sent. */
  onConfirmed?: (sent: SendTime) => void
}

/** Request of a VM to a relay: the revision that it has of each kind, null before the first list. */
export interface FeedPoll { known: Record<string, number | null>, holdMs: number }

/** An object as a relay sends it: complete, or without its contents when it is large. */
export type RelayedObject = StoredObject | { name: string, revision: number, isLarge: true }

export interface RelayedChange { object: RelayedObject, deleted: boolean }

/** Update of one kind: a complete list, the changes, or neither. */
export interface KindUpdate {
  revision: number
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
