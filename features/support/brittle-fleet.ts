/** VMs that send to brittle backend servers of one service, on a manual clock and with their load reports. */
import { createBackendPool, type Backend, type BackendPool } from '../../src/core/backend-pool/index.ts'
import { createCapacityLoans, type CapacityLoans } from '../../src/core/capacity-loan/index.ts'
import type { ManualClock } from '../../src/core/clock/index.ts'
import type { ForwardedRequest } from '../../src/core/forwarding/forward.ts'
import type { RequestProgress } from '../../src/core/forwarding/request-progress.ts'
import { createAssignments } from '../../src/core/forwarding-vm/assignment.ts'
import { createCapacity, type Capacity } from '../../src/core/forwarding-vm/capacity.ts'
import { brandId, type BackendServerId, type DataCentreId, type ServiceId, type VmId } from '../../src/core/ids/index.ts'
import type { LoadExchange, LoadReport } from '../../src/core/load-exchange/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createCapacityQueue, type CapacityQueue } from '../../src/core/placement/capacity-queue.ts'
import { createRandom } from '../../src/standin/random.ts'
import { backendEntry, route } from './forwarding-vm-harness.ts'
import { startConnectedExchange } from './load-exchange.ts'

const SERVICE = brandId<ServiceId>('service')
const MESSAGE_MS = 2
const MEAN_SERVICE_MS = 800
const REQUEST_TIMEOUT_MS = 8000
const MAX_SENDS = 3
const STEP_MS = 10

/** A backend server without a queue: it rejects what finds no free slot. */
interface BrittleServer {
  running: number
  tolerated: number | undefined
  rejectedAtMs: number[]
}

interface BrittleVm { pool: BackendPool, capacity: Capacity, loans: CapacityLoans, queue: CapacityQueue, exchange: LoadExchange }

export interface BrittleFleetOptions { vms: number, servers: number, slots: number, clock: ManualClock, meanServiceMs?: number }

export interface BrittleFleet {
  /** All backend servers say so in their answers from now on; `undefined` if they do not. */
  setTolerated(rejections: number | undefined): void
  /** Sends requests for a multiple of the room of all backend servers. */
  run(durationMs: number, load: number): Promise<void>
  /** Another process takes slots, as requests whose callers have gone may. */
  occupy(slots: number): void
  /** Largest number of rejections in a second at one backend server since then. */
  maxRejections(sinceMs: number): number
  /** Mean share of the slots that were used since the last call. */
  usedShare(): number
  served: number
  vms: readonly BrittleVm[]
}

