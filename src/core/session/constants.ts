/** Constants of session affinity. */

/** Pins kept in memory; a pin that was dropped is read again from the object API. */
export const MAX_CACHED_PINS = 50_000
/** Sessions of single-version models that are remembered. */
export const MAX_REMEMBERED_SESSIONS = 50_000
/** A cached pin is read again after this time, in case another VM moved the session. */
export const PIN_CACHE_MS = 300_000
/**
 * A version takes new sessions this long after this VM first saw it beside another one. Until then the other VMs
 * learn of it and write their rosters; 99 in 100 configuration changes are in force everywhere within 3 s.
 */
export const SETTLE_MS = 3000
/** Objects per model among which the VMs spread their rosters. */
export const ROSTER_SLOTS = 16
/** Sessions per version in one roster object, which keeps it under 600 KB. */
export const MAX_ROSTER_SESSIONS = 50_000
export const ROSTER_HASH_CHARACTERS = 11
export const ROSTER_REFRESH_MS = 10_000
/** Pins chosen during an outage that wait to be written. */
export const MAX_UNWRITTEN_PINS = 20_000
export const UNWRITTEN_RETRY_MS = 1000
export const MAX_CONFLICT_RETRIES = 8
/** After a failed call the object API is not asked again for a session within this time. */
export const OUTAGE_RETRY_MS = 1000
/** After a model is down to one version, its sessions may still have a pin to a withdrawn one for this long. */
export const SEVERAL_VERSIONS_MEMORY_MS = 3_600_000
