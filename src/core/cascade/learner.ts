/**
 * What has been observed per team, class of request and version: quality by band of confidence, how often each band
 * occurs, and cost. Answers to escalated requests are kept apart, because these requests are harder than the rest.
 */
import { createLru } from '../session/lru.ts'
import { ALL_TEAMS, BAND_MEMORY_SHARE, CONFIDENCE_BANDS, FLAT_STRENGTH, MAX_LEARNED_KEYS, NO_CONFIDENCE } from './constants.ts'
import { addValue, EMPTY_SAMPLE, estimate, type Estimate, type Prior, type Sample } from './estimate.ts'
import type { CascadePolicy } from './types.ts'
import type { VersionOutcome } from '../routing/types.ts'

export interface VersionKey {
  team: string
  requestClass: string
  version: string
  escalated: boolean
}

interface Learned {
  /** Ratings of all answers, and by band. */
  quality: Sample
  bands: Sample[]
  /** How often each band occurred. */
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
  /** Effective number of ratings, of all teams. */
  ratings(key: VersionKey): number
  /** Quality over all answers, given the prior expectation. */
  quality(key: VersionKey, priorQuality: number): Estimate
  /** Bands in rising order of confidence, then the band without a confidence. */
  bands(key: VersionKey, priorQuality: number): Band[]
  /** Mean cost; undefined until one answer was observed. */
  meanCost(key: VersionKey): number | undefined
}

export function createLearner (policy: CascadePolicy): Learner {
  const learned = createLru<Learned>(MAX_LEARNED_KEYS)

  const find = (key: VersionKey) => learned.get(keyText(key))

  function findOrCreate (key: VersionKey): Learned {
    const known = find(key)
    if (known) return known
    const created = {
      quality: EMPTY_SAMPLE,
      bands: Array.from({ length: CONFIDENCE_BANDS + 1 }, () => EMPTY_SAMPLE),
      occurrences: Array.from({ length: CONFIDENCE_BANDS + 1 }, () => 0),
      cost: EMPTY_SAMPLE
    }
    learned.set(keyText(key), created)
    return created
  }

  function quality (key: VersionKey, priorQuality: number): Estimate {
    return estimate(find(key)?.quality ?? EMPTY_SAMPLE, qualityPrior(key, priorQuality))
  }

  /** Experience of all teams, or else the version's other answers, or else the configured expectation. */
  function qualityPrior (key: VersionKey, priorQuality: number): Prior {
    const pool = { ...key, team: ALL_TEAMS }
    const shared = key.team === ALL_TEAMS ? 0 : Math.min(policy.poolStrength, find(pool)?.quality.count ?? 0)
    const strength = policy.priorStrength + shared
    if (shared > 0) return { ...quality(pool, priorQuality), strength }
    // Before an escalated answer was rated, the version's other answers are the best guess.
    if (key.escalated) return { ...quality({ ...key, escalated: false }, priorQuality), strength }
    return { mean: priorQuality, strength }
  }

  function bands (key: VersionKey, priorQuality: number): Band[] {
    const entry = find(key)
    const priors = bandPriors(key, priorQuality)
    // A fraction of an occurrence per band keeps a band that was not seen yet from counting as impossible.
    const seen = priors.map((_, band) => (entry?.occurrences[band] ?? 0) + (band === NO_CONFIDENCE ? 0 : 0.25))
    const total = seen.reduce((sum, count) => sum + count, 0)
    return seen.map((count, band) => ({
      share: count / total,
      quality: estimate(entry?.bands[band] ?? EMPTY_SAMPLE, priors[band]!)
    }))
  }

  function bandPriors (key: VersionKey, priorQuality: number): Prior[] {
    const pool = { ...key, team: ALL_TEAMS }
    const { mean, spread } = quality(key, priorQuality)
    const samples = (find(pool) ?? find(key))?.bands ?? []
    const expected = fitLine(samples, mean)
    return Array.from({ length: CONFIDENCE_BANDS + 1 }, (_, band) => ({
      mean: band === NO_CONFIDENCE ? mean : expected(band),
      strength: policy.bandStrength,
      spread
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
    // A band gets a part of the ratings, so it must forget after fewer of them.
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

/** Least-squares line through the ratings by band, drawn towards a flat one at `mean` while there are few. */
function fitLine (bands: readonly Sample[], mean: number): (band: number) => number {
  const rated = bands.slice(0, CONFIDENCE_BANDS).map(({ count, sum }, band) => ({ count, sum, x: (band + 0.5) / CONFIDENCE_BANDS }))
  const total = rated.reduce((sum, { count }) => sum + count, 0)
  if (total === 0) return () => mean
  const centre = rated.reduce((sum, { count, x }) => sum + count * x, 0) / total
  const level = rated.reduce((sum, band) => sum + band.sum, 0) / total
  const covariance = rated.reduce((sum, { count, sum: ratings, x }) => sum + (x - centre) * (ratings - level * count), 0)
  const spread = rated.reduce((sum, { count, x }) => sum + count * (x - centre) ** 2, 0)
  // Confidences that differ by about 0.2 carry one unit of this weight each.
  const slope = covariance / (spread + FLAT_STRENGTH * 0.04)
  return band => Math.min(1, Math.max(0, mean + slope * ((band + 0.5) / CONFIDENCE_BANDS - centre)))
}

/** Band of a confidence between 0 and 1. */
export function bandOf (confidence: number | undefined): number {
  if (confidence === undefined || Number.isNaN(confidence)) return NO_CONFIDENCE
  return Math.min(CONFIDENCE_BANDS - 1, Math.max(0, Math.floor(confidence * CONFIDENCE_BANDS)))
}

function keyText ({ team, requestClass, version, escalated }: VersionKey): string {
  return JSON.stringify([team, requestClass, version, escalated])
}
