/**
 * Structured lines about requests and beliefs on standard output. The volume is bounded: beyond a number of lines in a
 * second only a count of what was left out is written, and output is handed over without waiting for the reader.
 */
import type { Clock } from '../clock/index.ts'
import type { Log } from './index.ts'

export interface DecisionLog extends Log {
  /** A decision about one request. */
  request(decision: string, fields: object): void
}

export interface DecisionLogOptions {
  vm: string
  clock: Clock
  write?: (text: string) => boolean
  /** Lines a second for decisions about requests; changes of state are always written. */
  linesPerSecond?: number
}

/** About 20 KB a second at 200 bytes a line. */
const LINES_PER_SECOND = 100

export function createDecisionLog (options: DecisionLogOptions): DecisionLog {
  const { vm, clock, write = text => process.stdout.write(text), linesPerSecond = LINES_PER_SECOND } = options
  let windowMs = clock.now()
  let written = 0
  let dropped = 0
  let blocked = false

  function line (level: string, message: string, fields: object): void {
    blocked = !write(JSON.stringify({ time: new Date(clock.wallMs()).toISOString(), level, vm, message, ...fields }) + '\n')
  }

  function request (decision: string, fields: object): void {
    const now = clock.now()
    if (now - windowMs >= 1000) {
      windowMs = now
      written = 0
      blocked = false
      if (dropped > 0) line('WARN', 'lines left out', { dropped })
      dropped = 0
    }
    if (blocked || written >= linesPerSecond) {
      dropped++
      return
    }
    written++
    line('INFO', decision, fields)
  }

  return {
    request,
    debug () {},
    info: (message, fields = {}) => line('INFO', message, fields),
    warn: (message, fields = {}) => line('WARN', message, fields),
    error: (message, fields = {}) => line('ERROR', message, fields)
  }
}
