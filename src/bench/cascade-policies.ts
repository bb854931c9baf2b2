/** Policies that the cascade benchmark compares, and the optimum that knows the law of the workload. */
import { createCascade, PROVEN_RATINGS, type CascadePolicy } from '../core/cascade/index.ts'
import type { VersionOutcome } from '../core/routing/types.ts'
import { createRandom } from './random.ts'
import { drawAnswers, rate, RATED_SHARE, type Answer, type Request, type RequestClass, type TeamLoad, type Workload } from './cascade-workloads.ts'

export interface Served { quality: number, costMicros: number }

/** Serves the request number `index` of a team. */
export type Policy = (load: TeamLoad, request: Request, index: number) => Served

export function alwaysTier (tier: number): Policy {
  return (_, { answers }) => {
    const { quality, costMicros } = answers.at(tier)!
    return { quality, costMicros }
  }
}

/** Starts with the cheapest tier and escalates below one confidence for all classes. */
export function fixedCascade (threshold: number): Policy {
  return (_, { answers }) => follow(answers, 0, answers.map(() => threshold))
}

/** Answers from `start` on until one has the confidence asked for. */
function follow (answers: Answer[], start: number, thresholds: number[]): Served {
  let costMicros = 0
  for (let tier = start; tier < answers.length; tier++) {
    const answer = answers[tier]!
    costMicros += answer.costMicros
    const keeps = tier === answers.length - 1 || thresholds[tier]! <= 0 || (answer.confidence ?? -1) >= thresholds[tier]!
    if (keeps) return { quality: answer.quality, costMicros }
  }
  throw new Error('a cascade has at least one tier')
}

const LAW_SAMPLES = 8000
const LAW_THRESHOLDS = 24

/**
 * Knows the law of every class, version and confidence, and follows for each class the cheapest plan whose expected
 * quality reaches the target. It does not know the answer of a tier before it asked it.
 */
export function clairvoyant (workload: Workload, seed: number): Policy {
  const chosen = new Map<string, { start: number, thresholds: number[] }>()
  for (const requestClass of workload.classes) {
    const random = createRandom(seed)
    const samples = Array.from({ length: LAW_SAMPLES }, () => drawAnswers(workload, requestClass, random))
    const evaluated = plansOf(workload.tiers.length).map(plan => ({ plan, ...meanOf(samples.map(answers => follow(answers, plan.start, plan.thresholds))) }))
    for (const { team, qualityTarget } of workload.teams) {
      const good = evaluated.filter(({ quality }) => quality >= qualityTarget)
      const best = evaluated.reduce((a, b) => b.quality > a.quality ? b : a)
      const { plan } = good.length > 0 ? good.reduce((a, b) => b.costMicros < a.costMicros ? b : a) : best
      chosen.set(`${team} ${requestClass.name}`, plan)
    }
  }
  return ({ team }, { requestClass, answers }) => {
    const { start, thresholds } = chosen.get(`${team} ${requestClass.name}`)!
    return follow(answers, start, thresholds)
  }
}

function plansOf (tiers: number): { start: number, thresholds: number[] }[] {
  const grid = Array.from({ length: LAW_THRESHOLDS + 1 }, (_, index) => index / LAW_THRESHOLDS)
  const thresholdsFrom = (tier: number): number[][] =>
    tier >= tiers - 1 ? [[0]] : grid.flatMap(threshold => threshold === 0 ? [fill(tiers - tier)] : thresholdsFrom(tier + 1).map(rest => [threshold, ...rest]))
  return Array.from({ length: tiers }, (_, start) => thresholdsFrom(start).map(thresholds => ({ start, thresholds: [...fill(start), ...thresholds] }))).flat()
}

const fill = (length: number) => Array.from({ length }, () => 0)

export function meanOf (served: Served[]): Served {
  const sum = served.reduce((a, b) => ({ quality: a.quality + b.quality, costMicros: a.costMicros + b.costMicros }), { quality: 0, costMicros: 0 })
  return { quality: sum.quality / served.length, costMicros: sum.costMicros / served.length }
}

/** Sees every tier's answer before it chooses; the least cost at which each class's mean reaches the target. */
export function foreseeAnswers (qualityTarget: number, requests: Request[]): Served[] {
  const byClass = new Map<RequestClass, Request[]>()
  for (const request of requests) byClass.set(request.requestClass, [...byClass.get(request.requestClass) ?? [], request])
  return [...byClass.values()].flatMap(ofClass => {
    const pick = (price: number) => ofClass.map(({ answers }) => answers.reduce((a, b) => b.quality - price * b.costMicros > a.quality - price * a.costMicros ? b : a))
    let low = 0
    let high = 1
    for (let step = 0; step < 60; step++) {
      const price = (low + high) / 2
      if (meanOf(pick(price)).quality >= qualityTarget) low = price
      else high = price
    }
    return pick(low)
  })
}

interface OursOptions {
  workload: Workload
  seed: number
  explorationShare?: number
  policy?: Partial<CascadePolicy>
  /** VMs that learn separately. */
  vms?: number
}

/** The cascade of this repository, with late, noisy ratings of a sample. */
export function ours ({ workload, seed, explorationShare = 0.02, policy = {}, vms = 1 }: OursOptions): Policy {
  const random = createRandom(seed)
  const cascades = Array.from({ length: vms }, () => createCascade({ random, policy: { provenRatings: PROVEN_RATINGS, ...policy } }))
  const late: { due: number, vm: number, outcome: VersionOutcome }[] = []

  return ({ team, qualityTarget }, { requestClass, answers }, index) => {
    for (let next = late[0]; next && next.due <= index; next = late[0]) {
      cascades[next.vm]!.observe(next.outcome)
      late.shift()
    }
    const vm = Math.floor(random() * vms)
    const cascade = cascades[vm]!
    const question = {
      team, requestClass: requestClass.name, qualityTarget, explorationShare, promptTokens: requestClass.promptTokens, deadlineMs: 60_000, tiers: workload.tiers
    }
    const decision = cascade.decide(question)
    let costMicros = 0
    for (let tier = decision.tier; ; tier = cascade.next(question, tier)) {
      const answer = answers[tier]!
      costMicros += answer.costMicros
      const outcome: VersionOutcome = {
        team, requestClass: requestClass.name, version: workload.tiers[tier]!.version, failed: false, costMicros: answer.costMicros, confidence: answer.confidence, escalated: tier > decision.tier
      }
      cascade.observe(outcome)
      if (decision.explores || random() < RATED_SHARE) {
        late.push({ due: index + 200 + Math.floor(random() * 50), vm, outcome: { ...outcome, rating: rate(answer.quality, random) } })
      }
      const escalates = cascade.shouldEscalate({ ...question, tier, confidence: answer.confidence, remainingMs: 60_000 })
      if (!escalates) return { quality: answer.quality, costMicros }
    }
  }
}
