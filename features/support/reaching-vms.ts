/** VMs that exchange what they know of the ways to services, on a manual clock and without a network. */
import type { Backend } from '../../src/core/backend-pool/types.ts'
import { createManualClock } from '../../src/core/clock/index.ts'
import { brandId, type BackendServerId, type ServiceId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import { createInquiries } from '../../src/core/reachability/inquiries.ts'
import { createReachability, type Reachability } from '../../src/core/reachability/index.ts'
import { createProbes, type Probes } from '../../src/core/reachability/probes.ts'
import { createRandom } from '../../src/standin/random.ts'

const REPORT_PERIOD_MS = 250
const REQUEST_PERIOD_MS = 50
const PROBE_MS = 20

export interface ReachingVm {
  id: VmId
  reachability: Reachability
  probes: Probes
  metrics: Metrics
  /** Services that callers of the VM request. */
  requested: Set<ServiceId>
  /** Whether a connection of the VM to a backend server is opened. */
  isLinked: (service: ServiceId, server: number) => boolean
  /** Whether the reports of the VM arrive. */
  isReporting: boolean
  /** Whether the VM asks others in doubt. */
  isAsking: boolean
  /** Answers another VM that asks about a service. */
  answer: (service: unknown) => Promise<unknown>
  returns: number
  /** Connections without a request, and whether the VM was cut off then. */
  probed: { server: number, isCutOff: boolean }[]
}

export type ReachingVms = ReturnType<typeof createReachingVms>

export const serverId = (service: ServiceId, server: number) => brandId<BackendServerId>(`${service}-${server}`)

export function createReachingVms ({ count, delayMs = 1 }: { count: number, delayMs?: number }) {
  const clock = createManualClock({ startMs: 1000, wallStartMs: 1_000_000 })
  const random = createRandom(7)
  /** Number of backend servers by service. */
  const services = new Map<ServiceId, number>()
  const serversOf = (service: ServiceId) => Array.from({ length: services.get(service) ?? 0 }, (_, index) => index + 1)
  const vms: ReachingVm[] = Array.from({ length: count }, (_, index) => createVm(brandId<VmId>(`vm-${index + 1}`)))

  function createVm (id: VmId): ReachingVm {
    const metrics = createMetrics()
    const reachability = createReachability({
      self: id,
      serverCount: service => services.get(service) ?? 0,
      onReturn () { vm.returns++ },
      clock,
      log: silentLog,
      metrics,
      onDoubt (service, failed) {
        probes.check(service, failed)
        if (vm.isAsking) void inquiries.begin(service)
      }
    })
    const backendServers = (service: ServiceId) => serversOf(service).map(server => ({ entry: { id: serverId(service, server), service } }) as Backend)
    async function connect ({ entry }: Backend): Promise<boolean> {
      const server = Number(entry.id.split('-').at(-1))
      vm.probed.push({ server, isCutOff: reachability.isCutOff(entry.service) })
      await clock.sleep(PROBE_MS)
      return vm.isLinked(entry.service, server)
    }
    const probes = createProbes({ reachability, backendServers, connect, clock, random })
    const inquiries = createInquiries({
      reachability,
      backendServers,
      connect,
      otherVms: () => vms.filter(other => other !== vm).map(other => other.id),
      async ask (to, service) {
        await clock.sleep(2 * delayMs)
        return JSON.parse(JSON.stringify(await vms.find(other => other.id === to)!.answer(service) ?? null))
      },
      clock,
      random
    })
    const vm: ReachingVm = { id, reachability, probes, metrics, requested: new Set(), isLinked: () => true, isReporting: true, isAsking: false, answer: inquiries.answer, returns: 0, probed: [] }
    probes.start()
    // The reports of the VMs are not sent at the same time.
    clock.after(REPORT_PERIOD_MS * random(), () => clock.every(REPORT_PERIOD_MS, () => { sendReport(vm) }))
    clock.every(REQUEST_PERIOD_MS, () => { for (const service of vm.requested) request(vm, service) })
    return vm
  }

  function sendReport (vm: ReachingVm): void {
    const report = vm.reachability.report()
    if (!report || !vm.isReporting) return
    const text = JSON.stringify(report)
    for (const other of vms) if (other !== vm) clock.after(delayMs, () => { other.reachability.merge(JSON.parse(text)) })
  }

  function request (vm: ReachingVm, service: ServiceId): void {
    if (vm.reachability.isCutOff(service)) return
    const server = 1 + Math.floor(random() * services.get(service)!)
    vm.reachability.recordConnection(service, serverId(service, server), vm.isLinked(service, server))
  }

  return { clock, vms, services }
}
