/**
 * Place of a request in the queue of its team: by arrival, with a bounded head start for urgency and for time that its
 * caller has already spent. A caller that was refused and returns has less time left than the route allows, which the
 * request states; so it comes before new ones at any VM, without a record of refused callers. A caller that states too
 * little time gets less time, and only its own team is affected.
 */
import { MAX_SPENT_CREDIT, MAX_URGENCY_LEAD_MS, URGENCY_LEAD_MS } from './constants.ts'

export interface TurnInput {
  /** Monotonic time at which the request was received. */
  receivedMs: number
  /** 0 is the most urgent. */
  urgency: number
  /** Time limit of the route, and the time that the caller allows, if it states one. */
  routeTimeoutMs: number
  timeoutMs: number | undefined
}

/** Requests with lower values are placed first. */
export function turnOf ({ receivedMs, urgency, routeTimeoutMs, timeoutMs = routeTimeoutMs }: TurnInput): number {
  const spentMs = Math.min(Math.max(0, routeTimeoutMs - timeoutMs), MAX_SPENT_CREDIT * routeTimeoutMs)
  return receivedMs - spentMs + Math.min(MAX_URGENCY_LEAD_MS, Math.max(0, urgency) * URGENCY_LEAD_MS)
}
