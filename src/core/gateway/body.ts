/** Reads a caller's body up to the limit. What exceeds it is discarded, so that the refusal still reaches the caller. */
import type { Readable } from 'node:stream'
import { GatewayError } from '../errors/index.ts'

/** Throws GatewayError `body_too_large` or `bad_request`. */
export async function readCallerBody (stream: Readable | null, maxBytes: number): Promise<Buffer> {
  if (!stream) return Buffer.alloc(0)
  const chunks: Buffer[] = []
  let size = 0
  return new Promise((resolve, reject) => {
    const fail = (error: GatewayError) => {
      stream.off('data', onData)
      stream.resume()
      reject(error)
    }
    const onData = (chunk: Buffer) => {
      size += chunk.length
      if (size > maxBytes) return fail(new GatewayError('body_too_large'))
      chunks.push(chunk)
    }
    stream.on('data', onData)
    stream.once('end', () => resolve(Buffer.concat(chunks)))
    stream.once('error', cause => fail(new GatewayError('bad_request', { detail: 'The body ended early.', cause })))
    stream.once('close', () => fail(new GatewayError('bad_request', { detail: 'The body ended early.' })))
  })
}
