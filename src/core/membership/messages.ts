/**
 * Wire format of the membership messages. A member is encoded as an array rather than an object to keep pings small.
 * Decoders return undefined for malformed input.
 */
import { z } from 'zod'
import type { BootId, DataCentreId, RegionId, VmId } from '../ids/index.ts'
import { MAX_MEMBERS } from './constants.ts'
import { DEAD, type Health, type MemberRecord } from './merge.ts'

/** Bit that is set for a leaving member in the flags of a record; the two lowest bits hold the health. */
const LEAVING_FLAG = 4

const idSchema = z.string().min(1).max(128)
const recordSchema = z.tuple([
  idSchema, idSchema, idSchema, z.string().max(64), z.string().max(256),
  z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER / 2),
  z.number().int().min(0).max(DEAD + LEAVING_FLAG).refine(flags => (flags & 3) <= DEAD)
])
const recordsSchema = z.array(recordSchema).max(MAX_MEMBERS)
const gossipSchema = z.object({
  /** Region of all records. */
  r: idSchema,
  /** The sender. */
  s: recordSchema,
  /** Updates, or the full list. */
  u: recordsSchema,
  /** Whether `u` is the full list; the answer then contains the full list too. */
  f: z.boolean().optional(),
  /** Digest of the sender's list. */
  d: z.number().int().nonnegative(),
  /** Payload of the configuration replica. */
  p: z.unknown().optional()
})
const pingRequestSchema = z.object({ vm: idSchema, t: z.number().int().min(1).max(10_000) })

export type WireRecord = z.infer<typeof recordSchema>

export interface Gossip {
  sender: MemberRecord
  updates: MemberRecord[]
  isFullList: boolean
  digest: number
  payload?: unknown
}

/** Asks the receiver to ping a VM. */
export interface PingRequest {
  vm: VmId
  timeoutMs: number
}

export function encodeGossip ({ sender, updates, isFullList, digest, payload }: Gossip): unknown {
  return {
    r: sender.region,
    s: encodeRecord(sender),
    u: updates.map(encodeRecord),
    d: digest,
    ...(isFullList && { f: true }),
    ...(payload !== undefined && { p: payload })
  }
}

export function decodeGossip (body: unknown): Gossip | undefined {
  const result = gossipSchema.safeParse(body)
  if (!result.success) return undefined
  const { r, s, u, f, d, p } = result.data
  const region = r as RegionId
  const updates = u.map(record => decodeRecord(record, region))
  return { sender: decodeRecord(s, region), updates, isFullList: f ?? false, digest: d, payload: p }
}

export function encodePingRequest ({ vm, timeoutMs }: PingRequest): unknown {
  return { vm, t: Math.ceil(timeoutMs) }
}

export function decodePingRequest (body: unknown): PingRequest | undefined {
  const result = pingRequestSchema.safeParse(body)
  if (!result.success) return undefined
  return { vm: result.data.vm as VmId, timeoutMs: result.data.t }
}

function encodeRecord ({ vm, boot, dataCentre, peerAddress, callerUrl, incarnation, health, leaving }: MemberRecord): WireRecord {
  return [vm, boot, dataCentre, peerAddress, callerUrl, incarnation, health + (leaving ? LEAVING_FLAG : 0)]
}

function decodeRecord ([vm, boot, dataCentre, peerAddress, callerUrl, incarnation, flags]: WireRecord, region: RegionId): MemberRecord {
  return {
    vm: vm as VmId,
    boot: boot as BootId,
    region,
    dataCentre: dataCentre as DataCentreId,
    peerAddress,
    callerUrl,
    incarnation,
    health: (flags & 3) as Health,
    leaving: (flags & LEAVING_FLAG) !== 0
  }
}
