/**
 * Reports of an entry VM about its permits. Each report is resent until the leader acknowledges it or its epoch has
 * ended. A new leader gets the held permits by registration, so reports of an older epoch are obsolete.
 */
import type { DataCentreId } from '../ids/index.ts'
import type { Acknowledgement, PermitReport } from './messages.ts'

export interface PermitReports {
  add(dataCentre: DataCentreId, epoch: number, part: Partial<PermitReport>): void
  /** Sends all reports that are not acknowledged yet. */
  resend(): void
  pending(): number
}

interface PendingReport extends PermitReport { epoch: number }

export interface PermitReportsOptions {
  /** Latest known epoch of the data centre's leader. */
  currentEpoch: (dataCentre: DataCentreId) => number
  /** Sends to the leader of the data centre; rejects when it cannot be reached. */
  send: (dataCentre: DataCentreId, report: PermitReport) => Promise<Acknowledgement>
}

export function createPermitReports ({ currentEpoch, send }: PermitReportsOptions): PermitReports {
  const pendingReports = new Map<DataCentreId, PendingReport[]>()
  const sending = new Set<DataCentreId>()
  const scheduled = new Set<DataCentreId>()

  function add (dataCentre: DataCentreId, epoch: number, part: Partial<PermitReport>): void {
    const reports = pendingReports.get(dataCentre) ?? []
    reports.push({ epoch, releases: [], firstBytes: [], abandoned: [], ...part })
    pendingReports.set(dataCentre, reports)
    if (scheduled.has(dataCentre)) return
    scheduled.add(dataCentre)
    // Reports added in the same turn of the event loop are sent in one message.
    queueMicrotask(() => {
      scheduled.delete(dataCentre)
      void flush(dataCentre)
    })
  }

  function dropObsolete (dataCentre: DataCentreId): PendingReport[] {
    const current = (pendingReports.get(dataCentre) ?? []).filter(({ epoch }) => epoch >= currentEpoch(dataCentre))
    if (current.length > 0) pendingReports.set(dataCentre, current)
    else pendingReports.delete(dataCentre)
    return current
  }

  async function flush (dataCentre: DataCentreId): Promise<void> {
    if (sending.has(dataCentre)) return
    // A copy, because reports added while the batch is in flight are not part of it and are sent next.
    const batch = [...dropObsolete(dataCentre)]
    if (batch.length === 0) return
    sending.add(dataCentre)
    const answer = await send(dataCentre, merge(batch)).catch(() => ({ accepted: false }))
    sending.delete(dataCentre)
    if (!answer.accepted) return
    const remaining = (pendingReports.get(dataCentre) ?? []).filter(report => !batch.includes(report))
    pendingReports.set(dataCentre, remaining)
    if (remaining.length > 0) void flush(dataCentre)
  }

  return {
    add,
    resend () {
      for (const dataCentre of pendingReports.keys()) void flush(dataCentre)
    },
    pending: () => [...pendingReports.values()].reduce((sum, reports) => sum + reports.length, 0)
  }
}

function merge (reports: PermitReport[]): PermitReport {
  return {
    releases: reports.flatMap(report => report.releases),
    firstBytes: reports.flatMap(report => report.firstBytes),
    abandoned: reports.flatMap(report => report.abandoned)
  }
}
