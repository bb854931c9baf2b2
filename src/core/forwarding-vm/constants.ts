/** Periods and limits of a forwarding VM. */

/** Maximum wait of a long poll for the configuration. Each response also confirms that the keys are current, for this VM and for the VMs that poll it. */
export const CONFIG_POLL_WAIT_MS = 700
/** Maximum wait of one such poll, as a share of the time within which a withdrawn key must stop working, so that a lost poll can be repeated in time. */
export const CONFIG_POLL_SHARE = 0.3
/** Time for which a VM that has started waits for the others to report their configurations, before it accepts requests; several periods of the load reports. */
export const CONFIG_REPORT_WAIT_MS = 2000
/** Time for which a version that another VM runs may still arrive from the store. */
export const CONFIG_REQUEST_DELAY_MS = 1000
/** Maximum wait of a long poll for all other kinds. A poll without a response times out one second later, which detects a dead connection. */
export const FEED_POLL_WAIT_MS = 2000
/**
 * Heartbeats of a backend server that an outage of the store must hide to let its entry lapse. It lapses after three
 * intervals, of which one may have passed before the outage; the rest allows for heartbeats that come early.
 */
export const LAPSE_HEARTBEATS = 1.5
/** Pause after changes of backend servers, to coalesce further ones; a tenth of the time after which a leaving one must receive no more requests. */
export const BACKENDS_COALESCE_MS = 200
/** Share of the time covered by the store's history after which the objects are listed again. */
export const RELIST_HISTORY_SHARE = 0.5
/** Time for which callers may cache a directory response, in seconds; short, so that callers soon stop using a leaving VM. */
export const ADDRESS_TTL_S = 2
/** Maximum number of addresses in one directory response. */
export const MAX_ADDRESSES = 64
/** Time after SIGTERM for which new requests are still accepted, because callers cache the address. */
export const ACCEPT_AFTER_STOP_MS = 2500
/** Largest share of the time in which open requests may complete for which new ones are accepted, so that the last of them can complete, too. */
export const MAX_ACCEPT_SHARE = 0.5
/** Share of the grace period after SIGTERM within which all parts of a stop end; the rest covers timers that are late on a busy machine. */
export const STOP_GRACE_SHARE = 0.92
/** Period at which a stopping VM checks for open requests; also leaves time for the last response to be sent. */
export const STOP_CHECK_PERIOD_MS = 200
/** Loads below this are omitted from reports, because floating-point rounding leaves small remainders. */
export const MIN_REPORTED_LOAD = 0.01
/** Time at the end of a stop for the store to remove the VM's entry; a response takes a few milliseconds. */
export const UNREGISTER_TIMEOUT_MS = 300
/** Longest wait for capacity at a backend server. The limits that bursts reach are counted over one second. */
export const MAX_CAPACITY_WAIT_MS = 1100
/** Share of the time left before the deadline that a request may wait for capacity. */
export const CAPACITY_WAIT_SHARE = 0.25
/** Backend servers that are asked about, through the VMs that hold their limits, before a request pauses. */
export const MAX_LOANS_REFUSED = 4
/** Mean pause before a request asks for capacity again; the limits are counted over a second. */
export const LOAN_RETRY_MS = 80
/** Period at which a VM that starts checks its steps and the requests that wait for them. */
export const START_CHECK_PERIOD_MS = 20
/** Requests that may wait for a start, and the bytes of their bodies: a thirteenth of the memory of the smallest VM, 210 MB. */
export const MAX_START_QUEUE_REQUESTS = 1000
export const MAX_START_QUEUE_BYTES = 16 * 1024 * 1024
/** Share of its time that a request may wait for a start; the rest is for serving it. */
export const START_WAIT_SHARE = 0.5
/** Least time that a VM expects to need for its first lists: a few calls of some milliseconds, and the reports of the others. */
export const MIN_EXPECTED_LOAD_MS = 300
/** Expected time for the first lists, as a multiple of the time that the process took to load, which depends on its share of a core in the same way. */
export const LOAD_TIME_SHARE = 1
/** Longest time that a VM expects to need from now; callers that retry later than this have given up in most cases. */
export const MAX_EXPECTED_LOAD_MS = 2000
/** Time after which the timeline of a start is written although steps are missing, for example because no caller came. */
export const MAX_TIMELINE_MS = 30_000
/** Mean random addend to the time after which refused callers may return, as a share of that time, and its minimum. */
export const START_RETRY_JITTER_SHARE = 0.3
export const MIN_START_RETRY_JITTER_MS = 200
/** Other VMs that a VM that starts asks for the version of their configuration, and the pause between two rounds. */
export const VERSION_ASKED_VMS = 3
export const VERSION_ASK_PERIOD_MS = 100
export const VERSION_TIMEOUT_MS = 300
/** Share of the target latency that a request may wait where teams share capacity fairly; the rest is for the response. */
export const TARGET_WAIT_SHARE = 0.5
/** Time from which on a placement counts as a wait; one at once takes some hundredths of a millisecond. */
export const MIN_WAIT_MS = 1
