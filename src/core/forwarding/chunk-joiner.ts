/** Joins the chunks of a body that one read of its connection brings, so that each costs one copy and no memory of its own. */

/** Smallest buffer that chunks are joined in; it doubles up to the size of a read. */
const MIN_JOINED_BYTES = 1024

export interface ChunkJoiner {
  add(chunk: Buffer): void
  /** Returns the joined bytes and starts anew; `undefined` if there are none. */
  take(): Buffer | undefined
  clear(): void
  /** Memory that is held. */
  heldBytes(): number
}

export function createChunkJoiner (): ChunkJoiner {
  /** A single chunk is passed on as it is. */
  let single: Buffer | undefined
  let joined: Buffer | undefined
  let filled = 0

  function copy (chunk: Buffer): void {
    const needed = filled + chunk.length
    if (!joined || needed > joined.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(MIN_JOINED_BYTES, needed, 2 * (joined?.length ?? 0)))
      joined?.copy(grown, 0, 0, filled)
      joined = grown
    }
    chunk.copy(joined, filled)
    filled = needed
  }

  function clear (): void {
    single = joined = undefined
    filled = 0
  }

  return {
    add (chunk) {
      if (!single && !joined) {
        single = chunk
        return
      }
      if (single) copy(single)
      single = undefined
      copy(chunk)
    },
    take () {
      const bytes = single ?? joined?.subarray(0, filled)
      clear()
      return bytes
    },
    clear,
    heldBytes: () => single?.buffer.byteLength ?? joined?.length ?? 0
  }
}
