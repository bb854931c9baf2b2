/**
 * Determines by reading whether a write whose response was lost took effect. All writes are conditional and contain
 * the version that they replace, so the state of the object shows the outcome:
 * - the object has the id of the write: the write took effect;
 * - another write replaced the same version: the write did not take effect and cannot do so later;
 * - the object still has the version that the write replaces: the write may be in transit and take effect after the
 *   read, so the read is repeated until the deadline, after which the outcome is unknown;
 * - anything else: unknown.
 */
import type { Clock } from '../clock/index.ts'
import { backoffMs } from './backoff.ts'
import type { ObjectKind, StoredObject } from './types.ts'
import type { VersionedObject } from './wire.ts'

export interface PendingWrite {
  operation: 'create' | 'update' | 'delete'
  kind: ObjectKind
  name: string
  writeId: string
  /** Version that the write replaces, 0 for a create. */
  baseVersion: number
}

/** `landed`: the write took effect; `not_landed`: it did not and cannot. The names are part of a metric label. */
export type WriteOutcome =
  | { outcome: 'landed', object: StoredObject | undefined }
  | { outcome: 'not_landed', current: StoredObject }
  | { outcome: 'unknown' }

type ReadOutcome = WriteOutcome | { outcome: 'pending' }

export interface ResolveOptions {
  /** Returns undefined when the object does not exist; throws when it cannot be read. */
  read: () => Promise<VersionedObject | undefined>
  clock: Clock
  deadlineMs: number
  random: () => number
}

export async function resolveWrite (write: PendingWrite, { read, clock, deadlineMs, random }: ResolveOptions): Promise<WriteOutcome> {
  for (let attempt = 0; ; attempt++) {
    const result = await readOutcome(write, read)
    if (result.outcome !== 'pending') return result
    const waitMs = backoffMs(attempt, random)
    if (clock.now() + waitMs >= deadlineMs) return { outcome: 'unknown' }
    await clock.sleep(waitMs)
  }
}

async function readOutcome (write: PendingWrite, read: ResolveOptions['read']): Promise<ReadOutcome> {
  try {
    return classifyObject(write, await read())
  } catch {
    return { outcome: 'pending' }
  }
}

function classifyObject (write: PendingWrite, found: VersionedObject | undefined): ReadOutcome {
  if (!found) return classifyAbsence(write)
  const { object, baseVersion } = found
  if (object.writeId === write.writeId) return { outcome: 'landed', object }
  if (object.resourceVersion === write.baseVersion) return { outcome: 'pending' }
  if (baseVersion === write.baseVersion) return { outcome: 'not_landed', current: object }
  return { outcome: 'unknown' }
}

/**
 * A delete counts as done when the object is absent, even if another client deleted it. An update may have taken effect
 * before another client deleted the object.
 */
function classifyAbsence ({ operation }: PendingWrite): ReadOutcome {
  if (operation === 'delete') return { outcome: 'landed', object: undefined }
  return { outcome: operation === 'create' ? 'pending' : 'unknown' }
}
