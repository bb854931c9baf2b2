/**
 * Updates that still have to be spread. Each goes out a bounded number of times that grows with the logarithm of the
 * group; those sent least often go first. The queue holds VM ids only, so an update that is overtaken costs nothing.
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
  const transmits = new Map<VmId, number>()

  return {
    push (vm) {
      transmits.set(vm, 0)
    },
    remove (vm) {
      transmits.delete(vm)
    },
    take (groupSize) {
      const limit = UPDATE_TRANSMIT_FACTOR * Math.ceil(Math.log2(groupSize + 1))
      const taken = [...transmits].sort((left, right) => left[1] - right[1]).slice(0, MAX_UPDATES_PER_MESSAGE)
      for (const [vm, count] of taken) {
        if (count + 1 >= limit) transmits.delete(vm)
        else transmits.set(vm, count + 1)
      }
      return taken.map(([vm]) => vm)
    },
    isEmpty: () => transmits.size === 0
  }
}
