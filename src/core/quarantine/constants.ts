/** Defaults and limits of the quarantine. */

export const CRASH_LIMIT = 2
export const QUARANTINE_DURATION_MS = 600_000
/** Crashes from which on a part is at fault, if they are not of one moment; sound requests beside it rarely meet as many. */
export const CERTAIN_CRASH_LIMIT = 3
/** Time within which crashes have one common cause: requests that are open together are retried together, for about a second. */
export const SAME_MOMENT_MS = 1500
/** Time within which reports of crashes of one instance are about the same crash; a backend server is away for longer after a crash. */
export const SAME_CRASH_MS = 1000
/**
 * Time for which a response shows that its parts are sound. A part that turns deadly escapes the quarantine for so
 * long, which is less than the time in which all VMs must know of it.
 */
export const SOUND_AFTER_SURVIVAL_MS = 2000
/** Maximum number of parts whose recent responses are kept; the oldest are evicted first. */
export const MAX_RECENT_SURVIVALS = 2000
/**
 * Quarantine of a part after fewer crashes, on the first VM that accepts it again; on the last one it is twice as
 * long, or longer by MAX_TRIAL_SPREAD after many crashes of one moment. It outlasts the absence of a crashed backend server, so that the next attempt shows who was at fault.
 */
export const UNCERTAIN_QUARANTINE_DURATION_MS = 5000
/**
 * Time after the last crash at which one request is tried in spite of a certain quarantine, so that a wrong one ends.
 * There is one such trial: each costs a backend server if the part is at fault.
 */
export const CERTAIN_TRIAL_DELAY_MS = 60_000
/** Time after which a trial that gave no result, for example because its caller left, is repeated. */
export const CERTAIN_TRIAL_REPEAT_MS = 10_000
/** The same for an uncertain quarantine; longer than most prompts are read. */
export const UNCERTAIN_TRIAL_REPEAT_MS = 2000
/** Crashes within this time lead to one later update of the suspects; a crash breaks many streams at once. */
export const UPDATE_COALESCE_MS = 50
/** Maximum factor of the time from the first VM that accepts a suspected part again to the last one. */
export const MAX_TRIAL_SPREAD = 4
/** Maximum number of recorded fingerprints; suspect ones are evicted before quarantined ones. */
export const MAX_ENTRIES = 10_000
/** Maximum number of crashes recorded for one fingerprint. */
export const MAX_CRASHES = 16
/** Period at which the objects are read and writes that failed are retried. */
export const REFRESH_PERIOD_MS = 30_000
/** Attempts to merge crashes into an object that other VMs also write. */
export const MAX_WRITE_ATTEMPTS = 4
/** Time for which a VM reports new evidence about parts of requests to the others; several periods of the reports, as some are lost. */
export const EVIDENCE_REPORT_MS = 3000
/** Maximum number of recorded crashes by parts of requests; the oldest are evicted first. */
export const MAX_PART_CRASHES = 1000
/** Kind of the stored quarantines of parts of requests. */
export const PART_KIND = 'lacewingstage-quarantines'
/** Maximum wait of a long poll for them; long, because the VMs also tell each other. */
export const PART_POLL_WAIT_MS = 5000
/** Delay before a write to the store that failed is repeated. */
export const STORE_RETRY_DELAY_MS = 500
