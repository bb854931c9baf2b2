/**
 * Chooses the VM that gets a request of a VM that is cut off. It answers the load of a partition, where a part of the VMs
 * takes the requests of all: the candidates share it evenly, and it stays in the data centre while enough VMs there can.
 */
import type { DataCentreId, VmId } from '../ids/index.ts'
import { MIN_LOCAL_SHARE } from './constants.ts'

export interface Candidate { vm: VmId, dataCentre: DataCentreId }

export interface ChoiceOptions {
  /** Live VMs, this one included. */
  vms: readonly Candidate[]
  self: Candidate
  /** Whether a VM may be given the request. */
  isUsable: (vm: VmId) => boolean
  /** Requests of this VM that another one is serving now. */
  handedOnTo: (vm: VmId) => number
  random: () => number
}

/** Returns `undefined` if there is no candidate. */
export function choosePeer ({ vms, self, isUsable, handedOnTo, random }: ChoiceOptions): Candidate | undefined {
  const usable = vms.filter(({ vm }) => vm !== self.vm && isUsable(vm))
  const isLocal = ({ dataCentre }: Candidate) => dataCentre === self.dataCentre
  const local = usable.filter(isLocal)
  const localVms = vms.filter(isLocal).length
  const candidates = local.length > 0 && local.length >= localVms * MIN_LOCAL_SHARE ? local : usable
  const pick = () => candidates[Math.floor(random() * candidates.length)]
  const [first, second] = [pick(), pick()]
  if (!first || !second) return undefined
  return handedOnTo(second.vm) < handedOnTo(first.vm) ? second : first
}
