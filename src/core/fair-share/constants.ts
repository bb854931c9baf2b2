/** Periods and limits of fair shares. */

/** Time constant of the mean usage of a team; about the age of the reports in a large fleet, so that both describe the same time. */
export const USAGE_SMOOTHING_MS = 500
/** Usage of a team relative to its share from which on the VMs report it; a team below it could not exceed its share between two reports. */
export const NEAR_SHARE = 0.5
/**
 * Requests in flight relative to the slots of a service from which on the service is short of capacity. The requests
 * above the slots wait at the backend servers and keep these busy while the reports are on their way.
 */
export const SLOT_HEADROOM = 1.25
/** Requests in flight relative to the capacity with headroom from which on the use by team is reported: half of the slots. */
export const TEAM_REPORT_SHARE = 0.4
/** Time for which a service stays short of capacity; several reports, so that the VMs do not all stop dividing it at once. */
export const SHORTAGE_HOLD_MS = 3000
/** Time for which what the reports say about a service is reused, because reading them for each request would take much of a small VM. */
export const REPORTS_REUSE_MS = 50
/** Share of the VMs in the reports from which on they are taken for all of them; some are missing while VMs restart. */
export const FULL_COVERAGE_SHARE = 0.75
/** Estimated wait, relative to the time that a request can wait, up to which it gets the benefit of the doubt. */
export const DOUBT_FACTOR = 1.15
/**
 * Standard deviations of the number of placements by which it may exceed the measured one before a request is refused. With
 * 0.5, more than half of the refused requests of a VM with 3 placements per second had waited in vain.
 */
export const DOUBT_DEVIATIONS = 0.25
/** Placements that must have been measured before a request is refused; one shows no interval. */
export const MIN_PLACEMENTS = 2
/** Weight of the newest wait in the correction of the estimate and in its mean error. */
export const WAIT_SMOOTHING_FACTOR = 0.1
/** Bounds of the correction, so that a few unusual waits do not refuse or admit everything. */
export const MIN_CORRECTION = 0.5
export const MAX_CORRECTION = 3
/** Waiting time over which the interval between placements is averaged; several reports, because each of them permits a few requests at once. */
export const RATE_MEMORY_MS = 3000
/** Time without a placement, relative to the longest recent one, from which on capacity is taken for gone. */
export const STALL_FACTOR = 3
/** Time without a waiting request after which the measured waits of a team are forgotten. */
export const WAIT_MEMORY_MS = 5000
/** Share of the Retry-After interval that is random; with the minimum of 0.4 s it is then 0.4 to 1.0 s while no wait is known. */
export const RETRY_JITTER = 0.6
/** Largest part of the time left that a caller waits before a retry. */
export const MAX_RETRY_SHARE = 1 / 3
/** Head start in the queue of a team for each level of urgency, and the maximum, so that urgent requests never starve the others. */
export const URGENCY_LEAD_MS = 200
export const MAX_URGENCY_LEAD_MS = 1000
/** Largest credit for time that a caller has already spent, relative to the time limit of the route: a retry as told comes after a third of it. */
export const MAX_SPENT_CREDIT = 0.5
/** Requests of one VM that ask other VMs for loans at the same time, for each service; the others wait in the queue for their turn. */
export const MAX_CONCURRENT_LOANS = 4
