/** Shapes of the quarantine's messages and objects, as they arrive from other VMs and from the object API. */
import { z } from 'zod'
import type { BackendServerId } from '../ids/index.ts'
import { MAX_CRASHES } from './constants.ts'

const fingerprint = z.string().min(1).max(200)
const crash = z.object({
  fingerprint,
  backendServer: z.string().min(1).max(128).transform(value => value as BackendServerId),
  instance: z.string().min(1).max(200)
})

/** Crashes of one fingerprint, or the end of its quarantine. */
export const notificationSchema = z.union([
  z.object({ crashes: z.array(crash).min(1).max(MAX_CRASHES), remainingMs: z.number().positive() }),
  z.object({ lift: fingerprint })
])
export type QuarantineNotification = z.infer<typeof notificationSchema>

export const specSchema = z.object({ fingerprint, crashes: z.array(crash).max(MAX_CRASHES), untilWallMs: z.number() })
