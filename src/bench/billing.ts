/**
 * Object API writes per 1,000 requests and the latency that a billing record adds before the answer may end, with and
 * without a witness, on simulated VMs with simulated delays.
 */
import { createBilling, readBills, type Billing, type BillingRecord } from '../core/billing/index.ts'
import { createManualClock } from '../core/clock/index.ts'
import { brandId } from '../core/ids/index.ts'
import { silentLog } from '../core/logging/index.ts'
import { createMetrics } from '../core/metrics/index.ts'
import { createMemoryObjectApi } from './memory-object-api.ts'
import { createMemoryRegion, type MemoryVm } from './memory-region.ts'
import { createRandom } from './random.ts'
import type { Benchmark, BenchmarkOptions, BenchmarkTable } from './types.ts'

const VMS = 8
const DATA_CENTRES = 4
const SECONDS = 60
const QUICK_SECONDS = 5

interface Case { name: string, requestsPerSecond: number, vms: number, flushPeriodMs: number, outage: boolean }

const CASES: Case[] = [
  { name: 'witness, 40 requests/s', requestsPerSecond: 40, vms: VMS, flushPeriodMs: 500, outage: false },
  { name: 'witness, 400 requests/s', requestsPerSecond: 400, vms: VMS, flushPeriodMs: 500, outage: false },
  { name: 'witness, 400 requests/s, object API down for the middle third', requestsPerSecond: 400, vms: VMS, flushPeriodMs: 500, outage: true },
  { name: 'one VM without a witness, 40 requests/s', requestsPerSecond: 40, vms: 1, flushPeriodMs: 500, outage: false }
]

interface CaseResult { latenciesMs: number[], writes: number, requests: number, wrongBills: number }

function createRecord (number: number): BillingRecord {
  const id = `request-${number}`
  return { id, request: brandId(id), team: brandId('kits'), outcome: 'completed', lines: [], costMicros: 10, atWallMs: 0 }
}

async function runCase ({ requestsPerSecond, vms, flushPeriodMs, outage }: Case, seed: number, seconds: number): Promise<CaseResult> {
  const random = createRandom(seed)
  const clock = createManualClock()
  const objectApi = createMemoryObjectApi({ clock, delayMs: () => 2 + random() * 6 })
  const region = createMemoryRegion({ clock, objectApi, delayMs: () => 0.8 + random() * 0.4 })
  const memoryVms: MemoryVm[] = Array.from({ length: vms }, (_, index) => region.add(`vm-${index}`, `dc-${index % DATA_CENTRES}`))
  const billing: Billing[] = memoryVms.map(vm => createBilling({ ...vm, flushPeriodMs, random, metrics: createMetrics(), log: silentLog }))
  const latenciesMs: number[] = []
  const requests = requestsPerSecond * seconds
  for (const instance of billing) instance.start()
  if (outage) {
    clock.after(seconds * 1000 / 3, () => objectApi.setFault(() => 'unavailable'))
    clock.after(seconds * 2000 / 3, () => objectApi.setFault(() => undefined))
  }
  for (let number = 0; number < requests; number++) {
    clock.after(number * 1000 / requestsPerSecond, () => {
      const startMs = clock.now()
      const recorded = billing[Math.floor(random() * vms)]!.record(createRecord(number))
      recorded.then(() => latenciesMs.push(clock.now() - startMs), () => latenciesMs.push(Infinity))
    })
  }
  await clock.advance(seconds * 1000 + 15_000)
  const { records, duplicates } = await readStoredBills(objectApi, clock)
  return { latenciesMs, writes: objectApi.calls.create, requests, wrongBills: requests - records.length + duplicates }
}

async function readStoredBills (objectApi: ReturnType<typeof createMemoryObjectApi>, clock: ReturnType<typeof createManualClock>) {
  const bills = readBills({ objectApi })
  await clock.advance(100)
  return bills
}

async function run ({ seeds, quick }: BenchmarkOptions): Promise<BenchmarkTable> {
  const rows: (string | number)[][] = []
  for (const billingCase of CASES) {
    const results: CaseResult[] = []
    for (const seed of seeds) results.push(await runCase(billingCase, seed, quick ? QUICK_SECONDS : SECONDS))
    const sum = (value: (result: CaseResult) => number) => results.reduce((total, result) => total + value(result), 0)
    const latencies = results.flatMap(result => result.latenciesMs).sort((a, b) => a - b)
    const quantile = (share: number) => Number(latencies[Math.floor(share * (latencies.length - 1))]!.toFixed(2))
    rows.push([
      billingCase.name, sum(result => result.requests), Math.round(1000 * sum(result => result.writes) / sum(result => result.requests)),
      quantile(0.5), quantile(0.99), sum(result => result.wrongBills)
    ])
  }
  return {
    title: 'Billing: writes and added latency',
    columns: ['case', 'requests', 'writes per 1,000 requests', 'added ms, median', 'added ms, p99', 'lost or double bills'],
    rows,
    notes: [
      'Simulated time: 0.8 to 1.2 ms one way between VMs, 2 to 8 ms per call of the object API. Processing time is not included; other benchmarks measure it in real processes.',
      `Seeds ${seeds.join(', ')}; ${VMS} VMs in ${DATA_CENTRES} data centres; batches every 500 ms. Writes that fail during the outage are counted as writes.`
    ]
  }
}

export const billingBenchmark: Benchmark = { name: 'billing', summary: 'object API writes and added latency of billing', run }
