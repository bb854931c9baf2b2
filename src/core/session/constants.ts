/** Constants of session affinity. */

/** Maximum number of pins in memory; an evicted pin is read again from the object API. */
export const MAX_CACHED_PINS = 50_000
/** Maximum number of sessions of single-version models in memory. */
export const MAX_REMEMBERED_SESSIONS = 50_000
/** Time after which a cached pin is read again, in case another VM has moved the session. */
export const PIN_CACHE_MS = 300_000
/**
 * Delay before a version that is added to other active ones gets new sessions. It gives the other VMs time to receive the
 * version and write their rosters; 99 in 100 configuration changes are in force everywhere within 3 s.
 */
export const SETTLE_MS = 3000
/** Number of roster objects per model; each VM picks one of them at random when it starts. */
export const ROSTER_SLOTS = 16
/** Maximum number of sessions per version in a roster object, which keeps it under 600 KB. */
export const MAX_ROSTER_SESSIONS = 50_000
export const ROSTER_HASH_CHARACTERS = 11
export const ROSTER_REFRESH_MS = 10_000
/** Maximum number of pins chosen during an outage that are kept to be written later. */
export const MAX_UNWRITTEN_PINS = 20_000
export const UNWRITTEN_RETRY_MS = 1000
export const MAX_CONFLICT_RETRIES = 8
/** For this long after a failed call, sessions are resolved without the object API. */
export const OUTAGE_RETRY_MS = 1000
/** For this long after a model has returned to one version, its sessions may still be pinned to a withdrawn one. */
export const MULTIPLE_VERSIONS_MEMORY_MS = 3_600_000
