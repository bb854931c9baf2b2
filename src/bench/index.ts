/** All benchmarks, in the order in which they run. */
import type { Benchmark } from './types.ts'

export const BENCHMARKS: Benchmark[] = []
