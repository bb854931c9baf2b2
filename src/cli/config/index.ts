/** `lacewingstage config`: checks and applies files of configuration objects, and shows objects. */
import type { Sade } from 'sade'
import { readSettings } from '../../core/settings/index.ts'
import { applyChanges, checkChanges, formatDifferences, type RequestedChange } from '../shared/changes.ts'
import { readChangeFile } from '../shared/change-file.ts'
import { getObject, listObjects } from '../shared/objects.ts'
import type { OperatorConnection } from '../shared/operator-client.ts'
import { connectionOf, withChangeOptions, withOperatorOptions, type ChangeOptions, type OperatorOptions } from '../shared/options.ts'
import { runCommand } from '../shared/run-command.ts'
import { printResult } from '../shared/table.ts'

interface CheckOptions extends OperatorOptions { settings?: string }

export function registerConfig (program: Sade): void {
  withOperatorOptions(program.command('config check [file]'))
    .describe('Checks a settings file of a VM (--settings), or a file of configuration objects against the running fleet.')
    .option('--settings', 'Settings file to check instead; no VM is contacted')
    .example('config check --settings vm-1.toml')
    .example('config check contracts.toml')
    .action(runCommand(check))
  withChangeOptions(program.command('config apply <file>'))
    .describe('Creates or updates the objects of a file; prints the differences first.')
    .example('config apply contracts.toml --wait')
    .action(runCommand(apply))
  withOperatorOptions(program.command('config get <kind> [name]'))
    .describe('Shows one object, or all objects of a kind.')
    .example('config get Version kit-small-v2')
    .action(runCommand(get))
}

async function check (file: string | undefined, options: CheckOptions): Promise<void> {
  if (options.settings !== undefined) {
    readSettings(options.settings)
    return printResult(options.json, { valid: true }, `${options.settings}: valid`)
  }
  const connection = connectionOf(options)
  const changes = await withCurrentRevisions(connection, readChangeFile(file ?? ''))
  const result = await checkChanges(connection, changes)
  printResult(options.json, result, formatDifferences(result.differences))
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
