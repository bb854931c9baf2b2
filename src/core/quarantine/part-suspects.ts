/**
 * Finds the parts of requests that explain the crashes of backend servers. A request that crashes one has sound parts,
 * too, and sound requests may be open at the same backend server. Of the requests that were open at a crash, those that
 * had come furthest are considered, and of their parts the one with the most crashes is the suspect.
 */
import type { BackendServerId } from '../ids/index.ts'
import { CERTAIN_CRASH_LIMIT, CRASH_LIMIT, MAX_PART_CRASHES, SAME_MOMENT_MS } from './constants.ts'

/** One request that was open at a backend server when it crashed. */
export interface PartCrash {
  backendServer: BackendServerId
  /** The run of the backend server that ended. */
  instance: string
  parts: readonly string[]
  /** Whether the backend server had sent the head of its response. Some do so when they accept a request, others with the first event. */
  wasRunning: boolean
  /** Monotonic time. */
  atMs: number
}

export interface Suspect {
  /** Parts that cannot be told apart yet; a request is refused if it has all of them, so that requests with some of them can clear these. */
  parts: readonly string[]
  lastCrashMs: number
  /** Number of instances that crashed with them. */
  crashCount: number
  /** Whether the crashes are more than sound requests may meet that are open at the same backend servers. */
  isCertain: boolean
}

export interface SuspectOptions {
  isCleared(part: string, crash: PartCrash): boolean
  /** Whether a response from before the crash speaks for the part; of parts with the same crashes, another one is the suspect. */
  isLikelySound(part: string, crash: PartCrash): boolean
}

/** Less than one crash divided by the number of instances that can be recorded for a part. */
const TIE_WEIGHT = 1 / (2 * MAX_PART_CRASHES)

/** Returns the parts that were in requests at the end of at least CRASH_LIMIT instances and are not cleared. */
export function findSuspects (crashes: readonly PartCrash[], { isCleared, isLikelySound }: SuspectOptions): Suspect[] {
  const instancesByPart = new Map<string, Set<string>>()
  const likelySoundByPart = new Map<string, Set<string>>()
  const timesByPart = new Map<string, { firstMs: number, lastMs: number }>()
  const open = furthestAtEachCrash(crashes.map(crash => ({ ...crash, parts: crash.parts.filter(part => !isCleared(part, crash)) })))
  for (const crash of open) {
    const { parts, instance, atMs } = crash
    for (const part of parts) {
      instancesByPart.set(part, (instancesByPart.get(part) ?? new Set()).add(instance))
      if (isLikelySound(part, crash)) likelySoundByPart.set(part, (likelySoundByPart.get(part) ?? new Set()).add(instance))
      const { firstMs, lastMs } = timesByPart.get(part) ?? { firstMs: atMs, lastMs: atMs }
      timesByPart.set(part, { firstMs: Math.min(firstMs, atMs), lastMs: Math.max(lastMs, atMs) })
    }
  }
  const countOf = (part: string) => instancesByPart.get(part)!.size
  const weightOf = (part: string) => countOf(part) - TIE_WEIGHT * (likelySoundByPart.get(part)?.size ?? 0)
  // What was open beside the culprit at one moment may meet all crashes of that moment; a later one it meets only by chance.
  const cameAgain = (part: string) => timesByPart.get(part)!.lastMs - timesByPart.get(part)!.firstMs >= SAME_MOMENT_MS
  const candidates = open.map(({ instance, parts, atMs }) => {
    const weight = Math.max(0, ...parts.map(weightOf))
    const suspected = parts.filter(part => weightOf(part) === weight).sort()
    return { instance, atMs, weight, count: Math.max(0, ...suspected.map(countOf)), parts: suspected }
  })
  const highestWeights = new Map<string, number>()
  for (const { instance, weight } of candidates) highestWeights.set(instance, Math.max(weight, highestWeights.get(instance) ?? 0))

  const suspects = new Map<string, Suspect>()
  for (const { instance, count, weight, parts, atMs } of candidates) {
    if (count < CRASH_LIMIT || weight < highestWeights.get(instance)!) continue
    const key = parts.join()
    const known = suspects.get(key)
    suspects.set(key, {
      parts,
      lastCrashMs: Math.max(atMs, known?.lastCrashMs ?? -Infinity),
      crashCount: Math.max(count, known?.crashCount ?? 0),
      isCertain: (count >= CERTAIN_CRASH_LIMIT && parts.some(cameAgain)) || known?.isCertain === true
    })
  }
  return [...suspects.values()]
}

/**
 * The crashes without the requests that a backend server only held while it had begun to respond to others, which ran.
 * Requests of which no part is left do not count: they are sound.
 */
function furthestAtEachCrash (crashes: readonly PartCrash[]): PartCrash[] {
  const unexplained = crashes.filter(({ parts }) => parts.length > 0)
  const instancesThatRan = new Set(unexplained.filter(({ wasRunning }) => wasRunning).map(({ instance }) => instance))
  return unexplained.filter(({ instance, wasRunning }) => wasRunning || !instancesThatRan.has(instance))
}
