/**
 * Estimate of a mean between 0 and 1. It starts from a Beta prior given by mean and strength; the variance moves from
 * the prior's, which is that of yes-or-no answers, to the one observed, which is smaller for graded ratings.
 */
export interface Sample {
  /** Effective number of values. */
  count: number
  sum: number
  squares: number
}

export interface Estimate {
  mean: number
  /** Variance of the mean. */
  variance: number
  /** Variance of a single value. */
  spread: number
}

export interface Prior {
  mean: number
  /** Number of values the prior counts for. */
  strength: number
  /** Variance of a single value; by default that of yes-or-no answers. */
  spread?: number
}

export const EMPTY_SAMPLE: Readonly<Sample> = { count: 0, sum: 0, squares: 0 }

/** Adds a value; older ones fade when the sample is longer than `memory`. */
export function addValue (sample: Sample, value: number, memory = Infinity): Sample {
  const keep = sample.count >= memory ? (memory - 1) / sample.count : 1
  return {
    count: sample.count * keep + 1,
    sum: sample.sum * keep + value,
    squares: sample.squares * keep + value * value
  }
}

/** Posterior mean and its variance. */
export function estimate (sample: Sample, prior: Prior): Estimate {
  const weight = sample.count + prior.strength
  const mean = (sample.sum + prior.mean * prior.strength) / weight
  const deviation = Math.max(0, sample.squares - 2 * mean * sample.sum + mean * mean * sample.count)
  const spread = (deviation + (prior.spread ?? prior.mean * (1 - prior.mean)) * prior.strength) / weight
  return { mean, variance: spread / (weight + 1), spread }
}
