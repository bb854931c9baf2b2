/** Types of pacing: what is observed of answers and what VMs tell each other about backend servers. */
import type { BackendServerId } from '../ids/index.ts'
import type { RequestEnd, RequestObservation } from '../version-trial/index.ts'

/** Who gets a report: a VM that computes speeds itself, or one that a collector answers. */
export type Audience = 'computing' | 'collected'

/** Numbers of alternating class and time; a time is VALUE_SCALE times the natural logarithm of milliseconds. */
export type ReportedSamples = Record<BackendServerId, readonly number[]>

/** Speed relative to the other backend servers of the service, in percent. */
export type ReportedSpeeds = Record<BackendServerId, number>

/** Limit of concurrent requests, 0 for the end of a limit, and the age of the change in milliseconds. */
export type ReportedLimits = Record<BackendServerId, readonly [limit: number, ageMs: number]>

/** Numbers of alternating hash of a VM that failed to use the server and age of the failure in milliseconds. */
export type ReportedFailures = Record<BackendServerId, readonly number[]>

/** Backend servers whose limit must not be raised, because they have not kept their pace since it was lowered. */
export type ReportedHolds = readonly BackendServerId[]

/** What a VM reports to others about the pace of backend servers. */
export interface PaceReport { samples?: ReportedSamples, speeds?: ReportedSpeeds, limits?: ReportedLimits, failures?: ReportedFailures, held?: ReportedHolds }

/** Answers whose times can be compared: same service, version, route, model and size. */
export interface AnswerClass {
  /** The time to the first event or of a plain answer, the time between events, or the time of the whole stream. */
  signal: 'first' | 'gap' | 'whole'
  name: string
}

/**
 * `escalated`: the head of a stream was good, but the rest was not read. `deadline`: the time of the request was over, which
 * may be the fault of the backend server or of a caller who gave little time.
 */
export type AttemptEnd = RequestEnd | 'escalated' | 'deadline'

export interface AttemptObservation extends Pick<RequestObservation, 'recordEvent'> { end(end: AttemptEnd): void }
