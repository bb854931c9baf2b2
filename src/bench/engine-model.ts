/**
 * Simulated model engine for benchmarks. Prompts are prefilled one at a time, faster if a prefix is cached; answers are
 * decoded concurrently, more slowly as their number grows. The prefix cache is bounded and its change events arrive late
 * and with gaps. A cold engine that receives more requests than its allowance crashes and restarts.
 */
import type { CacheEvent, HealthReport } from '../core/admission/types.ts'
import type { BackendServerId } from '../core/ids/index.ts'
import type { EventClock } from './event-clock.ts'

/** Prompt tokens prefilled per millisecond. */
const PREFILL_TOKENS_PER_MS = 8
/** Relative increase of the prefill time for each answer being decoded. */
const PREFILL_SLOWDOWN = 0.04
const DECODE_MS_PER_TOKEN = 12
/** Additional time per token for each answer being decoded. */
const DECODE_MS_PER_TOKEN_AND_ANSWER = 1.2
const CACHE_EVENT_DELAY_MS = 800
const CACHE_EVENT_LOSS_SHARE = 0.1

export interface ModelWork {
  id: string
  /** One hash for each prefix of whole blocks, the longest prefix first. */
  prefixHashes: string[]
  tokensPerBlock: number
  promptTokens: number
  outputTokens: number
}

export interface EngineModelOptions {
  id: BackendServerId
  clock: EventClock
  random: () => number
  cacheBlocks: number
  reportLagMs: number
  coldAllowance: number
  /** Time from a restart until the engine is warm. */
  warmUpMs: number
  /** Share of the requests that fail. */
  failureShare?: () => number
  onCacheEvent?: (event: CacheEvent) => void
}

export interface EngineModel {
  readonly instance: string
  readonly inFlight: number
  readonly isWarm: boolean
  /** Number of crashes that were caused by more requests than the cold allowance. */
  readonly overloadCrashes: number
  /** Returns the time to the first token of a request that arrives now, in milliseconds. */
  expectedFirstTokenMs(work: ModelWork): number
  /** Runs a request and resolves with its outcome. */
  run(work: ModelWork, onFirstToken: () => void): Promise<'completed' | 'failed' | 'crashed'>
  health(): HealthReport
  restart(): void
}

export function createEngineModel (options: EngineModelOptions): EngineModel {
  const { id, clock, random, cacheBlocks, reportLagMs, coldAllowance, warmUpMs, failureShare = () => 0, onCacheEvent } = options
  const cache = new Map<string, true>()
  const running = new Set<string>()
  let loadHistory = [{ at: -Infinity, inFlight: 0 }]
  let decodingCount = 0
  let prefillFreeAt = 0
  let boot = 1
  let warmAt = 0
  let sequence = 0
  let overloadCrashes = 0

  const instance = (): string => `${id}#${boot}`
  const isWarm = (): boolean => clock.now() >= warmAt

  function recordLoad (): void {
    loadHistory.push({ at: clock.now(), inFlight: running.size })
  }

  function uncachedTokens ({ prefixHashes, tokensPerBlock, promptTokens }: ModelWork): number {
    const index = prefixHashes.findIndex(hash => cache.has(hash))
    const cachedBlocks = index === -1 ? 0 : prefixHashes.length - index
    return Math.max(1, promptTokens - cachedBlocks * tokensPerBlock)
  }

  function prefillMs (work: ModelWork): number {
    return uncachedTokens(work) / PREFILL_TOKENS_PER_MS * (1 + PREFILL_SLOWDOWN * decodingCount)
  }

  function cachePrefixes (hashes: readonly string[]): void {
    const stored = hashes.filter(hash => !cache.has(hash))
    // The longest prefix is inserted first, so that it is evicted before the shorter prefixes that it extends.
    for (const hash of hashes) {
      cache.delete(hash)
      cache.set(hash, true)
    }
    const removed = [...cache.keys()].slice(0, Math.max(0, cache.size - cacheBlocks))
    for (const hash of removed) cache.delete(hash)
    publishCacheEvent(stored, removed)
  }

  function publishCacheEvent (stored: string[], removed: string[]): void {
    const event: CacheEvent = { backendServer: id, instance: instance(), sequence: ++sequence, stored, removed }
    if (!onCacheEvent || random() < CACHE_EVENT_LOSS_SHARE) return
    clock.after(CACHE_EVENT_DELAY_MS, () => onCacheEvent(event))
  }

  function restart (): void {
    boot++
    warmAt = clock.now() + warmUpMs
    prefillFreeAt = clock.now()
    decodingCount = 0
    sequence = 0
    cache.clear()
    running.clear()
    recordLoad()
  }

  async function run (work: ModelWork, onFirstToken: () => void): Promise<'completed' | 'failed' | 'crashed'> {
    const startBoot = boot
    running.add(work.id)
    recordLoad()
    if (!isWarm() && running.size > coldAllowance) {
      overloadCrashes++
      restart()
    }
    const prefill = prefillMs(work)
    prefillFreeAt = Math.max(prefillFreeAt, clock.now()) + prefill
    cachePrefixes(work.prefixHashes)
    await clock.sleep(prefillFreeAt - clock.now())
    if (boot !== startBoot) return 'crashed'
    onFirstToken()
    decodingCount++
    await clock.sleep(work.outputTokens * (DECODE_MS_PER_TOKEN + DECODE_MS_PER_TOKEN_AND_ANSWER * decodingCount))
    if (boot !== startBoot) return 'crashed'
    decodingCount--
    running.delete(work.id)
    recordLoad()
    return random() < failureShare() ? 'failed' : 'completed'
  }

  return {
    get instance () { return instance() },
    get inFlight () { return running.size },
    get isWarm () { return isWarm() },
    get overloadCrashes () { return overloadCrashes },
    expectedFirstTokenMs: work => Math.max(0, prefillFreeAt - clock.now()) + prefillMs(work),
    run,
    health () {
      const index = loadHistory.findLastIndex(({ at }) => at <= clock.now() - reportLagMs)
      loadHistory = loadHistory.slice(Math.max(0, index))
      return { instance: instance(), state: isWarm() ? 'warm' : 'cold', inFlight: loadHistory[0]!.inFlight }
    },
    restart
  }
}
