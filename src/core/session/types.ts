/** Types of session affinity. */
import type { ModelId, SessionId, TeamId, VersionId } from '../ids/index.ts'

/** Content of the object `SessionPin/<hash of team, model and session>`. */
export interface SessionPinSpec {
  team: TeamId
  model: ModelId
  session: string
  version: VersionId
}

/** Content of the object `SessionPin/roster.<model>.<slot>`: sessions that began while the model had one version. */
export interface SessionRosterSpec {
  model: ModelId
  /** Per version, the session hashes of 11 characters each, concatenated without a separator. */
  versions: Record<string, string>
}

export interface SessionRequest {
  team: TeamId
  model: ModelId
  /** From header `x-session-id`. */
  session?: SessionId
  /** From header `x-lacewingstage-session`. */
  token?: string
  /** Active and permitted versions of the model, with their weights. */
  candidates: { version: VersionId, weight: number }[]
}

export interface SessionVersion {
  version: VersionId
  /** Returned to the caller in `x-lacewingstage-session`. */
  token?: string
  /** Previous version of the session, if it is withdrawn or no longer permitted. */
  movedFrom?: VersionId
  /** How the version was found: `hash` during an outage of the object API, `none` for a caller without a session. */
  source: 'token' | 'pin' | 'new' | 'hash' | 'none'
}

export interface Sessions {
  /** Throws RoutingError `no_permitted_version` if there are no candidates. */
  resolve(request: SessionRequest): Promise<SessionVersion>
  stop(): Promise<void>
}
