/** Interface of the membership service. */
import type { BootId, DataCentreId, RegionId, VmId } from '../ids/index.ts'

export type MemberState = 'live' | 'suspect' | 'leaving' | 'dead'

export interface Member {
  vm: VmId
  boot: BootId
  region: RegionId
  dataCentre: DataCentreId
  /** Address of the peer port, `IP:PORT`. */
  peerAddress: string
  /** Base URL for callers. */
  callerUrl: string
  /** Version of the record; only the member itself raises it, to replace records of earlier runs and to refute wrong ones. */
  incarnation: number
  state: MemberState
}

export interface Membership {
  self(): Member
  /** All members of the region that are live, suspect or leaving, this VM included. */
  members(): Member[]
  /** Members that take new work: live or suspect, not leaving. */
  available(): Member[]
  /** Includes dead members until they are removed. */
  get(vm: VmId): Member | undefined
  /**
   * Whether this VM reached neither a peer nor the object API within the isolation timeout, or another process runs under
   * its id.
   */
  isIsolated(): boolean
  /** Marks this VM as leaving and notifies other members. */
  leave(): Promise<void>
  /** Calls the listener when a member appears, restarts or changes its state; returns a function that removes the listener. */
  onChange(listener: (member: Member) => void): () => void
  start(): Promise<void>
  stop(): Promise<void>
}
