/**
 * Grants permits: checks the configuration in force and the team limit, collects the backend servers that are eligible
 * for a request, lets the choice policy select one and records the permit.
 */
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import { brandId, type BackendServerId, type DataCentreId, type PermitId, type TeamId, type VmId } from '../ids/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import type { BackendEntry, BackendTable } from './backend-table.ts'
import { recordGrant } from './cold-start.ts'
import { FINGERPRINT_RETENTION_MS, MAX_FINGERPRINTS } from './constants.ts'
import type { Eligibility } from './eligibility.ts'
import type { QueueEntry } from './fair-queue.ts'
import type { PermitRecord, Permits } from './permits.ts'
import { pendingTokens } from './prompt-progress.ts'
import type { PrefixIndex } from './prefix-index.ts'
import type { TeamLimits } from './team-limits.ts'
import type { BackendCandidate, BackendChoice, PassedOver, PermitAnswer, PermitRefusalReason, PermitRequest } from './types.ts'

/** A request that waits for a grant. */
export interface WaitingRequest extends QueueEntry {
  request: PermitRequest
  from: VmId
  callId: string | undefined
  target: string
  enqueuedAt: number
  /** Whether the team limit or a lack of capacity blocked the request when it was last tried. */
  blockedBy: 'team' | 'capacity'
  answer: (answer: PermitAnswer) => void
}

export type GrantResult =
  | { state: 'granted', answer: PermitAnswer & { granted: true }, entry: BackendEntry }
  | { state: 'blocked', by: WaitingRequest['blockedBy'], passedOver: PassedOver[] }
  | { state: 'refused', reason: PermitRefusalReason, passedOver: PassedOver[] }

export interface GranterOptions {
  identity: VmIdentity
  dataCentre: DataCentreId
  epoch: number
  permitStartMs: number
  view: ConfigView
  table: BackendTable
  permits: Permits
  eligibility: Eligibility
  teamLimits: TeamLimits
  prefixes: PrefixIndex
  chooseBackend: BackendChoice
  clock: Clock
  random: () => number
  nextSequence: () => number
}

export interface Granter {
  tryGrant(waiting: WaitingRequest): GrantResult
  /** Reason why the configuration does not allow the request here; undefined when it does. */
  configRefusal(request: PermitRequest): PermitRefusalReason | undefined
}

/** Key of the resource that requests compete for: the backend servers of one version or service. */
export function targetOf ({ version, service }: Pick<PermitRequest, 'version' | 'service'>): string {
  return version === undefined ? `service/${service}` : `version/${version}`
}

