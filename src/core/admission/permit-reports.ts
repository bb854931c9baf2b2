/**
 * Reports of an entry VM about its permits. Each report is resent until the leader acknowledges it or its epoch has
 * ended; a new leader learns the held permits by registration, so reports of an older epoch are obsolete.
 */
import type { DataCentreId } from '../ids/index.ts'
import type { Acknowledgement, PermitReport } from './messages.ts'

export interface PermitReports {
  add(dataCentre: DataCentreId, epoch: number, part: Partial<PermitReport>): void
  /** Sends what is not acknowledged yet. */
  resend(): void
  pending(): number
}

interface Pending extends PermitReport { epoch: number }

export interface PermitReportsOptions {
  /** Epoch the data centre's leader is known to have now. */
  currentEpoch: (dataCentre: DataCentreId) => number
  /** Sends to the leader of the data centre; rejects when it cannot be reached. */
  send: (dataCentre: DataCentreId, report: PermitReport) => Promise<Acknowledgement>
}

export function createPermitReports ({ currentEpoch, send }: PermitReportsOptions): PermitReports {
  const waiting = new Map<DataCentreId, Pending[]>()
  const sending = new Set<DataCentreId>()
  const scheduled = new Set<DataCentreId>()

  function add (dataCentre: DataCentreId, epoch: number, part: Partial<PermitReport>): void {
    const reports = waiting.get(dataCentre) ?? []
    reports.push({ epoch, releases: [], firstBytes: [], abandoned: [], ...part })
    waiting.set(dataCentre, reports)
    if (scheduled.has(dataCentre)) return
    scheduled.add(dataCentre)
    // Reports made in the same turn of the event loop travel in one message.
    queueMicrotask(() => {
      scheduled.delete(dataCentre)
      void flush(dataCentre)
    })
  }

  function dropObsolete (dataCentre: DataCentreId): Pending[] {
    const current = (waiting.get(dataCentre) ?? []).filter(({ epoch }) => epoch >= currentEpoch(dataCentre))
    if (current.length > 0) waiting.set(dataCentre, current)
    else waiting.delete(dataCentre)
    return current
  }

  async function flush (dataCentre: DataCentreId): Promise<void> {
    if (sending.has(dataCentre)) return
    const batch = dropObsolete(dataCentre)
    if (batch.length === 0) return
    sending.add(dataCentre)
    const answer = await send(dataCentre, merge(batch)).catch(() => ({ accepted: false }))
    sending.delete(dataCentre)
    if (!answer.accepted) return
    const left = (waiting.get(dataCentre) ?? []).filter(report => !batch.includes(report))
    waiting.set(dataCentre, left)
    if (left.length > 0) void flush(dataCentre)
  }

  return {
    add,
    resend () {
      for (const dataCentre of waiting.keys()) void flush(dataCentre)
    },
    pending: () => [...waiting.values()].reduce((sum, reports) => sum + reports.length, 0)
  }
}

function merge (reports: PermitReport[]): PermitReport {
  return {
    releases: reports.flatMap(report => report.releases),
    firstBytes: reports.flatMap(report => report.firstBytes),
    abandoned: reports.flatMap(report => report.abandoned)
  }
}
