/** Failure of a command: a message for the person at the terminal and the exit code. */
import type { ExitCode } from './exit-codes.ts'

export class CommandError extends Error {
  readonly exitCode: ExitCode

  constructor (message: string, exitCode: ExitCode) {
    super(message)
    this.name = 'CommandError'
    this.exitCode = exitCode
  }
}
