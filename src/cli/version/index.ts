/** `lacewingstage version`: lists versions, rolls one out, pauses and resumes a roll-out, and withdraws a version. */
import type { Sade } from 'sade'
import { applyChanges, reportAccepted, type AcceptedObject } from '../shared/changes.ts'
import { getObject, listObjects } from '../shared/objects.ts'
import { callOperatorApi } from '../shared/operator-client.ts'
import { connectionOf, withChangeOptions, withOperatorOptions, type ChangeOptions, type OperatorOptions } from '../shared/options.ts'
import { runCommand } from '../shared/run-command.ts'
import { formatTable, printResult } from '../shared/table.ts'

interface RollOutOptions extends ChangeOptions { stages?: string }

export function registerVersion (program: Sade): void {
  withOperatorOptions(program.command('version list'))
    .describe('Lists versions and roll-outs.')
    .action(runCommand(list))
  withChangeOptions(program.command('version roll-out <from> <to>'))
    .describe('Moves new sessions from one version to another in stages; stops automatically when the new one is worse.')
    .option('--stages', 'Shares of new sessions, separated by commas')
    .example('version roll-out kit-small-v1 kit-small-v2 --stages 0.05,0.5,1')
    .action(runCommand(rollOut))
  withChangeOptions(program.command('version pause <rollout>'))
    .describe('Pauses a roll-out at its current weights.')
    .action(runCommand((name: string, options: ChangeOptions) => setRolloutState(name, 'paused', options)))
  withChangeOptions(program.command('version resume <rollout>'))
    .describe('Resumes a paused or stopped roll-out.')
    .action(runCommand((name: string, options: ChangeOptions) => setRolloutState(name, 'running', options)))
  withChangeOptions(program.command('version withdraw <version>'))
    .describe('Withdraws a version: it receives no new work; running requests finish.')
    .example('version withdraw kit-small-v1 --wait')
    .action(runCommand(withdraw))
}

async function list (options: OperatorOptions): Promise<void> {
  const connection = connectionOf(options)
  const [versions, rollouts] = await Promise.all([listObjects(connection, 'Version'), listObjects(connection, 'Rollout')])
  const versionRows = versions.map(({ name, spec }) => [name, String(spec['model']), String(spec['state']), Number(spec['weight'])])
  const rolloutRows = rollouts.map(({ name, spec }) => [
    name, `${String(spec['from'])} -> ${String(spec['to'])}`, String(spec['state']), Number(spec['stage']), String(spec['reason'] ?? '')
  ])
  const text = [
    formatTable(['version', 'model', 'state', 'weight'], versionRows),
    formatTable(['roll-out', 'versions', 'state', 'stage', 'reason'], rolloutRows)
  ].join('\n\n')
  printResult(options.json, { versions, rollouts }, text)
}

async function rollOut (from: string, to: string, options: RollOutOptions) {
  const connection = connectionOf(options)
  const { spec } = await getObject(connection, 'Version', from)
  const stages = options.stages === undefined ? {} : { stages: String(options.stages).split(',').map(Number) }
  const body = { name: `${from}-to-${to}`.slice(0, 63), model: spec['model'], from, to, ...stages }
  const accepted = await callOperatorApi<AcceptedObject>(connection, { method: 'POST', path: '/rollouts', body })
  return await reportAccepted(options, [accepted])
}

async function setRolloutState (name: string, state: string, options: ChangeOptions) {
  const { spec, resourceVersion } = await getObject(connectionOf(options), 'Rollout', name)
  return await applyChanges(options, [{ kind: 'Rollout', name, spec: { ...spec, state }, resourceVersion }])
}

async function withdraw (version: string, options: ChangeOptions) {
  const path = `/versions/${encodeURIComponent(version)}/withdraw`
  const accepted = await callOperatorApi<AcceptedObject>(connectionOf(options), { method: 'POST', path })
  return await reportAccepted(options, [accepted])
}
