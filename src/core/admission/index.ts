/** Admission: the leader's scheduler, the entry VM's permit client and the policies for the choice of backend server. */
export { chooseLeastRequests, chooseLeastWork, choosePowerOfTwo, createRoundRobin } from './backend-choice.ts'
export { createPermitClient, type PermitClientOptions } from './permit-client.ts'
export { createScheduler, type SchedulerOptions } from './scheduler.ts'
export { inFlightElsewhere, servingDataCentres, teamShare } from './team-limits.ts'
export type * from './types.ts'
