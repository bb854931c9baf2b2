/**
 * Tells the other VMs how much load this VM has put on each backend server, and estimates theirs. The load it answers:
 * long prompts that several VMs would place on the same engine, each seeing only its own part. Reports go to a bounded
 * number of VMs, so the traffic of one VM does not grow with the fleet; what the others hold is scaled up from the
 * reports that are recent.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { BackendServerId, VmId } from '../ids/index.ts'

/** Load by backend server, in requests; backend servers without load are left out. */
export type LoadReport = Record<BackendServerId, number>

export interface LoadExchangeOptions {
  /** VMs that live, this one included. */
  vms: () => readonly VmId[]
  self: VmId
  ownLoad: () => LoadReport
  send(to: VmId, report: LoadReport): void
  clock: Clock
  random: () => number
}

export interface LoadExchange {
  accept(from: VmId, report: LoadReport): void
  /** Load that the other VMs have put on a backend server, as far as known. */
  othersLoad(backend: BackendServerId): number
  start(): void
  stop(): void
}

/** Period of the reports; half of a long prompt's prefill, so that two VMs seldom choose between reports. */
const REPORT_PERIOD_MS = 250
/** Reports older than this say nothing any more. */
const REPORT_LIFE_MS = 1500
/** VMs that get each report. */
const FANOUT = 12

export function createLoadExchange ({ vms, self, ownLoad, send, clock, random }: LoadExchangeOptions): LoadExchange {
  const reports = new Map<VmId, { report: LoadReport, atMs: number }>()
  let sums = new Map<BackendServerId, number>()
  let wasIdle = false
  let cancel: TimerCancel | undefined

  function addUp (): void {
    sums = new Map()
    for (const [vm, { report, atMs }] of reports) {
      if (clock.now() - atMs > REPORT_LIFE_MS) {
        reports.delete(vm)
        continue
      }
      for (const [id, load] of Object.entries(report)) sums.set(id as BackendServerId, (sums.get(id as BackendServerId) ?? 0) + load)
    }
  }

  function tick (): void {
    addUp()
    const report = ownLoad()
    const isIdle = Object.keys(report).length === 0
    if (isIdle && wasIdle) return
    wasIdle = isIdle
    const others = vms().filter(vm => vm !== self)
    for (let left = Math.min(FANOUT, others.length); left > 0; left--) {
      const [to] = others.splice(Math.floor(random() * others.length), 1)
      send(to!, report)
    }
  }

  return {
    accept (from, report) {
      const before = reports.get(from)?.report
      reports.set(from, { report, atMs: clock.now() })
      for (const [id, load] of Object.entries(before ?? {})) sums.set(id as BackendServerId, (sums.get(id as BackendServerId) ?? 0) - load)
      for (const [id, load] of Object.entries(report)) sums.set(id as BackendServerId, (sums.get(id as BackendServerId) ?? 0) + load)
    },
    othersLoad (backend) {
      const known = reports.size
      if (known === 0) return 0
      const scale = Math.max(1, (vms().length - 1) / known)
      return Math.max(0, sums.get(backend) ?? 0) * scale
    },
    start () { cancel = clock.every(REPORT_PERIOD_MS, tick) },
    stop () { cancel?.() }
  }
}
