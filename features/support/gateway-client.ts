/** Test client for the HTTP API of a gateway. It reads streamed answers as server-sent events. */
import { KEY } from './gateway-vm.ts'

export const PROMPT = 'which books are in stock'

export interface ChatOptions {
  prompt?: string
  model?: string
  stream?: boolean
  headers?: Record<string, string>
  body?: string
  signal?: AbortSignal
  path?: string
}

export interface ChatResult {
  status: number
  headers: Headers
  text: string
  done: boolean
  finishReason?: string
  error?: { type: string, run: string, entry_points?: string[], message: string }
}

interface Chunk {
  choices?: { delta: { content?: string }, finish_reason: string | null }[]
  error?: ChatResult['error']
}

export async function send (url: string, { path = '/v1/chat/completions', body, headers, signal }: ChatOptions): Promise<Response> {
  const allHeaders: Record<string, string> = { authorization: `Bearer ${KEY}`, 'content-type': 'application/json', ...headers }
  if (allHeaders.authorization === '') delete allHeaders.authorization
  return fetch(url + path, { method: 'POST', headers: allHeaders, body, signal })
}

export async function chat (url: string, options: ChatOptions = {}, onText: (text: string) => void = () => {}): Promise<ChatResult> {
  const { prompt = PROMPT, model = 'kit', stream = true } = options
  const body = options.body ?? JSON.stringify({ model, stream, max_tokens: 100, messages: [{ role: 'user', content: prompt }] })
  const response = await send(url, { ...options, body })
  const result: ChatResult = { status: response.status, headers: response.headers, text: '', done: false }
  if (!response.headers.get('content-type')?.startsWith('text/event-stream')) {
    const answer = await response.json() as Chunk
    result.error = answer.error
    return result
  }
  let rest = ''
  const decoder = new TextDecoder()
  for await (const bytes of response.body!) {
    rest += decoder.decode(bytes, { stream: true })
    const events = rest.split('\n\n')
    rest = events.pop()!
    for (const event of events) readEvent(result, event.slice('data: '.length))
    onText(result.text)
  }
  return result
}

function readEvent (result: ChatResult, data: string): void {
  if (data === '[DONE]') {
    result.done = true
    return
  }
  const { choices, error } = JSON.parse(data) as Chunk
  result.error ??= error
  result.text += choices?.[0]?.delta.content ?? ''
  result.finishReason ??= choices?.[0]?.finish_reason ?? undefined
}

const MAX_POLLS = 2000

/** Polls until the condition holds. Throws after a limited number of polls, so that a failed test ends. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  for (let polls = 0; !condition(); polls++) {
    if (polls > MAX_POLLS) throw new Error('the condition was not met in time')
    await new Promise(resolve => setTimeout(resolve, 2))
  }
}
