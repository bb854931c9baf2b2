/**
 * The platform's list of VMs. The list lags, so it is used for two purposes only: as a source of addresses to contact,
 * and to mark members as leaving while the list shows them as leaving. It never adds, revives or removes a member itself.
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

/** One VM in the platform's list. */
export interface PlatformVm {
  id: VmId
  /** Address of the peer port, `IP:PORT`. */
  address: string
  state: 'live' | 'leaving'
}

/** Creates a function that reads the list over HTTP; it rejects when the list cannot be read or is malformed. */
export function createVmListReader ({ url, timeoutMs = 2000 }: { url: string, timeoutMs?: number }): () => Promise<PlatformVm[]> {
  return async () => {
    const { payload } = await Wreck.get<unknown>(url, { json: 'force', timeout: timeoutMs, maxBytes: MAX_LIST_BYTES })
    return listSchema.parse(payload).vms
  }
}

export interface PlatformView {
  /** Replaces the list with one that was read. */
  update(vms: readonly PlatformVm[]): void
  vms(): readonly PlatformVm[]
  /** Whether the list marks this run of a VM as leaving. */
  isLeaving(vm: VmId, firstSeenMs: number | undefined): boolean
}

/**
 * Creates the view of the list. An entry that was leaving before a run of the VM was first seen belongs to an
 * earlier run and is ignored. The first list has no history, so its leaving entries apply to every VM except this one.
 */
export function createPlatformView (self: VmId, clock: Clock): PlatformView {
  const leavingSinceMs = new Map<VmId, number>()
  let latestVms: readonly PlatformVm[] = []
  let isFirstList = true

  return {
    update (vms) {
      const leaving = new Set(vms.filter(({ state }) => state === 'leaving').map(({ id }) => id))
      for (const vm of leavingSinceMs.keys()) {
        if (!leaving.has(vm)) leavingSinceMs.delete(vm)
      }
      for (const vm of leaving) {
        if (leavingSinceMs.has(vm)) continue
        leavingSinceMs.set(vm, isFirstList && vm === self ? -Infinity : clock.now())
      }
      latestVms = vms
      isFirstList = false
    },
    vms: () => latestVms,
    isLeaving (vm, firstSeenMs = Infinity) {
      const sinceMs = leavingSinceMs.get(vm)
      return sinceMs !== undefined && firstSeenMs <= sinceMs
    }
  }
}
