/**
 * Reads a chat completion stream: server-sent events, one JSON chunk a line. Each chunk must carry the id of the
 * request, and the stream must end with a `finish_reason` and `[DONE]`.
 */
import { createInterface } from 'node:readline'
import type { Clock } from '../clock/index.ts'
import { MAX_LINE_BYTES } from './constants.ts'
import { EngineFailure, type FailureReason } from './errors.ts'
import type { HttpAnswer } from './http.ts'
import type { CompletionEvent, CompletionUsage } from './types.ts'

interface Chunk {
  id?: string
  choices?: { delta?: { content?: string | null }, finish_reason?: string | null }[]
  usage?: {
    prompt_tokens?: number
    completion_tokens?: number
    prompt_tokens_details?: { cached_tokens?: number }
  } | null
  confidence?: number
}

export interface ReadEventsOptions {
  clock: Clock
  idleTimeoutMs: number
  signal: AbortSignal
}

const DATA_PREFIX = 'data:'
const DONE = '[DONE]'

/** Yields the events of one answer after `started`. Throws EngineFailure. */
export async function * readEvents (answer: HttpAnswer, id: string, options: ReadEventsOptions): AsyncGenerator<CompletionEvent> {
  const { instance } = answer
  const state = createChunkState(id, instance)
  let done = false
  for await (const line of readLines(answer, options)) {
    if (!line.startsWith(DATA_PREFIX)) continue
    const data = line.slice(DATA_PREFIX.length).trim()
    if (data === DONE) {
      done = true
      break
    }
    const delta = state.accept(data)
    if (delta) yield delta
  }
  const finished = state.finished()
  if (!done || !finished) throw new EngineFailure('truncated', { instance })
  yield finished
}

/** Lines of the body. Ends normally at the end of the body, and throws when the connection broke or nothing came for too long. */
async function * readLines ({ message, instance }: HttpAnswer, { clock, idleTimeoutMs, signal }: ReadEventsOptions): AsyncGenerator<string> {
  let failure: FailureReason | undefined
  let lineBytes = 0
  const fail = (reason: FailureReason) => {
    failure ??= reason
    message.destroy()
  }
  const idle = watchIdle(clock, idleTimeoutMs, () => fail('idle_timeout'))
  message.on('data', (chunk: Buffer) => {
    idle.touch()
    const newline = chunk.lastIndexOf(10)
    lineBytes = newline < 0 ? lineBytes + chunk.length : chunk.length - newline
    if (lineBytes > MAX_LINE_BYTES) fail('line_too_long')
  })
  message.on('error', () => { failure ??= signal.aborted ? 'cancelled' : 'connection_lost' })
  const lines = createInterface({ input: message, crlfDelay: Infinity })
  message.on('close', () => lines.close())
  try {
    yield * lines
  } catch {
    // The listener above has noted why; the iterator reports the same error.
    failure ??= 'connection_lost'
  } finally {
    idle.stop()
    if (!message.complete) message.destroy()
  }
  if (signal.aborted) failure = 'cancelled'
  if (!message.complete) failure ??= 'connection_lost'
  if (failure) throw new EngineFailure(failure, { instance })
}

/** Checks at half the timeout instead of setting a timer for each chunk. */
function watchIdle (clock: Clock, timeoutMs: number, onIdle: () => void): { touch(): void, stop(): void } {
  let lastMs = clock.now()
  const stop = clock.every(timeoutMs / 2, () => {
    if (clock.now() - lastMs >= timeoutMs) onIdle()
  })
  return { touch: () => { lastMs = clock.now() }, stop }
}

function createChunkState (id: string, instance: string) {
  let finishReason: string | undefined
  let usage: CompletionUsage | undefined
  let confidence: number | undefined
  let tokens = 0

  function accept (data: string): CompletionEvent | undefined {
    const chunk = parseChunk(data, instance)
    if (chunk.id !== id) throw new EngineFailure('crossed', { instance, detail: 'the engine sent a chunk of another request' })
    const choice = chunk.choices?.[0]
    if (choice?.finish_reason) finishReason = choice.finish_reason
    if (chunk.usage) usage = readUsage(chunk.usage)
    if (typeof chunk.confidence === 'number') confidence = chunk.confidence
    const text = choice?.delta?.content
    if (!text) return undefined
    tokens++
    return { type: 'delta', text, tokens: 1 }
  }

  function finished (): CompletionEvent | undefined {
    if (finishReason === undefined) return undefined
    const reason = finishReason === 'length' ? 'length' : 'stop'
    return { type: 'finished', reason, usage: usage ?? { inputTokens: 0, outputTokens: tokens, cachedTokens: 0 }, confidence }
  }

  return { accept, finished }
}

function parseChunk (data: string, instance: string): Chunk {
  try {
    return JSON.parse(data) as Chunk
  } catch (error) {
    throw new EngineFailure('malformed', { instance, cause: error })
  }
}

function readUsage (usage: NonNullable<Chunk['usage']>): CompletionUsage {
  return {
    inputTokens: usage.prompt_tokens ?? 0,
    outputTokens: usage.completion_tokens ?? 0,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0
  }
}
