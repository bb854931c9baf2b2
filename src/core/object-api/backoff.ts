/** Exponential backoff with jitter for retries. */
import { INITIAL_BACKOFF_MS, MAX_BACKOFF_MS } from './constants.ts'

/** Delay before retry `attempt` (0 is the first): a random 50 to 100 % of a delay that doubles with each retry up to a cap. */
export function backoffMs (attempt: number, random: () => number): number {
  const fullMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** attempt)
  return fullMs * (0.5 + random() / 2)
}
