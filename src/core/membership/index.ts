/** Membership of the VMs of a region: which VMs are live, which take new work, and whether this VM is isolated. */
export { createMembership, type MembershipOptions, type Seed } from './membership.ts'
export { createVmListReader, type PlatformVm } from './platform.ts'
export type { Member, Membership, MemberState } from './types.ts'
