/**
 * Overload of two data centres: goodput at three times the capacity relative to the capacity, the additional load from
 * retries while backend servers fail, and the effects of one data centre leaving and returning cold. Refused callers
 * retry after the time given in the refusal; failed requests are retried within the retry budget.
 */
import { createScheduler } from '../core/admission/index.ts'
import type { LeaderSummary, PermitAnswer, PermitRequest, Scheduler } from '../core/admission/types.ts'
import { brandId, type BackendServerId, type DataCentreId, type VmId } from '../core/ids/index.ts'
import { silentLog } from '../core/logging/index.ts'
import { createMetrics } from '../core/metrics/index.ts'
import { chooseDataCentres } from '../core/routing/data-centre.ts'
import { addressOf, createBasicView, permitRequest, putBackendServer, VERSION, type MemoryView } from './admission-fixture.ts'
import { createEngineModel, type EngineModel, type ModelWork } from './engine-model.ts'
import { createRandom } from './random.ts'
import { createEventClock, type EventClock } from './event-clock.ts'
import type { Benchmark, BenchmarkOptions, BenchmarkTable } from './types.ts'

const DATA_CENTRES = ['bag-a', 'bag-b'].map(name => brandId<DataCentreId>(name))
const SERVERS_PER_DATA_CENTRE = 4
const SLOTS = 8
/** One-way delay between two processes. */
const NETWORK_DELAY_MS = 1
const WARM_UP_MS = 5000
/** Deadline for the first token of a request; answers that begin later do not count as goodput. */
const FIRST_TOKEN_DEADLINE_MS = 3000
const MAX_QUEUE_WAIT_MS = 2000
const MAX_ATTEMPTS = 4
const SUMMARY_PERIOD_MS = 250
const MEASUREMENT_START_MS = 10_000
const RETURN_SCENARIO_MS = 80_000
const VM = brandId<VmId>('vm-1')

interface Scenario {
  /** Arrivals per second; undefined keeps all slots busy. */
  rate: number | undefined
  durationMs: number
  seed: number
  failureShare?: number
  retryBudgetShare?: number
  /** When the second data centre leaves and returns, in milliseconds since the start of the measurement. */
  outage?: { fromMs: number, toMs: number }
  /** Whether the leader knows the engines' real cold allowance; otherwise a returning data centre starts at full load. */
  slowStart?: boolean
}

interface Result {
  goodPerSecond: number
  firstGrants: number
  retryGrants: number
  overloadCrashes: number
  /** Number of answers that began in time, for each second of the measurement. */
  goodBySecond: number[]
}

interface Run extends Scenario {
  clock: EventClock
  random: () => number
  view: MemoryView
  engines: Map<BackendServerId, EngineModel>
  schedulers: Map<DataCentreId, Scheduler>
  summaries: Map<DataCentreId, LeaderSummary>
  result: Result
  requests: number
}

function createRun (scenario: Scenario): Run {
  const clock = createEventClock()
  const run: Run = {
    ...scenario,
    clock,
    random: createRandom(scenario.seed),
    view: createBasicView({ dataCentres: DATA_CENTRES, maxConcurrent: 100_000 }),
    engines: new Map(),
    schedulers: new Map(),
    summaries: new Map(),
    result: { goodPerSecond: 0, firstGrants: 0, retryGrants: 0, overloadCrashes: 0, goodBySecond: [] },
    requests: 0
  }
  DATA_CENTRES.forEach((dataCentre, index) => addDataCentre(run, dataCentre, index))
  clock.every(SUMMARY_PERIOD_MS, () => {
    for (const [dataCentre, scheduler] of run.schedulers) run.summaries.set(dataCentre, scheduler.summary())
  })
  return run
}

function addDataCentre (run: Run, dataCentre: DataCentreId, index: number): void {
  const { view, clock, random, engines, failureShare = 0, slowStart = true } = run
  for (let i = 1; i <= SERVERS_PER_DATA_CENTRE; i++) {
    const id = brandId<BackendServerId>(`runner-${index * SERVERS_PER_DATA_CENTRE + i}`)
    putBackendServer(view, id, { dataCentre, slots: SLOTS, coldAllowance: slowStart ? 1 : SLOTS })
    engines.set(id, createEngineModel({
      id, clock, random, cacheBlocks: 400, reportLagMs: 500, coldAllowance: 1, warmUpMs: WARM_UP_MS, failureShare: () => failureShare
    }))
  }
  const scheduler = createScheduler({
    identity: { vm: VM, boot: brandId('boot'), region: brandId('bagmati'), dataCentre },
    dataCentre,
    epoch: 1,
    isLeaseHeld: () => true,
    view,
    healthProbe: address => probeHealth(run, address),
    quarantine: { isQuarantined: () => false, isSuspect: () => false, remainingMs: () => 0 },
    peerSummaries: () => [...run.summaries.values()],
    retryBudgetShare: run.retryBudgetShare,
    clock,
    metrics: createMetrics(),
    log: silentLog,
    random
  })
  scheduler.start()
  run.schedulers.set(dataCentre, scheduler)
}

