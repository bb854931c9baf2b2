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
  incarnation: number
  state: MemberState
}

export interface Membership {
  self(): Member
  /** All members of the region that are live, suspect or leaving, this VM included. */
  members(): Member[]
  /** Members that take new work: live or suspect, not leaving. */
  available(): Member[]
  get(vm: VmId): Member | undefined
  /**
   * Whether this VM reached neither a peer nor the object API within the isolation timeout, or another process runs under
   * its id.
   */
  isIsolated(): boolean
  /** Marks this VM as leaving and notifies other members. */
  leave(): Promise<void>
  onChange(listener: (member: Member) => void): () => void
  start(): Promise<void>
  stop(): Promise<void>
}
