/**
 * Backend servers that have announced in their answers that they leave. Their entries may still say otherwise while the
 * store is away, and an entry that arrives late must not make them eligible again; only a new start does. A VM that gets
 * no answer from a backend server cannot see the announcement, so the VMs exchange what they have seen.
 */
import type { Clock } from '../clock/index.ts'
import type { BackendServerId } from '../ids/index.ts'
import { DEPARTURE_MEMORY_MS, DEPARTURE_REPORT_MS } from './constants.ts'
import type { BackendEntry } from './types.ts'

/** Identity of the process that announced its departure, by backend server. */
export type ReportedDepartures = Record<BackendServerId, string>

export interface AnnouncedDepartures {
  has(entry: BackendEntry): boolean
  /** Records an announcement; returns whether it is new. */
  record(entry: BackendEntry): boolean
  /** Announcements of the last seconds, for the other VMs; `undefined` if there are none. */
  report(): ReportedDepartures | undefined
}

export interface AnnouncedDeparturesOptions { clock: Clock }

/** A process that starts again under the same id has another start time or address. */
export const processIdentity = ({ address, startedWallMs }: BackendEntry) => `${startedWallMs ?? ''}@${address}`

export function createAnnouncedDepartures ({ clock }: AnnouncedDeparturesOptions): AnnouncedDepartures {
  const departures = new Map<BackendServerId, { process: string, recordedMs: number }>()
  const has = (entry: BackendEntry) => departures.get(entry.id)?.process === processIdentity(entry)

  return {
    has,
    record (entry) {
      if (has(entry)) return false
      departures.set(entry.id, { process: processIdentity(entry), recordedMs: clock.now() })
      return true
    },
    report () {
      const recent: [BackendServerId, string][] = []
      for (const [id, { process, recordedMs }] of departures) {
        const ageMs = clock.now() - recordedMs
        if (ageMs < DEPARTURE_REPORT_MS) recent.push([id, process])
        else if (ageMs > DEPARTURE_MEMORY_MS) departures.delete(id)
      }
      return recent.length > 0 ? Object.fromEntries(recent) as ReportedDepartures : undefined
    }
  }
}
