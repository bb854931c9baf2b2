/**
 * Choice of the backend server at 80% load: compares the time to the first token of the policy in use with round robin,
 * least requests, power of two choices and a policy that knows the true state of all engines. Prefix caches are bounded,
 * their change events arrive late and with gaps, and load reports are delayed.
 */
import { chooseLeastRequests, chooseLeastWork, choosePowerOfTwo, createRoundRobin, createScheduler } from '../core/admission/index.ts'
import type { BackendChoice, PermitRequest } from '../core/admission/types.ts'
import { brandId, type BackendServerId, type VmId } from '../core/ids/index.ts'
import { silentLog } from '../core/logging/index.ts'
import { createMetrics } from '../core/metrics/index.ts'
import { addressOf, createBasicView, DATA_CENTRE, permitRequest, putBackendServer } from './admission-fixture.ts'
import { createEngineModel, type EngineModel, type ModelWork } from './engine-model.ts'
import { createRandom } from './random.ts'
import { createEventClock } from './event-clock.ts'
import type { Benchmark, BenchmarkOptions, BenchmarkTable } from './types.ts'

const SERVERS = 8
const SLOTS = 12
const CACHE_BLOCKS = 400
const TOKENS_PER_BLOCK = 64
const REPORT_LAG_MS = 500
/** One-way delay between two processes. */
const NETWORK_DELAY_MS = 1
const LOAD = 0.8
/** Number of shared prefixes, such as instructions and documents; a few are much more frequent than the others. */
const PREFIXES = 120
const MEASUREMENT_START_MS = 10_000
const VM = brandId<VmId>('vm-1')

/** `chosen` is the scheduler's default policy. */
type PolicyName = 'perfect information' | 'chosen' | 'round robin' | 'least requests' | 'power of two'
const POLICIES: readonly PolicyName[] = ['perfect information', 'chosen', 'round robin', 'least requests', 'power of two']

const WORKLOADS = ['shared prefixes', 'no shared prefixes'] as const
type WorkloadName = typeof WORKLOADS[number]

interface Workload { next(id: string): ModelWork }

/**
 * Creates requests that begin with a prefix of 4 to 60 blocks, continue with a unique part and get an answer of random
 * length. The frequency of the prefixes follows a Zipf distribution. Without shared prefixes the lengths are the same, but
 * each request has its own prefix.
 */
function createWorkload (name: WorkloadName, random: () => number): Workload {
  const prefixBlocks = Array.from({ length: PREFIXES }, () => 4 + Math.floor(random() * 57))
  const weights = Array.from({ length: PREFIXES }, (_, i) => 1 / (i + 1) ** 0.9)
  const total = weights.reduce((sum, weight) => sum + weight, 0)

  function pickPrefix (): number {
    let remainingWeight = random() * total
    return Math.max(0, weights.findIndex(weight => (remainingWeight -= weight) <= 0))
  }

  return {
    next (id) {
      const prefix = pickPrefix()
      const blocks = prefixBlocks[prefix]!
      const prefixId = name === 'shared prefixes' ? prefix : id
      const prefixHashes = Array.from({ length: blocks }, (_, i) => `${prefixId}/${blocks - i}`)
      const promptTokens = blocks * TOKENS_PER_BLOCK + 20 + Math.floor(random() * 400)
      return { id, prefixHashes, tokensPerBlock: TOKENS_PER_BLOCK, promptTokens, outputTokens: 20 + Math.floor(random() * 180) }
    }
  }
}

function createPolicy (name: PolicyName, engines: Map<BackendServerId, EngineModel>, current: () => ModelWork | undefined): BackendChoice {
  switch (name) {
    case 'chosen': return chooseLeastWork
    case 'round robin': return createRoundRobin()
    case 'least requests': return chooseLeastRequests
    case 'power of two': return choosePowerOfTwo
    case 'perfect information': return ({ candidates }) => {
      const work = current()!
      const expected = (id: BackendServerId): number => engines.get(id)!.expectedFirstTokenMs(work)
      return candidates.reduce((best, next) => expected(next.backendServer) < expected(best.backendServer) ? next : best)
    }
  }
}

interface Outcome { p99: number, p50: number, completedPerSecond: number }

interface RunOptions {
  workload: WorkloadName
  policy: PolicyName
  seed: number
  durationMs: number
  /** Arrivals per second; undefined keeps all slots busy to measure the capacity. */
  rate: number | undefined
}

