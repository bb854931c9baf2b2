/** Outcomes of one attempt to forward a request. */
import type { Backend } from '../backend-pool/types.ts'
import type { ErrorName } from '../errors/index.ts'
import { FIRST_EVENT_TIMEOUT_FACTOR, RESPONSE_TIMEOUT_FACTOR } from './constants.ts'
import type { Route } from './types.ts'

/** Outcome of one attempt; `next` requests another attempt. */
export type AttemptOutcome =
  | { kind: 'done' }
  | { kind: 'next', reason: string, backend: Backend }
  | { kind: 'failed', error: ErrorName, reason: string }

export function errorWithoutAttempt ({ mayHaveRun }: { mayHaveRun: boolean }): ErrorName {
  return mayHaveRun ? 'backend_failed' : 'permit_refused'
}

export function outOfTime ({ mayHaveRun }: { mayHaveRun: boolean }): AttemptOutcome {
  return { kind: 'failed', error: mayHaveRun ? 'backend_timeout' : 'overloaded', reason: 'no time left' }
}

export function firstResponseTimeoutMs ({ kind, targetLatencyMs }: Route): number {
  return targetLatencyMs * (kind === 'streaming' ? FIRST_EVENT_TIMEOUT_FACTOR : RESPONSE_TIMEOUT_FACTOR)
}
