/** Errors of the configuration layer that carry more than the catalogue entry. */
import { ConfigError } from '../errors/index.ts'
import type { ConfigKind } from '../object-api/types.ts'
import type { AcceptedChange } from './types.ts'

/** One reason why a change cannot be accepted. */
export interface ConfigProblem {
  kind: ConfigKind
  name: string
  /** Field within the spec, such as `stages.0`; empty for the whole object. */
  path: string
  message: string
  /** Absent object that the field names. */
  missing?: { kind: ConfigKind, name: string }
  /** Counts only against a change of this object itself, so that it cannot block a change of another one. */
  ownChangeOnly?: boolean
}

export class ConfigInvalidError extends ConfigError {
  readonly problems: ConfigProblem[]

  constructor (problems: ConfigProblem[]) {
    super('config_invalid', { detail: problems.map(describeProblem).join('; ') })
    this.problems = problems
  }
}

/** The object has another revision than the change was made on. */
export class ConfigConflictError extends ConfigError {
  /** Revision of the object now; undefined when it does not exist. */
  readonly currentRevision: number | undefined
  /** Changes of the same call that were stored before the conflict. */
  readonly accepted: AcceptedChange[]

  constructor (subject: string, currentRevision: number | undefined, accepted: AcceptedChange[] = []) {
    const state = currentRevision === undefined ? 'it does not exist' : `it is at revision ${currentRevision}`
    const before = accepted.map(change => `${change.kind}/${change.name}`).join(', ')
    super('config_conflict', { detail: `${subject} was changed: ${state}${before ? `; stored before it: ${before}` : ''}` })
    this.currentRevision = currentRevision
    this.accepted = accepted
  }
}

export function describeProblem ({ kind, name, path, message }: ConfigProblem): string {
  return `${kind}/${name}${path ? ` ${path}` : ''}: ${message}`
}
