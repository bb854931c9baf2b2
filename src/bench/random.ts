/** Pseudo-random numbers for benchmarks and tests. */
export { createRandom } from '../standin/random.ts'

/** Returns a normally distributed number. */
export function normal (random: () => number, mean = 0, deviation = 1): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()))
  return mean + deviation * radius * Math.cos(2 * Math.PI * random())
}
