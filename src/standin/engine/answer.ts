/**
 * Text of the engine stand-in. It is a function of the version and the prompt, so that a test can tell whose answer
 * it reads, and a resumed answer continues where the delivered text ended.
 */
import { createHash } from 'node:crypto'

export interface PromptMessage {
  role: string
  content: string
}

export interface PlannedAnswer {
  /** Tokens still to send. */
  tokens: string[]
  finishReason: 'stop' | 'length'
  promptTokens: number
}

export interface AnswerRequest {
  version: string
  messages: PromptMessage[]
  maxTokens: number
  answerTokens: number
  /** The last message is the delivered part of the answer. */
  continuesLast: boolean
}

/** Plans the answer to a request. */
export function planAnswer ({ version, messages, maxTokens, answerTokens, continuesLast }: AnswerRequest): PlannedAnswer {
  const prompt = continuesLast ? messages.slice(0, -1) : messages
  const text = prompt.map(message => message.content).join('\n')
  const delivered = continuesLast ? messages.at(-1)!.content : ''
  const full = answerText(version, text, wantedTokens(text, answerTokens))
  const rest = full.slice(countTokens(delivered))
  const tokens = rest.slice(0, maxTokens)
  return {
    tokens,
    finishReason: tokens.length < rest.length ? 'length' : 'stop',
    promptTokens: countTokens(text)
  }
}

/** The whole answer as a list of tokens; each token ends with a space. */
export function answerText (version: string, prompt: string, tokens: number): string[] {
  const mark = createHash('sha256').update(`${version}\n${prompt}`).digest('hex').slice(0, 8)
  return Array.from({ length: tokens }, (_, index) => `${version}/${mark}/${index} `)
}

/** Words count as tokens. */
export function countTokens (text: string): number {
  return text.split(/\s+/).filter(Boolean).length
}

function wantedTokens (prompt: string, fallback: number): number {
  const match = /\[tokens=(\d+)\]/.exec(prompt)
  return match ? Number(match[1]) : fallback
}
