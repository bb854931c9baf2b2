/**
 * Synthetic workloads of the cascade benchmark, named after the two organisations that use this software. The quality of
 * an answer, between 0 and 1, depends on the difficulty of the request and the skill of the version. Engines report a
 * confidence that is only correlated with the quality, and sometimes none.
 */
import type { Tier } from '../core/cascade/types.ts'
import { brandId, type TeamId } from '../core/ids/index.ts'
import { normal } from './random.ts'

export interface RequestClass {
  name: string
  /** Mean and standard deviation of the difficulty of its requests. */
  difficulty: number
  difficultyDeviation: number
  promptTokens: number
  outputTokens: number
  /** Share of the traffic outside bursts, and during the bursts at shift start. */
  share: number
  burstShare: number
}

export interface TeamTarget { team: TeamId, qualityTarget: number }

export interface Workload {
  name: string
  tiers: (Tier & { skill: number })[]
  classes: RequestClass[]
  teams: TeamTarget[]
}

const team = (name: string, qualityTarget: number): TeamTarget => ({ team: brandId<TeamId>(name), qualityTarget })

function tier (version: string, skill: number, priorQuality: number, price: number): Tier & { skill: number } {
  return { version: brandId(version), skill, priorQuality, inputMicrosPerToken: price, outputMicrosPerToken: 4 * price }
}

export const WORKLOADS: Workload[] = [
  {
    name: 'Himal Shiksha Kits',
    tiers: [tier('kit-small-1', 1.6, 0.8, 0.2), tier('kit-medium-1', 2.6, 0.8, 0.8), tier('kit-large-1', 4, 0.9, 3)],
    classes: [
      { name: 'tender', difficulty: 1.1, difficultyDeviation: 0.5, promptTokens: 6000, outputTokens: 1500, share: 0.1, burstShare: 0.05 },
      { name: 'teacher', difficulty: 0.1, difficultyDeviation: 0.7, promptTokens: 800, outputTokens: 300, share: 0.4, burstShare: 0.25 },
      { name: 'tagging', difficulty: -1.2, difficultyDeviation: 0.4, promptTokens: 300, outputTokens: 20, share: 0.5, burstShare: 0.7 }
    ],
    teams: [team('kits-tenders', 0.86), team('kits-schools', 0.82)]
  },
  {
    name: 'Chattahoochee Screen Works Consortium',
    tiers: [tier('lm-small-1', 2, 0.8, 0.3), tier('lm-large-1', 3.8, 0.9, 2.4)],
    classes: [
      { name: 'inspection', difficulty: 0.9, difficultyDeviation: 0.7, promptTokens: 3000, outputTokens: 800, share: 0.3, burstShare: 0.6 },
      { name: 'debris-log', difficulty: -0.2, difficultyDeviation: 0.6, promptTokens: 5000, outputTokens: 400, share: 0.5, burstShare: 0.3 },
      { name: 'notice', difficulty: -1, difficultyDeviation: 0.5, promptTokens: 400, outputTokens: 80, share: 0.2, burstShare: 0.1 }
    ],
    teams: [team('screen-works', 0.85), team('screen-upstream', 0.8)]
  }
]

/** Standard deviation of one rating, and the share of the answers without exploration that are rated. */
export const RATING_DEVIATION = 0.12
export const RATED_SHARE = 0.1
const CONFIDENCE_DEVIATION = 0.7
const MISSING_CONFIDENCE_SHARE = 0.03
/** Period and length of the bursts, in requests of one team. */
const BURST_PERIOD = 3000
const BURST_LENGTH = 600

export interface Answer {
  quality: number
  confidence: number | undefined
  costMicros: number
}

export interface Request {
  requestClass: RequestClass
  /** Answers of the tiers; a policy may use an answer only after asking its tier. */
  answers: Answer[]
}

const logistic = (value: number) => 1 / (1 + Math.exp(-value))

export function drawAnswers (workload: Workload, requestClass: RequestClass, random: () => number): Answer[] {
  const difficulty = normal(random, requestClass.difficulty, requestClass.difficultyDeviation)
  return workload.tiers.map(({ skill, inputMicrosPerToken, outputMicrosPerToken }) => {
    const margin = normal(random, skill - difficulty, 0.4)
    const outputTokens = requestClass.outputTokens * (0.5 + random())
    const hasConfidence = random() >= MISSING_CONFIDENCE_SHARE
    return {
      quality: logistic(margin),
      confidence: hasConfidence ? logistic(normal(random, margin - 1, CONFIDENCE_DEVIATION)) : undefined,
      costMicros: requestClass.promptTokens * inputMicrosPerToken + outputTokens * outputMicrosPerToken
    }
  })
}

/** Draws a team's request with this index; the mix of classes is different during the bursts at shift start. */
export function drawRequest (workload: Workload, index: number, random: () => number): Request {
  const isBurst = index % BURST_PERIOD < BURST_LENGTH
  let remainingShare = random()
  const requestClass = workload.classes.find(({ share, burstShare }) => (remainingShare -= isBurst ? burstShare : share) < 0) ?? workload.classes[0]!
  return { requestClass, answers: drawAnswers(workload, requestClass, random) }
}

export function drawRating (quality: number, random: () => number): number {
  return Math.min(1, Math.max(0, normal(random, quality, RATING_DEVIATION)))
}
