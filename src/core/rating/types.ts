/** Types of the rating service's client. */
import type { VersionOutcome } from '../routing/types.ts'
import type { RequestId } from '../ids/index.ts'

export interface RatableAnswer {
  request: RequestId
  /** Outcome observed when the answer ended; it is observed again with the rating added. */
  outcome: VersionOutcome
  prompt: string
  answer: string
  /** Whether the request is used for exploration; its answer is then submitted regardless of the sample share. */
  explores?: boolean
}

export interface RatingClient {
  /** Submits the answer for rating if it is in the sample; never blocks and never throws. */
  offer(answer: RatableAnswer): void
  /** Number of answers whose rating is pending. */
  pending(): number
  start(): void
  stop(): void
}
