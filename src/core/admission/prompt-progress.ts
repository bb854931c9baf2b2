/**
 * Estimates the prompt tokens that a backend server has yet to compute for the requests sent to it. Engines compute
 * prompts roughly one after the other, so the time between first bytes gives the rate, and the time since the last first
 * byte gives the progress on the oldest prompt.
 */
import type { PermitRecord } from './permits.ts'

/** Factor by which the sums decay at each first byte. */
const DECAY_FACTOR = 0.95

export interface PromptProgress {
  /** Decayed sums of prompt tokens and of milliseconds; their quotient is the rate. */
  tokens: number
  ms: number
  lastFirstByteAt: number
}

export function createPromptProgress (): PromptProgress {
  return { tokens: 0, ms: 0, lastFirstByteAt: -Infinity }
}

/** Updates the rate when the first byte of a request arrives. */
export function updatePromptRate (progress: PromptProgress, { grantedAt, pendingTokens }: PermitRecord, now: number): void {
  const ms = now - Math.max(grantedAt, progress.lastFirstByteAt)
  progress.lastFirstByteAt = now
  progress.tokens = DECAY_FACTOR * progress.tokens + pendingTokens
  progress.ms = DECAY_FACTOR * progress.ms + ms
}

/** Prompt tokens left to compute for requests without a first byte. The records must be in grant order. */
export function pendingTokens (progress: PromptProgress, records: readonly PermitRecord[], now: number): number {
  const waiting = records.filter(({ firstByteAt }) => firstByteAt === Infinity)
  const [oldest] = waiting
  if (!oldest) return 0
  const total = waiting.reduce((sum, record) => sum + record.pendingTokens, 0)
  const tokensPerMs = progress.ms > 0 ? progress.tokens / progress.ms : 0
  const elapsedMs = now - Math.max(oldest.grantedAt, progress.lastFirstByteAt)
  return total - Math.min(oldest.pendingTokens, elapsedMs * tokensPerMs)
}
