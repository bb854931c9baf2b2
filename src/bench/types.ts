/** Types of the benchmarks that `lacewingstage bench` runs; each prints one table. */

export interface BenchmarkOptions {
  seeds: number[]
  /** Shorter run for a check that the benchmark works. */
  quick: boolean
}

export interface BenchmarkTable {
  title: string
  columns: string[]
  rows: (string | number)[][]
  /** Bounds met or missed, seeds, and what the figures mean. */
  notes: string[]
}

export interface Benchmark {
  name: string
  summary: string
  run(options: BenchmarkOptions): Promise<BenchmarkTable>
}
