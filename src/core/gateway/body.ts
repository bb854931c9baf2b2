/** Reads a caller's body up to the limit. What exceeds it is discarded, so that the refusal still reaches the caller. */
import type { Readable } from 'node:stream'
import { GatewayError } from '../errors/index.ts'

/** Throws GatewayError `body_too_large` or `bad_request`. */
export async function readCallerBody (stream: Readable | null, maxBytes: number): Promise<Buffer> {
  if (!stream) return Buffer.alloc(0)
  const chunks: Buffer[] = []
  let size = 0
  return new Promise((resolve, reject) => {
    const stop = () => {
      stream.off('data', onData).off('end', onEnd).off('error', onBroken).off('close', onBroken)
      stream.on('error', () => {})
      stream.resume()
    }
    const onData = (chunk: Buffer) => {
      size += chunk.length
      chunks.push(chunk)
      if (size <= maxBytes) return
      stop()
      reject(new GatewayError('body_too_large'))
    }
    const onEnd = () => {
      stop()
      resolve(Buffer.concat(chunks))
    }
    const onBroken = (cause?: unknown) => {
      stop()
      reject(new GatewayError('bad_request', { detail: 'The body ended early.', cause }))
    }
    stream.on('data', onData).on('end', onEnd).on('error', onBroken).on('close', onBroken)
  })
}
