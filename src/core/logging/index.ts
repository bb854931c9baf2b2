/** Structured logs on standard error. Lines are written for changes of state; events that recur are counted instead. */
import { Logger } from 'tslog'

const LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const

export interface LogOptions {
  level?: keyof typeof LEVELS
  format?: 'json' | 'pretty'
  /** Name of the VM, added to each line. */
  vm?: string
}

export interface Log {
  debug(message: string, fields?: object): void
  info(message: string, fields?: object): void
  warn(message: string, fields?: object): void
  error(message: string, fields?: object): void
}

export function createLog ({ level = 'info', format = 'json', vm = '' }: LogOptions = {}): Log {
  const logger = new Logger<Record<string, unknown>>({
    name: vm,
    type: 'hidden',
    minLevel: LEVELS[level],
    hideLogPositionForProduction: true
  })
  const write = format === 'json' ? writeJson : writeText
  logger.attachTransport(entry => write(entry, vm))
  return {
    debug: (message, fields = {}) => { logger.debug(message, fields) },
    info: (message, fields = {}) => { logger.info(message, fields) },
    warn: (message, fields = {}) => { logger.warn(message, fields) },
    error: (message, fields = {}) => { logger.error(message, fields) }
  }
}

/** Discards everything; for tests and for libraries without a log. */
export const silentLog: Log = {
  debug () {},
  info () {},
  warn () {},
  error () {}
}

type Entry = Record<string, unknown> & { _meta: { date: Date, logLevelName: string } }

function splitEntry (entry: Entry): { message: unknown, fields: object } {
  const fields = entry['1'] as object | undefined
  return { message: entry['0'], fields: fields ?? {} }
}

function writeJson (entry: unknown, vm: string): void {
  const { _meta: meta, ...rest } = entry as Entry
  const { message, fields } = splitEntry(rest as Entry)
  const line = { time: meta.date.toISOString(), level: meta.logLevelName, vm, message, ...fields }
  process.stderr.write(JSON.stringify(line) + '\n')
}

function writeText (entry: unknown, vm: string): void {
  const { _meta: meta, ...rest } = entry as Entry
  const { message, fields } = splitEntry(rest as Entry)
  const shown = Object.entries(fields).map(([key, value]) => `${key}=${JSON.stringify(value)}`)
  const time = meta.date.toISOString().slice(11, 23)
  process.stderr.write([time, meta.logLevelName, vm, String(message), ...shown].join(' ') + '\n')
}
