/**
 * The sessions whose requests run on this VM or ended a short time ago, with the version that they ran on. A session that
 * has begun on the old version before an order must not move to the new one in the first stage of the trial, and its
 * next request may come long after the start of the one before, as answers take seconds.
 */
import type { Clock } from '../clock/index.ts'
import type { ServiceId, VersionId } from '../ids/index.ts'
import { MAX_RECENT_SESSIONS } from './constants.ts'

export interface RecentSession {
  sessionKey: string
  /** Version of the latest request. */
  version: VersionId
  /** Number of its requests that run. */
  running: number
  /** Monotonic time at which the latest request began or ended. */
  lastMs: number
}

export interface RecentSessionsOptions {
  /** Longest pause between two requests of one session, in milliseconds. */
  sessionMs: number
  clock: Clock
}

export function createRecentSessions ({ sessionMs, clock }: RecentSessionsOptions) {
  /** By service and key; those that were used last come last. */
  const services = new Map<ServiceId, Map<string, RecentSession>>()

  const isCurrent = ({ running, lastMs }: RecentSession) => running > 0 || clock.now() - lastMs <= sessionMs

  function touch (sessions: Map<string, RecentSession>, session: RecentSession): void {
    session.lastMs = clock.now()
    sessions.delete(session.sessionKey)
    sessions.set(session.sessionKey, session)
    for (const [oldestKey, oldest] of sessions) {
      if (sessions.size <= MAX_RECENT_SESSIONS && isCurrent(oldest)) break
      sessions.delete(oldestKey)
    }
  }

  return {
    /** Records the start of a request on a version; returns a function that records its end. */
    begin (service: ServiceId, sessionKey: string, version: VersionId): () => void {
      const sessions = services.get(service) ?? new Map<string, RecentSession>()
      services.set(service, sessions)
      const session = sessions.get(sessionKey) ?? { sessionKey, version, running: 0, lastMs: 0 }
      session.version = version
      session.running++
      touch(sessions, session)
      return () => {
        session.running--
        touch(sessions, session)
      }
    },
    /** Sessions with requests that run or have ended within the longest pause. */
    list: (service: ServiceId): RecentSession[] => [...services.get(service)?.values() ?? []].filter(isCurrent)
  }
}
