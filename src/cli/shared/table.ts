/** Formats text tables and prints the results of commands. */

export type Cell = string | number

export function formatTable (columns: string[], rows: Cell[][]): string {
  const cells = [columns, ...rows.map(row => row.map(String))]
  const widths = columns.map((_, column) => Math.max(...cells.map(row => (row[column] ?? '').length)))
  const lines = cells.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
  const separator = widths.map(width => '-'.repeat(width)).join('  ')
  return [lines[0], separator, ...lines.slice(1)].join('\n')
}

/** Prints the value as indented JSON when `asJson` is set, otherwise the text. */
export function printResult (asJson: boolean, value: unknown, text: string): void {
  process.stdout.write((asJson ? JSON.stringify(value, null, 2) : text) + '\n')
}
