/**
 * Quarantines parts of requests that crash backend servers. A part is one of the prompt, which otherwise unlike requests
 * share, or the whole request, which comes again. Sound requests share the other parts, so each part is judged by itself.
 * The evidence against a part is a backend server that crashes while a request with it is open; a later response to one
 * clears the part. The VMs exchange both, because each of them sees only a few of the crashes.
 */
import type { Clock } from '../clock/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { BackendServerId } from '../ids/index.ts'
import { CERTAIN_CRASH_LIMIT, CERTAIN_TRIAL_DELAY_MS, CERTAIN_TRIAL_REPEAT_MS, EVIDENCE_REPORT_MS, MAX_PART_CRASHES, MAX_TRIAL_SPREAD, QUARANTINE_DURATION_MS, SAME_CRASH_MS, SAME_MOMENT_MS, SOUND_AFTER_SURVIVAL_MS, UNCERTAIN_QUARANTINE_DURATION_MS, UNCERTAIN_TRIAL_REPEAT_MS, UPDATE_COALESCE_MS } from './constants.ts'
import { findSuspects, type PartCrash, type Suspect } from './part-suspects.ts'
import { createRecentSurvivals } from './recent-survivals.ts'

export interface BackendCrash {
  backendServer: BackendServerId
  /** Tells the runs of the backend server apart. */
  instance: string
}

/** A crash as VMs report it to each other; ages replace times, because VMs have no common monotonic clock. */
export interface ReportedPartCrash { backendServer: BackendServerId, instance: string, parts: string[], wasRunning: boolean, ageMs: number }

/** What a VM has learned recently. */
export interface PartEvidence {
  crashes: ReportedPartCrash[]
  /** Time since the latest response that got past its first event began, by part. */
  survivals: Record<string, number>
}

export type Admission = 'accepted' | 'trial' | 'refused'

export interface PartQuarantine {
  /**
   * Records that a backend server crashed while a request was open there that had no part of its answer yet; `parts` are
   * its parts that may be at fault. `wasRunning` states whether the head of the response had come (default). Returns
   * whether this is new.
   */
  recordCrash(crash: BackendCrash, parts: readonly string[], options?: { wasRunning?: boolean }): boolean
  /** Records a response that got past the point of a crash; the backend server began to write it at `begunMs` on the monotonic clock or later. Returns whether it clears a part. */
  recordSurvival(parts: readonly string[], begunMs: number): boolean
  /** Time for which requests with these parts are refused, in milliseconds; 0 if they are not. */
  remainingMs(parts: readonly string[]): number
  /** Decides about a request with these parts. A suspicion that has no response against it admits one request at a time, the trial. */
  admit(parts: readonly string[]): Admission
  /** Calls `onQuarantined` as soon as requests with these parts are refused; returns a function that cancels this. */
  watch(parts: readonly string[], onQuarantined: () => void): () => void
  /** The certain quarantines, with the crashes that are the evidence against exactly their parts. */
  certainQuarantines(): { parts: readonly string[], crashes: ReportedPartCrash[] }[]
  /** Evidence for the other VMs; `undefined` if there is nothing new. */
  recentEvidence(): PartEvidence | undefined
  merge(evidence: PartEvidence): void
}

export interface PartQuarantineOptions {
  /** Called when parts are quarantined after a crash that this VM saw, with the crashes that are the evidence against exactly these parts. */
  onQuarantined?(parts: readonly string[], crashes: readonly ReportedPartCrash[]): void
  /**
   * Place of this VM among the live ones, from 0 to below 1, in the order in which they accept an uncertain suspect again;
   * one attempt then shows all VMs whether it is at fault.
   */
  trialPlace?(parts: readonly string[]): number
  /** Called when a quarantine has ended. */
  onEnded?(parts: readonly string[]): void
  clock: Clock
  log: Log
  metrics: Metrics
}

/** A crash with the name of the run that ended; `reportedInstance` is what the entry of the backend server stated. */
interface RecordedCrash extends PartCrash { reportedInstance: string, learnedMs: number, isOwn: boolean }

/**
 * What the latest response to a part says about a crash with it. One that was begun after the crash clears the part. One
 * from shortly before speaks for it as well: many requests share a part, and those that were open at the crash are no
 * evidence against it. But a part may turn deadly, so that is believed only while the next response can be awaited.
 */
function verdict (begunMs: number | undefined, { atMs }: PartCrash): 'cleared' | 'likely_sound' | 'open' {
  if (begunMs === undefined || begunMs <= atMs - SOUND_AFTER_SURVIVAL_MS) return 'open'
  return begunMs > atMs ? 'cleared' : 'likely_sound'
}