export function createBrittleFleet ({ vms: vmCount, servers: serverCount, slots, clock, meanServiceMs = MEAN_SERVICE_MS }: BrittleFleetOptions): BrittleFleet {
  const random = createRandom(7)
  const names = Array.from({ length: vmCount }, (_, index) => brandId<VmId>(`vm-${index}`))
  const servers = new Map<BackendServerId, BrittleServer>()
  for (let i = 0; i < serverCount; i++) servers.set(brandId<BackendServerId>(`server-${i}`), { running: 0, tolerated: undefined, rejectedAtMs: [] })
  const usedSamples: number[] = []
  const vms: BrittleVm[] = names.map(createVm)

  function createVm (self: VmId): BrittleVm {
    const pool = createBackendPool({ cold: { limit: () => 0, vms: () => names, self }, clock, log: silentLog, metrics: createMetrics() })
    for (const id of servers.keys()) pool.apply({ ...backendEntry('127.0.0.1:1', { slots }), id })
    const vmOf = (vm: VmId) => vms[names.indexOf(vm)]!
    const exchange = startConnectedExchange({
      self,
      names,
      exchangeOf: vm => vmOf(vm).exchange,
      ownLoad: () => Object.fromEntries([...pool.all()].map(({ entry, load }) => [entry.id, load])) as LoadReport,
      recentEvidence: () => ({ brittle: pool.brittle.report() }),
      onEvidence: ({ brittle }) => { if (brittle) pool.brittle.merge(brittle) },
      clock
    })
    const assignments = createAssignments({
      pool,
      trials: { versionRule: () => ({ allows: () => true, backendShare: 1 }) } as unknown as Parameters<typeof createAssignments>[0]['trials'],
      loads: exchange,
      pacing: { speedOf: () => 1, permits: () => true, stateOf: () => 'full', isTrialDue: () => false, recordTrial () {} },
      table: () => undefined,
      vmCount: () => vmCount,
      dataCentre: brandId<DataCentreId>('dc-1'),
      random
    })
    const loans = createCapacityLoans({
      pool,
      self,
      isLive: () => true,
      async request (to, body) {
        await clock.sleep(MESSAGE_MS)
        const response = vmOf(to).loans.accept(structuredClone(body))
        await clock.sleep(MESSAGE_MS)
        return response
      },
      notify: (to, body) => clock.after(MESSAGE_MS, () => vmOf(to).loans.acceptReturn(structuredClone(body))),
      clock,
      metrics: createMetrics(),
      random
    })
    const queue = createCapacityQueue(clock)
    return { pool, capacity: createCapacity({ pool, assignments, loans, queue, clock, random }), loans, queue, exchange }
  }

  /** Sends one request as often as it may be sent, and not again to a backend server that has rejected it. */
  async function request (vm: BrittleVm): Promise<void> {
    const forwarded = { request: { id: 'r', prompt: [], promptTokens: 0 }, service: SERVICE, route: route('/read/', 'idempotent') } as unknown as ForwardedRequest
    const progress = { isFinished: false, triedBackends: new Set<Backend>(), hasFailed: false } as RequestProgress
    for (let sends = 0; sends < MAX_SENDS; sends++) {
      const reservation = await vm.capacity.reserve(forwarded, progress, REQUEST_TIMEOUT_MS)
      if (!reservation) return
      progress.triedBackends.add(reservation.backend)
      const isServed = await send(vm, reservation.backend)
      reservation.release()
      vm.queue.wake(SERVICE)
      if (isServed) {
        fleet.served++
        return
      }
    }
  }

  async function send (vm: BrittleVm, backend: Backend): Promise<boolean> {
    const server = servers.get(backend.entry.id)!
    await clock.sleep(MESSAGE_MS)
    const isAccepted = server.running < slots
    if (isAccepted) {
      server.running++
      await clock.sleep(meanServiceMs * (0.5 + random()))
      server.running--
    } else {
      server.rejectedAtMs.push(clock.now())
    }
    await clock.sleep(MESSAGE_MS)
    vm.pool.recordRoom(backend, { toleratedRejections: server.tolerated, authentic: isAccepted, notRun: !isAccepted, namedLimit: undefined })
    return isAccepted
  }

  const fleet: BrittleFleet = {
    served: 0,
    vms,
    setTolerated (rejections) { for (const server of servers.values()) server.tolerated = rejections },
    async run (durationMs, load) {
      let due = 0
      const perStep = load * serverCount * slots / (meanServiceMs + 2 * MESSAGE_MS) * STEP_MS
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
        for (due += perStep; due >= 1; due--) void request(vms[Math.floor(random() * vmCount)]!)
        await clock.advance(STEP_MS)
        usedSamples.push([...servers.values()].reduce((sum, { running }) => sum + running, 0) / (serverCount * slots))
      }
    },
    occupy (count) { for (const server of servers.values()) server.running += count },
    maxRejections (sinceMs) {
      return Math.max(...[...servers.values()].map(({ rejectedAtMs }) => {
        const recent = rejectedAtMs.filter(atMs => atMs >= sinceMs)
        return Math.max(0, ...recent.map(fromMs => recent.filter(atMs => atMs >= fromMs && atMs < fromMs + 1000).length))
      }))
    },
    usedShare () {
      const samples = usedSamples.splice(0)
      return samples.reduce((sum, share) => sum + share, 0) / samples.length
    }
  }
  return fleet
}
