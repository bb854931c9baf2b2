/**
 * Ranks the data centres whose leaders are asked for a permit. Data centres that are out of service or do not serve the
 * version are left out. The local data centre and region come first as long as they have free slots. A data centre with
 * cold backend servers is preferred only in proportion to its warm ones, so that its load ramps up gradually when it
 * returns to service.
 */
import { inFlightElsewhere, servingDataCentres, teamShare } from '../admission/team-limits.ts'
import type { LeaderSummary } from '../admission/types.ts'
import type { ConfigView } from '../config/types.ts'
import type { DataCentreId, RegionId, ServiceId, TeamId, VersionId } from '../ids/index.ts'
import type { DataCentreCandidate } from './types.ts'

/**
 * Cost of sending a request to another data centre of the local region, expressed as queue time in milliseconds. The
 * round trip takes about 2 ms.
 */
const OTHER_DATA_CENTRE_COST_MS = 4
/** Cost of sending a request to another region, also expressed as queue time in milliseconds. */
const OTHER_REGION_COST_MS = 200
/** Minimum queue time in milliseconds assumed when no slot is free or a queue is reported. */
const MIN_QUEUE_DELAY_MS = 50
/** The penalties exceed the usual delays, so candidates are ordered by penalty first and by expected delay second. */
const SHARE_USED_PENALTY_MS = 10_000
const COLD_PENALTY_MS = 5000
const NOT_GRANTING_PENALTY_MS = 20_000

export interface DataCentreRequest {
  team: TeamId
  /** Exactly one of `version` and `service` is set. */
  version?: VersionId
  service?: ServiceId
  /** Data centres that already refused the request. */
  exclude?: readonly DataCentreId[]
}

export interface DataCentreChoice {
  request: DataCentreRequest
  /** Latest summary of each data centre whose leader reported recently. */
  summaries: readonly LeaderSummary[]
  view: ConfigView
  /** Region and data centre of this VM. */
  own: { region: RegionId, dataCentre: DataCentreId }
  random: () => number
}

interface RankedCandidate extends DataCentreCandidate { delayMs: number, tieBreak: number }

/** Returns the data centres to ask, best first; empty when none may serve the request. */
export function chooseDataCentres (choice: DataCentreChoice): DataCentreCandidate[] {
  const { request, view } = choice
  if (request.version !== undefined && view.get('Version', request.version)?.state !== 'active') return []
  const ranked = findServingDataCentres(choice).map(dataCentre => rank(dataCentre, choice))
  ranked.sort((a, b) => a.delayMs - b.delayMs || a.tieBreak - b.tieBreak)
  return ranked.map(({ dataCentre, reason }) => ({ dataCentre, reason }))
}

/** Data centres in service that have a backend server in service for the request. */
function findServingDataCentres ({ request: { version, service, exclude = [] }, view }: DataCentreChoice): DataCentreId[] {
  const serving = new Set<DataCentreId>()
  for (const { spec } of view.list('BackendServer')) {
    if (spec.state !== 'in_service' || exclude.includes(spec.dataCentre)) continue
    const serves = version === undefined ? spec.service === service : spec.versions.includes(version)
    if (serves && view.get('DataCentre', spec.dataCentre)?.state === 'in_service') serving.add(spec.dataCentre)
  }
  return [...serving]
}

function rank (dataCentre: DataCentreId, choice: DataCentreChoice): RankedCandidate {
  const summary = choice.summaries.find(entry => entry.dataCentre === dataCentre)
  const distance = distanceCost(dataCentre, choice)
  const load = loadCost(summary, choice)
  return {
    dataCentre,
    reason: `${distance.reason}, ${load.reason}`,
    delayMs: distance.delayMs + load.delayMs,
    tieBreak: choice.random()
  }
}

function distanceCost (dataCentre: DataCentreId, { view, own }: DataCentreChoice): { delayMs: number, reason: string } {
  if (dataCentre === own.dataCentre) return { delayMs: 0, reason: 'own data centre' }
  const region = view.get('DataCentre', dataCentre)?.region
  return region === own.region
    ? { delayMs: OTHER_DATA_CENTRE_COST_MS, reason: 'own region' }
    : { delayMs: OTHER_REGION_COST_MS, reason: 'other region' }
}

function loadCost (summary: LeaderSummary | undefined, choice: DataCentreChoice): { delayMs: number, reason: string } {
  if (!summary) return { delayMs: NOT_GRANTING_PENALTY_MS, reason: 'no recent summary' }
  if (!summary.granting) return { delayMs: NOT_GRANTING_PENALTY_MS, reason: 'leader is not granting yet' }
  if (isShareUsed(summary, choice)) return { delayMs: SHARE_USED_PENALTY_MS, reason: 'the team has used its share' }
  const { version, service } = choice.request
  if (version === undefined) {
    const freeSlots = summary.services.find(entry => entry.service === service)?.freeSlots ?? 0
    return queueCost(freeSlots, 0)
  }
  const entry = summary.versions.find(candidate => candidate.version === version)
  if (!entry) return queueCost(0, 0)
  const warmShare = entry.warm + entry.cold === 0 ? 1 : entry.warm / (entry.warm + entry.cold)
  if (choice.random() >= warmShare) {
    return { delayMs: COLD_PENALTY_MS + entry.queueDelayMs, reason: `${entry.cold} of ${entry.warm + entry.cold} backend servers cold` }
  }
  return queueCost(entry.freeSlots, entry.queueDelayMs)
}

function queueCost (freeSlots: number, queueDelayMs: number): { delayMs: number, reason: string } {
  if (freeSlots > 0 && queueDelayMs === 0) return { delayMs: 0, reason: `${freeSlots} free slots` }
  const delayMs = Math.max(queueDelayMs, MIN_QUEUE_DELAY_MS)
  return { delayMs, reason: `queue of ${Math.round(delayMs)} ms` }
}

/**
 * Whether the team has used its share in this data centre while its limit leaves room in others. Once the whole limit is
 * used, the request has to wait in any data centre, so no penalty applies.
 */
function isShareUsed ({ dataCentre, teamInFlight }: LeaderSummary, { request: { team }, summaries, view }: DataCentreChoice): boolean {
  const limit = view.get('Contract', team)?.maxConcurrent
  if (limit === undefined) return false
  const inFlight = teamInFlight.find(entry => entry.team === team)?.inFlight ?? 0
  if (inFlight + inFlightElsewhere(summaries, dataCentre, team) >= limit) return false
  const dataCentres = servingDataCentres(view, view.get('DataCentre', dataCentre)?.region)
  return inFlight >= teamShare(limit, dataCentres)
}
