/** Stores validated changes one at a time with conditional writes and converts object API errors to configuration errors. */
import { ConfigError, errorMessage, LacewingError } from '../errors/index.ts'
import type { ObjectApi, StoredObject } from '../object-api/types.ts'
import { ConfigConflictError } from './errors.ts'
import type { AcceptedChange, ConfigChange, ConfigRecord } from './types.ts'

export interface WriterOptions {
  objectApi: ObjectApi
  /** Receives each record immediately after it was stored, so that it is in force before the next one is written. */
  onStored: (record: ConfigRecord) => void
  /** Receives the current state of an object whose write failed with a conflict. */
  onConflictingState: (record: ConfigRecord) => void
}

/** Stores changes, not atomically: if one fails, the earlier ones remain stored and the error lists them. */
export async function storeChanges (changes: readonly ConfigChange[], { objectApi, onStored, onConflictingState }: WriterOptions): Promise<AcceptedChange[]> {
  const accepted: AcceptedChange[] = []
  for (const change of changes) {
    try {
      const record = await storeChange(objectApi, change)
      onStored(record)
      accepted.push({ kind: record.kind, name: record.name, resourceVersion: record.resourceVersion })
    } catch (error) {
      throw await toConfigError(error, change, accepted, objectApi, onConflictingState)
    }
  }
  return accepted
}

async function storeChange (objectApi: ObjectApi, { kind, name, spec, resourceVersion }: ConfigChange): Promise<ConfigRecord> {
  if (spec === null) {
    if (resourceVersion === undefined) throw new ConfigError('config_invalid', { detail: `${kind}/${name}: a deletion requires the revision that it is based on` })
    const deletedAt = await objectApi.delete(kind, name, resourceVersion)
    return { kind, name, spec: null, resourceVersion: deletedAt, writeId: '', deleted: true }
  }
  const stored = resourceVersion === undefined
    ? await objectApi.create(kind, name, spec)
    : await objectApi.update(kind, name, spec, resourceVersion)
  return { ...stored, kind, deleted: false }
}

async function toConfigError (
  error: unknown, { kind, name }: ConfigChange, accepted: AcceptedChange[], objectApi: ObjectApi, onConflictingState: WriterOptions['onConflictingState']
): Promise<unknown> {
  if (!(error instanceof LacewingError) || error instanceof ConfigError) return error
  const subject = `${kind}/${name}`
  const storedBefore = accepted.map(change => `${change.kind}/${change.name}`).join(', ')
  const suffix = storedBefore ? `; already stored: ${storedBefore}` : ''
  switch (error.kind) {
    case 'object_conflict':
    case 'object_exists':
    case 'object_not_found': {
      const current = await readCurrent(objectApi, kind, name)
      if (current) onConflictingState({ ...current, kind, deleted: false } as ConfigRecord)
      return new ConfigConflictError(subject, current?.resourceVersion, accepted)
    }
    case 'object_write_unknown':
      return new ConfigError('config_outcome_unknown', { detail: `${subject}: ${error.message}${suffix}`, cause: error })
    default:
      return new ConfigError('config_unavailable', { detail: `${subject} was not stored: ${errorMessage(error)}${suffix}`, cause: error })
  }
}

async function readCurrent (objectApi: ObjectApi, kind: ConfigChange['kind'], name: string): Promise<StoredObject | undefined> {
  try {
    return await objectApi.get(kind, name)
  } catch {
    return undefined
  }
}
