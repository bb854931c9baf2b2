/**
 * The sessions that run on one of the two versions of a trial, on any VM. A session on the new version must not change
 * back, and one on the old version must not move in the first stage, but each VM puts only a part of the sessions on
 * trial, and the requests of a session may reach any VM. The VMs therefore tell each other with the load reports. A session is named by a hash of
 * its key and passed on when it is new, or when its last request is much later than the one that was passed on before.
 * The age of the request is sent along, so a session that two VMs tell each other does not become younger.
 */
import type { Clock } from '../clock/index.ts'
import type { Audience } from '../pacing/index.ts'
import { hashText } from '../placement/rendezvous.ts'
import { MAX_REPORTED_SESSIONS, MAX_TRIAL_SESSIONS, SESSION_REPORT_MS, SESSION_REFRESH_SHARE } from './constants.ts'

export interface TrialSessionsOptions {
  /** Distinguishes the sessions of this trial from those of others. */
  trial: string
  /** Longest pause between two requests of one session, in milliseconds. */
  sessionMs: number
  clock: Clock
}

/** `dueMs`: when the session was last found to be worth passing on. */
interface TrialSession { lastMs: number, dueMs: number, reportedMs: number }

/** Hash of 31 bits in base 36. Among 2,000 sessions, one request in a million is taken for one of another session. */
const CODE_LENGTH = 6
const AGE_UNIT_MS = 100
/** Ages are sent as one digit in base 36; older requests are sent as this old. */
const MAX_AGE_UNITS = 35
const ENTRY_LENGTH = CODE_LENGTH + 1
const REPORT_PATTERN = new RegExp(`^(?:[0-9a-z]{${ENTRY_LENGTH}}){1,${MAX_REPORTED_SESSIONS}}$`)

export function createTrialSessions ({ trial, sessionMs, clock }: TrialSessionsOptions) {
  const refreshMs = SESSION_REFRESH_SHARE * sessionMs
  /** By code; those whose last request became known most recently are last. */
  const sessions = new Map<string, TrialSession>()

  const codeOf = (sessionKey: string) => (hashText(`session/${trial}/${sessionKey}`) >>> 1).toString(36).padStart(CODE_LENGTH, '0')
  /** Requests on other VMs are known up to `refreshMs` late. */
  const isCurrent = ({ lastMs }: TrialSession) => clock.now() - lastMs <= sessionMs + refreshMs

  function update (code: string, lastMs: number): void {
    const known = sessions.get(code)
    if (known && lastMs <= known.lastMs) return
    const isDue = !known || lastMs - known.reportedMs >= refreshMs
    sessions.delete(code)
    sessions.set(code, { lastMs, dueMs: isDue ? clock.now() : known.dueMs, reportedMs: isDue ? lastMs : known.reportedMs })
    for (const [oldest, session] of sessions) {
      if (sessions.size <= MAX_TRIAL_SESSIONS && isCurrent(session)) break
      sessions.delete(oldest)
    }
  }

  return {
    /** Records a request of the session on the version, at a monotonic time. */
    record (sessionKey: string, atMs = clock.now()): void { update(codeOf(sessionKey), atMs) },
    /** Monotonic time of the latest known request of the session on the version; `undefined` if there is no recent one. */
    lastMs (sessionKey: string): number | undefined {
      const session = sessions.get(codeOf(sessionKey))
      return session && isCurrent(session) ? session.lastMs : undefined
    },
    /** The latest sessions worth passing on, or `undefined` if there are none; at most 7 bytes for each of 75. */
    report (audience: Audience): string | undefined {
      const due = [...sessions].filter(([, { dueMs }]) => clock.now() - dueMs <= SESSION_REPORT_MS[audience]).slice(-MAX_REPORTED_SESSIONS)
      const entries = due.map(([code, { lastMs }]) => code + Math.min(MAX_AGE_UNITS, Math.ceil((clock.now() - lastMs) / AGE_UNIT_MS)).toString(36))
      return entries.length > 0 ? entries.join('') : undefined
    },
    /** Takes in the report of another VM; returns whether it was readable. */
    merge (report: unknown): boolean {
      if (typeof report !== 'string' || !REPORT_PATTERN.test(report)) return false
      for (let at = 0; at < report.length; at += ENTRY_LENGTH) {
        const age = parseInt(report[at + CODE_LENGTH]!, 36) * AGE_UNIT_MS
        update(report.slice(at, at + CODE_LENGTH), clock.now() - age)
      }
      return true
    }
  }
}

export type TrialSessions = ReturnType<typeof createTrialSessions>
