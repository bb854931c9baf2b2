/** Structured logs on standard error. State changes are logged; recurring events are counted in metrics instead. */
import { Logger } from 'tslog'

/** Level numbers of tslog. */
const LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const

export interface LogOptions {
  level?: keyof typeof LEVELS
  format?: 'json' | 'pretty'
  /** Name of the VM, which is added to each line. */
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
  const writeEntry = format === 'json' ? writeJson : writeText
  logger.attachTransport(entry => writeEntry(entry, vm))
  return {
    debug: (message, fields = {}) => { logger.debug(message, fields) },
    info: (message, fields = {}) => { logger.info(message, fields) },
    warn: (message, fields = {}) => { logger.warn(message, fields) },
    error: (message, fields = {}) => { logger.error(message, fields) }
  }
}

/** Log that discards all messages, for tests and benchmarks. */
export const silentLog: Log = {
  debug () {},
  info () {},
  warn () {},
  error () {}
}

type LogEntry = Record<string, unknown> & { _meta: { date: Date, logLevelName: string } }

function splitEntry (entry: LogEntry): { message: unknown, fields: object } {
  const fields = entry['1'] as object | undefined
  return { message: entry['0'], fields: fields ?? {} }
}

function writeJson (entry: unknown, vm: string): void {
  const { _meta: meta, ...rest } = entry as LogEntry
  const { message, fields } = splitEntry(rest as LogEntry)
  const line = { time: meta.date.toISOString(), level: meta.logLevelName, vm, message, ...fields }
  process.stderr.write(JSON.stringify(line) + '\n')
}

function writeText (entry: unknown, vm: string): void {
  const { _meta: meta, ...rest } = entry as LogEntry
  const { message, fields } = splitEntry(rest as LogEntry)
  const formattedFields = Object.entries(fields).map(([key, value]) => `${key}=${JSON.stringify(value)}`)
  const time = meta.date.toISOString().slice(11, 23)
  process.stderr.write([time, meta.logLevelName, vm, String(message), ...formattedFields].join(' ') + '\n')
}
