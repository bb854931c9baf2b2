/**
 * Answer text of the engine stand-in. It depends only on the version and the prompt, so that a test can tell which
 * version produced an answer and a resumed answer continues where the delivered text ended.
 */
import { createHash } from 'node:crypto'

export interface PromptMessage {
  role: string
  content: string
}

export interface PlannedAnswer {
  /** Tokens to send, without those already delivered. */
  tokens: string[]
  finishReason: 'stop' | 'length'
  promptTokens: number
}

export interface AnswerRequest {
  version: string
  messages: PromptMessage[]
  maxTokens: number
  answerTokens: number
  /** Whether the last message is the already delivered part of the answer. */
  continuesLastMessage: boolean
}

/** Returns the tokens to send for a request and why the answer ends after them. */
export function planAnswer ({ version, messages, maxTokens, answerTokens, continuesLastMessage }: AnswerRequest): PlannedAnswer {
  const prompt = continuesLastMessage ? messages.slice(0, -1) : messages
  const text = prompt.map(message => message.content).join('\n')
  const delivered = continuesLastMessage ? messages.at(-1)!.content : ''
  const allTokens = generateTokens(version, text, requestedTokens(text, answerTokens))
  const remainingTokens = allTokens.slice(countTokens(delivered))
  const tokens = remainingTokens.slice(0, maxTokens)
  return {
    tokens,
    finishReason: tokens.length < remainingTokens.length ? 'length' : 'stop',
    promptTokens: countTokens(text)
  }
}

/** Returns the tokens of the complete answer; each token ends with a space. */
export function generateTokens (version: string, prompt: string, tokens: number): string[] {
  const digest = createHash('sha256').update(`${version}\n${prompt}`).digest('hex').slice(0, 8)
  return Array.from({ length: tokens }, (_, index) => `${version}/${digest}/${index} `)
}

/** Counts each word separated by white space as one token. */
export function countTokens (text: string): number {
  return text.split(/\s+/).filter(Boolean).length
}

function requestedTokens (prompt: string, defaultTokens: number): number {
  const match = /\[tokens=(\d+)\]/.exec(prompt)
  return match ? Number(match[1]) : defaultTokens
}
