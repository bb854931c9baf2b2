/** Wire types of the object API and types of the fault controls of its stand-in. */

export const API_PREFIX = '/apis/lacewingstage.dev/v1'
export const API_VERSION = 'lacewingstage.dev/v1'

/** Wire format of an object, which follows the Kubernetes API conventions. */
export interface WireObject {
  apiVersion: string
  kind: string
  metadata: {
    name: string
    uid?: string
    /** Value of the store-wide counter, as a decimal string. */
    resourceVersion?: string
    annotations?: Record<string, string>
  }
  spec?: unknown
}

export interface WireEvent {
  type: 'ADDED' | 'MODIFIED' | 'DELETED' | 'BOOKMARK'
  object: WireObject
}

export type StatusReason = 'NotFound' | 'AlreadyExists' | 'Conflict' | 'Expired' | 'Invalid' | 'RequestEntityTooLarge'

/** `refuse` closes the connection of each call; `hang` neither performs nor answers calls. */
export type OutageMode = 'off' | 'refuse' | 'hang'

/** Selects the calls to which a fault applies; an omitted field matches all calls. */
export interface CallFilter {
  method?: string
  kind?: string
  name?: string
}

export interface CallCounters {
  reads: number
  writes: number
  waitingWatches: number
  watchesOpened: number
}

export interface ObjectApiControl {
  outage (mode: OutageMode | boolean): void
  /** Delays each call by this time before it is performed. */
  delay (ms: number): void
  /** Performs the next `count` matching writes and closes their connections without an answer. */
  dropAnswers (count: number, filter?: CallFilter): void
  /** Holds the next `count` matching writes: they are not performed until `releaseHeld`. */
  holdWrites (count: number, filter?: CallFilter): void
  /** Performs the held writes and returns their status codes. */
  releaseHeld (): number[]
  heldWrites (): number
  /** Clears the watch history, so that a watch from an older version fails with status 410. */
  compact (): void
  /** Ends all watches. */
  cutWatches (): void
  counters (): CallCounters
}
