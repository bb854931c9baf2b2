/**
 * Whether one backend server may take one request now. Requests that were in flight at a crash are suspects: identical
 * ones stay on one backend server and different ones never share one, so that a crash points at one request.
 */
import type { Quarantine } from '../quarantine/types.ts'
import type { BackendEntry, BackendTable } from './backend-table.ts'
import { inFlightLimit, needsProof } from './cold-start.ts'
import type { Permits } from './permits.ts'
import type { PassedOver, PermitRequest } from './types.ts'

export type QuarantineView = Pick<Quarantine, 'isQuarantined' | 'isSuspect' | 'remainingMs'>

export interface Eligibility {
  /** Why the backend server may not take the request now; undefined when it may. */
  passOver(entry: BackendEntry, request: PermitRequest): PassedOver['reason'] | undefined
  /** Whether the backend server is in service, reachable and known to be alive. */
  isUsable(entry: BackendEntry): boolean
}

export interface EligibilityOptions {
  table: BackendTable
  permits: Permits
  quarantine: QuarantineView
}

export function createEligibility ({ table, permits, quarantine }: EligibilityOptions): Eligibility {
  function isUsable (entry: BackendEntry): boolean {
    return entry.spec.state === 'in_service' && entry.verified && !entry.unreachable
  }

  function hasOtherSuspect (entry: BackendEntry, fingerprint: string): boolean {
    return permits.of(entry.id).some(record =>
      record.fingerprint !== fingerprint && (record.suspect || quarantine.isSuspect(record.fingerprint)))
  }

  function runsElsewhere (entry: BackendEntry, fingerprint: string): boolean {
    return table.all().some(other =>
      other !== entry && permits.of(other.id).some(record => record.fingerprint === fingerprint))
  }

  function blocksSuspect (entry: BackendEntry, request: PermitRequest): boolean {
    const isSuspect = request.suspect || quarantine.isSuspect(request.fingerprint)
    if (!isSuspect) return false
    return hasOtherSuspect(entry, request.fingerprint) || runsElsewhere(entry, request.fingerprint)
  }

  return {
    isUsable,
    passOver (entry, request) {
      if (request.exclude.includes(entry.id)) return 'excluded'
      if (entry.spec.state !== 'in_service') return 'leaving'
      if (entry.unreachable) return 'unreachable'
      if (!entry.verified) return 'unproven'
      if (table.load(entry) >= inFlightLimit(entry.warmth, entry.spec)) return entry.warmth.state === 'cold' ? 'cold' : 'full'
      if (blocksSuspect(entry, request)) return 'suspect'
      if (needsProof(entry.warmth, entry.spec)) return 'unproven'
      return undefined
    }
  }
}
