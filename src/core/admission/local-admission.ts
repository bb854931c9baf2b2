/**
 * Local admission while a data centre has no leader because the object API is down. Every VM computes the same shares
 * of the warm slots, so that the shares of a backend server add up to its slots without coordination. A backend
 * server that is cold, or not known to be warm, gets nothing, and each VM has at most one unproven request at one.
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
  firstByte(permit: Permit, instance: string): void
  released(permit: Permit, outcome: PermitRelease['outcome'], instance: string | undefined): void
  /** Forgets what was learned during the outage, because a leader keeps track again. */
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

interface LocalKnowledge { dataCentre: DataCentreId, instance: string | undefined, unproven: Set<PermitId>, cold: boolean }

/**
 * Slots of one backend server that a VM may use: the quotient for each VM, and one more for those that rank first by
 * rendezvous hash until the remainder is given out.
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
  const knowledge = new Map<BackendServerId, LocalKnowledge>()
  const retryBudget = createRetryBudget({ share: options.retryBudgetShare, now: () => clock.now() })

  function knowledgeOf (backendServer: BackendServerId, dataCentre: DataCentreId): LocalKnowledge {
    const found = knowledge.get(backendServer) ?? { dataCentre, instance: undefined, unproven: new Set(), cold: false }
    knowledge.set(backendServer, found)
    return found
  }

  function heldAt (backendServer: BackendServerId): number {
    return [...held()].filter(({ permit }) => permit.backendServer === backendServer).length
  }

  function passOver (id: BackendServerId, spec: BackendServer, request: PermitRequest, vms: VmId[]): PassedOver['reason'] | undefined {
    const known = knowledge.get(id)
    if (request.exclude.includes(id)) return 'excluded'
    if (spec.state !== 'in_service') return 'leaving'
    if (known?.cold) return 'cold'
    if (heldAt(id) >= localShare(id, spec.slots, vms, vm)) return 'full'
    if (known && known.unproven.size > 0) return 'unproven'
    return undefined
  }

  function requestRefusal (dataCentre: DataCentreId, request: PermitRequest, vms: VmId[]): PermitRefusalReason | undefined {
    if (view.get('DataCentre', dataCentre)?.state !== 'in_service') return 'out_of_service'
    if (request.version !== undefined && view.get('Version', request.version)?.state !== 'active') return 'withdrawn'
    // Suspects cannot be kept apart without a leader.
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
    const open: { id: BackendServerId, spec: BackendServer }[] = []
    for (const id of summary.warmBackendServers) {
      const spec = view.get('BackendServer', id)
      if (!spec || !hasTarget(spec, request)) continue
      const why = passOver(id, spec, request, vms)
      if (why) passedOver.push({ backendServer: id, reason: why })
      else open.push({ id, spec })
    }
    if (open.length === 0) return refusal(passedOver.length === 0 ? 'no_backend_server' : 'no_capacity', passedOver)
    const free = ({ id, spec }: typeof open[number]): number => localShare(id, spec.slots, vms, vm) - heldAt(id)
    const chosen = open.reduce((best, next) => free(next) > free(best) ? next : best)
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
    knowledgeOf(id, dataCentre).unproven.add(permit.id)
    retryBudget.noteGrant(request.isRetry)
    return { granted: true, permit, passedOver, queuedMs: 0 }
  }

  function firstByte (permit: Permit, instance: string): void {
    const known = knowledge.get(permit.backendServer)
    if (!known) return
    // Another instance than before has restarted, and is cold.
    if (known.instance !== undefined && known.instance !== instance) known.cold = true
    known.instance = instance
    known.unproven.clear()
  }

  return {
    admit,
    firstByte,
    released (permit, outcome, instance) {
      const known = knowledge.get(permit.backendServer)
      if (!known) return
      if (outcome === 'crashed') known.cold = true
      else if (outcome === 'not_sent') known.unproven.delete(permit.id)
      else if (instance !== undefined) firstByte(permit, instance)
    },
    reset (dataCentre) {
      for (const [id, known] of knowledge) if (known.dataCentre === dataCentre) knowledge.delete(id)
    }
  }
}

function hasTarget (spec: BackendServer, { version, service }: PermitRequest): boolean {
  return version === undefined ? service !== undefined && spec.service === service : spec.versions.includes(version)
}

function refusal (reason: PermitRefusalReason, passedOver: PassedOver[] = []): PermitAnswer {
  return { granted: false, refusal: { reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS, passedOver } }
}
