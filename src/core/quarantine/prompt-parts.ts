/**
 * Quarantines prompt parts that crash engines. The requests that share such a part are otherwise unlike, and sound
 * requests share their other parts, so each part is judged by itself. The evidence against a part is a backend server
 * that ends a response to it before its first event; a later first event of a response to it clears the part. The VMs
 * exchange both, because each of them sees only a few of the crashes.
 */
import type { Clock } from '../clock/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { BackendServerId } from '../ids/index.ts'
import { CRASH_LIMIT, EVIDENCE_REPORT_MS, MAX_PART_CRASHES, QUARANTINE_DURATION_MS } from './constants.ts'
import { findSuspects, type PartCrash } from './part-suspects.ts'

export interface EngineCrash {
  backendServer: BackendServerId
  /** Tells the runs of the backend server apart. */
  instance: string
}

/** A crash as VMs report it to each other; ages replace times, because VMs have no common monotonic clock. */
export interface ReportedPartCrash { backendServer: BackendServerId, instance: string, parts: string[], ageMs: number }

/** What a VM has learned recently. */
export interface PartEvidence {
  crashes: ReportedPartCrash[]
  /** Time since the latest response that got past its first event began, by part. */
  survivals: Record<string, number>
}

export interface PartQuarantine {
  /**
   * Records that a backend server ended a response before its first event; `parts` are the parts of the prompt that may be
   * at fault. Returns whether this is new.
   */
  recordCrash(crash: EngineCrash, parts: readonly string[]): boolean
  /** Records the first event of a response that began at `begunMs` on the monotonic clock. Returns whether it clears a part. */
  recordSurvival(parts: readonly string[], begunMs: number): boolean
  /** Time for which requests with these parts are refused, in milliseconds; 0 if they are not. */
  remainingMs(parts: readonly string[]): number
  /** Calls `onQuarantined` as soon as requests with these parts are refused; returns a function that cancels this. */
  watch(parts: readonly string[], onQuarantined: () => void): () => void
  /** Evidence for the other VMs; `undefined` if there is nothing new. */
  recentEvidence(): PartEvidence | undefined
  merge(evidence: PartEvidence): void
}

export interface PartQuarantineOptions {
  /** Called when parts are quarantined after a crash that this VM saw, with the crashes that are the evidence against exactly these parts. */
  onQuarantined?(parts: readonly string[], crashes: readonly ReportedPartCrash[]): void
  /** Called when a quarantine has ended. */
  onEnded?(parts: readonly string[]): void
  clock: Clock
  log: Log
  metrics: Metrics
}

