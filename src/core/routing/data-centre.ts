/**
 * Choice of the data centre: which leaders to ask for a permit, in order of preference. Data centres that are out of
 * service or do not serve the version are left out; the own one and the own region come first as long as they have
 * free slots; one whose backend servers are still partly cold is preferred only in proportion to the warm ones, so
 * that a returning data centre gets its load gradually.
 */
import { inFlightElsewhere, servingDataCentres, teamShare } from '../admission/team-limits.ts'
import type { LeaderSummary } from '../admission/types.ts'
import type { ConfigView } from '../config/types.ts'
import type { DataCentreId, RegionId, ServiceId, TeamId, VersionId } from '../ids/index.ts'
import type { DataCentreCandidate } from './types.ts'

/** Cost of leaving the own data centre, as queue time in milliseconds; the round trip is about 2 ms. */
const OTHER_DATA_CENTRE_MS = 4
const OTHER_REGION_MS = 200
/** Queue time assumed where no slot is free and nothing is known about the queue, milliseconds. */
const NO_FREE_SLOT_MS = 50
/** Places everything with a lower penalty first, in the order of expected delay. */
const SHARE_USED_PENALTY_MS = 10_000
const RETURNING_PENALTY_MS = 5000
const NOT_GRANTING_PENALTY_MS = 20_000

export interface DataCentreRequest {
  team: TeamId
  /** Exactly one of version and service is set. */
  version?: VersionId
  service?: ServiceId
  /** Data centres that already refused the request. */
  exclude?: readonly DataCentreId[]
}

export interface DataCentreChoice {
  request: DataCentreRequest
  /** Latest summary of each data centre whose leader was heard of recently. */
  summaries: readonly LeaderSummary[]
  view: ConfigView
  own: { region: RegionId, dataCentre: DataCentreId }
  random: () => number
}

interface Ranked extends DataCentreCandidate { delayMs: number, tieBreak: number }

/** Data centres to ask, best first; empty when none may serve the request. */
export function chooseDataCentres (choice: DataCentreChoice): DataCentreCandidate[] {
  const { request, view } = choice
  if (request.version !== undefined && view.get('Version', request.version)?.state !== 'active') return []
  const ranked = servingRequest(choice).map(dataCentre => rank(dataCentre, choice))
  ranked.sort((a, b) => a.delayMs - b.delayMs || a.tieBreak - b.tieBreak)
  return ranked.map(({ dataCentre, why }) => ({ dataCentre, why }))
}

/** Data centres in service with a backend server in service for the request. */
function servingRequest ({ request: { version, service, exclude = [] }, view }: DataCentreChoice): DataCentreId[] {
  const found = new Set<DataCentreId>()
  for (const { spec } of view.list('BackendServer')) {
    if (spec.state !== 'in_service' || exclude.includes(spec.dataCentre)) continue
    const serves = version === undefined ? spec.service === service : spec.versions.includes(version)
    if (serves && view.get('DataCentre', spec.dataCentre)?.state === 'in_service') found.add(spec.dataCentre)
  }
  return [...found]
}

function rank (dataCentre: DataCentreId, choice: DataCentreChoice): Ranked {
  const summary = choice.summaries.find(found => found.dataCentre === dataCentre)
  const place = placeOf(dataCentre, choice)
  const load = loadOf(summary, choice)
  return {
    dataCentre,
    why: `${place.why}, ${load.why}`,
    delayMs: place.delayMs + load.delayMs,
    tieBreak: choice.random()
  }
}

function placeOf (dataCentre: DataCentreId, { view, own }: DataCentreChoice): { delayMs: number, why: string } {
  if (dataCentre === own.dataCentre) return { delayMs: 0, why: 'own data centre' }
  const region = view.get('DataCentre', dataCentre)?.region
  return region === own.region
    ? { delayMs: OTHER_DATA_CENTRE_MS, why: 'own region' }
    : { delayMs: OTHER_REGION_MS, why: 'other region' }
}

function loadOf (summary: LeaderSummary | undefined, choice: DataCentreChoice): { delayMs: number, why: string } {
  if (!summary) return { delayMs: NOT_GRANTING_PENALTY_MS, why: 'no recent summary' }
  if (!summary.granting) return { delayMs: NOT_GRANTING_PENALTY_MS, why: 'leader is not granting yet' }
  if (isShareUsed(summary, choice)) return { delayMs: SHARE_USED_PENALTY_MS, why: 'share of the team is used up' }
  const { version, service } = choice.request
  if (version === undefined) {
    const freeSlots = summary.services.find(entry => entry.service === service)?.freeSlots ?? 0
    return delayOf(freeSlots, 0)
  }
  const entry = summary.versions.find(found => found.version === version)
  if (!entry) return delayOf(0, 0)
  const warmShare = entry.warm + entry.cold === 0 ? 1 : entry.warm / (entry.warm + entry.cold)
  if (choice.random() >= warmShare) {
    return { delayMs: RETURNING_PENALTY_MS + entry.queueDelayMs, why: `${entry.cold} of ${entry.warm + entry.cold} backend servers cold` }
  }
  return delayOf(entry.freeSlots, entry.queueDelayMs)
}

function delayOf (freeSlots: number, queueDelayMs: number): { delayMs: number, why: string } {
  if (freeSlots > 0 && queueDelayMs === 0) return { delayMs: 0, why: `${freeSlots} free slots` }
  const delayMs = Math.max(queueDelayMs, NO_FREE_SLOT_MS)
  return { delayMs, why: `queue of ${Math.round(delayMs)} ms` }
}

function isShareUsed ({ dataCentre, teamInFlight }: LeaderSummary, { request: { team }, summaries, view }: DataCentreChoice): boolean {
  const limit = view.get('Contract', team)?.maxConcurrent
  if (limit === undefined) return false
  const inFlight = teamInFlight.find(entry => entry.team === team)?.inFlight ?? 0
  if (inFlight + inFlightElsewhere(summaries, dataCentre, team) >= limit) return false
  const dataCentres = servingDataCentres(view, view.get('DataCentre', dataCentre)?.region)
  return inFlight >= teamShare(limit, dataCentres)
}
