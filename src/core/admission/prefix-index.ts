/**
 * Expected content of each backend server's prefix cache: the prefixes sent to it, corrected by its cache events. The
 * events may arrive late and with gaps. After a gap, prefixes that no later event or request has confirmed count half,
 * because the lost events may have reported their removal.
 */
import { MAX_PREFIXES_PER_BACKEND_SERVER } from './constants.ts'
import type { BackendServerId } from '../ids/index.ts'
import type { CacheEvent } from './types.ts'

const UNCERTAIN_WEIGHT = 0.5

interface BackendCache {
  instance: string | undefined
  sequence: number | undefined
  /** Number of gaps so far. Prefixes last confirmed before the latest gap are uncertain. */
  generation: number
  /** Generation in which each prefix was last confirmed, least recently confirmed first. */
  prefixes: Map<string, number>
}

export interface PrefixIndex {
  recordSent(backendServer: BackendServerId, prefixHashes: readonly string[]): void
  apply(event: CacheEvent): void
  /** Drops the entries of a backend server that turned cold: a restart empties its cache. */
  clear(backendServer: BackendServerId): void
  /** Share of the prompt that is expected to be cached. The hashes are ordered from longest to shortest prefix. */
  cachedShare(backendServer: BackendServerId, prefixHashes: readonly string[]): number
}

export function createPrefixIndex ({ maxPrefixes = MAX_PREFIXES_PER_BACKEND_SERVER } = {}): PrefixIndex {
  const caches = new Map<BackendServerId, BackendCache>()

  function cacheOf (backendServer: BackendServerId): BackendCache {
    const existing = caches.get(backendServer)
    if (existing) return existing
    const created: BackendCache = { instance: undefined, sequence: undefined, generation: 0, prefixes: new Map() }
    caches.set(backendServer, created)
    return created
  }

  function confirm (cache: BackendCache, prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      cache.prefixes.delete(prefix)
      cache.prefixes.set(prefix, cache.generation)
    }
    for (const oldest of cache.prefixes.keys()) {
      if (cache.prefixes.size <= maxPrefixes) break
      cache.prefixes.delete(oldest)
    }
  }

  return {
    recordSent: (backendServer, prefixHashes) => confirm(cacheOf(backendServer), prefixHashes),
    apply ({ backendServer, instance, sequence, stored, removed }) {
      const cache = cacheOf(backendServer)
      if (cache.instance === instance && cache.sequence !== undefined) {
        if (sequence <= cache.sequence) return
        if (sequence > cache.sequence + 1) cache.generation++
      }
      cache.instance = instance
      cache.sequence = sequence
      for (const prefix of removed) cache.prefixes.delete(prefix)
      confirm(cache, stored)
    },
    clear: backendServer => { caches.delete(backendServer) },
    cachedShare (backendServer, prefixHashes) {
      const cache = caches.get(backendServer)
      // A prefix is cached only with all shorter ones, so one lookup of the shortest rules out most backend servers.
      if (!cache || !cache.prefixes.has(prefixHashes.at(-1) ?? '')) return 0
      const index = prefixHashes.findIndex(prefix => cache.prefixes.has(prefix))
      if (index === -1) return 0
      const isCertain = cache.prefixes.get(prefixHashes[index]!) === cache.generation
      const share = (prefixHashes.length - index) / prefixHashes.length
      return isCertain ? share : share * UNCERTAIN_WEIGHT
    }
  }
}
