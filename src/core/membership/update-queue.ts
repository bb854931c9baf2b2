/**
 * Queue of updates to disseminate. Each update is sent a bounded number of times, which grows with the logarithm of the
 * group size; updates sent least often go first. The queue holds VM ids only, so a superseded update takes no space.
 */
import type { VmId } from '../ids/index.ts'
import { MAX_UPDATES_PER_MESSAGE, UPDATE_TRANSMIT_FACTOR } from './constants.ts'

export interface UpdateQueue {
  push(vm: VmId): void
  remove(vm: VmId): void
  /** VMs whose records go into the next message. */
  take(groupSize: number): VmId[]
  isEmpty(): boolean
}

export function createUpdateQueue (): UpdateQueue {
  const transmitCounts = new Map<VmId, number>()

  return {
    push (vm) {
      transmitCounts.set(vm, 0)
    },
    remove (vm) {
      transmitCounts.delete(vm)
    },
    take (groupSize) {
      const limit = UPDATE_TRANSMIT_FACTOR * Math.ceil(Math.log2(groupSize + 1))
      const selected = [...transmitCounts].sort((left, right) => left[1] - right[1]).slice(0, MAX_UPDATES_PER_MESSAGE)
      for (const [vm, count] of selected) {
        if (count + 1 >= limit) transmitCounts.delete(vm)
        else transmitCounts.set(vm, count + 1)
      }
      return selected.map(([vm]) => vm)
    },
    isEmpty: () => transmitCounts.size === 0
  }
}
