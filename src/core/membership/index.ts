/** Which VMs of the region are there, which take new work, and whether this VM is cut off. */
export { createMembership, type MembershipOptions, type Seed } from './membership.ts'
export { createVmListReader, type PlatformVm } from './platform.ts'
export type { Member, Membership, MemberState } from './types.ts'
