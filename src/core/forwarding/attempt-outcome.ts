/** Outcomes of one attempt to forward a request, and what it shows about the backend server and the prompt. */
import type { Backend } from '../backend-pool/types.ts'
import type { ErrorName } from '../errors/index.ts'
import type { EngineCrash } from '../quarantine/prompt-parts.ts'
import { FIRST_EVENT_TIMEOUT_FACTOR, RESPONSE_TIMEOUT_FACTOR } from './constants.ts'
import type { CallerRequest, Route } from './types.ts'

export const QUARANTINE_REASON = 'prompt quarantined'

/** Outcome of one attempt; `next` requests another attempt. */
export type AttemptOutcome =
  | { kind: 'done' }
  | { kind: 'next', reason: string, backend: Backend }
  | { kind: 'failed', error: ErrorName, reason: string }

export function errorWithoutAttempt ({ mayHaveRun }: { mayHaveRun: boolean }): ErrorName {
  return mayHaveRun ? 'backend_failed' : 'permit_refused'
}

export function quarantineOutcome ({ mayHaveRun }: { mayHaveRun: boolean }): AttemptOutcome {
  return { kind: 'failed', error: mayHaveRun ? 'backend_failed' : 'prompt_quarantined', reason: QUARANTINE_REASON }
}

export function crashOf ({ entry: { id, startedWallMs } }: Backend): EngineCrash {
  return { backendServer: id, instance: String(startedWallMs ?? 'unknown') }
}

/** Parts of the prompt that other requests may have, too; the last part belongs to the request itself or to its session. */
export function sharedParts ({ prompt }: CallerRequest): string[] {
  return prompt.slice(0, -1).map(({ id }) => id)
}

export function outOfTime ({ mayHaveRun }: { mayHaveRun: boolean }): AttemptOutcome {
  return { kind: 'failed', error: mayHaveRun ? 'backend_timeout' : 'overloaded', reason: 'no time left' }
}

export function firstResponseTimeoutMs ({ kind, targetLatencyMs }: Route): number {
  return targetLatencyMs * (kind === 'streaming' ? FIRST_EVENT_TIMEOUT_FACTOR : RESPONSE_TIMEOUT_FACTOR)
}
