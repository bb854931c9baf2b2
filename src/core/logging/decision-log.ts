/**
 * Structured log of request decisions and state changes on standard output. The volume is limited: request lines are
 * dropped and counted when they exceed a rate limit or while the output is blocked. Writing never waits for the reader.
 */
import type { Clock } from '../clock/index.ts'
import type { Log } from './index.ts'

export interface DecisionLog extends Log {
  /** Logs a decision about one request. */
  request(decision: string, fields: object): void
}

export interface DecisionLogOptions {
  vm: string
  clock: Clock
  write?: (text: string) => boolean
  /** Maximum number of request lines per second; state changes are always written. */
  linesPerSecond?: number
}

/** About 20 KB per second at 200 bytes per line. */
const DEFAULT_LINES_PER_SECOND = 100

/** Lines are lost once the reader of the output has gone away; without a listener, the error would end the process. */
function createOutput (): (text: string) => boolean {
  process.stdout.on('error', () => {})
  return text => process.stdout.write(text)
}

export function createDecisionLog (options: DecisionLogOptions): DecisionLog {
  const { vm, clock, write = createOutput(), linesPerSecond = DEFAULT_LINES_PER_SECOND } = options
  let windowStartMs = clock.now()
  let writtenInWindow = 0
  let dropped = 0
  let outputBlocked = false

  function writeLine (level: string, message: string, fields: object): void {
    outputBlocked = !write(JSON.stringify({ time: new Date(clock.wallMs()).toISOString(), level, vm, message, ...fields }) + '\n')
  }

  function request (decision: string, fields: object): void {
    const now = clock.now()
    if (now - windowStartMs >= 1000) {
      windowStartMs = now
      writtenInWindow = 0
      outputBlocked = false
      if (dropped > 0) writeLine('WARN', 'lines left out', { dropped })
      dropped = 0
    }
    if (outputBlocked || writtenInWindow >= linesPerSecond) {
      dropped++
      return
    }
    writtenInWindow++
    writeLine('INFO', decision, fields)
  }

  return {
    request,
    debug () {},
    info: (message, fields = {}) => writeLine('INFO', message, fields),
    warn: (message, fields = {}) => writeLine('WARN', message, fields),
    error: (message, fields = {}) => writeLine('ERROR', message, fields)
  }
}
