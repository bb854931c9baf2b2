/** `lacewingstage contract`: lists, changes and deletes contracts, and creates team keys. */
import { createHash, randomBytes } from 'node:crypto'
import type { Sade } from 'sade'
import { applyChanges } from '../shared/changes.ts'
import { CommandError } from '../shared/command-error.ts'
import { EXIT_CODES } from '../shared/exit-codes.ts'
import { getObject, listObjects } from '../shared/objects.ts'
import { connectionOf, withChangeOptions, withOperatorOptions, type ChangeOptions, type OperatorOptions } from '../shared/options.ts'
import { runCommand } from '../shared/run-command.ts'
import { formatTable, printResult } from '../shared/table.ts'

const KEY_BYTES = 24

export function registerContract (program: Sade): void {
  withOperatorOptions(program.command('contract list'))
    .describe('Lists the contracts.')
    .action(runCommand(list))
  withChangeOptions(program.command('contract set <team> <field> <value>'))
    .describe('Changes one field of a contract; the value is JSON.')
    .example('contract set head-teachers maxConcurrent 32 --wait')
    .example('contract set head-teachers models \'["kit-small"]\'')
    .action(runCommand(setField))
  withChangeOptions(program.command('contract delete <team>'))
    .describe('Deletes a contract; its keys stop working.')
    .action(runCommand(remove))
  withChangeOptions(program.command('contract add-key <team>'))
    .describe('Creates a key for a team, prints it once and stores its hash.')
    .example('contract add-key head-teachers --wait')
    .action(runCommand(addKey))
}

async function list (options: OperatorOptions): Promise<void> {
  const contracts = await listObjects(connectionOf(options), 'Contract')
  const rows = contracts.map(({ name, resourceVersion, spec }) => [
    name, (spec['models'] as string[]).join(' '), String(spec['priority']), Number(spec['maxConcurrent']), Number(spec['spendLimitMicros']), resourceVersion
  ])
  printResult(options.json, contracts, formatTable(['team', 'models', 'priority', 'max concurrent', 'spend limit (micros)', 'revision'], rows))
}

async function setField (team: string, field: string, value: string | number, options: ChangeOptions) {
  const { spec, resourceVersion } = await getObject(connectionOf(options), 'Contract', team)
  return await applyChanges(options, [{ kind: 'Contract', name: team, spec: { ...spec, [field]: parseValue(value) }, resourceVersion }])
}

/** A value that is not JSON is taken as a string, so that `priority urgent` needs no quotes. */
function parseValue (value: string | number): unknown {
  try {
    return JSON.parse(String(value))
  } catch {
    return value
  }
}

async function remove (team: string, options: ChangeOptions) {
  const { resourceVersion } = await getObject(connectionOf(options), 'Contract', team)
  return await applyChanges(options, [{ kind: 'Contract', name: team, spec: null, resourceVersion }])
}

async function addKey (team: string, options: ChangeOptions) {
  const { spec, resourceVersion } = await getObject(connectionOf(options), 'Contract', team)
  const key = randomBytes(KEY_BYTES).toString('base64url')
  const sha256 = createHash('sha256').update(key).digest('hex')
  const keys = [...spec['keys'] as object[], { sha256 }]
  const exitCode = await applyChanges(options, [{ kind: 'Contract', name: team, spec: { ...spec, keys }, resourceVersion }])
  if (exitCode !== EXIT_CODES.ok) throw new CommandError('the key is stored but not in force everywhere; create another one later', exitCode)
  printResult(options.json, { key }, `key: ${key}`)
  return exitCode
}
