/** Schemas and parsers of request bodies, query parameters and headers. */
import { z } from 'zod'
import type { ConfigChange } from '../config/types.ts'
import { OperatorError } from '../errors/index.ts'
import { CONFIG_KINDS, type ConfigKind } from '../object-api/types.ts'

const nameSchema = z.string().min(1)
const kindSchema = z.enum(CONFIG_KINDS)
const revisionSchema = z.number().int().positive().optional()

/** Spec of an object of any kind; the schema of its kind is applied when the change is validated. */
export const specBodySchema = z.record(z.string(), z.unknown())

export const changesBodySchema = z.strictObject({
  changes: z.array(z.strictObject({
    kind: kindSchema,
    name: nameSchema,
    /** Null deletes the object. */
    spec: z.record(z.string(), z.unknown()).nullable(),
    resourceVersion: revisionSchema
  })).min(1).max(1000)
})

export const targetBodySchema = z.strictObject({
  kind: z.enum(['DataCentre', 'VirtualMachine', 'BackendServer']),
  name: nameSchema
})

/** The fields other than `name` form the spec of the Rollout object. */
export const rolloutBodySchema = z.looseObject({ name: nameSchema })

export const inForceQuerySchema = z.strictObject({
  revision: z.coerce.number().int().nonnegative(),
  timeout_ms: z.coerce.number().int().min(0).max(60_000).default(9000)
})

export function parseInput<Schema extends z.ZodType> (schema: Schema, input: unknown): z.infer<Schema> {
  const result = schema.safeParse(input)
  if (result.success) return result.data
  const detail = result.error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`).join('; ')
  throw new OperatorError('bad_request', { detail })
}

export function parseKind (value: string): ConfigKind {
  const result = kindSchema.safeParse(value)
  if (result.success) return result.data
  throw new OperatorError('config_not_found', { detail: `no kind ${value}; kinds are ${CONFIG_KINDS.join(', ')}` })
}

/** Converts a parsed body to changes. Specs are checked against the schema of their kind when the changes are validated. */
export function toChanges (body: z.infer<typeof changesBodySchema>): ConfigChange[] {
  return body.changes.map(change => ({ ...change, resourceVersion: change.resourceVersion }) as unknown as ConfigChange)
}

/** Parses the revision in an `If-Match` header, such as `"12"` or `12`. */
export function parseIfMatch (header: string | undefined): number | undefined {
  if (header === undefined) return undefined
  const match = /^"?(\d+)"?$/.exec(header.trim())
  if (!match) throw new OperatorError('bad_request', { detail: `If-Match: found ${header}; allowed: a revision such as "12"` })
  return Number(match[1])
}
