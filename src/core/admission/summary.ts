/** Summary of a data centre that its leader sends to the VMs of the region. */
import type { ConfigView } from '../config/types.ts'
import type { DataCentreId, ServiceId, VersionId, VmId } from '../ids/index.ts'
import type { BackendTable, BackendTableEntry } from './backend-table.ts'
import { inFlightLimit } from './cold-start.ts'
import type { Eligibility } from './eligibility.ts'
import { targetOf, teamCounts } from './grants.ts'
import type { Permits } from './permits.ts'
import type { LeaderSummary, VersionSummary } from './types.ts'

export interface SummaryOptions {
  leader: VmId
  dataCentre: DataCentreId
  epoch: number
  granting: boolean
  view: ConfigView
  table: BackendTable
  permits: Permits
  eligibility: Eligibility
  /** Expected queue time of a new request, in milliseconds. */
  queueDelayMs: (target: string) => number
}

export function buildSummary (options: SummaryOptions): LeaderSummary {
  const { leader, dataCentre, epoch, granting, view, table, permits, eligibility, queueDelayMs } = options
  const isInService = view.get('DataCentre', dataCentre)?.state === 'in_service'
  const usable = isInService ? table.all().filter(entry => eligibility.isUsable(entry)) : []
  const freeSlots = (entries: BackendTableEntry[]): number => entries.reduce((sum, entry) =>
    sum + Math.max(0, inFlightLimit(entry.warmup, entry.spec) - table.load(entry)), 0)

  function summarizeVersion (version: VersionId): VersionSummary {
    const entries = usable.filter(entry => entry.spec.versions.includes(version))
    const warm = entries.filter(entry => entry.warmup.state === 'warm').length
    return { version, freeSlots: freeSlots(entries), warm, cold: entries.length - warm, queueDelayMs: queueDelayMs(targetOf({ version })) }
  }

  function summarizeService (service: ServiceId): { service: ServiceId, freeSlots: number } {
    return { service, freeSlots: freeSlots(usable.filter(entry => entry.spec.service === service)) }
  }

  const versions = new Set(table.all().flatMap(({ spec }) => spec.versions))
  const services = new Set(table.all().flatMap(({ spec }) => spec.service ?? []))
  const warmServers = usable.filter(({ warmup }) => warmup.state === 'warm').map(({ id }) => id)
  return {
    dataCentre,
    leader,
    epoch,
    granting,
    versions: [...versions].filter(version => view.get('Version', version)?.state === 'active').map(summarizeVersion),
    services: [...services].map(summarizeService),
    teamInFlight: teamCounts(permits),
    warmBackendServers: warmServers
  }
}
