/**
 * Estimates a mean between 0 and 1 from a Beta prior given by mean and strength. The variance of a value moves from that
 * of the prior, by default binomial, to the observed one, which is smaller when ratings are not only 0 or 1.
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
  valueVariance: number
}

export interface Prior {
  mean: number
  /** Weight of the prior, as a number of values. */
  strength: number
  /** Variance of a single value; by default the binomial variance of the mean. */
  valueVariance?: number
}

export const EMPTY_SAMPLE: Readonly<Sample> = { count: 0, sum: 0, squares: 0 }

/** Adds a value. Older values decay once the effective size of the sample reaches `memory`. */
export function addValue (sample: Sample, value: number, memory = Infinity): Sample {
  const retained = sample.count >= memory ? (memory - 1) / sample.count : 1
  return {
    count: sample.count * retained + 1,
    sum: sample.sum * retained + value,
    squares: sample.squares * retained + value * value
  }
}

/** Posterior mean and its variance. */
export function estimate (sample: Sample, prior: Prior): Estimate {
  const weight = sample.count + prior.strength
  const mean = (sample.sum + prior.mean * prior.strength) / weight
  const squaredDeviation = Math.max(0, sample.squares - 2 * mean * sample.sum + mean * mean * sample.count)
  const valueVariance = (squaredDeviation + (prior.valueVariance ?? prior.mean * (1 - prior.mean)) * prior.strength) / weight
  return { mean, variance: valueVariance / (weight + 1), valueVariance }
}
