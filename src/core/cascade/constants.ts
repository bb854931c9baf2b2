/** Constants of the cascade. */
import type { CascadePolicy } from './types.ts'

/** Number of equal bands into which the confidence range from 0 to 1 is divided. */
export const CONFIDENCE_BANDS = 16
/** Length of one band's sample, as a fraction of `CascadePolicy.memory`. */
export const BAND_MEMORY_SHARE = 1 / 8
/** Thresholds per band. Quality is taken as constant within a band, which underestimates the quality of the kept answers. */
export const STEPS_PER_BAND = 4
/** Weight, in ratings, of the prior that quality does not depend on confidence. */
export const FLAT_LINE_STRENGTH = 2
/** Band of answers whose engine reported no confidence. */
export const NO_CONFIDENCE = CONFIDENCE_BANDS
/** Maximum number of keys with statistics (team, class, version); bounded because callers choose the classes. */
export const MAX_LEARNED_KEYS = 5000
/** Key under which the statistics of all teams are pooled; not a valid team id. */
export const ALL_TEAMS = '*'
/** Number of observations of a class after which its plans are recomputed. */
export const PLAN_REFRESH_OBSERVATIONS = 16

/** Maximum number of explorations that a team accumulates while nothing is worth exploring. */
export const MAX_SAVED_EXPLORATIONS = 20

/** `minimumRatings` of a VM that has a rating service. */
export const MINIMUM_RATINGS = 4

export const DEFAULT_POLICY: CascadePolicy = {
  priorStrength: 4,
  poolStrength: 10,
  bandStrength: 3,
  margin: 0.2,
  minimumRatings: 0,
  optimism: 1,
  minimumSavingShare: 0.03,
  memory: 500,
  minimumTimeLeftMs: 1500,
  assumedOutputTokens: 256
}
