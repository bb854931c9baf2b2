/**
 * Local admission while a data centre has no leader because the object API is down. Every VM computes the same shares
 * of the warm slots, so that the shares of a backend server add up to its slots without coordination. A backend server
 * that is cold or not known to be warm gets no requests, and each VM has at most one unconfirmed request per backend
 * server.
 */
import { createHash } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import type { BackendServer, ConfigView } from '../config/types.ts'
import { brandId, randomId, type BackendServerId, type DataCentreId, type PermitId, type VmId } from '../ids/index.ts'
import type { Membership } from '../membership/types.ts'
import type { HeldRecord } from './held-permits.ts'
import { createRetryBudget } from './retry-budget.ts'
import type { LeaderSummary, PassedOver, Permit, PermitAnswer, PermitRefusalReason, PermitRelease, PermitRequest } from './types.ts'
import { DEFAULT_RETRY_AFTER_MS } from './constants.ts'

export interface LocalAdmission {
  admit(dataCentre: DataCentreId, request: PermitRequest, summary: LeaderSummary): PermitAnswer
  recordFirstByte(permit: Permit, instance: string): void
  recordRelease(permit: Permit, outcome: PermitRelease['outcome'], instance: string | undefined): void
  /** Drops the state collected during the outage; called when a leader tracks the backend servers again. */
  reset(dataCentre: DataCentreId): void
}

export interface LocalAdmissionOptions {
  vm: VmId
  view: ConfigView
  membership: Membership
  clock: Clock
  held: () => Iterable<HeldRecord>
  permitStartMs: number
  retryBudgetShare: number
}

interface LocalBackendState { dataCentre: DataCentreId, instance: string | undefined, unconfirmed: Set<PermitId>, cold: boolean }

/**
 * Slots of one backend server that a VM may use: the quotient of slots and VMs, and one slot of the remainder for each of
 * the VMs that come first in the rendezvous-hash order.
 */
export function localShare (backendServer: BackendServerId, slots: number, vms: readonly VmId[], vm: VmId): number {
  const rank = [...vms].sort((a, b) => compareRank(backendServer, a, b)).indexOf(vm)
  if (rank === -1) return 0
  return Math.floor(slots / vms.length) + (rank < slots % vms.length ? 1 : 0)
}

function compareRank (backendServer: BackendServerId, a: VmId, b: VmId): number {
  const [first, second] = [rendezvousHash(backendServer, a), rendezvousHash(backendServer, b)]
  return first < second ? -1 : first > second ? 1 : 0
}

function rendezvousHash (backendServer: BackendServerId, vm: VmId): string {
  return createHash('sha256').update(`${backendServer}\n${vm}`).digest('hex')
}

