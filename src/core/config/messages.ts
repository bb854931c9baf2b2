/** Bodies of the messages `config.push` and `config.pull`. */
import type { ConfigKind } from '../object-api/types.ts'
import type { ConfigDigest, ConfigSnapshot } from './replica.ts'
import type { ConfigRecord } from './types.ts'

export interface PushMessage {
  records: ConfigRecord[]
}

export interface ObjectVersion {
  kind: ConfigKind
  name: string
  resourceVersion: number
}

/**
 * Asks whether everything up to a revision is in force. `objects` lists only the object versions after the sender's
 * `completeTo`; its `hash` and `completeTo` cover all others.
 */
export interface ProbeMessage {
  ask: 'probe'
  revision: number
  hash: number
  completeTo: number
  /** Object versions of the sender after its `completeTo` and up to the revision. */
  objects: ObjectVersion[]
}

/** `repair` requests the records that differ from a digest. */
export type PullMessage = { ask: 'repair', digest: ConfigDigest } | ProbeMessage

export interface RepairAnswer {
  /** False while the answering VM has not loaded its configuration itself. */
  synced: boolean
  snapshot: ConfigSnapshot
}

export interface ProbeAnswer {
  inForce: boolean
}
