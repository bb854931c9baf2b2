/** Runs a command's action and turns its errors into a message on standard error and an exit code. */
import { LacewingError, errorMessage } from '../../core/errors/index.ts'
import { CommandError } from './command-error.ts'
import { EXIT_CODES, type ExitCode } from './exit-codes.ts'

/** Wraps an action for sade. Sets `process.exitCode` and does not call `process.exit`, so that pending output is still written. */
export function runCommand<Arguments extends unknown[]> (action: (...args: Arguments) => Promise<ExitCode | void>) {
  return async (...args: Arguments): Promise<void> => {
    try {
      process.exitCode = await action(...args) ?? EXIT_CODES.ok
    } catch (error) {
      process.stderr.write(formatError(error) + '\n')
      process.exitCode = error instanceof CommandError ? error.exitCode : EXIT_CODES.failed
    }
  }
}

function formatError (error: unknown): string {
  if (error instanceof LacewingError) return `${error.kind}: ${error.message}\n  hint: ${error.hint}`
  return errorMessage(error)
}
