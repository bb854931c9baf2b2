/**
 * Which VMs refuse requests for lack of memory or connections, for the load of callers that overload one VM while others
 * have room: the directory prefers the others. Each VM reports its own state and passes on what it has heard, with the
 * age. What is not renewed expires, so a VM whose reports are late counts as accepting.
 */
import type { Clock } from '../clock/index.ts'
import type { VmId } from '../ids/index.ts'
import { MAX_REFUSAL_AGE_MS, MAX_REPORTED_REFUSALS } from './constants.ts'

/** Age in ms of what is known of each VM that refuses. */
export type RefusalReport = Record<VmId, number>

export interface FleetRefusals {
  isRefusing(vm: VmId): boolean
  /** `undefined` if no VM refuses. */
  report(): RefusalReport | undefined
  /** Ignores what cannot be read. */
  merge(report: RefusalReport): void
}

export interface FleetRefusalsOptions {
  self: VmId
  isSelfRefusing: () => boolean
  clock: Pick<Clock, 'now'>
  maxAgeMs?: number
  /** Largest number of VMs in a report; the most recent ones are kept. */
  maxReported?: number
}

export function createFleetRefusals ({ self, isSelfRefusing, clock, maxAgeMs = MAX_REFUSAL_AGE_MS, maxReported = MAX_REPORTED_REFUSALS }: FleetRefusalsOptions): FleetRefusals {
  /** Times at which the other VMs last refused, as far as this one knows. */
  const lastMs = new Map<VmId, number>()

  function current (): [VmId, number][] {
    for (const [vm, atMs] of lastMs) if (clock.now() - atMs > maxAgeMs) lastMs.delete(vm)
    const others = [...lastMs].map(([vm, atMs]): [VmId, number] => [vm, Math.round(clock.now() - atMs)])
    return isSelfRefusing() ? [[self, 0], ...others] : others
  }

  return {
    isRefusing: vm => (vm === self ? isSelfRefusing() : clock.now() - (lastMs.get(vm) ?? -Infinity) <= maxAgeMs),
    report () {
      const newest = current().sort(([, a], [, b]) => a - b).slice(0, maxReported)
      return newest.length > 0 ? Object.fromEntries(newest) : undefined
    },
    merge (report) {
      if (typeof report !== 'object') return
      for (const [vm, ageMs] of Object.entries(report).slice(0, maxReported) as [VmId, number][]) {
        if (vm === self || !(ageMs >= 0 && ageMs <= maxAgeMs)) continue
        lastMs.set(vm, Math.max(lastMs.get(vm) ?? -Infinity, clock.now() - ageMs))
      }
    }
  }
}

/**
 * VMs for the directory. Those that refuse are omitted while at least half of them accept; with fewer, they are listed
 * last, because the few that accept could not carry the requests of all.
 */
export function preferAccepting (vms: readonly VmId[], isRefusing: (vm: VmId) => boolean): VmId[] {
  const accepting = vms.filter(vm => !isRefusing(vm))
  if (accepting.length > 0 && accepting.length * 2 >= vms.length) return accepting
  return [...accepting, ...vms.filter(isRefusing)]
}