export function createPartQuarantine ({ onQuarantined = () => {}, onEnded = () => {}, clock, log, metrics }: PartQuarantineOptions): PartQuarantine {
  /** By instance and parts, oldest first. */
  const crashes = new Map<string, PartCrash & { learnedMs: number, isOwn: boolean }>()
  const survivals = new Map<string, { begunMs: number, learnedMs: number }>()
  const watchers = new Set<{ parts: readonly string[], onQuarantined: () => void }>()
  /** The parts that are refused together, with the time of the latest crash. */
  let suspects: { parts: readonly string[], lastCrashMs: number }[] = []
  /** The parts of the quarantines that have started, by their names in one text. */
  const started = new Map<string, readonly string[]>()

  function add ({ backendServer, instance, parts, atMs }: PartCrash, isOwn: boolean): boolean {
    const key = [instance, ...parts].join()
    if (parts.length === 0 || crashes.has(key) || clock.now() - atMs >= QUARANTINE_DURATION_MS) return false
    if (crashes.size >= MAX_PART_CRASHES) crashes.delete(crashes.keys().next().value!)
    crashes.set(key, { backendServer, instance, parts, atMs, isOwn, learnedMs: clock.now() })
    metrics.count('quarantined', isOwn ? 'part_crash_seen' : 'part_crash_reported')
    return true
  }

  function addSurvival (part: string, begunMs: number): boolean {
    const known = survivals.get(part)
    if (known && known.begunMs >= begunMs) return false
    // Only what clears a part of a recorded crash is kept and reported.
    if (![...crashes.values()].some(({ parts, atMs }) => parts.includes(part) && atMs < begunMs && (known?.begunMs ?? -Infinity) < atMs)) return false
    survivals.set(part, { begunMs, learnedMs: clock.now() })
    return true
  }

  function update (): void {
    for (const [key, { atMs }] of crashes) if (clock.now() - atMs >= QUARANTINE_DURATION_MS) crashes.delete(key)
    if (crashes.size === 0) survivals.clear()
    const isCleared = (part: string, { atMs }: PartCrash) => (survivals.get(part)?.begunMs ?? -Infinity) > atMs
    suspects = findSuspects([...crashes.values()], isCleared, CRASH_LIMIT)
    for (const { parts } of suspects) if (!started.has(parts.join())) start(parts)
    for (const parts of [...started.values()]) if (!suspects.some(suspect => suspect.parts.join() === parts.join())) end(parts)
    for (const watcher of [...watchers]) if (isRefused(watcher.parts)) watcher.onQuarantined()
  }

  function start (parts: readonly string[]): void {
    started.set(parts.join(), parts)
    const evidence = [...crashes.values()].filter(crash => parts.every(part => crash.parts.includes(part)))
    metrics.count('quarantined', 'part_started')
    log.warn('prompt parts quarantined', { parts, backendServers: evidence.map(({ backendServer }) => backendServer) })
    if (evidence.some(({ isOwn }) => isOwn)) onQuarantined(parts, evidence.map(crash => toReport({ ...crash, parts })))
  }

  function end (parts: readonly string[]): void {
    started.delete(parts.join())
    metrics.count('quarantined', 'part_lifted')
    log.info('quarantine of prompt parts ended', { parts })
    onEnded(parts)
  }

  function isRefused (parts: readonly string[]): boolean {
    return suspects.some(suspect => suspect.parts.every(part => parts.includes(part)))
  }

  function toReport ({ backendServer, instance, parts, atMs }: PartCrash): ReportedPartCrash {
    return { backendServer, instance, parts: [...parts], ageMs: Math.round(clock.now() - atMs) }
  }

  const isRecent = ({ learnedMs }: { learnedMs: number }) => clock.now() - learnedMs < EVIDENCE_REPORT_MS

  return {
    recordCrash ({ backendServer, instance }, parts) {
      const isNew = add({ backendServer, instance: `${backendServer}/${instance}`, parts, atMs: clock.now() }, true)
      if (isNew) update()
      return isNew
    },
    recordSurvival (parts, begunMs) {
      if (crashes.size === 0) return false
      const isNew = parts.filter(part => addSurvival(part, begunMs)).length > 0
      if (isNew) update()
      return isNew
    },
    remainingMs (parts) {
      const matching = suspects.filter(suspect => suspect.parts.every(part => parts.includes(part)))
      return Math.max(0, ...matching.map(({ lastCrashMs }) => lastCrashMs + QUARANTINE_DURATION_MS - clock.now()))
    },
    watch (parts, onQuarantined) {
      const watcher = { parts, onQuarantined }
      watchers.add(watcher)
      return () => { watchers.delete(watcher) }
    },
    recentEvidence () {
      const recentCrashes = [...crashes.values()].filter(isRecent).map(toReport)
      const recentSurvivals = [...survivals].filter(([, survival]) => isRecent(survival)).map(([part, { begunMs }]) => [part, Math.round(clock.now() - begunMs)] as const)
      if (recentCrashes.length + recentSurvivals.length === 0) return undefined
      return { crashes: recentCrashes, survivals: Object.fromEntries(recentSurvivals) }
    },
    merge (evidence) {
      const added = evidence.crashes.filter(({ ageMs, ...crash }) => add({ ...crash, atMs: clock.now() - ageMs }, false))
      const cleared = Object.entries(evidence.survivals).filter(([part, ageMs]) => addSurvival(part, clock.now() - ageMs))
      if (added.length + cleared.length > 0) update()
    }
  }
}
