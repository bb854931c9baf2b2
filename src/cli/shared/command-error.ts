/** Failure of a command, with a message for the user and the exit code of the process. */
import type { ExitCode } from './exit-codes.ts'

export class CommandError extends Error {
  readonly exitCode: ExitCode

  constructor (message: string, exitCode: ExitCode) {
    super(message)
    this.name = 'CommandError'
    this.exitCode = exitCode
  }
}
