/**
 * Counts the requests of a trial by version and route. Requests under way are counted as well, by how long they have
 * waited so far: a slow version answers its fast requests first, so the ended requests alone would make it look fast.
 */
import type { Clock } from '../clock/index.ts'
import { latencyBucket } from '../rollout/tally.ts'

/** Number of requests by latency bucket, see `latencyBucket`; empty buckets are omitted. */
export type LatencyCounts = Record<number, number>

/** Signals of a version's speed: the time to the first event, and the mean time from each event to the next or the end. */
export type SpeedSignal = 'firstEvent' | 'eventGap'

export type SpeedCounts = Record<SpeedSignal, LatencyCounts>

export interface VersionCounts {
  /** Ended requests, and those of them that failed. Like `measured`, these only increase. */
  requests: number
  failures: number
  measured: SpeedCounts
  /** Lower bounds for the requests under way. */
  open: SpeedCounts
}

/** Counts of the old and the new version. */
export interface TrialCounts { from: VersionCounts, to: VersionCounts }

/** Counts by route name. */
export type RouteCounts = Record<string, TrialCounts>

/** `abandoned`: the caller left, which says nothing about failures. `not_run`: the request is not counted. */
export type RequestEnd = 'completed' | 'failed' | 'abandoned' | 'not_run'

/** One request under observation. */
export interface RequestObservation {
  /** Records an event of the response; a response that is not a stream has one. */
  recordEvent(): void
  end(end: RequestEnd): void
}

interface OpenRequest { startedMs: number, firstEventMs: number | undefined, laterEvents: number }

export const emptySpeed = (): SpeedCounts => ({ firstEvent: {}, eventGap: {} })

export function emptyVersionCounts (): VersionCounts {
  return { requests: 0, failures: 0, measured: emptySpeed(), open: emptySpeed() }
}

export function emptyTrialCounts (): TrialCounts {
  return { from: emptyVersionCounts(), to: emptyVersionCounts() }
}

/** Counts the requests of one version on one route. */
export function createRequestCounter (clock: Clock) {
  const openRequests = new Set<OpenRequest>()
  const counts = emptyVersionCounts()

  /** Mean time between the events until now; the event or end that comes next counts as if it came now. */
  function eventGapMs ({ firstEventMs, laterEvents }: OpenRequest, pending: number): number {
    return (clock.now() - firstEventMs!) / Math.max(1, laterEvents + pending)
  }

  function observe (): RequestObservation {
    const request: OpenRequest = { startedMs: clock.now(), firstEventMs: undefined, laterEvents: 0 }
    openRequests.add(request)

    function recordEvent (): void {
      if (request.firstEventMs !== undefined) {
        request.laterEvents++
        return
      }
      request.firstEventMs = clock.now()
      increment(counts.measured.firstEvent, request.firstEventMs - request.startedMs)
    }

    return {
      recordEvent,
      end (end) {
        if (!openRequests.delete(request) || end === 'not_run') return
        if (request.firstEventMs !== undefined) increment(counts.measured.eventGap, eventGapMs(request, 0))
        // The caller of a slow version may give up before it answers, so the time until then counts as a lower bound.
        else if (end === 'abandoned') increment(counts.measured.firstEvent, clock.now() - request.startedMs)
        if (end === 'abandoned') return
        counts.requests++
        if (end === 'failed') counts.failures++
      }
    }
  }

  return {
    observe,
    /** Copy of the counts, with the requests that are under way now. */
    snapshot (): VersionCounts {
      const open = emptySpeed()
      for (const request of openRequests) {
        if (request.firstEventMs === undefined) increment(open.firstEvent, clock.now() - request.startedMs)
        else increment(open.eventGap, eventGapMs(request, 1))
      }
      return structuredClone({ ...counts, open })
    }
  }
}

export type RequestCounter = ReturnType<typeof createRequestCounter>

function increment (counts: LatencyCounts, ms: number): void {
  const bucket = latencyBucket(ms)
  counts[bucket] = (counts[bucket] ?? 0) + 1
}

function combineLatencies (a: LatencyCounts, b: LatencyCounts, sign: 1 | -1): LatencyCounts {
  const combined = { ...a }
  for (const [bucket, count] of Object.entries(b)) combined[Number(bucket)] = (combined[Number(bucket)] ?? 0) + sign * count
  return combined
}

function combineSpeeds (a: SpeedCounts, b: SpeedCounts, sign: 1 | -1): SpeedCounts {
  return { firstEvent: combineLatencies(a.firstEvent, b.firstEvent, sign), eventGap: combineLatencies(a.eventGap, b.eventGap, sign) }
}

export function addSpeeds (a: SpeedCounts, b: SpeedCounts): SpeedCounts { return combineSpeeds(a, b, 1) }

function addVersionCounts (a: VersionCounts, b: VersionCounts): VersionCounts {
  return {
    requests: a.requests + b.requests,
    failures: a.failures + b.failures,
    measured: combineSpeeds(a.measured, b.measured, 1),
    open: combineSpeeds(a.open, b.open, 1)
  }
}

/** Counts added since `earlier`, with the requests that are under way now. */
export function countsSince (earlier: VersionCounts, now: VersionCounts): VersionCounts {
  return {
    requests: now.requests - earlier.requests,
    failures: now.failures - earlier.failures,
    measured: combineSpeeds(now.measured, earlier.measured, -1),
    open: now.open
  }
}

export function sumTrialCounts (counts: Iterable<TrialCounts>): TrialCounts {
  let sum = emptyTrialCounts()
  for (const { from, to } of counts) sum = { from: addVersionCounts(sum.from, from), to: addVersionCounts(sum.to, to) }
  return sum
}

/** Adds the counts of all VMs, route by route. */
export function sumByRoute (reports: Iterable<RouteCounts>): RouteCounts {
  const sums: RouteCounts = {}
  for (const report of reports) {
    for (const [route, counts] of Object.entries(report)) sums[route] = sumTrialCounts(sums[route] ? [sums[route], counts] : [counts])
  }
  return sums
}
