/**
 * Prefix cache of the engine stand-in: a bounded LRU cache of blocks. It publishes an event for each stored or removed
 * block, with a delay and with gaps.
 */

export interface CacheEvent {
  sequence: number
  type: 'stored' | 'removed'
  hash: string
  atMs: number
}

export interface PrefixCache {
  /** Returns how many of the blocks were cached, and stores all of them as the most recently used. */
  use(hashes: readonly string[]): number
  /** Returns the events published so far with a higher sequence number. */
  events(afterSequence: number): CacheEvent[]
  /** Discards all blocks and events. */
  clear(): void
}

export interface PrefixCacheOptions {
  blocks: number
  eventLagMs: number
  eventLoss: number
  random: () => number
  now: () => number
}

const MAX_EVENTS = 1000

export function createPrefixCache ({ blocks, eventLagMs, eventLoss, random, now }: PrefixCacheOptions): PrefixCache {
  const cached = new Set<string>()
  let events: CacheEvent[] = []
  let sequence = 0

  function publish (type: CacheEvent['type'], hash: string): void {
    sequence++
    if (random() < eventLoss) return
    events.push({ sequence, type, hash, atMs: now() })
    if (events.length > MAX_EVENTS) events = events.slice(-MAX_EVENTS)
  }

  function storeBlock (hash: string): void {
    if (!cached.delete(hash)) publish('stored', hash)
    cached.add(hash)
    if (cached.size <= blocks) return
    const [oldest] = cached
    cached.delete(oldest!)
    publish('removed', oldest!)
  }

  return {
    use (hashes) {
      const hits = hashes.filter(hash => cached.has(hash)).length
      hashes.forEach(storeBlock)
      return hits
    },
    events: after => events.filter(event => event.sequence > after && event.atMs + eventLagMs <= now()),
    clear () {
      cached.clear()
      events = []
    }
  }
}
