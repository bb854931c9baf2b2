/**
 * Turns the events of one attempt into samples: the time to the first event, the time between events, and the time of the
 * whole answer. Only answers of the same service, version, route, model and size are compared.
 */
import type { Backend } from '../backend-pool/types.ts'
import type { Clock } from '../clock/index.ts'
import type { ModelId } from '../ids/index.ts'
import { EVENTS_PER_SAMPLE } from './constants.ts'
import type { AnswerClass, AttemptEnd, AttemptObservation } from './types.ts'

/** What determines the work of an answer. */
export interface Work {
  route: string
  isStreaming: boolean
  model: ModelId | undefined
  promptTokens: number
  bodyBytes: number
}

/** Prompt tokens that take as long as the rest of a first event; smaller prompts differ little. */
const SMALL_PROMPT_TOKENS = 256
/** Body bytes below which the size of a plain request does not matter. */
const SMALL_BODY_BYTES = 4096

/** Name of the class of answers with comparable work. */
export function workName ({ entry }: Pick<Backend, 'entry'>, { route, isStreaming, model = '' as ModelId, promptTokens, bodyBytes }: Work): string {
  // Two size classes per doubling: within one, the times differ by at most 1.4.
  const size = isStreaming ? Math.round(2 * Math.log2(promptTokens + SMALL_PROMPT_TOKENS)) : Math.round(Math.log2(bodyBytes + SMALL_BODY_BYTES))
  return `${entry.service}/${entry.version}/${route}/${model}/${size}`
}

export interface AnswerObservationOptions {
  work: Work
  name: string
  /** Typical time in milliseconds of the answers of a class, if known. */
  typicalMs(answer: AnswerClass): number | undefined
  onSample(answer: AnswerClass, ms: number): void
  clock: Clock
}

export function observeAnswer ({ work: { isStreaming }, name, typicalMs, onSample, clock }: AnswerObservationOptions): AttemptObservation {
  const startedMs = clock.now()
  let firstEventMs: number | undefined
  let sampledMs = startedMs
  let eventsSinceSample = 0

  function sampleGap (): void {
    if (eventsSinceSample === 0) return
    onSample({ signal: 'gap', name }, (clock.now() - sampledMs) / eventsSinceSample)
    sampledMs = clock.now()
    eventsSinceSample = 0
  }

  function endWithoutEvent (end: AttemptEnd): void {
    const elapsedMs = clock.now() - startedMs
    // The answer would have taken longer still, so a time above the typical one is a lower bound.
    if (end !== 'not_run' && elapsedMs > (typicalMs({ signal: 'first', name }) ?? Infinity)) onSample({ signal: 'first', name }, elapsedMs)
  }

  return {
    recordEvent () {
      if (firstEventMs === undefined) {
        firstEventMs = sampledMs = clock.now()
        // A plain answer may state a failure, which says nothing about the speed; its end tells.
        if (isStreaming) onSample({ signal: 'first', name }, firstEventMs - startedMs)
      } else if (++eventsSinceSample >= EVENTS_PER_SAMPLE) sampleGap()
    },
    end (end) {
      if (firstEventMs === undefined) return endWithoutEvent(end)
      if (isStreaming && end !== 'abandoned') sampleGap()
      if (end !== 'completed') return
      if (!isStreaming) onSample({ signal: 'first', name }, firstEventMs - startedMs)
      onSample({ signal: 'whole', name }, clock.now() - startedMs)
    }
  }
}
