/** Reads a request body up to a size limit. The excess is discarded, so that the caller still gets the response. */
import type { Readable } from 'node:stream'
import { GatewayError } from '../errors/index.ts'

/** Throws GatewayError `body_too_large` or `bad_request`. */
export async function readCallerBody (stream: Readable | null, maxBytes: number): Promise<Buffer> {
  if (!stream) return Buffer.alloc(0)
  const chunks: Buffer[] = []
  let size = 0
  return new Promise((resolve, reject) => {
    const detach = () => {
      stream.off('data', onData).off('end', onEnd).off('error', onPrematureClose).off('close', onPrematureClose)
      stream.on('error', () => {})
      stream.resume()
    }
    const onData = (chunk: Buffer) => {
      size += chunk.length
      chunks.push(chunk)
      if (size <= maxBytes) return
      detach()
      reject(new GatewayError('body_too_large'))
    }
    const onEnd = () => {
      detach()
      resolve(Buffer.concat(chunks))
    }
    const onPrematureClose = (cause?: unknown) => {
      detach()
      reject(new GatewayError('bad_request', { detail: 'The body ended early.', cause }))
    }
    stream.on('data', onData).on('end', onEnd).on('error', onPrematureClose).on('close', onPrematureClose)
  })
}
