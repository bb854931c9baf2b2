/**
 * Registers the held permits with a new leader, in one message per data centre and epoch. The registration is retried
 * with the permits held at that time until the leader acknowledges it, and no permit is requested before.
 */
import type { DataCentreId } from '../ids/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import type { HeldPermits } from './held-permits.ts'
import type { LeaderLink } from './leader-link.ts'

export interface Registration {
  /** Registers with the current leader unless already done; false when there is no leader or it did not accept. */
  ensure(dataCentre: DataCentreId): Promise<boolean>
  /** Epoch of the latest leader to which a registration was sent; 0 before the first one. */
  epoch(dataCentre: DataCentreId): number
}

interface RegistrationState { epoch: number, isRegistered: boolean, attempt: Promise<boolean> | undefined }

export interface RegistrationOptions {
  identity: VmIdentity
  held: HeldPermits
  linkOf: (dataCentre: DataCentreId) => LeaderLink | undefined
  onRegistered: (dataCentre: DataCentreId) => void
}

export function createRegistration ({ identity, held, linkOf, onRegistered }: RegistrationOptions): Registration {
  const states = new Map<DataCentreId, RegistrationState>()

  function stateOf (dataCentre: DataCentreId, epoch: number): RegistrationState {
    const existing = states.get(dataCentre)
    if (existing && existing.epoch >= epoch) return existing
    const created: RegistrationState = { epoch, isRegistered: false, attempt: undefined }
    states.set(dataCentre, created)
    return created
  }

  async function register (dataCentre: DataCentreId, link: LeaderLink, state: RegistrationState): Promise<boolean> {
    const sync = { vm: identity.vm, boot: identity.boot, held: held.toRegister(dataCentre) }
    const answer = await link.sync(sync).catch(() => ({ accepted: false }))
    state.isRegistered = answer.accepted
    state.attempt = undefined
    if (state.isRegistered) onRegistered(dataCentre)
    return state.isRegistered
  }

  return {
    async ensure (dataCentre) {
      const link = linkOf(dataCentre)
      if (!link) return false
      const state = stateOf(dataCentre, link.epoch)
      // The lease module may report an older epoch than that of a leader that has already announced itself.
      if (state.epoch > link.epoch) return false
      if (state.isRegistered) return true
      state.attempt ??= register(dataCentre, link, state)
      return state.attempt
    },
    epoch: dataCentre => states.get(dataCentre)?.epoch ?? 0
  }
}
