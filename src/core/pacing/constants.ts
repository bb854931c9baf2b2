/** Limits and periods of pacing. */

/** Samples kept for one backend server, and the time between two of them: together they cover at least 3.6 s, six times the 600 ms for which noise slows a server down. */
export const MAX_SAMPLES = 24
export const SAMPLE_SPACING_MS = 150
/** Age at which a sample no longer counts. */
export const MAX_SAMPLE_AGE_MS = 8000
/** Samples below which the speed of a backend server is not judged. */
export const MIN_SAMPLES = 6
/**
 * Logarithm of the speed up to which a backend server counts as no faster or slower than the others, and up to which one
 * that differs does again. Between an idle and a full batch, the time between events differs by up to 1.5.
 */
export const EVEN_BAND = 0.22
export const LEAVE_BAND = 0.15
/** Consecutive evaluations in which a server must differ; with one, even servers with noise differed once in three minutes of a test with 12 servers. */
export const DIFFERING_EVALUATIONS = 2
/** Standard errors by which a speed must differ from that of the others. */
export const SIGNIFICANCE = 3
/** Logarithmic change of a speed up to which the earlier one is kept, so that cached prefixes stay where they are. */
export const SPEED_STEP = 0.1
/** Smallest and largest speed; a larger ratio says more about an error of measurement than about the server. */
export const MIN_SPEED = 0.1
export const MAX_SPEED = 4
/** Time in which the logarithm of a speed halves where there are too few samples to confirm it. */
export const SPEED_HALF_LIFE_MS = 10_000
/** Interval at which speeds are computed. */
export const EVALUATION_PERIOD_MS = 1000
/** Weight of a first event beside the time between events: cached prefixes and queues at the server change it as well. */
export const FIRST_EVENT_WEIGHT = 0.5
/** Weight of the newest sample in the reference of its class. */
export const REFERENCE_WEIGHT = 0.02
/** Classes of answers with a reference; the least recently used one is dropped beyond this. */
export const MAX_CLASSES = 1024
/** Samples are sent as hundredths of the natural logarithm of milliseconds, which take two bytes or less. */
export const VALUE_SCALE = 100
/** Backend servers in one report of samples, and the samples of each; bounds the bytes of a report in a burst. */
export const MAX_REPORTED_SERVERS = 64
export const MAX_REPORTED_SAMPLES = 2
/** Time for which a changed speed is in each report of a collector; covers the loss of two reports. */
export const SPEED_REPORT_MS = 2000
/** Further speeds in each report of a collector, in turn, for VMs that have missed the changes. */
export const SPEEDS_IN_TURN = 8
/** Age at which a speed reported by a collector no longer replaces this VM's own estimate. */
export const MAX_REPORTED_SPEED_AGE_MS = 60_000

/** Shares of the time left that must remain after a first event is given up, so that another backend server can still answer. */
export const REPEAT_SHARE = 0.4
/** Typical times for a first event after which a server has most probably stalled. Noise explains a factor of 2.5. */
export const LATE_FACTOR = 3
/** Typical times of a whole answer that must be left for another attempt. */
export const REPEAT_FACTOR = 2
/** Answers of a class from which on its typical time is used. */
export const MIN_CLASS_ANSWERS = 8
/** Least time between two log lines about the same subject and server; what has changed since is logged after it if it still differs. */
export const LOG_INTERVAL_MS = 2000
/** Events after which a running stream gives a sample, so that a server that slows down is noticed before its streams end. */
export const EVENTS_PER_SAMPLE = 10

/** Part of its slots with which a backend server starts a ramp, and with which it does after a trial. */
export const RAMP_START_SHARE = 0.5
export const TRIAL_START_SHARE = 0.25
/** Factor by which good answers raise a limit up to that of the last cut; above it, they raise it by one. */
export const RAMP_FACTOR = 2
/** Part of a limit that is left when the backend server refuses a request. */
export const CUT_FACTOR = 0.7
/** Time between two cuts: answers to requests that were sent before a cut say nothing about it. */
export const CUT_INTERVAL_MS = 1000
/** Time after the last change of a limit or the last failure at which a ramp or trial ends: servers that few requests reach have no answers. */
export const RAMP_END_MS = 10_000
/** Age of a failure at which it no longer counts. */
export const FAILURE_AGE_MS = 3000
/** Part of the VMs, and at least two, that must have failed to use a server before only one VM tries it. On lossy links, single connections fail at good servers. */
export const FAILING_VMS_SHARE = 0.03
/** Weight of a failed answer beside that of a failed connection: some requests fail at any server. */
export const FAILED_ANSWER_STRIKES = 0.5
/** Time for which one VM may try a failing backend server; then it is the turn of another one. */
export const TRIAL_TURN_MS = 1000
/** Time for which each turn has a trial, and the number of turns for one trial after that. */
export const FREQUENT_TRIALS_MS = 5000
export const LATER_TRIAL_TURNS = 2
/** Part of all servers above which a VM that reports them as failing has itself lost its links. */
export const SUSPECT_SHARE = 0.5
/** Interval at which such VMs are looked for. */
export const SUSPECTS_PERIOD_MS = 250
/** VMs that are named for one failing server in a report, and servers in one report. */
export const MAX_REPORTED_FAILURES = 8
export const MAX_REPORTED_STATES = 64
/** Time by which VMs may notice the same return at different times; raises in this time are newer than any start. */
export const START_TOLERANCE_MS = 3000

/** Logarithm of the loss of pace up to which a server keeps its pace: between an idle and a full batch, the time between events differs by up to 1.5. */
export const KEPT_BAND = 0.4
/** Logarithm of the loss of pace beyond which a server is slow: its answers take twice as long. */
export const SLOW_BAND = 0.69
/** Samples since the last cut that a judgement needs: noise of 600 ms takes at most five of them, half of the smaller half. */
export const MIN_PACE_SAMPLES = 20
/** Consecutive evaluations in which a server must be slow at too much load. */
export const SLOW_EVALUATIONS = 2
/** Weights of the newest evaluation in the usual pace: that of a server that is always full is known as soon as it was not, and a slower one is usual after a minute. */
export const FASTER_WEIGHT = 0.5
export const SLOWER_WEIGHT = 0.02
/** Part of the load at which a server kept its pace that is left after each evaluation without a new proof; half after 14 s. */
export const PACE_LOAD_KEPT = 0.95
/** Part of its slots that a server keeps however slow it is: it answers, and its samples show when it keeps its pace again. */
export const MIN_SLOW_SHARE = 0.25
/** Time for which a limit that another VM reports as held is not raised; covers the loss of two reports. */
export const HELD_REPORT_MS = 2000
