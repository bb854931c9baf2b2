/** Types of the client of the rating service. */
import type { VersionOutcome } from '../routing/types.ts'
import type { RequestId } from '../ids/index.ts'

export interface RatableAnswer {
  request: RequestId
  /** What was observed when the answer ended; it is observed again with the rating. */
  outcome: VersionOutcome
  prompt: string
  answer: string
  /** The request was spent on learning, so its answer is sent in any case. */
  explores?: boolean
}

export interface RatingClient {
  /** Sends a sample of the answers for rating; never waits and never throws. */
  offer(answer: RatableAnswer): void
  /** Answers whose rating is awaited. */
  pending(): number
  start(): void
  stop(): void
}
