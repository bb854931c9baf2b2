/**
 * HTTP transport of the object API client. A transport error states whether the server may have received the request:
 * only when the connection could not be established is it certain that the server did not receive it.
 */
import type { IncomingMessage } from 'node:http'
import { performance } from 'node:perf_hooks'
import Wreck from '@hapi/wreck'

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND'])

export interface ApiResponse {
  status: number
  body: unknown
}

/** No complete response was received. */
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
  call (method: string, path: string, body: object | undefined, timeoutMs: number): Promise<ApiResponse>
  /** Resolves when the response headers have arrived; the caller reads the body. */
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
        const parsedBody = await client.read<unknown>(response, { timeout: Math.max(1, deadlineMs - performance.now()), json: true })
        return { status: response.statusCode ?? 0, body: parsedBody }
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
