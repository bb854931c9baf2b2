/** What a VM does about a partition between itself and the backend servers: it decides, probes, and hands requests to other VMs. */
import type { Backend, BackendPool } from '../backend-pool/index.ts'
import type { Clock } from '../clock/index.ts'
import type { Fleet } from '../fleet/index.ts'
import { openConnection } from '../forwarding/exchange.ts'
import type { ServiceId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { Pacing } from '../pacing/index.ts'
import { createPeerForwarding } from '../peer-forwarding/index.ts'
import { createControl } from '../reachability/control.ts'
import { createInquiries } from '../reachability/inquiries.ts'
import { createReachability } from '../reachability/index.ts'
import { createProbes } from '../reachability/probes.ts'
import type { FleetRefusals } from '../resource-limits/index.ts'
import type { ForwardingVmSettings } from './types.ts'

export interface PartitionOptions {
  settings: Pick<ForwardingVmSettings, 'vm' | 'dataCentre'>
  fleet: Fleet
  pool: BackendPool
  pacing: Pick<Pacing, 'forgetOwnFailures'>
  refusals: Pick<FleetRefusals, 'isRefusing'>
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
}

export function createPartitionHandling ({ settings, fleet, pool, pacing, refusals, clock, log, metrics, random }: PartitionOptions) {
  const { vm: self, dataCentre } = settings
  /** Backend servers of a service that get requests, unless they are suspended. */
  const usableServers = (service: ServiceId) => pool.list(service).filter(({ entry, isMisdirected }) => !entry.leaving && !isMisdirected)
  const reachability = createReachability({
    self,
    serverCount: service => usableServers(service).length,
    onDoubt (service, failed) {
      probes.check(service, failed)
      void inquiries.begin(service)
    },
    onReturn (service) {
      for (const { entry } of pool.list(service)) {
        pool.forgetConnectFailures(entry.id)
        pacing.forgetOwnFailures(entry.id)
      }
    },
    clock,
    log,
    metrics
  })
  async function connect ({ entry }: Backend, timeoutMs: number): Promise<boolean> {
    const connection = await openConnection(entry.address, timeoutMs)
    connection?.destroy()
    return connection !== undefined
  }
  const probes = createProbes({ reachability, backendServers: usableServers, connect, clock, random })
  const inquiries = createInquiries({
    reachability,
    backendServers: usableServers,
    connect,
    otherVms: () => fleet.liveVms().filter(vm => vm !== self),
    ask: (vm, service, timeoutMs) => fleet.peers.request(vm, 'reachability.ask', service, { timeoutMs }),
    clock,
    random
  })
  fleet.peers.handle('reachability.ask', inquiries.answer)
  const control = createControl({ backendServers: usableServers, connect, clock, random })
  const peers = createPeerForwarding({
    self: { vm: self, dataCentre },
    vms: fleet.available,
    isCutOff: reachability.isCutOff,
    mayServe: (vm, service) => !reachability.isVmCutOff(vm, service) && !refusals.isRefusing(vm),
    addressOf: fleet.callerAddressOf,
    keys: fleet.linkKeys,
    connect: openConnection,
    metrics,
    random
  })
  return { reachability, probes, peers, reachesService: control.reachesService }
}
