/**
 * Cost of the cascade at the quality target on two synthetic workloads, compared with always using the cheapest or the
 * best tier, a fixed cascade, and two optima.
 */
import { createRandom } from './random.ts'
import { alwaysTier, clairvoyant, fixedCascade, serveWithForesight, meanOf, learnedCascade, type Policy, type ServedRequest } from './cascade-policies.ts'
import { drawRequest, RATED_SHARE, RATING_DEVIATION, WORKLOADS, type Request, type TeamTarget, type Workload } from './cascade-workloads.ts'
import type { Benchmark, BenchmarkOptions, BenchmarkTable } from './types.ts'

const WINDOW = 500
const REQUESTS_PER_TEAM = 30_000
const QUICK_REQUESTS_PER_TEAM = 3000
export const MAX_COST_RATIO = 1.15
/** Quality deviation that the ratings of one window cannot distinguish from chance: 1.96 standard errors of their mean. */
export const QUALITY_TOLERANCE = 1.96 * RATING_DEVIATION / Math.sqrt(WINDOW * RATED_SHARE)

export interface PolicyResult {
  costMicros: number
  quality: number
  /** Lowest mean quality of any window of 500 answers of a team, minus the team's target. */
  worstWindow: number
  /** Mean cost in the second half of the requests, after the learning phase. */
  secondHalfCostMicros: number
}

function worstWindow (served: ServedRequest[], target: number): number {
  let sum = 0
  let worst = Infinity
  served.forEach(({ quality }, index) => {
    sum += quality
    if (index >= WINDOW) sum -= served[index - WINDOW]!.quality
    if (index >= WINDOW - 1) worst = Math.min(worst, sum / WINDOW - target)
  })
  return worst
}

type TeamRequests = { teamTarget: TeamTarget, requests: Request[] }[]

function summarizeRuns (runs: { served: ServedRequest[], target: number }[]): PolicyResult {
  const all = meanOf(runs.flatMap(run => run.served))
  const secondHalf = meanOf(runs.flatMap(run => run.served.slice(run.served.length / 2)))
  return { ...all, secondHalfCostMicros: secondHalf.costMicros, worstWindow: Math.min(...runs.map(run => worstWindow(run.served, run.target))) }
}

/** Alternates between the teams' requests, so that a policy learns about all teams at the same time. */
function serveAll (teams: TeamRequests, policy: Policy): PolicyResult {
  const runs = teams.map(({ teamTarget }) => ({ target: teamTarget.qualityTarget, served: [] as ServedRequest[] }))
  for (let index = 0; index < teams[0]!.requests.length; index++) {
    teams.forEach(({ teamTarget, requests }, team) => runs[team]!.served.push(policy(teamTarget, requests[index]!, index * teams.length + team)))
  }
  return summarizeRuns(runs)
}

/** Runs every policy on the same requests. */
export function compareCascades (workload: Workload, seed: number, requestsPerTeam: number): Map<string, PolicyResult> {
  const random = createRandom(seed)
  const teams = workload.teams.map(teamTarget => ({
    teamTarget, requests: Array.from({ length: requestsPerTeam }, (_, index) => drawRequest(workload, index, random))
  }))
  const foresight = summarizeRuns(teams.map(({ teamTarget, requests }) => ({ target: teamTarget.qualityTarget, served: serveWithForesight(teamTarget.qualityTarget, requests) })))
  return new Map([
    ['always cheap', serveAll(teams, alwaysTier(0))],
    ['always best', serveAll(teams, alwaysTier(-1))],
    ['fixed cascade', serveAll(teams, fixedCascade(0.6))],
    ['clairvoyant optimum', serveAll(teams, clairvoyant(workload, seed + 1))],
    ['ours', serveAll(teams, learnedCascade({ workload, seed: seed + 2 }))],
    ['ours, 8 VMs that learn apart', serveAll(teams, learnedCascade({ workload, seed: seed + 2, vms: 8 }))],
    ['foresees each answer', { ...foresight, worstWindow: NaN, secondHalfCostMicros: NaN }]
  ])
}

function rowsOf (workload: Workload, { seeds, quick }: BenchmarkOptions): (string | number)[][] {
  const results = seeds.map(seed => compareCascades(workload, seed, quick ? QUICK_REQUESTS_PER_TEAM : REQUESTS_PER_TEAM))
  return [...results[0]!.keys()].map(policy => {
    const runs = results.map(result => ({ ...result.get(policy)!, optimum: result.get('clairvoyant optimum')! }))
    const ratios = runs.map(run => run.costMicros / run.optimum.costMicros)
    const secondHalfRatios = runs.map(run => run.secondHalfCostMicros / run.optimum.secondHalfCostMicros)
    const mean = (values: number[]) => values.reduce((a, b) => a + b, 0) / values.length
    const worst = Math.min(...runs.map(run => run.worstWindow))
    return [
      workload.name, policy, round(mean(runs.map(run => run.costMicros)), 0), round(mean(ratios), 3), round(Math.max(...ratios), 3), ...[mean(secondHalfRatios), Math.max(...secondHalfRatios)].map(ratio => Number.isNaN(ratio) ? '-' : round(ratio, 3)),
      round(mean(runs.map(run => run.quality)), 3), Number.isNaN(worst) ? '-' : round(worst, 3)
    ]
  })
}

const verdict = (met: boolean) => met ? 'met' : 'missed'

const round = (value: number, digits: number) => Number(value.toFixed(digits))

async function run (options: BenchmarkOptions): Promise<BenchmarkTable> {
  const rows = WORKLOADS.flatMap(workload => rowsOf(workload, options))
  const learnedRows = rows.filter(row => row[1] === 'ours')
  const costMet = learnedRows.every(row => Number(row[4]) <= MAX_COST_RATIO)
  const secondHalfCostMet = learnedRows.every(row => Number(row[6]) <= MAX_COST_RATIO)
  const qualityMet = learnedRows.every(row => Number(row[8]) >= -QUALITY_TOLERANCE)
  return {
    title: 'Cascade: cost at the quality target',
    columns: ['workload', 'policy', 'micros a request', 'of optimum, mean', 'worst seed', 'second half, mean', 'second half, worst seed', 'quality', `worst window of ${WINDOW}, less target`],
    rows,
    notes: [
      `At most ${MAX_COST_RATIO} times the clairvoyant optimum's cost for every seed: ${verdict(costMet)} over all requests, ${verdict(secondHalfCostMet)} over the second half, after learning.`,
      `No window of ${WINDOW} answers is below the target by more than ${QUALITY_TOLERANCE.toFixed(3)}, which is 1.96 standard errors of the ratings in a window: ${verdict(qualityMet)}.`,
      'The clairvoyant optimum knows the distributions of quality, cost and confidence of every class and version and takes the cheapest plan that reaches the target in each class; "foresees each answer" also knows the answers of all tiers before it chooses, which no real policy can.',
      `Ratings reach the learner 200 to 250 requests late, for ${100 * RATED_SHARE}% of answers and for all explored ones, with a standard deviation of ${RATING_DEVIATION}.`,
      `Seeds ${options.seeds.join(', ')}; ${options.quick ? QUICK_REQUESTS_PER_TEAM : REQUESTS_PER_TEAM} requests per team, including the learning phase.`
    ]
  }
}

export const cascadeBenchmark: Benchmark = { name: 'cascade', summary: 'cost of the cascade at the quality target', run }