export function createGranter (options: GranterOptions): Granter {
  const { identity, dataCentre, epoch, permitStartMs, view, table, permits, eligibility, teamLimits, prefixes, clock } = options
  const affinity = createFingerprintAffinity(clock)
  let grantCount = 0

  function configRefusal ({ version, service }: PermitRequest): PermitRefusalReason | undefined {
    if (view.get('DataCentre', dataCentre)?.state !== 'in_service') return 'out_of_service'
    if (version !== undefined && view.get('Version', version)?.state !== 'active') return 'withdrawn'
    if (service !== undefined && !view.get('Service', service)) return 'withdrawn'
    return undefined
  }

  function toCandidate (entry: BackendEntry, request: PermitRequest): BackendCandidate {
    return {
      backendServer: entry.id,
      warm: entry.warmup.state === 'warm',
      slots: entry.spec.slots,
      inFlight: table.load(entry),
      pendingTokens: pendingTokens(entry.promptProgress, permits.ofBackendServer(entry.id), clock.now()),
      cachedShare: prefixes.cachedShare(entry.id, request.prefixHashes),
      sentBefore: affinity.get(request.fingerprint) === entry.id
    }
  }

  function recordPermit (waiting: WaitingRequest, entry: BackendEntry, candidate: BackendCandidate): PermitRecord {
    const { request, from, callId, target } = waiting
    const grantSequence = options.nextSequence()
    const id = brandId<PermitId>(`${dataCentre}-${epoch}-${identity.boot}-${++grantCount}`)
    const permitRecord: PermitRecord = {
      id,
      vm: from,
      backendServer: entry.id,
      team: request.team,
      fingerprint: request.fingerprint,
      suspect: request.suspect,
      grantSequence,
      grantedAt: clock.now(),
      target,
      callId,
      pendingTokens: (1 - candidate.cachedShare) * request.estimatedTokens,
      firstByteAt: Infinity,
      reclaimAt: undefined
    }
    permits.add(permitRecord)
    recordGrant(entry.warmup, grantSequence)
    prefixes.recordSent(entry.id, request.prefixHashes)
    affinity.set(request.fingerprint, entry.id)
    return permitRecord
  }

  function grant (waiting: WaitingRequest, eligible: BackendEntry[], passedOver: PassedOver[]): GrantResult {
    const { request, enqueuedAt } = waiting
    const candidates = eligible.map(entry => toCandidate(entry, request))
    const chosen = options.chooseBackend({ request, candidates, random: options.random })
    const entry = table.get(chosen.backendServer)!
    const permitRecord = recordPermit(waiting, entry, chosen)
    const permit = {
      id: permitRecord.id,
      dataCentre,
      epoch,
      backendServer: entry.id,
      address: entry.spec.address,
      version: request.version,
      startWithinMs: permitStartMs
    }
    return { state: 'granted', entry, answer: { granted: true, permit, passedOver, queuedMs: clock.now() - enqueuedAt } }
  }

  function tryGrant (waiting: WaitingRequest): GrantResult {
    const { request } = waiting
    const reason = configRefusal(request)
    if (reason) return { state: 'refused', reason, passedOver: [] }
    const serving = table.serving(request)
    const eligible: BackendEntry[] = []
    const passedOver: PassedOver[] = []
    for (const entry of serving) {
      const ineligible = eligibility.ineligibilityReason(entry, request)
      if (ineligible) passedOver.push({ backendServer: entry.id, reason: ineligible })
      else eligible.push(entry)
    }
    if (passedOver.every(isPermanent) && eligible.length === 0) return { state: 'refused', reason: 'no_backend_server', passedOver }
    const availability = teamLimits.availability(request.team, permits.countOfTeam(request.team))
    // Another data centre may have capacity left for the team, so this refusal is not final.
    if (availability === 'share_used') return { state: 'refused', reason: 'no_capacity', passedOver }
    if (availability === 'limit_used') return { state: 'blocked', by: 'team', passedOver }
    if (eligible.length === 0) return { state: 'blocked', by: 'capacity', passedOver }
    return grant(waiting, eligible, passedOver)
  }

  return { tryGrant, configRefusal }
}

/** Whether the reason persists however long the request waits. */
function isPermanent ({ reason }: PassedOver): boolean {
  return reason === 'excluded' || reason === 'leaving'
}

interface FingerprintAffinity {
  get(fingerprint: string): BackendServerId | undefined
  set(fingerprint: string, backendServer: BackendServerId): void
}

/** Remembers to which backend server the latest request with each fingerprint was sent. */
function createFingerprintAffinity (clock: Clock): FingerprintAffinity {
  const entries = new Map<string, { backendServer: BackendServerId, at: number }>()
  return {
    get (fingerprint) {
      const entry = entries.get(fingerprint)
      return entry && clock.now() - entry.at < FINGERPRINT_RETENTION_MS ? entry.backendServer : undefined
    },
    set (fingerprint, backendServer) {
      entries.delete(fingerprint)
      entries.set(fingerprint, { backendServer, at: clock.now() })
      if (entries.size > MAX_FINGERPRINTS) entries.delete(entries.keys().next().value!)
    }
  }
}

/** Number of permits of each team, for summaries. */
export function teamCounts (permits: Permits): { team: TeamId, inFlight: number }[] {
  return [...permits.countsByTeam()].map(([team, inFlight]) => ({ team, inFlight }))
}
