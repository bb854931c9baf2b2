/**
 * Exposure of requests to a version that fails one in five, from the start or from a moment during the roll-out, and
 * false stops of roll-outs of good versions, half of which meet faults that hit both versions alike.
 */
import { createRandom } from './random.ts'
import { createRolloutSimulation, GOOD, type Behaviour } from './rollout-simulation.ts'
import type { Benchmark, BenchmarkOptions, BenchmarkTable } from './types.ts'

const DAY_S = 86_400
const ROLLOUT_LIMIT_S = 40_000
const AFTERMATH_S = 60
export const EXPOSURE_BAR = 0.005
export const FALSE_STOP_BAR = 0.01

const BAD: Behaviour = { ...GOOD, failureShare: 0.2 }
const FAULT: Behaviour = { failureShare: 0.1, firstTokenMs: 800, rating: 0.85 }

interface Case {
  name: string
  requestsPerSecond: number
  rollouts: number
  /** Behaviours of one roll-out, drawn from its own random numbers. */
  behaviour: (random: () => number) => (version: 'from' | 'to', atMs: number) => Behaviour
  bad: boolean
}

const badFrom = (startMs: number) => (version: 'from' | 'to', atMs: number) => version === 'to' && atMs >= startMs ? BAD : GOOD

function goodWithFaults (random: () => number) {
  const startMs = random() * 800_000
  const meetsFault = random() < 0.5
  return (_: 'from' | 'to', atMs: number) => meetsFault && atMs >= startMs && atMs < startMs + 120_000 ? FAULT : GOOD
}

const CASES: Case[] = [
  { name: 'good version, half with a fault of both for 2 min', requestsPerSecond: 20, rollouts: 500, behaviour: goodWithFaults, bad: false },
  { name: 'good version, few requests', requestsPerSecond: 2, rollouts: 100, behaviour: () => () => GOOD, bad: false },
  { name: 'fails one in five from the start', requestsPerSecond: 20, rollouts: 100, behaviour: () => badFrom(0), bad: true },
  { name: 'fails one in five from the start, few requests', requestsPerSecond: 2, rollouts: 50, behaviour: () => badFrom(0), bad: true },
  { name: 'turns bad at a moment of the first 600 s', requestsPerSecond: 20, rollouts: 100, behaviour: random => badFrom(random() * 600_000), bad: true }
]

interface CaseResult { stopped: number, exposures: number[], finished: number }

async function runCase ({ requestsPerSecond, rollouts, behaviour }: Case, seed: number): Promise<CaseResult> {
  const result: CaseResult = { stopped: 0, exposures: [], finished: 0 }
  const random = createRandom(seed)
  for (let index = 0; index < rollouts; index++) {
    const simulation = createRolloutSimulation({ seed: seed * 100_003 + index, requestsPerSecond, behaviour: behaviour(random) })
    await simulation.run(ROLLOUT_LIMIT_S, rollout => rollout.state === 'rolled_back' || rollout.state === 'done')
    // Requests still reach the version until the weights are in force on all VMs.
    if (simulation.rollout().state === 'rolled_back') await simulation.run(AFTERMATH_S)
    if (simulation.rollout().state === 'rolled_back') result.stopped++
    else result.finished++
    result.exposures.push(simulation.served.to)
  }
  return result
}

async function run ({ seeds, quick }: BenchmarkOptions): Promise<BenchmarkTable> {
  const rows: (string | number)[][] = []
  let met = true
  for (const rolloutCase of CASES) {
    const rollouts = Math.ceil(rolloutCase.rollouts / seeds.length / (quick ? 10 : 1))
    const results: CaseResult[] = []
    for (const seed of seeds) results.push(await runCase({ ...rolloutCase, rollouts }, seed))
    const exposures = results.flatMap(result => result.exposures).sort((a, b) => a - b)
    const stopped = results.reduce((sum, result) => sum + result.stopped, 0)
    const day = rolloutCase.requestsPerSecond * DAY_S
    const worst = exposures.at(-1)! / day
    if (rolloutCase.bad) met &&= stopped === exposures.length && worst <= EXPOSURE_BAR
    else met &&= stopped / exposures.length < FALSE_STOP_BAR
    rows.push([
      rolloutCase.name, rolloutCase.requestsPerSecond, exposures.length, stopped,
      rolloutCase.bad ? exposures[Math.floor(exposures.length / 2)]! : '-',
      rolloutCase.bad ? exposures.at(-1)! : '-',
      rolloutCase.bad ? `${(100 * worst).toFixed(4)}%` : '-'
    ])
  }
  return {
    title: 'Roll-out: exposure to bad versions and false stops',
    columns: ['case', 'requests/s', 'roll-outs', 'stopped', 'requests to the new version, median', 'worst', 'worst, share of a day'],
    rows,
    notes: [
      `Bars ${met ? 'met' : 'missed'}: at most ${100 * EXPOSURE_BAR}% of a day's requests see a version that fails one in five, and fewer than 1 in ${1 / FALSE_STOP_BAR} roll-outs of good versions stop.`,
      'Requests to the new version include those before it turned bad and those in the 3 s until a rollback is in force. A bad version that was not stopped counts as a missed bar.',
      `Seeds ${seeds.join(', ')}; default stages and minimums; 3 VMs; 1 in 10 answers rated.`
    ]
  }
}

export const rolloutBenchmark: Benchmark = { name: 'rollout', summary: 'exposure to bad versions and false stops', run }
