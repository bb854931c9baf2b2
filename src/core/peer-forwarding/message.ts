/**
 * The header with which a VM marks a request that it hands to another one. It states what the receiver cannot learn from
 * the caller's own headers, with an HMAC by the key of the links between the VMs: callers connect to the same address.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { z } from 'zod'
import { brandId, type ModelId, type RequestId, type VmId } from '../ids/index.ts'

/** In a request that was handed on by another VM. */
export const FORWARDED_HEADER = 'Lacewingstage-Forwarded'
/** In an error response to such a request: the name of the error, because the status alone does not say whose it is. */
export const FORWARDED_ERROR_HEADER = 'Lacewingstage-Error'
/** In a stream for such a request: the model that makes it. */
export const FORWARDED_MODEL_HEADER = 'Lacewingstage-Model'

/** In a response to such a request whose end only the close of its connection marked at the backend server. */
export const FORWARDED_UNFRAMED_HEADER = 'Lacewingstage-Unframed'
/** Headers of a response that are statements of the VM that received the request. */
export const FORWARDED_STATEMENTS: readonly string[] = [FORWARDED_ERROR_HEADER, FORWARDED_MODEL_HEADER, FORWARDED_UNFRAMED_HEADER]

const FORMAT = 1
/** Longest value that is read. */
const MAX_HEADER_LENGTH = 2048

/** What the VM that handed a request on states about it. */
export interface Origin {
  vm: VmId
  /** Time left until the sender's deadline, in milliseconds. */
  remainingMs: number
  /** Times that the request has been sent to a backend server already. */
  attempts: number
  /** Times that the receiver may send it; the sender keeps the others for the case that it gets no response. */
  maxAttempts: number
  /** Version of the configuration by which the sender has admitted it. */
  configVersion: number
  /** Last event that the caller has got, and the model that made it, if this continues a stream. */
  lastEventId?: number | undefined
  model?: ModelId | undefined
}

/** What the HMAC binds the statement to. */
export interface ForwardedTarget { receiver: VmId, id: RequestId | undefined, method: string, target: string }

const originSchema = z.object({
  format: z.literal(FORMAT),
  vm: z.string().min(1),
  remainingMs: z.number().nonnegative(),
  attempts: z.number().int().nonnegative(),
  maxAttempts: z.number().int().nonnegative(),
  configVersion: z.number(),
  lastEventId: z.number().int().nonnegative().optional(),
  model: z.string().optional()
})

function computeMac (key: string, text: string, { receiver, id, method, target }: ForwardedTarget): Buffer {
  return createHmac('sha256', key).update(JSON.stringify([text, receiver, id ?? null, method, target])).digest()
}

export function encodeOrigin (origin: Origin, target: ForwardedTarget, key: string): string {
  const text = Buffer.from(JSON.stringify({ format: FORMAT, ...origin })).toString('base64url')
  return `${text}.${computeMac(key, text, target).toString('base64url')}`
}

/** Returns `undefined` for a value that no VM with one of the keys has made for this request. */
export function decodeOrigin (value: string, target: ForwardedTarget, keys: readonly string[]): Origin | undefined {
  const [text = '', mac = '', ...more] = value.length <= MAX_HEADER_LENGTH ? value.split('.') : []
  if (more.length > 0) return undefined
  const given = Buffer.from(mac, 'base64url')
  const isValid = keys.some(key => {
    const expected = computeMac(key, text, target)
    return given.length === expected.length && timingSafeEqual(given, expected)
  })
  if (!isValid) return undefined
  const parsed = originSchema.safeParse(parseJson(Buffer.from(text, 'base64url').toString()))
  if (!parsed.success) return undefined
  const { vm, model, format: _format, ...rest } = parsed.data
  return { ...rest, vm: brandId<VmId>(vm), model: model === undefined ? undefined : brandId<ModelId>(model) }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
