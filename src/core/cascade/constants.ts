/** Constants of the cascade. */
import type { CascadePolicy } from './types.ts'

/** Bands into which the confidence from 0 to 1 is divided. */
export const CONFIDENCE_BANDS = 16
/** Part of the memory that one band has. */
export const BAND_MEMORY_SHARE = 1 / 8
/** Thresholds per band. Within a band quality counts as constant, which understates the part that is kept. */
export const STEPS_PER_BAND = 4
/** Ratings that a flat relation between confidence and quality counts for. */
export const FLAT_STRENGTH = 2
/** Band of answers whose engine reported no confidence. */
export const NO_CONFIDENCE = CONFIDENCE_BANDS
/** Combinations of team, class and version that are remembered; classes come from callers. */
export const MAX_LEARNED_KEYS = 5000
/** Team under which the experience of all teams is kept; not a valid team id. */
export const ALL_TEAMS = '*'
/** A plan is computed again after this many observations of its class. */
export const PLAN_REFRESH_OBSERVATIONS = 16

/** Explorations that a team may save up while nothing is worth exploring. */
export const MAX_SAVED_EXPLORATIONS = 20

/** `provenRatings` of a VM that has a rating service. */
export const PROVEN_RATINGS = 4

export const DEFAULT_POLICY: CascadePolicy = {
  priorStrength: 4,
  poolStrength: 10,
  bandStrength: 3,
  margin: 0.2,
  provenRatings: 0,
  optimism: 1,
  worthwhileSaving: 0.03,
  memory: 500,
  minimumTimeLeftMs: 1500,
  assumedOutputTokens: 256
}
