/**
 * Answers of requests with an Idempotency-Key, so that a resend joins the running answer or replays the finished one.
 * Memory is bounded: the oldest finished answers are forgotten first.
 */
import type { Clock } from '../clock/index.ts'
import type { Answer } from './answer.ts'
import { MAX_REPLAYED_ANSWERS, REPLAY_CHARACTERS, REPLAY_MAX_AGE_MS } from './constants.ts'

export interface BookedAnswer {
  answer: Answer
  fingerprint: string
  bookedAt: number
}

export interface AnswerBook {
  find(id: string): BookedAnswer | undefined
  /** Books a running answer. */
  add(id: string, answer: Answer, fingerprint: string): void
  /** Keeps a finished answer for replays and forgets a failed one. */
  settle(id: string, answer: Answer): void
}

export interface AnswerBookOptions {
  clock: Clock
  maxCharacters?: number
  maxAnswers?: number
  maxAgeMs?: number
}

export function createAnswerBook (options: AnswerBookOptions): AnswerBook {
  const { clock, maxCharacters = REPLAY_CHARACTERS, maxAnswers = MAX_REPLAYED_ANSWERS, maxAgeMs = REPLAY_MAX_AGE_MS } = options
  const running = new Map<string, BookedAnswer>()
  const finished = new Map<string, BookedAnswer>()
  let characters = 0

  function forget (id: string, { answer }: BookedAnswer): void {
    finished.delete(id)
    characters -= answer.characters()
  }

  function prune (): void {
    for (const [id, booked] of finished) {
      const isOld = booked.bookedAt + maxAgeMs <= clock.now()
      if (!isOld && characters <= maxCharacters && finished.size <= maxAnswers) return
      forget(id, booked)
    }
  }

  return {
    find (id) {
      prune()
      return running.get(id) ?? finished.get(id)
    },
    add (id, answer, fingerprint) {
      running.set(id, { answer, fingerprint, bookedAt: clock.now() })
    },
    settle (id, answer) {
      const booked = running.get(id)
      if (booked?.answer !== answer) return
      running.delete(id)
      if (!answer.end()) return
      finished.set(id, { ...booked, bookedAt: clock.now() })
      characters += answer.characters()
      prune()
    }
  }
}
