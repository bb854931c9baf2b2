/** Bodies of the messages between an entry VM and the leader of a data centre. */
import type { DataCentreId } from '../ids/index.ts'
import type { FirstByteReport, PermitRelease, PermitRequest, PermitSync } from './types.ts'

/** Body of `permit.request`; the answer is a PermitAnswer. */
export interface PermitRequestMessage {
  dataCentre: DataCentreId
  /** Id of the call, by which it can be abandoned. */
  ask: string
  request: PermitRequest
}

/** Reports of a VM about its permits. Applying a report twice has no further effect. */
export interface PermitReport {
  releases: PermitRelease[]
  firstBytes: FirstByteReport[]
  /** Ids of calls whose answers did not arrive. */
  abandoned: string[]
}

/** Body of `permit.release`; the answer is an Acknowledgement. */
export interface PermitReportMessage {
  dataCentre: DataCentreId
  epoch: number
  report: PermitReport
}

/** Body of `permit.sync`; the answer is an Acknowledgement. */
export interface PermitSyncMessage {
  dataCentre: DataCentreId
  epoch: number
  sync: PermitSync
}

export interface Acknowledgement {
  /** False when the receiver does not lead the data centre in the epoch of the message. */
  accepted: boolean
}
