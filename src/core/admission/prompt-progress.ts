/**
 * Estimate of the prompt tokens that a backend server has yet to compute for the requests sent to it. Engines compute
 * prompts about one after the other, so the time between first bytes gives the rate, and the time since the last one
 * the progress on the oldest prompt.
 */
import type { PermitRecord } from './permits.ts'

/** Weight of the past at each new first byte. */
const PAST_WEIGHT = 0.95

export interface PromptProgress {
  /** Decayed sums whose quotient is the rate. */
  tokens: number
  ms: number
  lastFirstByteAt: number
}

export function createPromptProgress (): PromptProgress {
  return { tokens: 0, ms: 0, lastFirstByteAt: -Infinity }
}

/** Learns from the first byte of a request's answer. */
export function noteFirstByte (progress: PromptProgress, { grantedAt, pendingTokens }: PermitRecord, now: number): void {
  const ms = now - Math.max(grantedAt, progress.lastFirstByteAt)
  progress.lastFirstByteAt = now
  progress.tokens = PAST_WEIGHT * progress.tokens + pendingTokens
  progress.ms = PAST_WEIGHT * progress.ms + ms
}

/** Prompt tokens left to compute of requests whose first byte has not come; the records are in the order of the grants. */
export function pendingTokens (progress: PromptProgress, records: readonly PermitRecord[], now: number): number {
  const waiting = records.filter(({ firstByteAt }) => firstByteAt === Infinity)
  const [oldest] = waiting
  if (!oldest) return 0
  const total = waiting.reduce((sum, record) => sum + record.pendingTokens, 0)
  const tokensPerMs = progress.ms > 0 ? progress.tokens / progress.ms : 0
  const elapsedMs = now - Math.max(oldest.grantedAt, progress.lastFirstByteAt)
  return total - Math.min(oldest.pendingTokens, elapsedMs * tokensPerMs)
}
