/**
 * Reads a chat completion stream: server-sent events, one JSON chunk per line. Each chunk must carry the id of the
 * request, and the stream must end with a `finish_reason` and `[DONE]`.
 */
import { createInterface } from 'node:readline'
import type { Clock } from '../clock/index.ts'
import { MAX_LINE_BYTES } from './constants.ts'
import { EngineFailure, type FailureReason } from './errors.ts'
import type { HttpResponse } from './http.ts'
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

/** Yields the events of one answer that follow `started`. Throws EngineFailure. */
export async function * readEvents (response: HttpResponse, id: string, options: ReadEventsOptions): AsyncGenerator<CompletionEvent> {
  const { instance } = response
  const parser = createChunkParser(id, instance)
  let sawDone = false
  for await (const line of readLines(response, options)) {
    if (!line.startsWith(DATA_PREFIX)) continue
    const data = line.slice(DATA_PREFIX.length).trim()
    if (data === DONE) {
      sawDone = true
      break
    }
    const delta = parser.push(data)
    if (delta) yield delta
  }
  const finishedEvent = parser.finish()
  if (!sawDone || !finishedEvent) throw new EngineFailure('truncated', { instance })
  yield finishedEvent
}

/**
 * Yields the lines of the body until it ends. Throws EngineFailure when the connection is lost or idle for too long, a
 * line is too long or the signal aborts.
 */
async function * readLines ({ message, instance }: HttpResponse, { clock, idleTimeoutMs, signal }: ReadEventsOptions): AsyncGenerator<string> {
  let failure: FailureReason | undefined
  let lineBytes = 0
  const fail = (reason: FailureReason) => {
    failure ??= reason
    message.destroy()
  }
  const idleTimer = createIdleTimer(clock, idleTimeoutMs, () => fail('idle_timeout'))
  message.on('data', (chunk: Buffer) => {
    idleTimer.reset()
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
    // The error listener above has set the reason; the iterator throws the same error.
    failure ??= 'connection_lost'
  } finally {
    idleTimer.stop()
    if (!message.complete) message.destroy()
  }
  if (signal.aborted) failure = 'cancelled'
  if (!message.complete) failure ??= 'connection_lost'
  if (failure) throw new EngineFailure(failure, { instance })
}

/** Checks for inactivity at intervals of half the timeout instead of setting a timer for each chunk. */
function createIdleTimer (clock: Clock, timeoutMs: number, onIdle: () => void): { reset(): void, stop(): void } {
  let lastActivityMs = clock.now()
  const stop = clock.every(timeoutMs / 2, () => {
    if (clock.now() - lastActivityMs >= timeoutMs) onIdle()
  })
  return { reset: () => { lastActivityMs = clock.now() }, stop }
}

function createChunkParser (id: string, instance: string) {
  let finishReason: string | undefined
  let usage: CompletionUsage | undefined
  let confidence: number | undefined
  let tokens = 0

  function push (data: string): CompletionEvent | undefined {
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

  function finish (): CompletionEvent | undefined {
    if (finishReason === undefined) return undefined
    const reason = finishReason === 'length' ? 'length' : 'stop'
    return { type: 'finished', reason, usage: usage ?? { inputTokens: 0, outputTokens: tokens, cachedTokens: 0 }, confidence }
  }

  return { push, finish }
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