export function createLocalAdmission (options: LocalAdmissionOptions): LocalAdmission {
  const { vm, view, membership, clock, held, permitStartMs } = options
  const states = new Map<BackendServerId, LocalBackendState>()
  const retryBudget = createRetryBudget({ share: options.retryBudgetShare, now: () => clock.now() })

  function stateOf (backendServer: BackendServerId, dataCentre: DataCentreId): LocalBackendState {
    const state = states.get(backendServer) ?? { dataCentre, instance: undefined, unconfirmed: new Set(), cold: false }
    states.set(backendServer, state)
    return state
  }

  function heldAt (backendServer: BackendServerId): number {
    return [...held()].filter(({ permit }) => permit.backendServer === backendServer).length
  }

  function ineligibilityReason (id: BackendServerId, spec: BackendServer, request: PermitRequest, vms: VmId[]): PassedOver['reason'] | undefined {
    const state = states.get(id)
    if (request.exclude.includes(id)) return 'excluded'
    if (spec.state !== 'in_service') return 'leaving'
    if (state?.cold) return 'cold'
    if (heldAt(id) >= localShare(id, spec.slots, vms, vm)) return 'full'
    if (state && state.unconfirmed.size > 0) return 'unproven'
    return undefined
  }

  function requestRefusal (dataCentre: DataCentreId, request: PermitRequest, vms: VmId[]): PermitRefusalReason | undefined {
    if (view.get('DataCentre', dataCentre)?.state !== 'in_service') return 'out_of_service'
    if (request.version !== undefined && view.get('Version', request.version)?.state !== 'active') return 'withdrawn'
    // Without a leader, suspects cannot be kept on separate backend servers.
    if (request.suspect) return 'no_capacity'
    if (request.isRetry && !retryBudget.allows()) return 'retry_budget'
    const limit = view.get('Contract', request.team)?.maxConcurrent ?? Infinity
    const inFlight = [...held()].filter(({ team }) => team === request.team).length
    return inFlight >= Math.ceil(limit / vms.length) ? 'team_limit' : undefined
  }

  function admit (dataCentre: DataCentreId, request: PermitRequest, summary: LeaderSummary): PermitAnswer {
    const vms = membership.available().map(member => member.vm)
    const reason = requestRefusal(dataCentre, request, vms)
    if (reason) return refusal(reason)
    const passedOver: PassedOver[] = []
    const eligible: { id: BackendServerId, spec: BackendServer }[] = []
    for (const id of summary.warmBackendServers) {
      const spec = view.get('BackendServer', id)
      if (!spec || !serves(spec, request)) continue
      const ineligible = ineligibilityReason(id, spec, request, vms)
      if (ineligible) passedOver.push({ backendServer: id, reason: ineligible })
      else eligible.push({ id, spec })
    }
    if (eligible.length === 0) return refusal(passedOver.length === 0 ? 'no_backend_server' : 'no_capacity', passedOver)
    const freeShare = ({ id, spec }: typeof eligible[number]): number => localShare(id, spec.slots, vms, vm) - heldAt(id)
    const chosen = eligible.reduce((best, next) => freeShare(next) > freeShare(best) ? next : best)
    return grant(dataCentre, request, summary.epoch, chosen, passedOver)
  }

  function grant (dataCentre: DataCentreId, request: PermitRequest, epoch: number, { id, spec }: { id: BackendServerId, spec: BackendServer }, passedOver: PassedOver[]): PermitAnswer {
    const permit: Permit = {
      id: brandId<PermitId>(randomId<PermitId>(`${dataCentre}-local-${vm}`)),
      dataCentre,
      epoch,
      backendServer: id,
      address: spec.address,
      version: request.version,
      startWithinMs: permitStartMs
    }
    stateOf(id, dataCentre).unconfirmed.add(permit.id)
    retryBudget.recordGrant(request.isRetry)
    return { granted: true, permit, passedOver, queuedMs: 0 }
  }

  function recordFirstByte (permit: Permit, instance: string): void {
    const state = states.get(permit.backendServer)
    if (!state) return
    // A different instance means that the backend server restarted, so it is cold.
    if (state.instance !== undefined && state.instance !== instance) state.cold = true
    state.instance = instance
    state.unconfirmed.clear()
  }

  return {
    admit,
    recordFirstByte,
    recordRelease (permit, outcome, instance) {
      const state = states.get(permit.backendServer)
      if (!state) return
      if (outcome === 'crashed') state.cold = true
      else if (outcome === 'not_sent') state.unconfirmed.delete(permit.id)
      else if (instance !== undefined) recordFirstByte(permit, instance)
    },
    reset (dataCentre) {
      for (const [id, state] of states) if (state.dataCentre === dataCentre) states.delete(id)
    }
  }
}

function serves (spec: BackendServer, { version, service }: PermitRequest): boolean {
  return version === undefined ? service !== undefined && spec.service === service : spec.versions.includes(version)
}

function refusal (reason: PermitRefusalReason, passedOver: PassedOver[] = []): PermitAnswer {
  return { granted: false, refusal: { reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS, passedOver } }
}
