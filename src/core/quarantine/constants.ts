/** Defaults and bounds of the quarantine. */

export const CRASH_LIMIT = 2
export const DURATION_MS = 600_000
/** Fingerprints that are remembered; one that is only suspect makes room before one in quarantine. */
export const MAX_ENTRIES = 10_000
/** Crashes that are remembered for one fingerprint. */
export const MAX_CRASHES = 16
/** Period of reading the objects and of writing what an outage of the object API held back. */
export const REFRESH_PERIOD_MS = 30_000
/** Attempts to merge crashes into an object that other VMs write too. */
export const WRITE_ATTEMPTS = 4