async function simulate ({ workload: workloadName, policy, seed, durationMs, rate }: RunOptions): Promise<Outcome> {
  const clock = createEventClock()
  const random = createRandom(seed)
  const workload = createWorkload(workloadName, createRandom(seed + 1000))
  const view = createBasicView({ maxConcurrent: 100_000 })
  const engines = new Map<BackendServerId, EngineModel>()
  const pendingWork = new Map<string, ModelWork>()
  let currentWork: ModelWork | undefined
  const chooseBackend = createPolicy(policy, engines, () => currentWork)
  const scheduler = createScheduler({
    identity: { vm: VM, boot: brandId('boot'), region: brandId('bagmati'), dataCentre: DATA_CENTRE },
    dataCentre: DATA_CENTRE,
    epoch: 1,
    isLeaseHeld: () => true,
    view,
    async healthProbe (address) {
      await clock.sleep(NETWORK_DELAY_MS)
      const report = engines.get(brandId(`runner-${Number(address.split(':')[1]) - 9000}`))!.health()
      await clock.sleep(NETWORK_DELAY_MS)
      return report
    },
    quarantine: { isQuarantined: () => false, isSuspect: () => false, remainingMs: () => 0 },
    peerSummaries: () => [],
    maxQueue: 100_000,
    chooseBackend: choice => {
      currentWork = pendingWork.get(choice.request.request)
      return chooseBackend(choice)
    },
    clock,
    metrics: createMetrics(),
    log: silentLog,
    random
  })
  for (let i = 1; i <= SERVERS; i++) {
    const id = brandId<BackendServerId>(`runner-${i}`)
    putBackendServer(view, id, { slots: SLOTS, coldAllowance: 2, address: addressOf(id) })
    engines.set(id, createEngineModel({
      id,
      clock,
      random,
      cacheBlocks: CACHE_BLOCKS,
      reportLagMs: REPORT_LAG_MS,
      coldAllowance: 2,
      warmUpMs: 0,
      onCacheEvent: event => scheduler.applyCacheEvent(event)
    }))
  }
  const firstTokenTimesMs: number[] = []
  let completed = 0
  let requests = 0

  async function serveRequest (): Promise<void> {
    const work = workload.next(`request-${requests++}`)
    const arrivedAt = clock.now()
    pendingWork.set(work.id, work)
    await clock.sleep(NETWORK_DELAY_MS)
    const request: PermitRequest = permitRequest({
      request: work.id, prefixHashes: work.prefixHashes, estimatedTokens: work.promptTokens, waitMs: 600_000
    })
    const answer = await scheduler.request(request, VM)
    pendingWork.delete(work.id)
    if (!answer.granted) return
    const { id, backendServer } = answer.permit
    const engine = engines.get(backendServer)!
    await clock.sleep(2 * NETWORK_DELAY_MS)
    const outcome = await engine.run(work, () => {
      scheduler.recordFirstByte({ id, instance: engine.instance }, VM)
      if (arrivedAt >= MEASUREMENT_START_MS) firstTokenTimesMs.push(clock.now() + NETWORK_DELAY_MS - arrivedAt)
    })
    await clock.sleep(NETWORK_DELAY_MS)
    scheduler.release({ id, outcome, instance: engine.instance }, VM)
    if (clock.now() >= MEASUREMENT_START_MS) completed++
  }

  async function serveContinuously (): Promise<void> {
    for (;;) await serveRequest()
  }

  function scheduleArrivals (ratePerSecond: number): void {
    clock.after(-Math.log(1 - random()) * 1000 / ratePerSecond, () => {
      void serveRequest()
      scheduleArrivals(ratePerSecond)
    })
  }

  scheduler.start()
  await clock.runUntil(5000)
  if (rate === undefined) for (let i = 0; i < 2 * SERVERS * SLOTS; i++) void serveContinuously()
  else scheduleArrivals(rate)
  await clock.runUntil(MEASUREMENT_START_MS + durationMs)
  scheduler.stop()
  firstTokenTimesMs.sort((a, b) => a - b)
  const quantile = (share: number): number => firstTokenTimesMs[Math.floor(share * firstTokenTimesMs.length)] ?? 0
  return { p99: quantile(0.99), p50: quantile(0.5), completedPerSecond: completed * 1000 / durationMs }
}

/** Runs all policies at 80% of the completions per second that perfect information achieves with all slots busy. */
async function comparePolicies (workload: WorkloadName, seed: number, durationMs: number): Promise<(string | number)[][]> {
  const { completedPerSecond } = await simulate({ workload, policy: 'perfect information', seed, durationMs: durationMs / 2, rate: undefined })
  const rate = LOAD * completedPerSecond
  const outcomes = new Map<PolicyName, Outcome>()
  for (const policy of POLICIES) outcomes.set(policy, await simulate({ workload, policy, seed, durationMs, rate }))
  const optimalP99 = outcomes.get('perfect information')!.p99
  return [...outcomes].map(([policy, { p50, p99 }]) =>
    [workload, seed, policy, rate.toFixed(1), p50.toFixed(0), p99.toFixed(0), (p99 / optimalP99).toFixed(2)])
}

async function runBenchmark ({ seeds, quick }: BenchmarkOptions): Promise<BenchmarkTable> {
  const durationMs = quick ? 20_000 : 120_000
  const rows: (string | number)[][] = []
  for (const workload of WORKLOADS) {
    for (const seed of seeds) rows.push(...await comparePolicies(workload, seed, durationMs))
  }
  return {
    title: `Choice of the backend server at ${LOAD * 100}% load`,
    columns: ['workload', 'seed', 'policy', 'requests/s', 'p50 first token (ms)', 'p99 first token (ms)', 'p99 against perfect information'],
    rows,
    notes: [
      `${SERVERS} engines with ${SLOTS} slots and ${CACHE_BLOCKS} cache blocks of ${TOKENS_PER_BLOCK} tokens; ${PREFIXES} shared prefixes.`,
      'Load is 80% of the completions per second that perfect information achieves with all slots busy.',
      'Bound: the chosen policy stays within 1.2 times perfect information and ahead of the other three.'
    ]
  }
}

export const backendChoice: Benchmark = {
  name: 'backend-choice',
  summary: 'time to the first token by choice of backend server at 80% load',
  run: runBenchmark
}
