/**
 * Counts the requests that reach a bad version before its roll-out is rolled back, and the roll-outs of good versions that
 * are stopped wrongly. A bad version fails one request in five, from the start or from a time during the roll-out. In one
 * case, half of the roll-outs of good versions have a fault that affects both versions alike.
 */
import { createRandom } from './random.ts'
import { createRolloutSimulation, GOOD_BEHAVIOUR, type Behaviour } from './rollout-simulation.ts'
import type { Benchmark, BenchmarkOptions, BenchmarkTable } from './types.ts'

const DAY_S = 86_400
const ROLLOUT_LIMIT_S = 40_000
const AFTER_ROLLBACK_S = 60
export const MAX_EXPOSURE_SHARE = 0.005
export const MAX_FALSE_STOP_SHARE = 0.01

const BAD_BEHAVIOUR: Behaviour = { ...GOOD_BEHAVIOUR, failureShare: 0.2 }
const FAULT_BEHAVIOUR: Behaviour = { failureShare: 0.1, firstTokenMs: 800, rating: 0.85 }

interface Case {
  name: string
  requestsPerSecond: number
  rollouts: number
  /** Draws how the two versions behave over the time of one roll-out. */
  behaviour: (random: () => number) => (version: 'from' | 'to', atMs: number) => Behaviour
  isBad: boolean
}

const turnsBadAt = (startMs: number) => (version: 'from' | 'to', atMs: number) => version === 'to' && atMs >= startMs ? BAD_BEHAVIOUR : GOOD_BEHAVIOUR

function goodWithFaults (random: () => number) {
  const startMs = random() * 800_000
  const hasFault = random() < 0.5
  return (_: 'from' | 'to', atMs: number) => hasFault && atMs >= startMs && atMs < startMs + 120_000 ? FAULT_BEHAVIOUR : GOOD_BEHAVIOUR
}

const CASES: Case[] = [
  { name: 'good version, half with a fault of both versions for 2 min', requestsPerSecond: 20, rollouts: 500, behaviour: goodWithFaults, isBad: false },
  { name: 'good version, few requests', requestsPerSecond: 2, rollouts: 100, behaviour: () => () => GOOD_BEHAVIOUR, isBad: false },
  { name: 'fails one in five from the start', requestsPerSecond: 20, rollouts: 100, behaviour: () => turnsBadAt(0), isBad: true },
  { name: 'fails one in five from the start, few requests', requestsPerSecond: 2, rollouts: 50, behaviour: () => turnsBadAt(0), isBad: true },
  { name: 'turns bad at a random time in the first 600 s', requestsPerSecond: 20, rollouts: 100, behaviour: random => turnsBadAt(random() * 600_000), isBad: true }
]

interface CaseResult { stopped: number, exposures: number[], finished: number }

async function runCase ({ requestsPerSecond, rollouts, behaviour }: Case, seed: number): Promise<CaseResult> {
  const result: CaseResult = { stopped: 0, exposures: [], finished: 0 }
  const random = createRandom(seed)
  for (let index = 0; index < rollouts; index++) {
    const simulation = createRolloutSimulation({ seed: seed * 100_003 + index, requestsPerSecond, behaviour: behaviour(random) })
    await simulation.run(ROLLOUT_LIMIT_S, rollout => rollout.state === 'rolled_back' || rollout.state === 'done')
    // Requests still reach the new version until the weights are in force on all VMs.
    if (simulation.rollout().state === 'rolled_back') await simulation.run(AFTER_ROLLBACK_S)
    if (simulation.rollout().state === 'rolled_back') result.stopped++
    else result.finished++
    result.exposures.push(simulation.served.to)
  }
  return result
}

async function run ({ seeds, quick }: BenchmarkOptions): Promise<BenchmarkTable> {
  const rows: (string | number)[][] = []
  let areBoundsMet = true
  for (const rolloutCase of CASES) {
    const rollouts = Math.ceil(rolloutCase.rollouts / seeds.length / (quick ? 10 : 1))
    const results: CaseResult[] = []
    for (const seed of seeds) results.push(await runCase({ ...rolloutCase, rollouts }, seed))
    const exposures = results.flatMap(result => result.exposures).sort((a, b) => a - b)
    const stopped = results.reduce((sum, result) => sum + result.stopped, 0)
    const requestsPerDay = rolloutCase.requestsPerSecond * DAY_S
    const worstShare = exposures.at(-1)! / requestsPerDay
    if (rolloutCase.isBad) areBoundsMet &&= stopped === exposures.length && worstShare <= MAX_EXPOSURE_SHARE
    else areBoundsMet &&= stopped / exposures.length < MAX_FALSE_STOP_SHARE
    rows.push([
      rolloutCase.name, rolloutCase.requestsPerSecond, exposures.length, stopped,
      rolloutCase.isBad ? exposures[Math.floor(exposures.length / 2)]! : '-',
      rolloutCase.isBad ? exposures.at(-1)! : '-',
      rolloutCase.isBad ? `${(100 * worstShare).toFixed(4)}%` : '-'
    ])
  }
  return {
    title: 'Roll-out: exposure to bad versions and false stops',
    columns: ['case', 'requests/s', 'roll-outs', 'stopped', 'requests to the new version, median', 'worst', 'worst, share of a day'],
    rows,
    notes: [
      `Bounds ${areBoundsMet ? 'met' : 'missed'}: at most ${100 * MAX_EXPOSURE_SHARE}% of a day's requests reach a version that fails one in five, and fewer than 1 in ${1 / MAX_FALSE_STOP_SHARE} roll-outs of good versions stop.`,
      'Requests to the new version include those before it turned bad and those in the 3 s until a rollback is in force. A bad version that was not stopped counts as a missed bound.',
      `Seeds ${seeds.join(', ')}; default stages and minimums; 3 VMs; 1 in 10 answers rated.`
    ]
  }
}

export const rolloutBenchmark: Benchmark = { name: 'rollout', summary: 'exposure to bad versions and false stops', run }
