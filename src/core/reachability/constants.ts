/** Times and counts of the decision that a VM is cut off from a service. */

/** Backend servers that must have failed in a run of failures for it to be in doubt whether they or this VM is at fault; one alone may have crashed. */
export const MIN_FAILED_SERVERS = 2
/** Backend servers that must have failed for the decision, or all of a service with fewer: many of them may have crashed at once. */
export const MIN_CHECKED_SERVERS = 8
/** Least pause between two checks of the backend servers that have not failed yet. */
export const CHECK_PERIOD_MS = 1000
/** VMs that are asked whether they reach a service; one of them may be partitioned as well. */
export const ASKED_VMS = 3
/** Timeout of the answer, which may take a connection. */
export const INQUIRY_TIMEOUT_MS = 800
/** Least pause between two connections of a VM for inquiries about a service. */
export const MIN_INQUIRY_PROBE_PAUSE_MS = 200
/** Failed connections that are needed where a service has a single backend server. */
export const MIN_FAILURES_OF_ONE_SERVER = 2
/** Time without a failure after which the next one begins a new run: failures that far apart need no common cause. */
export const MAX_FAILURE_GAP_MS = 5000
/** Time by which the delay of a report may make a connection look newer than it is: one opened before a service was gone for all must not count as later. */
export const MAX_REPORT_DELAY_MS = 300
/** Age from which on a connection of another VM no longer proves that the service can be reached; several periods of the load reports. */
export const MAX_EVIDENCE_AGE_MS = 3000
/** Age from which on a report that a VM is cut off is ignored; as for reports of VMs that refuse requests. */
export const MAX_CUT_OFF_AGE_MS = 2000
/** Time for which the latest statement of a VM is remembered, so that late copies of it are not taken for new; all VMs have dropped it long before. */
export const STATEMENT_MEMORY_MS = 30_000
/** Largest number of VMs that one report names; the most recent ones are kept. */
export const MAX_REPORTED_VMS = 64
/** Services that a report may name; more than a configuration has in use. */
export const MAX_REPORTED_SERVICES = 64
/** Mean pause between two probes of a service; a return is noticed after two of them. */
export const PROBE_PERIOD_MS = 500
/** Timeout of a probe; that of a connection for a request. */
export const PROBE_TIMEOUT_MS = 400
/** Timeout of a control connection; a retry waits for it, as for the check whether a backend server has crashed. */
export const CONTROL_TIMEOUT_MS = 100
/** Backend servers that are asked in turn; several may have crashed together. */
export const MAX_CONTROL_SERVERS = 3
/** Time for which a crashed backend server is not asked. It is back after some seconds; in a small service all others may have crashed one by one. */
export const MISSING_MEMORY_MS = 5000
/** Time after the start of a run of failures within which the reports of the others show whether this VM is cut off. */
export const DECISION_TIME_MS = 1500
/** Successful probes in a row that end the state. */
export const PROBES_TO_RETURN = 2
/** Times that failed probes of one backend server may discard the successes at others; one that fails more often is gone itself. */
export const MAX_DISCARDS_OF_ONE_SERVER = 2
/** Time after a return within which a new loss doubles the number of probes for the next return. */
export const UNSTABLE_AFTER_RETURN_MS = 5000
/** Largest number of probes for a return, so that a link that has become stable is used after a few seconds. */
export const MAX_PROBES_TO_RETURN = 8
