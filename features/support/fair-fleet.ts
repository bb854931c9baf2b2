/** VMs in this process that share the slots of one simulated service; each backend slot serves one request at a time, in order of arrival. */
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { createFairShares, type FairShares } from '../../src/core/fair-share/index.ts'
import { createWaitEstimates } from '../../src/core/fair-share/wait-estimate.ts'
import { createFairCapacity, type CapacitySource, type FairCapacity } from '../../src/core/forwarding-vm/fair-capacity.ts'
import type { Reservation } from '../../src/core/backend-pool/index.ts'
import type { ForwardedRequest } from '../../src/core/forwarding/forward.ts'
import type { RequestProgress } from '../../src/core/forwarding/request-progress.ts'
import { brandId, type ServiceId, type TeamId, type VmId } from '../../src/core/ids/index.ts'
import type { LoadExchange } from '../../src/core/load-exchange/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createCapacityQueue, type CapacityQueue } from '../../src/core/placement/capacity-queue.ts'
import { startConnectedExchange } from './load-exchange.ts'

export const SERVICE = brandId<ServiceId>('model')
const TARGET_MS = 4000
const ROUTE_TIMEOUT_MS = 15_000

export interface FairVm { shares: FairShares, queue: CapacityQueue, capacity: FairCapacity, exchange: LoadExchange, isCut: boolean }
export interface TeamResult { sent: number, inTime: number, refused: number, refusedAtOnce: number }

export function createFairFleet ({ vmCount, slots, serviceMs, random, tickMs = 0 }: { vmCount: number, slots: number, serviceMs: number, random: () => number, tickMs?: number }) {
  const manualClock = createManualClock({ startMs: 1000 })
  let ticks = 0
  let pausedMs = 0
  /** Each reading takes `tickMs`, as on a real clock. */
  const clock: ManualClock = { ...manualClock, now: () => manualClock.now() + pausedMs + tickMs * ticks++ }
  /** Pauses the processes of all VMs; their timers are late afterwards. */
  const pause = (ms: number) => { pausedMs += ms }
  const names = Array.from({ length: vmCount }, (_, index) => brandId<VmId>(`vm-${index}`))
  const results = new Map<string, TeamResult>()
  const backlog: (() => void)[] = []
  let running = 0
  const vms: FairVm[] = names.map(self => {
    const shares = createFairShares({ slots: () => slots, vmCount: () => vmCount, othersUsage: () => exchange.othersUsage(), clock, log: silentLog })
    const waits = createWaitEstimates(clock)
    const queue = createCapacityQueue(clock, { usage: shares.fleetUsage, mayStart: shares.mayStart }, waits.recordPause)
    const exchange = startConnectedExchange({
      self, names, exchangeOf: vm => vms[names.indexOf(vm)]!.exchange, recentEvidence: () => undefined, onEvidence: () => {}, ownUsage: shares.report, isCut: vm => vms[names.indexOf(vm)]!.isCut, clock
    })
    const capacity = createFairCapacity({ shares, waits, queue, tokenCapacity: () => 400_000, clock, metrics: createMetrics(), random })
    return { shares, queue, capacity, exchange, isCut: false }
  })

  function runNext (): void {
    const start = running < slots ? backlog.shift() : undefined
    if (!start) return
    running++
    start()
  }

  async function send (team: string, vm = vms[Math.floor(random() * vms.length)]!, { tokens = 100, source = {} }: { tokens?: number, source?: Partial<CapacitySource> } = {}): Promise<RequestProgress> {
    const result = results.get(team) ?? { sent: 0, inTime: 0, refused: 0, refusedAtOnce: 0 }
    results.set(team, result)
    result.sent++
    const receivedMs = clock.now()
    const forwarded = {
      request: { promptTokens: tokens, maxOutputTokens: 0, timeoutMs: ROUTE_TIMEOUT_MS }, route: { priority: 5, targetLatencyMs: TARGET_MS, timeoutMs: ROUTE_TIMEOUT_MS }, service: SERVICE, team: { id: brandId<TeamId>(team) }, receivedMs
    } as ForwardedRequest
    const progress = { attempts: 0, isFinished: false } as RequestProgress
    const reserve = () => ({ release () {}, cancel () {} }) as Reservation
    const reservation = await vm.capacity.reserve(forwarded, progress, ROUTE_TIMEOUT_MS, { isLent: () => false, tryReserve: reserve, borrow: async () => reserve(), rateWaitMs: () => 0, ...source })
    if (!reservation) {
      result.refused++
      if (!progress.capacityWait) result.refusedAtOnce++
      return progress
    }
    backlog.push(() => {
      clock.after(serviceMs, () => {
        running--
        if (clock.now() - receivedMs <= TARGET_MS) result.inTime++
        reservation.release()
        vm.queue.wake(SERVICE)
        runNext()
      })
    })
    runNext()
    return progress
  }

  /** Sends requests of each team at its rate per second for a time, evenly in time and at random VMs. */
  async function run (rates: ReadonlyMap<string, number>, ms: number): Promise<void> {
    const cancels = [...rates].map(([team, rate]) => clock.every(1000 / rate * (1 + random() / 100), () => void send(team)))
    await clock.advance(ms)
    for (const cancel of cancels) cancel()
  }

  return { clock, vms, results, send, run, pause }
}

export type FairFleet = ReturnType<typeof createFairFleet>
