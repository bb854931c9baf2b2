/** Exponential backoff with jitter. */
import { BACKOFF_MS, MAX_BACKOFF_MS } from './constants.ts'

/** Delay before try `attempt` (0 is the first retry): half to the whole of a doubling, capped time. */
export function backoffMs (attempt: number, random: () => number): number {
  const fullMs = Math.min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** attempt)
  return fullMs * (0.5 + random() / 2)
}
