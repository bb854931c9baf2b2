/**
 * The answer to one chat request while it is produced. One run appends; any number of readers follow at their own
 * pace. The run is held back while even the fastest reader is a window behind.
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
  /** Resolves when there are parts to take or the answer has ended. */
  wait(): Promise<void>
  /** Parts that were not taken yet, up to about `maxCharacters`. */
  take(maxCharacters?: number): AnswerPart[]
  /** Says that the taken parts reached the caller. */
  confirm(): void
  /** Whether all parts were taken and no more will come. */
  isDone(): boolean
  isClosed(): boolean
  close(): void
}

export interface ReaderOptions {
  fromPart?: number
  /** Takes everything before it passes anything on, so it does not hold the run back. */
  collects?: boolean
}

export interface Answer {
  meta(): AnswerMeta | undefined
  setMeta(meta: AnswerMeta): void
  /** Resolves when the readers have caught up enough. */
  append(part: AnswerPart): Promise<void>
  finish(end: AnswerEnd): void
  fail(error: unknown): void
  /** Notes that bytes of the request may have reached a backend server, here or at another VM. */
  noteSent(): void
  wasSent(): boolean
  end(): AnswerEnd | undefined
  error(): unknown
  hasEnded(): boolean
  parts(): readonly AnswerPart[]
  characters(): number
  /** Tokens that reached the reader which is furthest ahead. */
  deliveredTokens(): number
  open(options?: ReaderOptions): AnswerReader
  /** Calls back when the last reader closes before the end. */
  onAbandoned(listener: () => void): void
  /** Calls back when a reader opens. */
  onOpened(listener: () => void): void
}

interface ReaderState {
  taken: number
  confirmed: number
  collects: boolean
}

export function createAnswer ({ window = RELAY_WINDOW_CHARACTERS } = {}): Answer {
  const parts: AnswerPart[] = []
  const readers = new Set<ReaderState>()
  const changed = createSignal()
  const advanced = createSignal()
  let characters = 0
  let delivered = 0
  let deliveredCharacters = 0
  let deliveredTokens = 0
  let meta: AnswerMeta | undefined
  let sent = false
  let end: AnswerEnd | undefined
  let failure: { error: unknown } | undefined
  let abandoned = () => {}
  let opened = () => {}

  const hasEnded = () => end !== undefined || failure !== undefined

  function confirm (reader: ReaderState): void {
    reader.confirmed = reader.taken
    for (; delivered < reader.confirmed; delivered++) {
      deliveredCharacters += parts[delivered]!.text.length
      deliveredTokens += parts[delivered]!.tokens
    }
    advanced.notify()
  }

  function take (reader: ReaderState, maxCharacters: number): AnswerPart[] {
    const first = reader.taken
    for (let size = 0; reader.taken < parts.length && size < maxCharacters; reader.taken++) {
      size += parts[reader.taken]!.text.length
    }
    return parts.slice(first, reader.taken)
  }

  function isHeldBack (): boolean {
    if (characters - deliveredCharacters <= window) return false
    return readers.size > 0 && ![...readers].some(reader => reader.collects)
  }

  function open ({ fromPart = 0, collects = false }: ReaderOptions = {}): AnswerReader {
    const reader: ReaderState = { taken: fromPart, confirmed: fromPart, collects }
    readers.add(reader)
    opened()
    if (collects) advanced.notify()
    return {
      async wait () {
        while (reader.taken >= parts.length && !hasEnded() && readers.has(reader)) await changed.wait()
      },
      take: (maxCharacters = Infinity) => take(reader, maxCharacters),
      confirm: () => confirm(reader),
      isDone: () => hasEnded() && reader.taken >= parts.length,
      isClosed: () => !readers.has(reader),
      close () {
        if (!readers.delete(reader)) return
        advanced.notify()
        changed.notify()
        if (readers.size === 0 && !hasEnded()) abandoned()
      }
    }
  }

  return {
    meta: () => meta,
    setMeta (value) { meta = value },
    async append (part) {
      parts.push(part)
      characters += part.text.length
      changed.notify()
      while (isHeldBack()) await advanced.wait()
    },
    finish (value) {
      if (hasEnded()) return
      end = value
      changed.notify()
    },
    fail (error) {
      if (hasEnded()) return
      failure = { error }
      changed.notify()
    },
    noteSent () { sent = true },
    wasSent: () => sent,
    end: () => end,
    error: () => failure?.error,
    hasEnded,
    parts: () => parts,
    characters: () => characters,
    deliveredTokens: () => deliveredTokens,
    open,
    onAbandoned (listener) { abandoned = listener },
    onOpened (listener) { opened = listener }
  }
}

interface Signal {
  wait(): Promise<void>
  notify(): void
}

function createSignal (): Signal {
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
