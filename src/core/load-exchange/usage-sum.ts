/** Adds up the usage that VMs report. A report counts less as it gets old, so that the usage of a dead VM decays. */
import type { UsageReport } from '../fair-share/team-usage.ts'
import { MAX_REPORT_AGE_MS } from './constants.ts'

export interface AgedUsage { usage: UsageReport, ageMs: number }

/** Age up to which a report counts in full; reports through collectors are usually younger. */
const FULL_WEIGHT_AGE_MS = MAX_REPORT_AGE_MS / 2

export function sumUsage (reports: Iterable<AgedUsage>): UsageReport {
  const total: UsageReport = {}
  for (const { usage, ageMs } of reports) {
    const weight = Math.min(1, Math.max(0, (MAX_REPORT_AGE_MS - ageMs) / (MAX_REPORT_AGE_MS - FULL_WEIGHT_AGE_MS)))
    if (weight === 0) continue
    for (const [key, value] of Object.entries(usage)) {
      // Another version of the program may send something else.
      if (Number.isFinite(value) && value >= 0) total[key] = Math.round(((total[key] ?? 0) + weight * value) * 100) / 100
    }
  }
  return total
}