export function createPartQuarantine ({ onQuarantined = () => {}, onEnded = () => {}, trialPlace = () => 0, clock, log, metrics }: PartQuarantineOptions): PartQuarantine {
  /** By run and parts, oldest first. */
  const crashes = new Map<string, RecordedCrash>()
  /** What responses showed before there was a crash to clear. */
  const recentSurvivals = createRecentSurvivals(clock)
  const survivals = new Map<string, { begunMs: number, learnedMs: number }>()
  const watchers = new Set<{ parts: readonly string[], onQuarantined: () => void }>()
  /** The parts that are refused together, with the time of the latest crash. */
  let suspects: Suspect[] = []
  /** The quarantines that have started, by the names of their parts in one text. */
  const started = new Map<string, Suspect>()
  let nextUpdateMs = -Infinity
  /** Whether crashes were recorded that the suspects do not reflect yet. */
  let isStale = false
  /** When the latest trial on this VM began, by the names of the suspected parts in one text. */
  const trialsMs = new Map<string, number>()

  function add ({ backendServer, instance: reportedInstance, parts, wasRunning, atMs }: PartCrash, isOwn: boolean): boolean {
    const instance = runOf(reportedInstance, atMs)
    const key = [instance, ...parts].join()
    if (parts.length === 0 || crashes.has(key) || clock.now() - atMs >= QUARANTINE_DURATION_MS) return false
    if (crashes.size >= MAX_PART_CRASHES) crashes.delete(crashes.keys().next().value!)
    crashes.set(key, { backendServer, instance, reportedInstance, parts, wasRunning, atMs, isOwn, learnedMs: clock.now() })
    for (const part of parts) {
      const begunMs = recentSurvivals.begunMs(part)
      if (begunMs !== undefined) addSurvival(part, begunMs)
    }
    scheduleUpdate(atMs + SOUND_AFTER_SURVIVAL_MS)
    metrics.count('quarantined', isOwn ? 'part_crash_seen' : 'part_crash_reported')
    return true
  }

  /** Updates the suspects when the responses from before a crash no longer speak for its parts; once for crashes of about the same time. */
  function scheduleUpdate (dueMs: number): void {
    if (dueMs <= nextUpdateMs) return
    nextUpdateMs = dueMs + UPDATE_COALESCE_MS
    clock.after(Math.max(0, nextUpdateMs - clock.now()), update)
  }

  /**
   * Name of the run that ended at a time. An entry may still state the instance before a restart, or none, so a later
   * crash of the same instance is one of another run.
   */
  function runOf (instance: string, atMs: number): string {
    const known = [...crashes.values()].find(crash => crash.reportedInstance === instance && Math.abs(crash.atMs - atMs) < SAME_CRASH_MS)
    return known?.instance ?? `${instance}@${Math.round(atMs)}`
  }

  function addSurvival (part: string, begunMs: number): boolean {
    const known = survivals.get(part)
    if (known && known.begunMs >= begunMs) return false
    // Only what clears a part of a recorded crash is kept and reported.
    const isClearing = (crash: PartCrash) => crash.parts.includes(part) && verdict(begunMs, crash) !== 'open' && verdict(known?.begunMs, crash) !== 'cleared'
    if (![...crashes.values()].some(isClearing)) return false
    survivals.set(part, { begunMs, learnedMs: clock.now() })
    return true
  }

  /** Updates the suspects once for all streams that one crash breaks: before they are asked for, or at the end of this turn. */
  function updateSoon (): void {
    if (isStale) return
    isStale = true
    clock.after(0, updateIfStale)
  }

  function updateIfStale (): void {
    if (isStale) update()
  }

  function update (): void {
    isStale = false
    for (const [key, { atMs }] of crashes) if (clock.now() - atMs >= QUARANTINE_DURATION_MS) crashes.delete(key)
    if (crashes.size === 0) survivals.clear()
    suspects = findSuspects([...crashes.values()], {
      isCleared (part, crash) {
        const found = verdict(survivals.get(part)?.begunMs, crash)
        return found === 'cleared' || (found === 'likely_sound' && clock.now() - crash.atMs < SOUND_AFTER_SURVIVAL_MS)
      },
      isLikelySound: (part, crash) => verdict(survivals.get(part)?.begunMs, crash) === 'likely_sound'
    })
    const current = new Map(suspects.map(suspect => [suspect.parts.join(), suspect]))
    for (const [key, suspect] of current) if (!started.has(key) || (suspect.isCertain && !started.get(key)!.isCertain)) start(key, suspect)
    for (const [key, suspect] of [...started]) if (!current.has(key)) end(key, suspect)
    for (const watcher of [...watchers]) if (remainingMs(watcher.parts) > 0) watcher.onQuarantined()
  }

  function start (key: string, suspect: Suspect): void {
    const { parts, isCertain } = suspect
    started.set(key, suspect)
    const evidence = crashesWith(parts)
    metrics.count('quarantined', isCertain ? 'part_started' : 'part_suspected')
    log.warn('parts of requests quarantined', { parts, durationMs: durationMs(suspect), backendServers: evidence.map(({ backendServer }) => backendServer) })
    if (isCertain && evidence.some(({ isOwn }) => isOwn)) onQuarantined(parts, evidence.map(crash => toReport({ ...crash, parts })))
  }

  function crashesWith (parts: readonly string[]) {
    return [...crashes.values()].filter(crash => parts.every(part => crash.parts.includes(part)))
  }

  function end (key: string, { parts, isCertain }: Suspect): void {
    started.delete(key)
    trialsMs.delete(key)
    metrics.count('quarantined', 'part_lifted')
    log.info('quarantine of parts of requests ended', { parts })
    if (isCertain) onEnded(parts)
  }

  function remainingMs (parts: readonly string[]): number {
    return Math.max(0, ...matching(parts).map(suspect => suspect.lastCrashMs + durationMs(suspect) - clock.now()))
  }

  function matching (parts: readonly string[]): Suspect[] {
    updateIfStale()
    const isExpired = ({ lastCrashMs }: Suspect) => clock.now() - lastCrashMs >= QUARANTINE_DURATION_MS
    return suspects.filter(suspect => !isExpired(suspect) && suspect.parts.every(part => parts.includes(part)))
  }

  function durationMs ({ parts, crashCount, isCertain }: Suspect): number {
    if (isCertain) return QUARANTINE_DURATION_MS
    // The trials of the VMs are further apart if there were many crashes, so that all know the result of one before the next.
    const spread = Math.min(MAX_TRIAL_SPREAD, Math.max(1, crashCount - CERTAIN_CRASH_LIMIT))
    return UNCERTAIN_QUARANTINE_DURATION_MS * (1 + spread * trialPlace(parts))
  }

  /** Whether this VM may let one request through to find out whether a suspected part still crashes backend servers. */
  function isTrialDue (suspect: Suspect): boolean {
    const { parts, isCertain, lastCrashMs } = suspect
    const untilNextMs = isCertain ? CERTAIN_TRIAL_REPEAT_MS : UNCERTAIN_TRIAL_REPEAT_MS
    if (clock.now() - (trialsMs.get(parts.join()) ?? -Infinity) < untilNextMs) return false
    if (!isCertain) return clock.now() - lastCrashMs >= durationMs(suspect)
    // Only the first VM tries, and only once: each trial costs a backend server if the part is at fault.
    return trialPlace(parts) === 0 && clock.now() - lastCrashMs >= CERTAIN_TRIAL_DELAY_MS && !hasTrialFailed(suspect)
  }

  /** Whether the last crash was that of a trial of a certain quarantine. */
  function hasTrialFailed ({ parts, lastCrashMs }: Suspect): boolean {
    const earlierMs = crashesWith(parts).map(({ atMs }) => atMs).filter(atMs => atMs < lastCrashMs - SAME_MOMENT_MS)
    return earlierMs.length >= CERTAIN_CRASH_LIMIT && lastCrashMs - Math.max(...earlierMs) >= CERTAIN_TRIAL_DELAY_MS
  }

  function toReport ({ backendServer, reportedInstance: instance, parts, wasRunning, atMs }: RecordedCrash): ReportedPartCrash {
    return { backendServer, instance, parts: [...parts], wasRunning, ageMs: Math.round(clock.now() - atMs) }
  }

  /** Whether a crash may still be one by the request; the others need not be reported. */
  const isUnexplained = (crash: PartCrash) => crash.parts.some(part => verdict(survivals.get(part)?.begunMs, crash) !== 'cleared')
  const isRecent = ({ learnedMs }: { learnedMs: number }) => clock.now() - learnedMs < EVIDENCE_REPORT_MS

  return {
    recordCrash ({ backendServer, instance }, parts, { wasRunning = true } = {}) {
      const isNew = add({ backendServer, instance: `${backendServer}/${instance}`, parts, wasRunning, atMs: clock.now() }, true)
      if (isNew) updateSoon()
      return isNew
    },
    recordSurvival (parts, begunMs) {
      recentSurvivals.record(parts, begunMs)
      if (crashes.size === 0) return false
      const isNew = parts.filter(part => addSurvival(part, begunMs)).length > 0
      if (isNew) update()
      return isNew
    },
    remainingMs,
    admit (parts) {
      const suspected = matching(parts)
      if (suspected.length === 0) return 'accepted'
      if (!suspected.every(isTrialDue)) return 'refused'
      for (const suspect of suspected) trialsMs.set(suspect.parts.join(), clock.now())
      metrics.count('quarantined', 'part_trial')
      log.info('one request is admitted with suspected parts', { parts: suspected.flatMap(suspect => suspect.parts) })
      return 'trial'
    },
    watch (parts, onQuarantined) {
      const watcher = { parts, onQuarantined }
      watchers.add(watcher)
      return () => { watchers.delete(watcher) }
    },
    certainQuarantines () {
      updateIfStale()
      const certain = [...started.values()].filter(({ isCertain }) => isCertain)
      return certain.map(({ parts }) => ({ parts, crashes: crashesWith(parts).map(crash => toReport({ ...crash, parts })) }))
    },
    recentEvidence () {
      const recentCrashes = [...crashes.values()].filter(crash => isRecent(crash) && isUnexplained(crash)).map(toReport)
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
