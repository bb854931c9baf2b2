/**
 * Bytes of a message that is received in chunks of any size. Small chunks are copied into growing blocks: a buffer for
 * each of a million one-byte chunks takes 400 bytes per byte.
 */
import { KEPT_CHUNK_BYTES, MAX_BLOCK_BYTES, MIN_BLOCK_BYTES } from './constants.ts'

/** The bytes of a complete message, in order. */
export interface Blocks {
  blocks: readonly Buffer[]
  bytes: number
}

export interface BlockWriter {
  add(chunk: Buffer): void
  /** Bytes received. */
  bytes(): number
  finish(): Blocks
}

export interface BlockWriterOptions {
  /** Length of the message, if it is known. */
  expectedBytes?: number | undefined
  /** Called with the size of each new block. */
  onGrow?: (bytes: number) => void
  /** Called with the bytes that were copied from a chunk; the buffer in which they arrived takes memory until it is collected. */
  onCopy?: (bytes: number) => void
}

/** Whether a chunk is at least half of the buffer that it keeps in memory. */
function fillsBuffer ({ length, buffer }: Buffer): boolean {
  return length * 2 >= buffer.byteLength
}

/** The bytes of a chunk that is kept for longer, without a much larger buffer in which they arrived. */
export function compact (chunk: Buffer): Buffer {
  if (fillsBuffer(chunk)) return chunk
  const copy = Buffer.allocUnsafeSlow(chunk.length)
  chunk.copy(copy)
  return copy
}

export function createBlockWriter ({ expectedBytes = Infinity, onGrow = () => {}, onCopy = () => {} }: BlockWriterOptions = {}): BlockWriter {
  const blocks: Buffer[] = []
  let current: Buffer | undefined
  let filled = 0
  let bytes = 0
  /** Bytes copied since the last chunk that was kept; blocks grow with them, so that a few bytes between kept chunks take little. */
  let copiedBytes = 0

  function closeBlock (): void {
    if (current && filled > 0) blocks.push(filled === current.length ? current : current.subarray(0, filled))
    current = undefined
    filled = 0
  }

  function openBlock (neededBytes: number): Buffer {
    const missingBytes = Math.max(1, expectedBytes - bytes)
    const size = Math.min(MAX_BLOCK_BYTES, missingBytes, Math.max(MIN_BLOCK_BYTES, neededBytes, copiedBytes))
    onGrow(size)
    return Buffer.allocUnsafeSlow(size)
  }

  return {
    add (chunk) {
      if (chunk.length >= KEPT_CHUNK_BYTES && fillsBuffer(chunk)) {
        closeBlock()
        blocks.push(chunk)
        bytes += chunk.length
        copiedBytes = 0
        onGrow(chunk.buffer.byteLength)
        return
      }
      for (let offset = 0; offset < chunk.length;) {
        if (current && filled === current.length) closeBlock()
        current ??= openBlock(chunk.length - offset)
        const copied = chunk.copy(current, filled, offset)
        filled += copied
        offset += copied
        bytes += copied
        copiedBytes += copied
      }
      onCopy(chunk.length)
    },
    bytes: () => bytes,
    finish () {
      closeBlock()
      return { blocks, bytes }
    }
  }
}
