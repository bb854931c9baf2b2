/**
 * The answer to one chat request while it is produced. One run appends parts, and any number of readers consume them
 * at their own speed. Backpressure: `append` waits while even the fastest reader is more than a window of text behind.
 */
import type { CompletionUsage } from '../engine/types.ts'
import type { VersionId } from '../ids/index.ts'
import { RELAY_WINDOW_CHARACTERS } from './constants.ts'

export interface AnswerPart {
  text: string
  tokens: number
}

export interface AnswerMeta {
  version: VersionId
  sessionToken?: string
  movedFrom?: VersionId
}

export interface AnswerEnd {
  reason: 'stop' | 'length'
  usage: CompletionUsage
}

export interface AnswerReader {
  /** Resolves when there are parts to take, the answer has ended or the reader is closed. */
  wait(): Promise<void>
  /** Returns the parts that were not taken yet, up to about `maxCharacters`. */
  take(maxCharacters?: number): AnswerPart[]
  /** Marks the taken parts as delivered to the caller. */
  confirm(): void
  /** Whether the answer has ended and all its parts were taken. */
  isDone(): boolean
  isClosed(): boolean
  close(): void
}

export interface ReaderOptions {
  fromPart?: number
  /** The reader needs the complete answer before it delivers anything, so no backpressure applies while it is open. */
  buffersAll?: boolean
}

export interface Answer {
  meta(): AnswerMeta | undefined
  setMeta(meta: AnswerMeta): void
  /** Resolves when the fastest reader is at most a window behind, or no reader is open, or one uses `buffersAll`. */
  append(part: AnswerPart): Promise<void>
  finish(end: AnswerEnd): void
  fail(error: unknown): void
  /** Records that bytes of the request may have reached a backend server, sent by this VM or by another one. */
  markSent(): void
  wasSent(): boolean
  end(): AnswerEnd | undefined
  error(): unknown
  hasEnded(): boolean
  parts(): readonly AnswerPart[]
  characters(): number
  /** Number of tokens confirmed by the reader that is furthest ahead. */
  deliveredTokens(): number
  open(options?: ReaderOptions): AnswerReader
  /** Sets the listener that is called when the last reader closes before the answer has ended. */
  onAbandoned(listener: () => void): void
  /** Sets the listener that is called when a reader opens. */
  onOpened(listener: () => void): void
}

interface ReaderState {
  taken: number
  confirmed: number
  buffersAll: boolean
}

export function createAnswer ({ window = RELAY_WINDOW_CHARACTERS } = {}): Answer {
  const parts: AnswerPart[] = []
  const readers = new Set<ReaderState>()
  const answerChanged = createCondition()
  const readersChanged = createCondition()
  let characters = 0
  let deliveredParts = 0
  let deliveredCharacters = 0
  let deliveredTokens = 0
  let meta: AnswerMeta | undefined
  let sent = false
  let end: AnswerEnd | undefined
  let failure: { error: unknown } | undefined
  let abandonListener = () => {}
  let openListener = () => {}

  const hasEnded = () => end !== undefined || failure !== undefined

  function confirm (reader: ReaderState): void {
    reader.confirmed = reader.taken
    for (; deliveredParts < reader.confirmed; deliveredParts++) {
      deliveredCharacters += parts[deliveredParts]!.text.length
      deliveredTokens += parts[deliveredParts]!.tokens
    }
    readersChanged.notify()
  }

  function take (reader: ReaderState, maxCharacters: number): AnswerPart[] {
    const first = reader.taken
    for (let size = 0; reader.taken < parts.length && size < maxCharacters; reader.taken++) {
      size += parts[reader.taken]!.text.length
    }
    return parts.slice(first, reader.taken)
  }

  function isBackpressured (): boolean {
    if (characters - deliveredCharacters <= window) return false
    return readers.size > 0 && ![...readers].some(reader => reader.buffersAll)
  }

  function open ({ fromPart = 0, buffersAll = false }: ReaderOptions = {}): AnswerReader {
    const reader: ReaderState = { taken: fromPart, confirmed: fromPart, buffersAll }
    readers.add(reader)
    openListener()
    if (buffersAll) readersChanged.notify()
    return {
      async wait () {
        while (reader.taken >= parts.length && !hasEnded() && readers.has(reader)) await answerChanged.wait()
      },
      take: (maxCharacters = Infinity) => take(reader, maxCharacters),
      confirm: () => confirm(reader),
      isDone: () => hasEnded() && reader.taken >= parts.length,
      isClosed: () => !readers.has(reader),
      close () {
        if (!readers.delete(reader)) return
        readersChanged.notify()
        answerChanged.notify()
        if (readers.size === 0 && !hasEnded()) abandonListener()
      }
    }
  }

  return {
    meta: () => meta,
    setMeta (value) { meta = value },
    async append (part) {
      parts.push(part)
      characters += part.text.length
      answerChanged.notify()
      while (isBackpressured()) await readersChanged.wait()
    },
    finish (value) {
      if (hasEnded()) return
      end = value
      answerChanged.notify()
    },
    fail (error) {
      if (hasEnded()) return
      failure = { error }
      answerChanged.notify()
    },
    markSent () { sent = true },
    wasSent: () => sent,
    end: () => end,
    error: () => failure?.error,
    hasEnded,
    parts: () => parts,
    characters: () => characters,
    deliveredTokens: () => deliveredTokens,
    open,
    onAbandoned (listener) { abandonListener = listener },
    onOpened (listener) { openListener = listener }
  }
}

/** Condition variable: `notify` resolves all pending calls of `wait`. */
interface Condition {
  wait(): Promise<void>
  notify(): void
}

function createCondition (): Condition {
  let waiters: (() => void)[] = []
  return {
    wait: () => new Promise(resolve => waiters.push(resolve)),
    notify () {
      const woken = waiters
      waiters = []
      for (const wake of woken) wake()
    }
  }
}
