/** Types of the benchmarks that `lacewingstage bench` runs; each prints one table. */

export interface BenchmarkOptions {
  seeds: number[]
  /** Short run that only checks that the benchmark works. */
  quick: boolean
}

export interface BenchmarkTable {
  title: string
  columns: string[]
  rows: (string | number)[][]
  /** Whether the bounds are met, the seeds, and explanations of the figures. */
  notes: string[]
}

export interface Benchmark {
  name: string
  summary: string
  run(options: BenchmarkOptions): Promise<BenchmarkTable>
}
