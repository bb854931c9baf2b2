/**
 * What has been observed per team, class of request and version: quality by band of confidence, how often each band
 * occurs, and cost. Answers to escalated requests are kept apart, because these requests are harder than the rest.
 */
import { createLru } from '../session/lru.ts'
import { CONFIDENCE_BANDS, MAX_LEARNED_KEYS, NO_CONFIDENCE } from './constants.ts'
import { addValue, EMPTY_SAMPLE, estimate, type Estimate, type Sample } from './estimate.ts'
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
    // Before an escalated answer was rated, the version's other answers are the best guess.
    const mean = key.escalated ? quality({ ...key, escalated: false }, priorQuality).mean : priorQuality
    return estimate(find(key)?.quality ?? EMPTY_SAMPLE, { mean, strength: policy.priorStrength })
  }

  return {
    quality,
    observe (outcome) {
      if (outcome.failed) return
      const entry = findOrCreate({ ...outcome, escalated: outcome.escalated ?? false })
      const band = bandOf(outcome.confidence)
      if (outcome.rating === undefined) {
        entry.occurrences[band] = entry.occurrences[band]! + 1
        entry.cost = addValue(entry.cost, outcome.costMicros, policy.memory)
        return
      }
      entry.quality = addValue(entry.quality, outcome.rating, policy.memory)
      entry.bands[band] = addValue(entry.bands[band]!, outcome.rating, policy.memory)
    },
    bands (key, priorQuality) {
      const entry = find(key)
      const { mean } = quality(key, priorQuality)
      const occurrences = entry?.occurrences ?? []
      // One pseudo-occurrence per band keeps a band that was not seen yet from counting as impossible.
      const seen = Array.from({ length: CONFIDENCE_BANDS + 1 }, (_, band) => (occurrences[band] ?? 0) + (band === NO_CONFIDENCE ? 0 : 0.5))
      const total = seen.reduce((sum, count) => sum + count, 0)
      return seen.map((count, band) => ({
        share: count / total,
        quality: estimate(entry?.bands[band] ?? EMPTY_SAMPLE, { mean, strength: policy.bandStrength })
      }))
    },
    meanCost (key) {
      const cost = find(key)?.cost
      return cost && cost.count > 0 ? cost.sum / cost.count : undefined
    }
  }
}

/** Band of a confidence between 0 and 1. */
export function bandOf (confidence: number | undefined): number {
  if (confidence === undefined || Number.isNaN(confidence)) return NO_CONFIDENCE
  return Math.min(CONFIDENCE_BANDS - 1, Math.max(0, Math.floor(confidence * CONFIDENCE_BANDS)))
}

function keyText ({ team, requestClass, version, escalated }: VersionKey): string {
  return JSON.stringify([team, requestClass, version, escalated])
}
