/** `lacewingstage config`: checks and applies files of configuration objects, and shows objects. */
import type { Sade } from 'sade'
import { readSettings } from '../../core/settings/index.ts'
import { applyChanges, checkChanges, formatDifferences, type RequestedChange } from '../shared/changes.ts'
import { readChangeFile } from '../shared/change-file.ts'
import { getObject, listObjects } from '../shared/objects.ts'
import type { OperatorConnection } from '../shared/operator-client.ts'
import { connectionOf, withChangeOptions, withOperatorOptions, type ChangeOptions, type OperatorOptions } from '../shared/options.ts'
import { CommandError } from '../shared/command-error.ts'
import { EXIT_CODES, type ExitCode } from '../shared/exit-codes.ts'
import { runCommand } from '../shared/run-command.ts'
import { printResult } from '../shared/table.ts'
import { checkFile, isTrafficConfigFile, type TrafficConfigParser } from './check-file.ts'

/** Formats that an adapter of a platform adds to the commands. */
export interface CommandFormats { parseTrafficConfig: TrafficConfigParser }

interface CheckOptions extends OperatorOptions {
  settings?: string
  offline?: boolean
  against?: string
  'retry-share'?: number
  'retry-slack'?: number
  'memory-mb'?: number
}

const BYTES_PER_MB = 1_000_000

export function registerConfig (program: Sade, { parseTrafficConfig }: CommandFormats): void {
  withOperatorOptions(program.command('config check [file]'))
    .describe('Checks a settings file of a VM (--settings), a file of configuration objects against the running fleet, or a file without a fleet (--offline, --against, or a traffic configuration in JSON).')
    .option('--settings', 'Settings file to check instead; no VM is contacted')
    .option('--offline', 'Check without contacting a VM')
    .option('--against', 'File with the version in force; prints what changes')
    .option('--retry-share', 'Retries that a service may get, as a share of its requests')
    .option('--retry-slack', 'Retries that it may get in addition')
    .option('--memory-mb', 'Memory of the smallest VM')
    .example('config check --settings vm-1.toml')
    .example('config check traffic.json --against in-force.json')
    .example('config check contracts.toml')
    .action(runCommand((file: string | undefined, options: CheckOptions) => check(file, options, parseTrafficConfig)))
  withChangeOptions(program.command('config apply <file>'))
    .describe('Creates or updates the objects of a file; prints the differences first.')
    .example('config apply contracts.toml --wait')
    .action(runCommand(apply))
  withOperatorOptions(program.command('config get <kind> [name]'))
    .describe('Shows one object, or all objects of a kind.')
    .example('config get Version kit-small-v2')
    .action(runCommand(get))
}

async function check (file: string | undefined, options: CheckOptions, parseTrafficConfig: TrafficConfigParser): Promise<ExitCode | void> {
  if (options.settings !== undefined) {
    readSettings(options.settings)
    return printResult(options.json, { valid: true }, `${options.settings}: valid`)
  }
  if (file !== undefined && (options.offline || options.against !== undefined || isTrafficConfigFile(file))) {
    const { against, json } = options
    // The parser of options takes an option without a value for true.
    if (against !== undefined && typeof against !== 'string') throw new CommandError('--against: found no value; allowed: a file', EXIT_CODES.usage)
    const memoryMb = numberOption(options, 'memory-mb')
    const limits = { retryShare: numberOption(options, 'retry-share'), retrySlack: numberOption(options, 'retry-slack'), memoryBytes: memoryMb && memoryMb * BYTES_PER_MB }
    return checkFile(file, { against, json, parseTrafficConfig, limits })
  }
  const connection = connectionOf(options)
  const changes = await withCurrentRevisions(connection, readChangeFile(file ?? ''))
  const result = await checkChanges(connection, changes)
  printResult(options.json, result, formatDifferences(result.differences))
}

function numberOption (options: CheckOptions, name: 'retry-share' | 'retry-slack' | 'memory-mb'): number | undefined {
  const value: unknown = options[name]
  if (value === undefined || (typeof value === 'number' && value >= 0)) return value
  throw new CommandError(`--${name}: found ${JSON.stringify(value)}; allowed: a number from 0`, EXIT_CODES.usage)
}

async function apply (file: string, options: ChangeOptions) {
  const changes = await withCurrentRevisions(connectionOf(options), readChangeFile(file))
  return await applyChanges(options, changes)
}

/** Adds the current revision of its object to each change, so that a concurrent change is reported as a conflict. */
async function withCurrentRevisions (connection: OperatorConnection, changes: RequestedChange[]): Promise<RequestedChange[]> {
  const kinds = [...new Set(changes.map(({ kind }) => kind))]
  const lists = await Promise.all(kinds.map(kind => listObjects(connection, kind)))
  const current = new Map(lists.flat().map(object => [`${object.kind}/${object.name}`, object.resourceVersion]))
  return changes.map(change => {
    const resourceVersion = current.get(`${change.kind}/${change.name}`)
    return resourceVersion === undefined ? change : { ...change, resourceVersion }
  })
}

async function get (kind: string, name: string | undefined, options: OperatorOptions): Promise<void> {
  const connection = connectionOf(options)
  const result = name === undefined ? await listObjects(connection, kind) : await getObject(connection, kind, name)
  printResult(true, result, '')
}
