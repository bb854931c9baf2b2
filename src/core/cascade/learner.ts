/**
 * Statistics per team, request class and version: quality per confidence band, frequency of each band, and cost. Answers
 * to escalated requests are counted separately, because these requests are harder than the rest.
 */
import { createLru } from '../session/lru.ts'
import { ALL_TEAMS, BAND_MEMORY_SHARE, CONFIDENCE_BANDS, FLAT_LINE_STRENGTH, MAX_LEARNED_KEYS, NO_CONFIDENCE } from './constants.ts'
import { addValue, EMPTY_SAMPLE, estimate, type Estimate, type Prior, type Sample } from './estimate.ts'
import type { CascadePolicy } from './types.ts'
import type { VersionOutcome } from '../routing/types.ts'

export interface VersionKey {
  team: string
  requestClass: string
  version: string
  escalated: boolean
}

interface Statistics {
  /** Ratings of all answers. */
  quality: Sample
  /** Ratings per confidence band. */
  bands: Sample[]
  /** Number of answers per band. */
  occurrences: number[]
  cost: Sample
}

export interface Band {
  /** Share of answers in this band. */
  share: number
  quality: Estimate
}

export interface Learner {
  observe(outcome: VersionOutcome): void
  /** Effective number of ratings over all teams. */
  ratings(key: VersionKey): number
  /** Quality over all answers, given the prior mean. */
  quality(key: VersionKey, priorQuality: number): Estimate
  /** Bands in ascending order of confidence, then the band of answers without a confidence. */
  bands(key: VersionKey, priorQuality: number): Band[]
  /** Mean cost; `undefined` until an answer has been observed. */
  meanCost(key: VersionKey): number | undefined
}

export function createLearner (policy: CascadePolicy): Learner {
  const statistics = createLru<Statistics>(MAX_LEARNED_KEYS)

  const find = (key: VersionKey) => statistics.get(serializeKey(key))

  function findOrCreate (key: VersionKey): Statistics {
    const existing = find(key)
    if (existing) return existing
    const created = {
      quality: EMPTY_SAMPLE,
      bands: Array.from({ length: CONFIDENCE_BANDS + 1 }, () => EMPTY_SAMPLE),
      occurrences: Array.from({ length: CONFIDENCE_BANDS + 1 }, () => 0),
      cost: EMPTY_SAMPLE
    }
    statistics.set(serializeKey(key), created)
    return created
  }

  function quality (key: VersionKey, priorQuality: number): Estimate {
    return estimate(find(key)?.quality ?? EMPTY_SAMPLE, qualityPrior(key, priorQuality))
  }

  /**
   * Prior from all teams, or else from the version's answers to requests that were not escalated, or else from the
   * configuration.
   */
  function qualityPrior (key: VersionKey, priorQuality: number): Prior {
    const pooledKey = { ...key, team: ALL_TEAMS }
    const pooledStrength = key.team === ALL_TEAMS ? 0 : Math.min(policy.poolStrength, find(pooledKey)?.quality.count ?? 0)
    const strength = policy.priorStrength + pooledStrength
    if (pooledStrength > 0) return { ...quality(pooledKey, priorQuality), strength }
    // Until an answer to an escalated request is rated, the version's other answers give the best prior.
    if (key.escalated) return { ...quality({ ...key, escalated: false }, priorQuality), strength }
    return { mean: priorQuality, strength }
  }

  function bands (key: VersionKey, priorQuality: number): Band[] {
    const entry = find(key)
    const priors = bandPriors(key, priorQuality)
    // Additive smoothing keeps the share of a band above 0 before it has occurred, except for answers without a confidence.
    const counts = priors.map((_, band) => (entry?.occurrences[band] ?? 0) + (band === NO_CONFIDENCE ? 0 : 0.25))
    const total = counts.reduce((sum, count) => sum + count, 0)
    return counts.map((count, band) => ({
      share: count / total,
      quality: estimate(entry?.bands[band] ?? EMPTY_SAMPLE, priors[band]!)
    }))
  }

  function bandPriors (key: VersionKey, priorQuality: number): Prior[] {
    const pooledKey = { ...key, team: ALL_TEAMS }
    const { mean, valueVariance } = quality(key, priorQuality)
    const samples = (find(pooledKey) ?? find(key))?.bands ?? []
    const expected = fitLine(samples, mean)
    return Array.from({ length: CONFIDENCE_BANDS + 1 }, (_, band) => ({
      mean: band === NO_CONFIDENCE ? mean : expected(band),
      strength: policy.bandStrength,
      valueVariance
    }))
  }

  function add (outcome: VersionOutcome, team: string): void {
    const entry = findOrCreate({ ...outcome, team, escalated: outcome.escalated ?? false })
    const band = bandOf(outcome.confidence)
    if (outcome.rating === undefined) {
      entry.occurrences[band] = entry.occurrences[band]! + 1
      entry.cost = addValue(entry.cost, outcome.costMicros, policy.memory)
      return
    }
    entry.quality = addValue(entry.quality, outcome.rating, policy.memory)
    // A band gets only part of the ratings, so its older values must decay after fewer of them.
    entry.bands[band] = addValue(entry.bands[band]!, outcome.rating, policy.memory * BAND_MEMORY_SHARE)
  }

  return {
    quality,
    bands,
    ratings: key => find({ ...key, team: ALL_TEAMS })?.quality.count ?? 0,
    observe (outcome) {
      if (outcome.failed) return
      add(outcome, outcome.team)
      add(outcome, ALL_TEAMS)
    },
    meanCost (key) {
      const cost = find(key)?.cost
      return cost && cost.count > 0 ? cost.sum / cost.count : undefined
    }
  }
}

/** Least-squares line through the ratings per band, shrunk towards a flat line at `mean` while there are few ratings. */
function fitLine (bands: readonly Sample[], mean: number): (band: number) => number {
  const points = bands.slice(0, CONFIDENCE_BANDS).map(({ count, sum }, band) => ({ count, sum, x: (band + 0.5) / CONFIDENCE_BANDS }))
  const total = points.reduce((sum, { count }) => sum + count, 0)
  if (total === 0) return () => mean
  const meanX = points.reduce((sum, { count, x }) => sum + count * x, 0) / total
  const meanRating = points.reduce((sum, band) => sum + band.sum, 0) / total
  const covariance = points.reduce((sum, { count, sum: ratings, x }) => sum + (x - meanX) * (ratings - meanRating * count), 0)
  const squaredDeviation = points.reduce((sum, { count, x }) => sum + count * (x - meanX) ** 2, 0)
  // The prior weighs as much as FLAT_LINE_STRENGTH ratings whose confidence is 0.2 away from the mean (0.04 = 0.2 ** 2).
  const slope = covariance / (squaredDeviation + FLAT_LINE_STRENGTH * 0.04)
  return band => Math.min(1, Math.max(0, mean + slope * ((band + 0.5) / CONFIDENCE_BANDS - meanX)))
}

/** Returns the band of a confidence between 0 and 1. */
export function bandOf (confidence: number | undefined): number {
  if (confidence === undefined || Number.isNaN(confidence)) return NO_CONFIDENCE
  return Math.min(CONFIDENCE_BANDS - 1, Math.max(0, Math.floor(confidence * CONFIDENCE_BANDS)))
}

function serializeKey ({ team, requestClass, version, escalated }: VersionKey): string {
  return JSON.stringify([team, requestClass, version, escalated])
}
