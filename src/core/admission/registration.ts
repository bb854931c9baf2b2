/**
 * Registration of the held permits with a new leader, in one message per data centre and epoch. It is retried with
 * the permits then held until the leader acknowledges it, and no permit is asked for before.
 */
import type { DataCentreId } from '../ids/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import type { HeldPermits } from './held-permits.ts'
import type { LeaderLink } from './leader-link.ts'

export interface Registration {
  /** Registers with the current leader unless that is done; false when there is no leader or it did not answer. */
  ensure(dataCentre: DataCentreId): Promise<boolean>
  /** Epoch of the latest leader that a registration was sent to; 0 before the first one. */
  epoch(dataCentre: DataCentreId): number
}

interface State { epoch: number, isDone: boolean, attempt: Promise<boolean> | undefined }

export interface RegistrationOptions {
  identity: VmIdentity
  held: HeldPermits
  linkOf: (dataCentre: DataCentreId) => LeaderLink | undefined
  onRegistered: (dataCentre: DataCentreId) => void
}

export function createRegistration ({ identity, held, linkOf, onRegistered }: RegistrationOptions): Registration {
  const states = new Map<DataCentreId, State>()

  function stateOf (dataCentre: DataCentreId, epoch: number): State {
    const known = states.get(dataCentre)
    if (known && known.epoch >= epoch) return known
    const created: State = { epoch, isDone: false, attempt: undefined }
    states.set(dataCentre, created)
    return created
  }

  async function register (dataCentre: DataCentreId, link: LeaderLink, state: State): Promise<boolean> {
    const sync = { vm: identity.vm, boot: identity.boot, held: held.toRegister(dataCentre) }
    const answer = await link.sync(sync).catch(() => ({ accepted: false }))
    state.isDone = answer.accepted
    state.attempt = undefined
    if (state.isDone) onRegistered(dataCentre)
    return state.isDone
  }

  return {
    async ensure (dataCentre) {
      const link = linkOf(dataCentre)
      if (!link) return false
      const state = stateOf(dataCentre, link.epoch)
      // The lease module may lag behind a leader that has introduced itself.
      if (state.epoch > link.epoch) return false
      if (state.isDone) return true
      state.attempt ??= register(dataCentre, link, state)
      return state.attempt
    },
    epoch: dataCentre => states.get(dataCentre)?.epoch ?? 0
  }
}
