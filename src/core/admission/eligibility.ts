/**
 * Checks whether a backend server may take a request now. Requests that were in flight at a crash are suspects: identical
 * suspects stay on one backend server and different ones never share one, so that a crash identifies one request.
 */
import type { Quarantine } from '../quarantine/types.ts'
import type { BackendTable, BackendTableEntry } from './backend-table.ts'
import { inFlightLimit, needsConfirmation } from './cold-start.ts'
import type { Permits } from './permits.ts'
import type { PassedOver, PermitRequest } from './types.ts'

export type QuarantineView = Pick<Quarantine, 'isQuarantined' | 'isSuspect' | 'remainingMs'>

export interface Eligibility {
  /** Reason why the backend server may not take the request now; undefined when it may. */
  ineligibilityReason(entry: BackendTableEntry, request: PermitRequest): PassedOver['reason'] | undefined
  /** Whether the backend server is in service, verified and reachable. */
  isUsable(entry: BackendTableEntry): boolean
}

export interface EligibilityOptions {
  table: BackendTable
  permits: Permits
  quarantine: QuarantineView
}

export function createEligibility ({ table, permits, quarantine }: EligibilityOptions): Eligibility {
  function isUsable (entry: BackendTableEntry): boolean {
    return entry.spec.state === 'in_service' && entry.verified && !entry.unreachable
  }

  function hasOtherSuspect (entry: BackendTableEntry, fingerprint: string): boolean {
    return permits.ofBackendServer(entry.id).some(record =>
      record.fingerprint !== fingerprint && (record.suspect || quarantine.isSuspect(record.fingerprint)))
  }

  function runsElsewhere (entry: BackendTableEntry, fingerprint: string): boolean {
    return table.all().some(other =>
      other !== entry && permits.ofBackendServer(other.id).some(record => record.fingerprint === fingerprint))
  }

  function blocksSuspect (entry: BackendTableEntry, request: PermitRequest): boolean {
    const isSuspect = request.suspect || quarantine.isSuspect(request.fingerprint)
    if (!isSuspect) return false
    return hasOtherSuspect(entry, request.fingerprint) || runsElsewhere(entry, request.fingerprint)
  }

  return {
    isUsable,
    ineligibilityReason (entry, request) {
      if (request.exclude.includes(entry.id)) return 'excluded'
      if (entry.spec.state !== 'in_service') return 'leaving'
      if (entry.unreachable) return 'unreachable'
      if (!entry.verified) return 'unproven'
      if (table.load(entry) >= inFlightLimit(entry.warmup, entry.spec)) return entry.warmup.state === 'cold' ? 'cold' : 'full'
      if (blocksSuspect(entry, request)) return 'suspect'
      if (needsConfirmation(entry.warmup, entry.spec)) return 'unproven'
      return undefined
    }
  }
}
