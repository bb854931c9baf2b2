/** Periods and limits of the load reports. */

/** Period of the reports; half the prefill time of a long prompt, so that two VMs rarely choose the same backend server between reports. */
export const REPORT_PERIOD_MS = 250
/** Reports older than this are ignored. */
export const MAX_REPORT_AGE_MS = 1500
/** Number of other VMs up to which each VM reports to all of them directly; in larger fleets, reports go through collectors. */
export const MAX_DIRECT_VMS = 12
/** Number of periods from one report to a collector to the next; a VM then sends two reports and receives two responses per second. */
export const PERIODS_PER_COLLECTION = 2
/** Timeout for a collector's response; a later one would be older than the next report. */
export const COLLECT_TIMEOUT_MS = 600
