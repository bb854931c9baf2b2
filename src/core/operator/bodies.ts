/** Schemas of request bodies and queries, and their parsing into typed values. */
import { z } from 'zod'
import type { ConfigChange } from '../config/types.ts'
import { OperatorError } from '../errors/index.ts'
import { CONFIG_KINDS, type ConfigKind } from '../object-api/types.ts'

const name = z.string().min(1)
const kind = z.enum(CONFIG_KINDS)
const revision = z.number().int().positive().optional()

/** Spec of an object; its kind's schema is applied when the change is validated. */
export const specBody = z.record(z.string(), z.unknown())

export const changesBody = z.strictObject({
  changes: z.array(z.strictObject({
    kind,
    name,
    /** Null deletes the object. */
    spec: z.record(z.string(), z.unknown()).nullable(),
    resourceVersion: revision
  })).min(1).max(1000)
})

export const targetBody = z.strictObject({
  kind: z.enum(['DataCentre', 'VirtualMachine', 'BackendServer']),
  name
})

/** The other fields are those of a Rollout object. */
export const rolloutBody = z.looseObject({ name })

export const inForceQuery = z.strictObject({
  revision: z.coerce.number().int().nonnegative(),
  timeout_ms: z.coerce.number().int().min(0).max(60_000).default(9000)
})

export function parseBody<Schema extends z.ZodType> (schema: Schema, found: unknown): z.infer<Schema> {
  const result = schema.safeParse(found)
  if (result.success) return result.data
  const detail = result.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`).join('; ')
  throw new OperatorError('bad_request', { detail })
}

export function parseKind (found: string): ConfigKind {
  const result = kind.safeParse(found)
  if (result.success) return result.data
  throw new OperatorError('config_not_found', { detail: `no kind ${found}; kinds are ${CONFIG_KINDS.join(', ')}` })
}

/** Specs are checked against their schema when the change is validated. */
export function toChanges (body: z.infer<typeof changesBody>): ConfigChange[] {
  return body.changes.map(change => ({ ...change, resourceVersion: change.resourceVersion }) as unknown as ConfigChange)
}

/** Revision of an `If-Match` header, such as `"12"` or `12`. */
export function parseIfMatch (header: string | undefined): number | undefined {
  if (header === undefined) return undefined
  const match = /^"?(\d+)"?$/.exec(header.trim())
  if (!match) throw new OperatorError('bad_request', { detail: `If-Match: found ${header}; allowed: a revision such as "12"` })
  return Number(match[1])
}
