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

/** `repair` asks for the content that differs from a digest, `probe` whether an object version is in force. */
export type PullMessage =
  | { ask: 'repair', digest: ConfigDigest }
  | { ask: 'probe', revision: number, object: ObjectVersion | undefined }

export interface RepairAnswer {
  /** False while the answering VM has not loaded its configuration itself. */
  synced: boolean
  snapshot: ConfigSnapshot
}

export interface ProbeAnswer {
  inForce: boolean
}
