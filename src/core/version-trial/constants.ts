/** Stages and limits of version trials. Fractions of the duration refer to the duration in the roll-out order. */

/** Share of the sessions on the new version in the first half, in which no running session may be moved to it. */
export const FIRST_STAGE_SHARE = 0.03
/** Maximum share of the sessions on the new version in the second stage. It is less where the allowed share is below 0.15. */
export const MAX_SECOND_STAGE_SHARE = 0.25
/** Standard deviations of a VM's number of trial requests that are tolerated. */
export const SHARE_TOLERANCE = 2
/** Fraction of the duration at which the second stage begins: slightly after half, because a VM may have received the order early. */
export const SECOND_STAGE_START = 0.53
/** Fraction of the duration at which a takeover should be completed; the rest leaves time for a late status write. */
export const COMPLETION_TARGET = 0.9
/** Fraction of the duration after which a takeover is completed even if some sessions may not have moved. */
export const COMPLETION_DEADLINE = 0.97
/** Added to the longest pause within a session, because some VMs receive the takeover state late. */
export const TAKEOVER_MARGIN_MS = 500
/** Minimum duration of a takeover: time for two periods of reports and decisions while all requests go to the new version. */
export const MIN_TAKEOVER_MS = 1000
/**
 * Minimum requests on the new version before a takeover: in total, and on each route that carries at least
 * `minRouteShare` of the old version's traffic. Four failures in seven requests on one route are sufficient evidence.
 */
export const MIN_TRIAL_SAMPLE = { minRequests: 20, minRouteRequests: 7, minRouteShare: 0.08 }
/** Fraction of the allowed share that each VM uses for its own requests, because VMs begin at different times. */
export const SHARE_SAFETY_FACTOR = 0.85
/** Period of reports and decisions. */
export const TRIAL_PERIOD_MS = 500
/** Time that each VM in the rendezvous order waits for the VM before it to write the status, before it does so itself. */
export const DECIDER_DELAY_MS = 1500
/** Number of VMs that receive the reports: the deciding VM and its successor. */
export const REPORT_RECEIVERS = 2
/**
 * Share of the new version's backend servers in use, as a multiple of the traffic share, so that each gets a normal
 * load.
 */
export const BACKEND_SHARE_FACTOR = 1.5
/** Evidence at which a version is rolled back: random variation alone reaches it in about 1 of 1,000 evaluations. */
export const STOP_EVIDENCE = 6.5
/** Evidence above which the trial does not advance to or complete the takeover. */
export const WAIT_EVIDENCE = 2.5
/**
 * Time for which each VM passes a session on trial on. More than two periods of the reports through collectors, so that
 * one lost report does no harm; in the responses of collectors, which are most of the bytes, a little more than one.
 */
export const SESSION_REPORT_MS = { computing: 1100, collected: 600 }
/**
 * Part of the longest pause within a session by which its last request must be later to be passed on again. Other VMs
 * keep the session for that much longer.
 */
export const SESSION_REFRESH_SHARE = 0.25
/** Sessions in one report, 525 bytes; a trial share of 0.12 of 275 requests per second has 36 in `SESSION_REPORT_MS`. */
export const MAX_REPORTED_SESSIONS = 75
/** Sessions on trial that a VM remembers; those with the oldest last request are forgotten first. */
export const MAX_TRIAL_SESSIONS = 2000
/** Sessions with recent requests that a VM remembers by service; 400 requests per second have 2,000 in the longest pause. */
export const MAX_RECENT_SESSIONS = 4000
/**
 * Time from the order in which no session starts on the new version: the VMs tell each other which sessions run on the old
 * one, which takes up to 1.5 s through collectors. In a short order, this part of its duration.
 */
export const TRIAL_START_MS = 2000
export const MAX_TRIAL_START_SHARE = 0.15
