/** Stand-in of a consumer: sends one request and returns what it saw on its channel. */
import { Agent, request } from 'node:http'
import type { Recorder } from './record.ts'

export interface ConsumerRequest {
  host: string
  port: number
  id: string
  method?: string
  path: string
  key?: string | undefined
  budgetMs: number
  body?: Buffer | string | undefined
  headers?: Record<string, string>
  agent?: Agent
  recorder: Recorder
  /** Called with the channel of the answer, for example to read it slowly. */
  onHead?: (status: number, pause: () => void, resume: () => void) => void
}

export interface ConsumerResult {
  id: string
  /** 0 if no head came. */
  status: number
  headers: Record<string, string | string[] | undefined>
  body: Buffer
  /** Whether the answer ended as HTTP says that it is complete. */
  isComplete: boolean
  sentMs: number
  endedMs: number
  error: string | undefined
}

export const HOST_NAME = 'desk.example'

export function consume ({ host, port, id, method = 'POST', path, key, budgetMs, body, headers = {}, agent, recorder, onHead }: ConsumerRequest): Promise<ConsumerResult> {
  const sentMs = performance.now()
  recorder.record('consumer sends', { id, method, path, to: `${host}:${port}` })
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let status = 0
    let answerHeaders: ConsumerResult['headers'] = {}
    let isSettled = false
    function finish (isComplete: boolean, error?: string): void {
      if (isSettled) return
      isSettled = true
      clearTimeout(timer)
      const received = Buffer.concat(chunks)
      recorder.record('consumer got', { id, status, bytes: received.length, isComplete, error, afterMs: Math.round(performance.now() - sentMs) })
      resolve({ id, status, headers: answerHeaders, body: received, isComplete, sentMs, endedMs: performance.now(), error })
    }
    const outgoing = request({
      host,
      port,
      method,
      path,
      agent: agent ?? false,
      headers: {
        host: HOST_NAME,
        'x-lacewingstage-attempt-id': id,
        'x-lacewingstage-time-budget-ms': String(budgetMs),
        ...key !== undefined && { authorization: `Bearer ${key}` },
        ...headers
      }
    }, incoming => {
      status = incoming.statusCode!
      answerHeaders = incoming.headers
      onHead?.(status, () => incoming.pause(), () => incoming.resume())
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
      incoming.on('error', ({ message }) => finish(false, message))
      incoming.on('end', () => finish(incoming.complete))
      incoming.on('close', () => finish(false, 'closed'))
    })
    const timer = setTimeout(() => {
      finish(false, 'time budget is over')
      outgoing.destroy()
    }, budgetMs)
    outgoing.on('error', ({ message }) => finish(false, message))
    outgoing.end(body)
  })
}
