/**
 * Turns in which the VMs try a backend server that several of them failed to use: one VM in each turn, by rendezvous order,
 * so that a server that is down gets one request at a time and not one from each VM.
 */
import type { Clock } from '../clock/index.ts'
import type { BackendServerId, VmId } from '../ids/index.ts'
import { hashText, rendezvousOrder } from '../placement/rendezvous.ts'
import { FREQUENT_TRIALS_MS, LATER_TRIAL_TURNS, TRIAL_TURN_MS } from './constants.ts'

export interface TrialTurnsOptions {
  vms: () => readonly VmId[]
  self: VmId
  clock: Clock
}

export function createTrialTurns ({ vms, self, clock }: TrialTurnsOptions) {
  /** VM whose turn it is, by backend server. */
  const trialVms = new Map<BackendServerId, { turn: number, vm: VmId | undefined }>()
  /** The turns differ between VMs by the error of their clocks, which is small beside a turn. */
  const current = () => Math.floor(clock.wallMs() / TRIAL_TURN_MS)

  return {
    current,
    /** Whether it is the turn of this VM to try the server. */
    isOwn (id: BackendServerId): boolean {
      const turn = current()
      const known = trialVms.get(id)
      if (known?.turn === turn) return known.vm === self
      const [vm] = rendezvousOrder(`trial/${id}/${turn}`, vms())
      trialVms.set(id, { turn, vm })
      return vm === self
    },
    /** Whether nobody tries the server in this turn. Each trial of a bad server takes a retry, so later ones are rarer. */
    isSkipped (id: BackendServerId, trialSinceMs: number): boolean {
      return clock.now() - trialSinceMs > FREQUENT_TRIALS_MS && (current() + hashText(id)) % LATER_TRIAL_TURNS !== 0
    },
    forget (id: BackendServerId): void { trialVms.delete(id) }
  }
}
