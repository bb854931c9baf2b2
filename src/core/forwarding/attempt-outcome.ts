/** Outcomes of one attempt to forward a request. */
import type { Backend } from '../backend-pool/types.ts'
import type { ErrorName } from '../errors/index.ts'
import { FIRST_EVENT_TIMEOUT_FACTOR, RESPONSE_TIMEOUT_FACTOR } from './constants.ts'
import { latestFirstEventMs, type FirstEventWait } from '../pacing/first-event.ts'
import { isRepeatable } from './route-table.ts'
import type { Route } from './types.ts'

/** Outcome of one attempt; `next` requests another attempt. */
export type AttemptOutcome =
  | { kind: 'done' }
  | { kind: 'next', reason: string, backend?: Backend | undefined }
  | { kind: 'failed', error: ErrorName, reason: string, retryAfterMs?: number | undefined }

export function errorWithoutAttempt ({ mayHaveRun }: { mayHaveRun: boolean }): ErrorName {
  return mayHaveRun ? 'backend_failed' : 'permit_refused'
}

export function outOfTime ({ mayHaveRun }: { mayHaveRun: boolean }): AttemptOutcome {
  return { kind: 'failed', error: mayHaveRun ? 'backend_timeout' : 'overloaded', reason: 'no time left' }
}

/** Another attempt where the request may be repeated after one that may have run. */
export function retryOrFail (route: Route, backend: Backend | undefined, reason: string): AttemptOutcome {
  return isRepeatable(route) ? { kind: 'next', reason, backend } : { kind: 'failed', error: 'backend_failed', reason }
}

/** Time after which another attempt for the first response is due: a multiple of the target, or earlier where that leaves too little time for it. */
export function firstResponseTimeoutMs ({ kind, targetLatencyMs }: Pick<Route, 'kind' | 'targetLatencyMs'>, wait: FirstEventWait): number {
  return Math.min(targetLatencyMs * (kind === 'streaming' ? FIRST_EVENT_TIMEOUT_FACTOR : RESPONSE_TIMEOUT_FACTOR), latestFirstEventMs(wait))
}
