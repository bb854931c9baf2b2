/**
 * Overload of two data centres: goodput at three times the capacity against the capacity itself, the extra load by
 * retries while backend servers fail, and what happens when one data centre leaves and returns cold. Callers that are
 * refused come back after the time they were told; failed requests are retried under the retry budget.
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
const NETWORK_MS = 1
const WARM_UP_MS = 5000
/** Time a request may take until its first token; an answer that begins later is worth nothing. */
const DEADLINE_MS = 3000
const WAIT_MS = 2000
const MAX_TRIES = 4
const SUMMARY_MS = 250
const START_MS = 10_000
const RETURN_DURATION_MS = 80_000
const VM = brandId<VmId>('vm-1')

interface Scenario {
  /** Arrivals a second; undefined keeps all slots busy. */
  rate: number | undefined
  durationMs: number
  seed: number
  failureShare?: number
  retryBudgetShare?: number
  /** When the second data centre leaves and returns, from the start. */
  outage?: { fromMs: number, toMs: number }
  /** Whether the leader knows the engines' real allowance; without, it starts a returning data centre at full load. */
  slowStart?: boolean
}

interface Result {
  goodPerSecond: number
  firstGrants: number
  retryGrants: number
  falls: number
  /** Good answers in each second. */
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
    result: { goodPerSecond: 0, firstGrants: 0, retryGrants: 0, falls: 0, goodBySecond: [] },
    requests: 0
  }
  DATA_CENTRES.forEach((dataCentre, index) => addDataCentre(run, dataCentre, index))
  clock.every(SUMMARY_MS, () => {
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
    healthProbe: address => probe(run, address),
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

async function probe ({ clock, engines }: Run, address: string) {
  await clock.sleep(NETWORK_MS)
  const report = [...engines].find(([id]) => addressOf(id) === address)![1].health()
  await clock.sleep(NETWORK_MS)
  return report
}

function createWork ({ random }: Run, id: string): ModelWork {
  return { id, prefixHashes: [], tokensPerBlock: 64, promptTokens: 100 + Math.floor(random() * 800), outputTokens: 40 + Math.floor(random() * 120) }
}

/** Asks the data centres in order of preference until one grants; returns the last refusal otherwise. */
async function acquire (run: Run, request: PermitRequest): Promise<PermitAnswer | undefined> {
  const own = { region: brandId<never>('bagmati'), dataCentre: DATA_CENTRES[run.requests % DATA_CENTRES.length]! }
  const candidates = chooseDataCentres({
    request: { team: request.team, version: VERSION }, summaries: [...run.summaries.values()], view: run.view, own, random: run.random
  })
  let answer: PermitAnswer | undefined
  for (const { dataCentre } of candidates) {
    await run.clock.sleep(NETWORK_MS)
    answer = await run.schedulers.get(dataCentre)!.request(request, VM)
    await run.clock.sleep(NETWORK_MS)
    if (answer.granted) return answer
    if (answer.refusal.reason === 'retry_budget') return answer
  }
  return answer
}

/** One request of a caller with its retries. */
async function serve (run: Run, id: string): Promise<void> {
  const { clock, engines, schedulers, result } = run
  const work = createWork(run, id)
  let deadline = clock.now() + DEADLINE_MS
  let hasRun = false
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const waitMs = Math.min(WAIT_MS, deadline - clock.now())
    const request = permitRequest({ request: id, estimatedTokens: work.promptTokens, waitMs, isRetry: hasRun })
    const answer = await acquire(run, request)
    if (!answer?.granted) {
      // A refused caller comes back when it was told to, with a new deadline; a request that ran is given up.
      if (hasRun) return
      await clock.sleep(answer?.refusal.retryAfterMs ?? 1000)
      deadline = clock.now() + DEADLINE_MS
      continue
    }
    if (clock.now() >= START_MS) hasRun ? result.retryGrants++ : result.firstGrants++
    hasRun = true
    const { permit } = answer
    const engine = engines.get(permit.backendServer)!
    let firstTokenAt = Infinity
    const outcome = await engine.run(work, () => { firstTokenAt = clock.now() })
    schedulers.get(permit.dataCentre)!.release({ id: permit.id, outcome, instance: outcome === 'crashed' ? undefined : engine.instance }, VM)
    if (outcome === 'completed') return noteGood(run, firstTokenAt <= deadline)
  }
}

function noteGood ({ clock, result }: Run, isInTime: boolean): void {
  if (!isInTime || clock.now() < START_MS) return
  const second = Math.floor((clock.now() - START_MS) / 1000)
  result.goodBySecond[second] = (result.goodBySecond[second] ?? 0) + 1
}

function arrive (run: Run, rate: number): void {
  run.clock.after(-Math.log(1 - run.random()) * 1000 / rate, () => {
    void serve(run, `request-${run.requests++}`)
    arrive(run, rate)
  })
}

async function serveForever (run: Run): Promise<void> {
  for (;;) await serve(run, `request-${run.requests++}`)
}

function scheduleOutage ({ clock, view, engines, outage }: Run): void {
  if (!outage) return
  const dataCentre = DATA_CENTRES[1]!
  clock.after(START_MS + outage.fromMs, () => view.put('DataCentre', dataCentre, { region: 'bagmati', state: 'out_of_service' }))
  clock.after(START_MS + outage.toMs, () => {
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
    for (let i = 0; i < 1.5 * DATA_CENTRES.length * SERVERS_PER_DATA_CENTRE * SLOTS; i++) void serveForever(run)
  } else arrive(run, scenario.rate)
  scheduleOutage(run)
  await run.clock.runUntil(START_MS + scenario.durationMs)
  for (const scheduler of run.schedulers.values()) scheduler.stop()
  const { result } = run
  result.goodPerSecond = result.goodBySecond.reduce((sum, count) => sum + (count ?? 0), 0) * 1000 / scenario.durationMs
  result.falls = [...run.engines.values()].reduce((sum, engine) => sum + engine.falls, 0)
  return result
}

/** Mean goodput between two times from the start, in answers a second. */
function meanGood ({ goodBySecond }: Result, fromMs: number, toMs: number): number {
  const counts = Array.from({ length: (toMs - fromMs) / 1000 }, (_, i) => goodBySecond[fromMs / 1000 + i] ?? 0)
  return counts.reduce((sum, count) => sum + count, 0) / counts.length
}

/** Seconds after the return until the goodput over 5 s first reaches 90% of the level before the outage. */
function secondsUntilNormal (result: Result, { fromMs, toMs }: { fromMs: number, toMs: number }): number | string {
  const before = meanGood(result, 5000, fromMs)
  for (let atMs = toMs; atMs + 5000 <= RETURN_DURATION_MS; atMs += 1000) {
    if (meanGood(result, atMs, atMs + 5000) >= 0.9 * before) return (atMs - toMs) / 1000
  }
  return 'not reached'
}

async function runSeed (seed: number, durationMs: number): Promise<(string | number)[][]> {
  const capacity = (await simulate({ rate: undefined, durationMs, seed })).goodPerSecond
  const triple = await simulate({ rate: 3 * capacity, durationMs, seed })
  const failing = { rate: 0.7 * capacity, durationMs, seed, failureShare: 0.3 }
  const budget = await simulate(failing)
  const noBudget = await simulate({ ...failing, retryBudgetShare: 1000 })
  const outage = { fromMs: 20_000, toMs: 40_000 }
  const returning = { rate: 0.8 * capacity, durationMs: RETURN_DURATION_MS, seed, outage }
  const slow = await simulate(returning)
  const noSlow = await simulate({ ...returning, slowStart: false })
  const afterReturn = (result: Result): number =>
    meanGood(result, outage.toMs, RETURN_DURATION_MS) / meanGood(result, 5000, outage.fromMs)
  const percent = (value: number): string => `${(100 * value).toFixed(1)}%`
  const retries = ({ retryGrants, firstGrants }: Result): string => percent(retryGrants / firstGrants)
  return [
    [seed, 'goodput at 3 times capacity / capacity', percent(triple.goodPerSecond / capacity), ''],
    [seed, 'retries / first attempts, 30% of requests failing', retries(budget), retries(noBudget)],
    [seed, 'data centre returns: seconds until 90% of normal', secondsUntilNormal(slow, outage), secondsUntilNormal(noSlow, outage)],
    [seed, 'data centre returns: goodput of the next 40 s / before', percent(afterReturn(slow)), percent(afterReturn(noSlow))],
    [seed, 'data centre returns: cold engines fallen over', slow.falls, noSlow.falls],
    [seed, 'data centre returns: retries / first attempts', retries(slow), retries(noSlow)]
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
      `${DATA_CENTRES.length} data centres with ${SERVERS_PER_DATA_CENTRE} engines of ${SLOTS} slots; a first token within ${DEADLINE_MS} ms counts as good.`,
      'Without the mechanism: no retry budget, and no slow start of the returning data centre.',
      'Bars: goodput at least 90%, retries under 10%, no retry storm after the return.'
    ]
  }
}

export const overload: Benchmark = {
  name: 'overload',
  summary: 'goodput at three times capacity, extra load by retries, return of a data centre',
  run: runBenchmark
}
