/**
 * Writes an answer to the caller, as a stream of server-sent events or as one JSON body. A caller that reads slowly
 * causes backpressure on the run; a caller that stops reading is disconnected.
 */
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import type { Clock } from '../clock/index.ts'
import type { CompletionUsage } from '../engine/types.ts'
import type { RequestId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Answer, AnswerEnd, AnswerMeta, AnswerPart, AnswerReader } from './answer.ts'
import { HEADERS, RELAY_WINDOW_CHARACTERS, STALLED_CALLER_TIMEOUT_MS } from './constants.ts'
import { errorBody, toLacewingError } from './responses.ts'

export interface RelayOptions {
  request: RequestId
  includeUsage: boolean
  clock: Clock
  metrics: Metrics
  /** Whether bytes of the request may have reached a backend server. Determines `run` in the error event. */
  wasSent: () => boolean
}

/** Returns the response headers common to streamed and complete answers. */
export function answerHeaders (request: RequestId, meta: AnswerMeta | undefined): Record<string, string> {
  const headers: Record<string, string> = { [HEADERS.requestId]: request }
  if (meta) headers[HEADERS.version] = meta.version
  if (meta?.sessionToken) headers[HEADERS.session] = meta.sessionToken
  if (meta?.movedFrom) headers[HEADERS.movedFrom] = meta.movedFrom
  return headers
}

/** Streams an answer that has at least one part or has ended without an error. Resolves when the response has ended. */
export async function relayStream (answer: Answer, reader: AnswerReader, response: ServerResponse, options: RelayOptions): Promise<void> {
  const { request, metrics } = options
  const events = createEventFormatter(request, answer.meta()!)
  response.writeHead(200, {
    ...answerHeaders(request, answer.meta()),
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-cache'
  })
  while (!reader.isDone()) {
    await reader.wait()
    if (reader.isClosed()) return void metrics.count('streams', 'caller_gone')
    const parts = reader.take(RELAY_WINDOW_CHARACTERS)
    if (parts.length > 0 && !await writeWithBackpressure(response, events.parts(parts), options)) return void metrics.count('streams', 'caller_gone')
    reader.confirm()
  }
  const end = answer.end()
  metrics.count('streams', end ? 'completed' : 'failed')
  response.end(end ? events.end(end, options.includeUsage) : errorEvent(answer, options))
}

/** Returns the JSON body of a complete answer. */
export function completionBody (request: RequestId, answer: Answer): object {
  const { reason, usage } = answer.end()!
  return {
    id: `chatcmpl-${request}`,
    object: 'chat.completion',
    created: Math.floor(Date.now() / 1000),
    model: answer.meta()!.version,
    choices: [{
      index: 0,
      message: { role: 'assistant', content: answer.parts().map(part => part.text).join('') },
      finish_reason: reason
    }],
    usage: usageBody(usage)
  }
}

/** Returns false if the caller has disconnected, or was disconnected because it read nothing for too long. */
async function writeWithBackpressure (response: ServerResponse, text: string, { clock, metrics }: RelayOptions): Promise<boolean> {
  if (response.destroyed) return false
  if (response.write(text)) return true
  const stop = new AbortController()
  const cancelTimer = clock.after(STALLED_CALLER_TIMEOUT_MS, () => {
    metrics.count('streams', 'caller_stalled')
    response.destroy()
  })
  // `once` reads only `signal` from its options, so the controller itself can be passed.
  const drainOrClose = [once(response, 'drain', stop), once(response, 'close', stop)].map(event => event.catch(() => {}))
  await Promise.race(drainOrClose)
  stop.abort()
  cancelTimer()
  return !response.destroyed
}

function createEventFormatter (request: RequestId, { version }: AnswerMeta) {
  const created = Math.floor(Date.now() / 1000)
  const base = { id: `chatcmpl-${request}`, object: 'chat.completion.chunk', created, model: version }
  // Chunks differ only in their text and the role of the first one, so the rest is serialized once.
  const prefix = `data: ${JSON.stringify(base).slice(0, -1)},"choices":[{"index":0,"delta":{`
  let first = true

  function part ({ text }: AnswerPart): string {
    const role = first ? '"role":"assistant",' : ''
    first = false
    return `${prefix}${role}"content":${JSON.stringify(text)}},"finish_reason":null}]}\n\n`
  }

  return {
    parts: (parts: AnswerPart[]) => parts.map(part).join(''),
    end ({ reason, usage }: AnswerEnd, includeUsage: boolean): string {
      const last = { ...base, choices: [{ index: 0, delta: {}, finish_reason: reason }] }
      const usageChunk = includeUsage ? `data: ${JSON.stringify({ ...base, choices: [], usage: usageBody(usage) })}\n\n` : ''
      return `data: ${JSON.stringify(last)}\n\n${usageChunk}data: [DONE]\n\n`
    }
  }
}

/** Sent instead of the last chunk and `[DONE]`, so that no caller mistakes a partial answer for a complete one. */
function errorEvent (answer: Answer, { request, wasSent }: RelayOptions): string {
  const body = errorBody(toLacewingError(answer.error()), { request, sent: wasSent() })
  return `data: ${JSON.stringify(body)}\n\n`
}

function usageBody ({ inputTokens, outputTokens, cachedTokens }: CompletionUsage): object {
  return {
    prompt_tokens: inputTokens,
    completion_tokens: outputTokens,
    total_tokens: inputTokens + outputTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens }
  }
}
