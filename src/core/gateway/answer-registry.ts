/**
 * Keeps the answers of requests with an Idempotency-Key, so that a resend joins the running answer or replays the
 * finished one. Memory for finished answers is bounded: the oldest ones are evicted first.
 */
import type { Clock } from '../clock/index.ts'
import type { Answer } from './answer.ts'
import { MAX_REPLAYED_ANSWERS, MAX_REPLAY_CHARACTERS, REPLAY_MAX_AGE_MS } from './constants.ts'

export interface RegisteredAnswer {
  answer: Answer
  fingerprint: string
  /** Time when the answer was registered or, for a finished answer, when it finished. */
  registeredAt: number
}

export interface AnswerRegistry {
  find(id: string): RegisteredAnswer | undefined
  /** Registers a running answer. */
  add(id: string, answer: Answer, fingerprint: string): void
  /** Keeps a finished answer for replays and removes a failed one. */
  settle(id: string, answer: Answer): void
}

export interface AnswerRegistryOptions {
  clock: Clock
  maxCharacters?: number
  maxAnswers?: number
  maxAgeMs?: number
}

export function createAnswerRegistry (options: AnswerRegistryOptions): AnswerRegistry {
  const { clock, maxCharacters = MAX_REPLAY_CHARACTERS, maxAnswers = MAX_REPLAYED_ANSWERS, maxAgeMs = REPLAY_MAX_AGE_MS } = options
  const running = new Map<string, RegisteredAnswer>()
  const finished = new Map<string, RegisteredAnswer>()
  let characters = 0

  function evict (id: string, { answer }: RegisteredAnswer): void {
    finished.delete(id)
    characters -= answer.characters()
  }

  function prune (): void {
    for (const [id, entry] of finished) {
      const isExpired = entry.registeredAt + maxAgeMs <= clock.now()
      if (!isExpired && characters <= maxCharacters && finished.size <= maxAnswers) return
      evict(id, entry)
    }
  }

  return {
    find (id) {
      prune()
      return running.get(id) ?? finished.get(id)
    },
    add (id, answer, fingerprint) {
      running.set(id, { answer, fingerprint, registeredAt: clock.now() })
    },
    settle (id, answer) {
      const entry = running.get(id)
      if (entry?.answer !== answer) return
      running.delete(id)
      if (!answer.end()) return
      finished.set(id, { ...entry, registeredAt: clock.now() })
      characters += answer.characters()
      prune()
    }
  }
}
