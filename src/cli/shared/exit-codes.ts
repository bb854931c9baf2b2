/** Exit codes of the command line, documented in docs/operators/command-line.md. */
export const EXIT_CODES = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unreachable: 4,
  notInForce: 5
} as const

export type ExitCode = typeof EXIT_CODES[keyof typeof EXIT_CODES]
