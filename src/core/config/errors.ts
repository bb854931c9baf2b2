/** Configuration errors that carry structured details in addition to their entry in the error catalogue. */
import { ConfigError } from '../errors/index.ts'
import type { ConfigKind } from '../object-api/types.ts'
import type { AcceptedChange } from './types.ts'

/** One reason why a change is rejected. */
export interface ConfigProblem {
  kind: ConfigKind
  name: string
  /** Field within the spec, such as `stages.0`; empty for the whole object. */
  path: string
  message: string
  /** Object that the field references and that does not exist. */
  missing?: { kind: ConfigKind, name: string }
  /** Whether the problem counts only for changes of this object itself, so that it does not block changes of other objects. */
  ownChangeOnly?: boolean
}

export class ConfigInvalidError extends ConfigError {
  readonly problems: ConfigProblem[]

  constructor (problems: ConfigProblem[]) {
    super('config_invalid', { detail: problems.map(describeProblem).join('; ') })
    this.problems = problems
  }
}

/** Thrown when the current revision of the object differs from the one that the change is based on. */
export class ConfigConflictError extends ConfigError {
  /** Current revision of the object; undefined when it does not exist. */
  readonly currentRevision: number | undefined
  /** Changes of the same call that were stored before the conflict. */
  readonly accepted: AcceptedChange[]

  constructor (subject: string, currentRevision: number | undefined, accepted: AcceptedChange[] = []) {
    const state = currentRevision === undefined ? 'it does not exist' : `it is at revision ${currentRevision}`
    const storedBefore = accepted.map(change => `${change.kind}/${change.name}`).join(', ')
    super('config_conflict', { detail: `${subject} was changed: ${state}${storedBefore ? `; already stored: ${storedBefore}` : ''}` })
    this.currentRevision = currentRevision
    this.accepted = accepted
  }
}

export function describeProblem ({ kind, name, path, message }: ConfigProblem): string {
  return `${kind}/${name}${path ? ` ${path}` : ''}: ${message}`
}
