/**
 * Finds the parts of requests that explain the crashes of backend servers. A request that crashes one has sound parts,
 * too, and sound requests may be open at the same backend server, so the part with the most crashes is the suspect at
 * each of them.
 */
import type { BackendServerId } from '../ids/index.ts'
import { CRASH_LIMIT, SAME_MOMENT_MS, UNCERTAIN_CRASH_LIMIT } from './constants.ts'

/** One request that was open at a backend server when it crashed. */
export interface PartCrash {
  backendServer: BackendServerId
  /** The run of the backend server that ended. */
  instance: string
  parts: readonly string[]
  /** Whether the backend server was known to run the request, and not only to hold it. */
  wasRunning: boolean
  /** Monotonic time. */
  atMs: number
}

export interface Suspect {
  /** Parts that cannot be told apart yet; a request is refused if it has all of them, so that requests with some of them can clear these. */
  parts: readonly string[]
  lastCrashMs: number
  /** Whether the crashes are more than sound requests may meet that are open at the same backend servers. */
  isCertain: boolean
}

/** Returns the parts that were in requests at the end of at least CRASH_LIMIT instances and are not cleared. */
export function findSuspects (crashes: readonly PartCrash[], isCleared: (part: string, crash: PartCrash) => boolean): Suspect[] {
  const instancesByPart = new Map<string, Set<string>>()
  const timesByPart = new Map<string, { firstMs: number, lastMs: number }>()
  const open = crashes.map(crash => ({ ...crash, parts: crash.parts.filter(part => !isCleared(part, crash)) }))
  for (const { parts, instance, atMs } of open) {
    for (const part of parts) {
      instancesByPart.set(part, (instancesByPart.get(part) ?? new Set()).add(instance))
      const { firstMs, lastMs } = timesByPart.get(part) ?? { firstMs: atMs, lastMs: atMs }
      timesByPart.set(part, { firstMs: Math.min(firstMs, atMs), lastMs: Math.max(lastMs, atMs) })
    }
  }
  const countOf = (part: string) => instancesByPart.get(part)!.size
  // What was open beside the culprit at one moment may meet all crashes of that moment; a later one it meets only by chance.
  const cameAgain = (part: string) => timesByPart.get(part)!.lastMs - timesByPart.get(part)!.firstMs >= SAME_MOMENT_MS
  const candidates = open.map(({ instance, parts, atMs, wasRunning }) => {
    const count = Math.max(0, ...parts.map(countOf))
    return { instance, atMs, count, wasRunning, parts: parts.filter(part => countOf(part) === count).sort() }
  })
  const highestCounts = new Map<string, number>()
  for (const { instance, count } of candidates) highestCounts.set(instance, Math.max(count, highestCounts.get(instance) ?? 0))

  const suspects = new Map<string, Suspect>()
  for (const { instance, count, parts, atMs, wasRunning } of candidates) {
    if (count < CRASH_LIMIT || count < highestCounts.get(instance)!) continue
    const key = parts.join()
    const known = suspects.get(key)
    suspects.set(key, {
      parts,
      lastCrashMs: Math.max(atMs, known?.lastCrashMs ?? -Infinity),
      isCertain: wasRunning || (count >= UNCERTAIN_CRASH_LIMIT && parts.some(cameAgain)) || known?.isCertain === true
    })
  }
  return [...suspects.values()]
}