async function probeHealth ({ clock, engines }: Run, address: string) {
  await clock.sleep(NETWORK_DELAY_MS)
  const report = [...engines].find(([id]) => addressOf(id) === address)![1].health()
  await clock.sleep(NETWORK_DELAY_MS)
  return report
}

function createWork ({ random }: Run, id: string): ModelWork {
  return { id, prefixHashes: [], tokensPerBlock: 64, promptTokens: 100 + Math.floor(random() * 800), outputTokens: 40 + Math.floor(random() * 120) }
}

/**
 * Requests a permit from the data centres in order of preference until one grants it or the retry budget is used up.
 * Returns the last refusal if none grants it.
 */
async function acquirePermit (run: Run, request: PermitRequest): Promise<PermitAnswer | undefined> {
  const own = { region: brandId<never>('bagmati'), dataCentre: DATA_CENTRES[run.requests % DATA_CENTRES.length]! }
  const candidates = chooseDataCentres({
    request: { team: request.team, version: VERSION }, summaries: [...run.summaries.values()], view: run.view, own, random: run.random
  })
  let answer: PermitAnswer | undefined
  for (const { dataCentre } of candidates) {
    await run.clock.sleep(NETWORK_DELAY_MS)
    answer = await run.schedulers.get(dataCentre)!.request(request, VM)
    await run.clock.sleep(NETWORK_DELAY_MS)
    if (answer.granted) return answer
    if (answer.refusal.reason === 'retry_budget') return answer
  }
  return answer
}

/** Simulates one request of a caller with its retries. */
async function serveRequest (run: Run, id: string): Promise<void> {
  const { clock, engines, schedulers, result } = run
  const work = createWork(run, id)
  let deadline = clock.now() + FIRST_TOKEN_DEADLINE_MS
  let hasRun = false
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const waitMs = Math.min(MAX_QUEUE_WAIT_MS, deadline - clock.now())
    const request = permitRequest({ request: id, estimatedTokens: work.promptTokens, waitMs, isRetry: hasRun })
    const answer = await acquirePermit(run, request)
    if (!answer?.granted) {
      // A refused caller retries after the time given in the refusal, with a new deadline. A request that has already
      // run is abandoned.
      if (hasRun) return
      await clock.sleep(answer?.refusal.retryAfterMs ?? 1000)
      deadline = clock.now() + FIRST_TOKEN_DEADLINE_MS
      continue
    }
    if (clock.now() >= MEASUREMENT_START_MS) hasRun ? result.retryGrants++ : result.firstGrants++
    hasRun = true
    const { permit } = answer
    const engine = engines.get(permit.backendServer)!
    let firstTokenAt = Infinity
    const outcome = await engine.run(work, () => { firstTokenAt = clock.now() })
    schedulers.get(permit.dataCentre)!.release({ id: permit.id, outcome, instance: outcome === 'crashed' ? undefined : engine.instance }, VM)
    if (outcome === 'completed') return recordAnswer(run, firstTokenAt <= deadline)
  }
}

function recordAnswer ({ clock, result }: Run, isInTime: boolean): void {
  if (!isInTime || clock.now() < MEASUREMENT_START_MS) return
  const second = Math.floor((clock.now() - MEASUREMENT_START_MS) / 1000)
  result.goodBySecond[second] = (result.goodBySecond[second] ?? 0) + 1
}

function scheduleArrivals (run: Run, rate: number): void {
  run.clock.after(-Math.log(1 - run.random()) * 1000 / rate, () => {
    void serveRequest(run, `request-${run.requests++}`)
    scheduleArrivals(run, rate)
  })
}

async function serveContinuously (run: Run): Promise<void> {
  for (;;) await serveRequest(run, `request-${run.requests++}`)
}

function scheduleOutage ({ clock, view, engines, outage }: Run): void {
  if (!outage) return
  const dataCentre = DATA_CENTRES[1]!
  clock.after(MEASUREMENT_START_MS + outage.fromMs, () => view.put('DataCentre', dataCentre, { region: 'bagmati', state: 'out_of_service' }))
  clock.after(MEASUREMENT_START_MS + outage.toMs, () => {
    for (const { name, spec } of view.list('BackendServer')) {
      if (spec.dataCentre === dataCentre) engines.get(brandId(name))!.restart()
    }
    view.put('DataCentre', dataCentre, { region: 'bagmati', state: 'in_service' })
  })
}

