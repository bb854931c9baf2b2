/**
 * Finds the prompt parts that explain the crashes of engines. A request that crashes one carries sound parts, too, and
 * sound requests may be open at the same engine, so the part with the most crashes is the suspect at each of them.
 */
import type { BackendServerId } from '../ids/index.ts'

/** One request whose response a backend server ended before the first event. */
export interface PartCrash {
  backendServer: BackendServerId
  /** The run of the backend server that ended. */
  instance: string
  parts: readonly string[]
  /** Monotonic time. */
  atMs: number
}

export interface Suspect {
  /** Parts that cannot be told apart yet; a request is refused if it has all of them, so that requests with some of them can clear these. */
  parts: readonly string[]
  lastCrashMs: number
}

/** Returns the parts that were in requests at the end of at least `crashLimit` instances and are not cleared. */
export function findSuspects (crashes: readonly PartCrash[], isCleared: (part: string, crash: PartCrash) => boolean, crashLimit: number): Suspect[] {
  const instancesByPart = new Map<string, Set<string>>()
  const open = crashes.map(crash => ({ ...crash, parts: crash.parts.filter(part => !isCleared(part, crash)) }))
  for (const { parts, instance } of open) {
    for (const part of parts) instancesByPart.set(part, (instancesByPart.get(part) ?? new Set()).add(instance))
  }
  const countOf = (part: string) => instancesByPart.get(part)!.size
  const candidates = open.map(({ instance, parts, atMs }) => {
    const count = Math.max(0, ...parts.map(countOf))
    return { instance, atMs, count, parts: parts.filter(part => countOf(part) === count).sort() }
  })
  const highestCounts = new Map<string, number>()
  for (const { instance, count } of candidates) highestCounts.set(instance, Math.max(count, highestCounts.get(instance) ?? 0))

  const suspects = new Map<string, Suspect>()
  for (const { instance, count, parts, atMs } of candidates) {
    if (count < crashLimit || count < highestCounts.get(instance)!) continue
    const key = parts.join()
    suspects.set(key, { parts, lastCrashMs: Math.max(atMs, suspects.get(key)?.lastCrashMs ?? -Infinity) })
  }
  return [...suspects.values()]
}
