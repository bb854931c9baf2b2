/**
 * The platform's list of VMs. It lags, so it is used for two things only: as addresses to contact, and to mark members
 * as leaving while the list shows them so. It never adds, revives or removes a member by itself.
 */
import Wreck from '@hapi/wreck'
import { z } from 'zod'
import type { Clock } from '../clock/index.ts'
import type { VmId } from '../ids/index.ts'

const MAX_LIST_BYTES = 1024 * 1024

const listSchema = z.object({
  vms: z.array(z.object({
    id: z.string().min(1).max(128).transform(value => value as VmId),
    address: z.string().max(64),
    state: z.enum(['live', 'leaving'])
  }))
})

/** One VM as the platform lists it. */
export interface PlatformVm {
  id: VmId
  /** Address of the peer port, `IP:PORT`. */
  address: string
  state: 'live' | 'leaving'
}

/** Creates a function that reads the list over HTTP; it rejects when the list cannot be read or has another shape. */
export function createVmListReader ({ url, timeoutMs = 2000 }: { url: string, timeoutMs?: number }): () => Promise<PlatformVm[]> {
  return async () => {
    const { payload } = await Wreck.get<unknown>(url, { json: 'force', timeout: timeoutMs, maxBytes: MAX_LIST_BYTES })
    return listSchema.parse(payload).vms
  }
}

export interface PlatformView {
  /** Takes over a list that was read. */
  update(vms: readonly PlatformVm[]): void
  vms(): readonly PlatformVm[]
  /** Whether the list marks this run of a VM as leaving. */
  isLeaving(vm: VmId, firstSeenMs: number | undefined): boolean
}

/**
 * Creates the view of the list. An entry that was leaving before a run of the VM was first seen belongs to an earlier
 * run and is ignored. The first list has no such history and counts for every VM but this one.
 */
export function createPlatformView (self: VmId, clock: Clock): PlatformView {
  const leavingSinceMs = new Map<VmId, number>()
  let current: readonly PlatformVm[] = []
  let isFirst = true

  return {
    update (vms) {
      const leaving = new Set(vms.filter(({ state }) => state === 'leaving').map(({ id }) => id))
      for (const vm of leavingSinceMs.keys()) {
        if (!leaving.has(vm)) leavingSinceMs.delete(vm)
      }
      for (const vm of leaving) {
        if (leavingSinceMs.has(vm)) continue
        leavingSinceMs.set(vm, isFirst && vm === self ? -Infinity : clock.now())
      }
      current = vms
      isFirst = false
    },
    vms: () => current,
    isLeaving (vm, firstSeenMs = Infinity) {
      const sinceMs = leavingSinceMs.get(vm)
      return sinceMs !== undefined && firstSeenMs <= sinceMs
    }
  }
}
