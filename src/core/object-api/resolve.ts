/**
 * Finds out by reading back whether a write whose answer was lost took effect. All writes are conditional and carry
 * the version they replace, so the object that is read decides:
 * - it carries the id of the write: landed;
 * - another write replaced the same version: not landed, and it cannot land later;
 * - the version that the write replaces is still there: the write may be on its way and land after the read, so
 *   reading goes on, and at the deadline the outcome is unknown;
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
  base: number
}

export type WriteOutcome =
  | { outcome: 'landed', object: StoredObject | undefined }
  | { outcome: 'not_landed', current: StoredObject }
  | { outcome: 'unknown' }

type Finding = WriteOutcome | { outcome: 'pending' }

export interface ResolveOptions {
  /** Returns undefined when the object does not exist; throws when it cannot be read. */
  read: () => Promise<VersionedObject | undefined>
  clock: Clock
  deadlineMs: number
  random: () => number
}

export async function resolveWrite (write: PendingWrite, { read, clock, deadlineMs, random }: ResolveOptions): Promise<WriteOutcome> {
  for (let attempt = 0; ; attempt++) {
    const finding = await readOnce(write, read)
    if (finding.outcome !== 'pending') return finding
    const waitMs = backoffMs(attempt, random)
    if (clock.now() + waitMs >= deadlineMs) return { outcome: 'unknown' }
    await clock.sleep(waitMs)
  }
}

async function readOnce (write: PendingWrite, read: ResolveOptions['read']): Promise<Finding> {
  try {
    return judge(write, await read())
  } catch {
    return { outcome: 'pending' }
  }
}

function judge (write: PendingWrite, found: VersionedObject | undefined): Finding {
  if (!found) return judgeAbsent(write)
  const { object, base } = found
  if (object.writeId === write.writeId) return { outcome: 'landed', object }
  if (object.resourceVersion === write.base) return { outcome: 'pending' }
  if (base === write.base) return { outcome: 'not_landed', current: object }
  return { outcome: 'unknown' }
}

/** An absent object proves a delete; an update may have landed before somebody deleted the object. */
function judgeAbsent ({ operation }: PendingWrite): Finding {
  if (operation === 'delete') return { outcome: 'landed', object: undefined }
  return { outcome: operation === 'create' ? 'pending' : 'unknown' }
}
