/** Wire types of the object API and of the fault controls of its stand-in. */

export const API_PREFIX = '/apis/lacewingstage.dev/v1'
export const API_VERSION = 'lacewingstage.dev/v1'

/** Object as it travels on the wire, in the shape of the Kubernetes API conventions. */
export interface WireObject {
  apiVersion: string
  kind: string
  metadata: {
    name: string
    uid?: string
    /** Decimal number of the store-wide counter. */
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

/** `refuse` cuts each connection that brings a call; `hang` leaves calls unanswered and unperformed. */
export type OutageMode = 'off' | 'refuse' | 'hang'

/** Selects the calls that a fault applies to; an omitted field matches every call. */
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
  /** Every call waits this long before it is performed. */
  delay (ms: number): void
  /** The next `count` matching writes are performed, then their connection is cut without an answer. */
  dropAnswers (count: number, filter?: CallFilter): void
  /** The next `count` matching writes are received but not performed until `releaseHeld`. */
  holdWrites (count: number, filter?: CallFilter): void
  /** Performs the held writes; returns the status code of each. */
  releaseHeld (): number[]
  heldWrites (): number
  /** Forgets the history, so that a watch from an older version gets 410. */
  compact (): void
  /** Ends all watches. */
  cutWatches (): void
  counters (): CallCounters
}
