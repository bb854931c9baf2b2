/** `lacewingstage bench`: runs the benchmarks and prints a table for each. */
import type { Sade } from 'sade'
import { BENCHMARKS } from '../../bench/index.ts'
import type { BenchmarkTable } from '../../bench/types.ts'
import { CommandError } from '../shared/command-error.ts'
import { EXIT_CODES } from '../shared/exit-codes.ts'
import { runCommand } from '../shared/run-command.ts'
import { formatTable, printResult } from '../shared/table.ts'

interface BenchOptions { seeds: string | number, quick: boolean, json: boolean }

export function registerBench (program: Sade): void {
  program
    .command('bench [name]')
    .describe(`Runs one benchmark, or all. Benchmarks: ${BENCHMARKS.map(({ name }) => name).join(', ')}`)
    .option('--seeds', 'Seeds, separated by commas', '1,2,3,4,5')
    .option('--quick', 'Short run that only checks that the benchmark works', false)
    .option('--json', 'Print JSON for scripts', false)
    .example('bench backend-choice --seeds 1,2,3,4,5')
    .action(runCommand(runBenchmarks))
}

async function runBenchmarks (name: string | undefined, { seeds, quick, json }: BenchOptions): Promise<void> {
  const selected = BENCHMARKS.filter(benchmark => name === undefined || benchmark.name === name)
  if (selected.length === 0) {
    throw new CommandError(`found ${name}; allowed: ${BENCHMARKS.map(benchmark => benchmark.name).join(', ')}`, EXIT_CODES.usage)
  }
  const seedNumbers = String(seeds).split(',').map(Number)
  for (const benchmark of selected) {
    const table = await benchmark.run({ seeds: seedNumbers, quick })
    printResult(json, table, formatBenchmark(table))
  }
}

function formatBenchmark ({ title, columns, rows, notes }: BenchmarkTable): string {
  return [`${title}\n`, formatTable(columns, rows), ...notes.map(note => `- ${note}`), ''].join('\n')
}