async function simulate (scenario: Scenario): Promise<Result> {
  const run = createRun(scenario)
  await run.clock.runUntil(WARM_UP_MS)
  if (scenario.rate === undefined) {
    for (let i = 0; i < 1.5 * DATA_CENTRES.length * SERVERS_PER_DATA_CENTRE * SLOTS; i++) void serveContinuously(run)
  } else scheduleArrivals(run, scenario.rate)
  scheduleOutage(run)
  await run.clock.runUntil(MEASUREMENT_START_MS + scenario.durationMs)
  for (const scheduler of run.schedulers.values()) scheduler.stop()
  const { result } = run
  result.goodPerSecond = result.goodBySecond.reduce((sum, count) => sum + (count ?? 0), 0) * 1000 / scenario.durationMs
  result.overloadCrashes = [...run.engines.values()].reduce((sum, engine) => sum + engine.overloadCrashes, 0)
  return result
}

/** Returns the mean goodput between two times of the measurement, in answers per second. */
function meanGoodput ({ goodBySecond }: Result, fromMs: number, toMs: number): number {
  const counts = Array.from({ length: (toMs - fromMs) / 1000 }, (_, i) => goodBySecond[fromMs / 1000 + i] ?? 0)
  return counts.reduce((sum, count) => sum + count, 0) / counts.length
}

/** Returns the seconds from the return until the goodput over 5 s first reaches 90% of the level before the outage. */
function secondsUntilNormal (result: Result, { fromMs, toMs }: { fromMs: number, toMs: number }): number | string {
  const before = meanGoodput(result, 5000, fromMs)
  for (let atMs = toMs; atMs + 5000 <= RETURN_SCENARIO_MS; atMs += 1000) {
    if (meanGoodput(result, atMs, atMs + 5000) >= 0.9 * before) return (atMs - toMs) / 1000
  }
  return 'not reached'
}

async function runSeed (seed: number, durationMs: number): Promise<(string | number)[][]> {
  const capacity = (await simulate({ rate: undefined, durationMs, seed })).goodPerSecond
  const tripleLoad = await simulate({ rate: 3 * capacity, durationMs, seed })
  const failing = { rate: 0.7 * capacity, durationMs, seed, failureShare: 0.3 }
  const withBudget = await simulate(failing)
  const withoutBudget = await simulate({ ...failing, retryBudgetShare: 1000 })
  const outage = { fromMs: 20_000, toMs: 40_000 }
  const returning = { rate: 0.8 * capacity, durationMs: RETURN_SCENARIO_MS, seed, outage }
  const withSlowStart = await simulate(returning)
  const withoutSlowStart = await simulate({ ...returning, slowStart: false })
  const afterReturn = (result: Result): number =>
    meanGoodput(result, outage.toMs, RETURN_SCENARIO_MS) / meanGoodput(result, 5000, outage.fromMs)
  const percent = (value: number): string => `${(100 * value).toFixed(1)}%`
  const retries = ({ retryGrants, firstGrants }: Result): string => percent(retryGrants / firstGrants)
  return [
    [seed, 'goodput at 3 times capacity / capacity', percent(tripleLoad.goodPerSecond / capacity), ''],
    [seed, 'retries / first attempts, 30% of requests failing', retries(withBudget), retries(withoutBudget)],
    [seed, 'data centre returns: seconds until 90% of normal', secondsUntilNormal(withSlowStart, outage), secondsUntilNormal(withoutSlowStart, outage)],
    [seed, 'data centre returns: goodput of the next 40 s / before', percent(afterReturn(withSlowStart)), percent(afterReturn(withoutSlowStart))],
    [seed, 'data centre returns: crashes of cold engines', withSlowStart.overloadCrashes, withoutSlowStart.overloadCrashes],
    [seed, 'data centre returns: retries / first attempts', retries(withSlowStart), retries(withoutSlowStart)]
  ]
}

async function runBenchmark ({ seeds, quick }: BenchmarkOptions): Promise<BenchmarkTable> {
  const rows: (string | number)[][] = []
  for (const seed of seeds) rows.push(...await runSeed(seed, quick ? 20_000 : 60_000))
  return {
    title: 'Overload, retries and the return of a data centre',
    columns: ['seed', 'quantity', 'measured', 'without the mechanism'],
    rows,
    notes: [
      `${DATA_CENTRES.length} data centres with ${SERVERS_PER_DATA_CENTRE} engines of ${SLOTS} slots; a first token within ${FIRST_TOKEN_DEADLINE_MS} ms counts as good.`,
      'Without the mechanism: no retry budget, and no slow start of the returning data centre.',
      'Bounds: goodput at least 90%, retries under 10%, no retry storm after the return.'
    ]
  }
}

export const overload: Benchmark = {
  name: 'overload',
  summary: 'goodput at three times the capacity, additional load from retries, return of a data centre',
  run: runBenchmark
}
