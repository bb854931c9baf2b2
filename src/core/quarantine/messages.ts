/** Schemas of quarantine messages from other VMs and of quarantine objects in the object API. */
import { z } from 'zod'
import type { BackendServerId } from '../ids/index.ts'
import { MAX_CRASHES, MAX_PART_CRASHES } from './constants.ts'

const fingerprintSchema = z.string().min(1).max(200)
const crashSchema = z.object({
  fingerprint: fingerprintSchema,
  backendServer: z.string().min(1).max(128).transform(value => value as BackendServerId),
  instance: z.string().min(1).max(200)
})

/** Crash of a backend server at which a request with these parts was open. */
export const partCrashSchema = z.object({
  backendServer: crashSchema.shape.backendServer,
  instance: crashSchema.shape.instance,
  parts: z.array(fingerprintSchema).min(1),
  // Absent in what earlier versions of the program report, which know only requests that were running.
  wasRunning: z.boolean().default(true)
})

/** Recent evidence of a VM about parts of requests. */
export const partEvidenceSchema = z.object({
  crashes: z.array(partCrashSchema.extend({ ageMs: z.number().nonnegative() })).max(MAX_PART_CRASHES),
  survivals: z.record(fingerprintSchema, z.number().nonnegative())
})

/** Reports the crashes of one fingerprint, or lifts its quarantine. */
export const notificationSchema = z.union([
  z.object({ crashes: z.array(crashSchema).min(1).max(MAX_CRASHES), remainingMs: z.number().positive() }),
  z.object({ lift: fingerprintSchema })
])
export type QuarantineNotification = z.infer<typeof notificationSchema>

export const quarantineSpecSchema = z.object({ fingerprint: fingerprintSchema, crashes: z.array(crashSchema).max(MAX_CRASHES), untilWallMs: z.number() })
