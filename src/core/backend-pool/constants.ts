/** Limits of the pool of backend servers. */

/**
 * Time without requests after a failed connection. It doubles with each further failure up to a maximum, because a
 * crashed process is back after some seconds.
 */
export const FIRST_SUSPENSION_MS = 250
export const MAX_SUSPENSION_MS = 2000
/** Weight of the newest result in the moving average of failures, which covers about the last ten requests. */
export const FAILURE_RATE_WEIGHT = 0.15
/** Time without results after which the failure rate is forgotten; a server that is avoided for it gets no requests that could lower it. */
export const FAILURE_RATE_AGE_MS = 3000
/** Time for which missing entries are kept after a store outage: backend servers write expired entries again within two seconds. */
export const STORE_RECOVERY_GRACE_MS = 2000
/** Window in which requests to a cold backend server are counted: slightly more than the second that the limit refers to. */
export const COLD_WINDOW_MS = 1050
/** Share of the limit for cold backend servers that is allocated; the rest covers VMs with a different view of the fleet. */
export const COLD_SAFETY_FACTOR = 0.85
/** Window in which requests to a backend server that names a limit are counted; a limit of less than one request per second and VM needs several seconds. */
export const NAMED_LIMIT_WINDOW_MS = 4000
/** Time for which a VM reports an announced departure to the others; several periods of the reports, as some are lost. */
export const DEPARTURE_REPORT_MS = 5000
/** Time for which an announced departure outweighs the entry: longer than a process that leaves goes on serving, the store's outages included. */
export const DEPARTURE_MEMORY_MS = 120_000
/** Longest pause that a backend server may ask for; a longer one is taken for an error. */
export const MAX_REQUESTED_PAUSE_MS = 300_000
/** Time for which a VM reports the end of such a limit to the others; several periods of the reports, as some are lost. */
export const ENDED_LIMIT_REPORT_MS = 3000
/**
 * Requests of a limit that one VM holds in a fleet with more VMs than requests. More would make the limit depend on fewer
 * VMs, and fewer would make a lender that has nothing left more likely. The safety factor covers one VM too many.
 */
export const REQUESTS_PER_LENDER = 3
/** Groups of backend servers with the same lenders. A link between two VMs costs as much as tens of loans, and one group would depend on a few VMs. */
export const LENDER_GROUPS = 2
/** Time after a change of the VMs before a VM uses requests that another one may still use: a window of the limit and the delay until all have read the change. */
export const SHARE_HANDOVER_MS = 2100
/** Orders of the VMs that are kept; more than the backend servers of a large site, and bounded because these come and go. */
export const MAX_CACHED_ORDERS = 1000
/** Time for which a VM remembers that a backend server that has left was brittle, for its successors; it is back after some seconds. */
export const BRITTLE_MEMORY_MS = 60_000
/**
 * Time from the start of a brittle time for which the reported load counts as well: requests that were sent before have
 * no slot. Later on it does not, because the reports are up to a second old and would leave slots unused.
 */
export const BRITTLE_TRANSITION_MS = 10_000
/** Brittle backend servers of a service that a VM reports besides those in a pause; one is enough to make the service brittle, and all of a large service would be 30 KB a report. */
export const MAX_REPORTED_BRITTLE = 4
/** Time from the start of a brittle time in which rejections are those of requests that were sent before all VMs knew of it. */
export const BRITTLE_NOTICE_MS = 1500
/** Shortest and longest pause of a VM after a brittle backend server has rejected a request; the tolerated rejections are counted over a second. */
export const MIN_REJECTION_PAUSE_MS = 1000
export const MAX_REJECTION_PAUSE_MS = 5000
/** Tolerated rejections per second from which a pause is calculated if none are tolerated. */
export const MIN_TOLERATED_RATE = 0.2
/** Time after which a VM looks again for a slot at a brittle backend server; an answer may end at any time. */
export const SLOT_RETRY_MS = 60
