/** Policies that the cascade benchmark compares, including two optima with more information than a real policy has. */
import { createCascade, MINIMUM_RATINGS, type CascadePolicy } from '../core/cascade/index.ts'
import type { VersionOutcome } from '../core/routing/types.ts'
import { createRandom } from './random.ts'
import { drawAnswers, drawRating, RATED_SHARE, type Answer, type Request, type RequestClass, type TeamTarget, type Workload } from './cascade-workloads.ts'

export interface ServedRequest { quality: number, costMicros: number }

/** Serves one request of a team; `index` counts the requests of all teams. */
export type Policy = (teamTarget: TeamTarget, request: Request, index: number) => ServedRequest

export function alwaysTier (tier: number): Policy {
  return (_, { answers }) => {
    const { quality, costMicros } = answers.at(tier)!
    return { quality, costMicros }
  }
}

/** Starts with the cheapest tier and escalates below a confidence threshold that is the same for all classes. */
export function fixedCascade (threshold: number): Policy {
  return (_, { answers }) => runPlan(answers, 0, answers.map(() => threshold))
}

/** Asks the tiers from `start` on until an answer reaches the confidence threshold of its tier. */
function runPlan (answers: Answer[], start: number, thresholds: number[]): ServedRequest {
  let costMicros = 0
  for (let tier = start; tier < answers.length; tier++) {
    const answer = answers[tier]!
    costMicros += answer.costMicros
    const isAccepted = tier === answers.length - 1 || thresholds[tier]! <= 0 || (answer.confidence ?? -1) >= thresholds[tier]!
    if (isAccepted) return { quality: answer.quality, costMicros }
  }
  throw new Error('a cascade has at least one tier')
}

const PLAN_SAMPLES = 8000
const THRESHOLD_STEPS = 24

/**
 * Knows the distributions of quality, cost and confidence of every class and version, and runs for each class the
 * cheapest plan whose expected quality reaches the target. It does not know a tier's answer before asking the tier.
 */
export function clairvoyant (workload: Workload, seed: number): Policy {
  const chosen = new Map<string, { start: number, thresholds: number[] }>()
  for (const requestClass of workload.classes) {
    const random = createRandom(seed)
    const samples = Array.from({ length: PLAN_SAMPLES }, () => drawAnswers(workload, requestClass, random))
    const evaluated = listPlans(workload.tiers.length).map(plan => ({ plan, ...meanOf(samples.map(answers => runPlan(answers, plan.start, plan.thresholds))) }))
    for (const { team, qualityTarget } of workload.teams) {
      const feasible = evaluated.filter(({ quality }) => quality >= qualityTarget)
      const highestQuality = evaluated.reduce((a, b) => b.quality > a.quality ? b : a)
      const { plan } = feasible.length > 0 ? feasible.reduce((a, b) => b.costMicros < a.costMicros ? b : a) : highestQuality
      chosen.set(`${team} ${requestClass.name}`, plan)
    }
  }
  return ({ team }, { requestClass, answers }) => {
    const { start, thresholds } = chosen.get(`${team} ${requestClass.name}`)!
    return runPlan(answers, start, thresholds)
  }
}

/** Lists the plans on a grid of thresholds. A threshold of 0 accepts every answer, so the later tiers are never asked. */
function listPlans (tiers: number): { start: number, thresholds: number[] }[] {
  const grid = Array.from({ length: THRESHOLD_STEPS + 1 }, (_, index) => index / THRESHOLD_STEPS)
  const thresholdsFrom = (tier: number): number[][] =>
    tier >= tiers - 1 ? [[0]] : grid.flatMap(threshold => threshold === 0 ? [zeros(tiers - tier)] : thresholdsFrom(tier + 1).map(rest => [threshold, ...rest]))
  return Array.from({ length: tiers }, (_, start) => thresholdsFrom(start).map(thresholds => ({ start, thresholds: [...zeros(start), ...thresholds] }))).flat()
}

const zeros = (length: number) => Array.from({ length }, () => 0)

export function meanOf (served: ServedRequest[]): ServedRequest {
  const sum = served.reduce((a, b) => ({ quality: a.quality + b.quality, costMicros: a.costMicros + b.costMicros }), { quality: 0, costMicros: 0 })
  return { quality: sum.quality / served.length, costMicros: sum.costMicros / served.length }
}

/**
 * Chooses among the known answers of all tiers, so that the mean quality of each class reaches the target at the lowest
 * cost. Bisection finds the largest weight of the cost at which the class still reaches the target.
 */
export function serveWithForesight (qualityTarget: number, requests: Request[]): ServedRequest[] {
  const byClass = new Map<RequestClass, Request[]>()
  for (const request of requests) byClass.set(request.requestClass, [...byClass.get(request.requestClass) ?? [], request])
  return [...byClass.values()].flatMap(ofClass => {
    const chooseAnswers = (costWeight: number) => ofClass.map(({ answers }) => answers.reduce((a, b) => b.quality - costWeight * b.costMicros > a.quality - costWeight * a.costMicros ? b : a))
    let low = 0
    let high = 1
    for (let step = 0; step < 60; step++) {
      const costWeight = (low + high) / 2
      if (meanOf(chooseAnswers(costWeight)).quality >= qualityTarget) low = costWeight
      else high = costWeight
    }
    return chooseAnswers(low)
  })
}

interface LearnedCascadeOptions {
  workload: Workload
  seed: number
  explorationShare?: number
  policy?: Partial<CascadePolicy>
  /** Number of VMs that learn separately. */
  vms?: number
}

/** The cascade under test, with delayed and noisy ratings of a sample of its answers. */
export function learnedCascade ({ workload, seed, explorationShare = 0.02, policy = {}, vms = 1 }: LearnedCascadeOptions): Policy {
  const random = createRandom(seed)
  const cascades = Array.from({ length: vms }, () => createCascade({ random, policy: { minimumRatings: MINIMUM_RATINGS, ...policy } }))
  const pendingOutcomes: { due: number, vm: number, outcome: VersionOutcome }[] = []

  return ({ team, qualityTarget }, { requestClass, answers }, index) => {
    for (let next = pendingOutcomes[0]; next && next.due <= index; next = pendingOutcomes[0]) {
      cascades[next.vm]!.observe(next.outcome)
      pendingOutcomes.shift()
    }
    const vm = Math.floor(random() * vms)
    const cascade = cascades[vm]!
    const cascadeRequest = {
      team, requestClass: requestClass.name, qualityTarget, explorationShare, promptTokens: requestClass.promptTokens, deadlineMs: 60_000, tiers: workload.tiers
    }
    const decision = cascade.decide(cascadeRequest)
    let costMicros = 0
    for (let tier = decision.tier; ; tier = cascade.next(cascadeRequest, tier)) {
      const answer = answers[tier]!
      costMicros += answer.costMicros
      const outcome: VersionOutcome = {
        team, requestClass: requestClass.name, version: workload.tiers[tier]!.version, failed: false, costMicros: answer.costMicros, confidence: answer.confidence, escalated: tier > decision.tier
      }
      cascade.observe(outcome)
      if (decision.explores || random() < RATED_SHARE) {
        pendingOutcomes.push({ due: index + 200 + Math.floor(random() * 50), vm, outcome: { ...outcome, rating: drawRating(answer.quality, random) } })
      }
      const escalates = cascade.shouldEscalate({ ...cascadeRequest, tier, confidence: answer.confidence, remainingMs: 60_000 })
      if (!escalates) return { quality: answer.quality, costMicros }
    }
  }
}
