/** Stages of a trial. */

/** Share of the sessions that use the new version in the first half, in which no running session may be moved to it. */
export const FIRST_SHARE = 0.03
/** Share in the second half; over both halves well under the largest share that a bad version may get. */
export const SECOND_SHARE = 0.12
/** Part of the order's time at which the second stage begins; a little after the half, for VMs that heard of it early. */
export const SECOND_STAGE_AT = 0.53
/** Part of the order's time after which a version that shows no fault is taken over completely. */
export const COMPLETE_AT = 0.8
/**
 * Requests on the new version without which too little is known about it: in all, and on each route that carries at
 * least this share of the traffic. Four failures of seven on one route are evidence enough.
 */
export const ENOUGH_TRIALS = { minTrials: 20, minRouteTrials: 7, routeShare: 0.08 }
/** Part of the allowed share that one VM uses of its own requests, because VMs begin at different times. */
export const SHARE_SAFETY = 0.85
/** Period of reports and decisions. */
export const TRIAL_PERIOD_MS = 500
/** Head start of each VM over the next one in the order of a roll-out's writers. */
export const WRITER_DELAY_MS = 1500
/** VMs that receive the reports: the first writer and its successor. */
export const REPORT_RECEIVERS = 2
/** Backend servers of the new version that a share of the traffic is put on, as a multiple of that share, so that each gets a usual load. */
export const LOAD_FACTOR = 1.5
/** Evidence at which a version is rolled back: chance alone reaches it in about 1 of 1,000 looks. */
export const STOP_EVIDENCE = 6.5
/** Evidence above which a version is not taken over completely yet. */
export const WAIT_EVIDENCE = 2.5
