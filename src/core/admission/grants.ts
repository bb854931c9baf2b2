/**
 * Grants permits: checks the configuration in force, collects the backend servers that may take a request, lets the
 * choice function pick one and records the permit.
 */
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import { brandId, type BackendServerId, type DataCentreId, type PermitId, type TeamId, type VmId } from '../ids/index.ts'
import type { VmIdentity } from '../settings/index.ts'
import type { BackendEntry, BackendTable } from './backend-table.ts'
import { noteGrant } from './cold-start.ts'
import { FINGERPRINT_MEMORY_MS, MAX_FINGERPRINTS } from './constants.ts'
import type { Eligibility } from './eligibility.ts'
import type { Queued } from './fair-queue.ts'
import type { PermitRecord, Permits } from './permits.ts'
import { pendingTokens } from './prompt-progress.ts'
import type { PrefixIndex } from './prefix-index.ts'
import type { TeamLimits } from './team-limits.ts'
import type { BackendCandidate, BackendChoice, PassedOver, PermitAnswer, PermitRefusalReason, PermitRequest } from './types.ts'

/** A request that waits for a grant. */
export interface Waiting extends Queued {
  request: PermitRequest
  from: VmId
  ask: string | undefined
  target: string
  enqueuedAt: number
  /** What kept it waiting when it was last tried. */
  blockedBy: 'team' | 'capacity'
  answer: (answer: PermitAnswer) => void
}

export type GrantResult =
  | { state: 'granted', answer: PermitAnswer & { granted: true }, entry: BackendEntry }
  | { state: 'blocked', by: Waiting['blockedBy'], passedOver: PassedOver[] }
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
  nextNumber: () => number
}

export interface Granter {
  tryGrant(waiting: Waiting): GrantResult
  /** Why a request for this target cannot be served here at all; undefined when it can. */
  configRefusal(request: PermitRequest): PermitRefusalReason | undefined
}

/** What requests compete for: the backend servers of one version or service. */
export function targetOf ({ version, service }: Pick<PermitRequest, 'version' | 'service'>): string {
  return version === undefined ? `service/${service}` : `version/${version}`
}

export function createGranter (options: GranterOptions): Granter {
  const { identity, dataCentre, epoch, permitStartMs, view, table, permits, eligibility, teamLimits, prefixes, clock } = options
  const homes = createFingerprintHomes(clock)
  let granted = 0

  function configRefusal ({ version, service }: PermitRequest): PermitRefusalReason | undefined {
    if (view.get('DataCentre', dataCentre)?.state !== 'in_service') return 'out_of_service'
    if (version !== undefined && view.get('Version', version)?.state !== 'active') return 'withdrawn'
    if (service !== undefined && !view.get('Service', service)) return 'withdrawn'
    return undefined
  }

  function candidateOf (entry: BackendEntry, request: PermitRequest): BackendCandidate {
    return {
      backendServer: entry.id,
      warm: entry.warmth.state === 'warm',
      slots: entry.spec.slots,
      inFlight: table.load(entry),
      pendingTokens: pendingTokens(entry.promptProgress, permits.of(entry.id), clock.now()),
      cachedShare: prefixes.cachedShare(entry.id, request.prefixHashes),
      sentBefore: homes.get(request.fingerprint) === entry.id
    }
  }

  function record (waiting: Waiting, entry: BackendEntry, candidate: BackendCandidate): PermitRecord {
    const { request, from, ask, target } = waiting
    const grant = options.nextNumber()
    const id = brandId<PermitId>(`${dataCentre}-${epoch}-${identity.boot}-${++granted}`)
    const created: PermitRecord = {
      id,
      vm: from,
      backendServer: entry.id,
      team: request.team,
      fingerprint: request.fingerprint,
      suspect: request.suspect,
      grant,
      grantedAt: clock.now(),
      target,
      ask,
      pendingTokens: (1 - candidate.cachedShare) * request.estimatedTokens,
      firstByteAt: Infinity,
      reclaimAt: undefined
    }
    permits.add(created)
    noteGrant(entry.warmth, grant)
    prefixes.noteSent(entry.id, request.prefixHashes)
    homes.set(request.fingerprint, entry.id)
    return created
  }

  function grant (waiting: Waiting, open: BackendEntry[], passedOver: PassedOver[]): GrantResult {
    const { request, enqueuedAt } = waiting
    const candidates = open.map(entry => candidateOf(entry, request))
    const chosen = options.chooseBackend({ request, candidates, random: options.random })
    const entry = table.get(chosen.backendServer)!
    const created = record(waiting, entry, chosen)
    const permit = {
      id: created.id,
      dataCentre,
      epoch,
      backendServer: entry.id,
      address: entry.spec.address,
      version: request.version,
      startWithinMs: permitStartMs
    }
    return { state: 'granted', entry, answer: { granted: true, permit, passedOver, queuedMs: clock.now() - enqueuedAt } }
  }

  function tryGrant (waiting: Waiting): GrantResult {
    const { request } = waiting
    const reason = configRefusal(request)
    if (reason) return { state: 'refused', reason, passedOver: [] }
    const serving = table.serving(request)
    const open: BackendEntry[] = []
    const passedOver: PassedOver[] = []
    for (const entry of serving) {
      const why = eligibility.passOver(entry, request)
      if (why) passedOver.push({ backendServer: entry.id, reason: why })
      else open.push(entry)
    }
    if (passedOver.every(isFinal) && open.length === 0) return { state: 'refused', reason: 'no_backend_server', passedOver }
    const room = teamLimits.roomFor(request.team, permits.ofTeam(request.team))
    // Another data centre may have room for the team, so this is no refusal for good.
    if (room === 'share_used') return { state: 'refused', reason: 'no_capacity', passedOver }
    if (room === 'limit_used') return { state: 'blocked', by: 'team', passedOver }
    if (open.length === 0) return { state: 'blocked', by: 'capacity', passedOver }
    return grant(waiting, open, passedOver)
  }

  return { tryGrant, configRefusal }
}

/** Whether waiting would not change that the backend server is passed over. */
function isFinal ({ reason }: PassedOver): boolean {
  return reason === 'excluded' || reason === 'leaving'
}

interface FingerprintHomes {
  get(fingerprint: string): BackendServerId | undefined
  set(fingerprint: string, backendServer: BackendServerId): void
}

/** Remembers where the latest request with each fingerprint went. */
function createFingerprintHomes (clock: Clock): FingerprintHomes {
  const homes = new Map<string, { backendServer: BackendServerId, at: number }>()
  return {
    get (fingerprint) {
      const home = homes.get(fingerprint)
      return home && clock.now() - home.at < FINGERPRINT_MEMORY_MS ? home.backendServer : undefined
    },
    set (fingerprint, backendServer) {
      homes.delete(fingerprint)
      homes.set(fingerprint, { backendServer, at: clock.now() })
      if (homes.size > MAX_FINGERPRINTS) homes.delete(homes.keys().next().value!)
    }
  }
}

/** Number of permits each team holds, for summaries. */
export function teamCounts (permits: Permits): { team: TeamId, inFlight: number }[] {
  return [...permits.teams()].map(([team, inFlight]) => ({ team, inFlight }))
}
