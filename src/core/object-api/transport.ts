/**
 * One HTTP call to the object API. A failure says whether the request can have reached the server: only a refused
 * connection is certain not to have delivered it.
 */
import type { IncomingMessage } from 'node:http'
import { performance } from 'node:perf_hooks'
import Wreck from '@hapi/wreck'

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND'])

export interface Answer {
  status: number
  body: unknown
}

/** The call brought no whole answer. */
export class TransportError extends Error {
  /** Whether the server may have received the request. */
  readonly mayHaveArrived: boolean
  readonly reason: 'refused' | 'timeout' | 'cut'

  constructor (message: string, reason: TransportError['reason'], cause: unknown) {
    super(message, { cause })
    this.reason = reason
    this.mayHaveArrived = reason !== 'refused'
  }
}

export interface Transport {
  call (method: string, path: string, body: object | undefined, timeoutMs: number): Promise<Answer>
  /** Resolves when the response headers arrived; the body is read by the caller. */
  open (path: string, timeoutMs: number): Promise<IncomingMessage>
}

export function createTransport (baseUrl: string): Transport {
  const client = Wreck.defaults({ baseUrl })

  async function open (path: string, timeoutMs: number): Promise<IncomingMessage> {
    try {
      return await client.request('GET', path, { timeout: timeoutMs })
    } catch (error) {
      throw toTransportError(error)
    }
  }

  return {
    open,
    async call (method, path, body, timeoutMs) {
      const deadlineMs = performance.now() + timeoutMs
      const payload = body === undefined ? {} : { payload: JSON.stringify(body), headers: { 'content-type': 'application/json' } }
      try {
        const response = await client.request(method, path, { timeout: timeoutMs, ...payload })
        const read = await client.read<unknown>(response, { timeout: Math.max(1, deadlineMs - performance.now()), json: true })
        return { status: response.statusCode ?? 0, body: read }
      } catch (error) {
        throw toTransportError(error)
      }
    }
  }
}

function toTransportError (error: unknown): TransportError {
  const { message, code, data, output } = error as Error & {
    code?: string, data?: { code?: string } | null, output?: { statusCode: number }
  }
  const systemCode = data?.code ?? code ?? ''
  if (NOT_SENT_CODES.has(systemCode)) return new TransportError(message, 'refused', error)
  if (output?.statusCode === 504) return new TransportError(message, 'timeout', error)
  return new TransportError(message, 'cut', error)
}
