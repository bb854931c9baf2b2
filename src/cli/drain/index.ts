/** `lacewingstage drain` and `restore`: take a data centre, VM or backend server out of service and return it to service. */
import type { Sade } from 'sade'
import { reportAccepted, type AcceptedObject } from '../shared/changes.ts'
import { CommandError } from '../shared/command-error.ts'
import { EXIT_CODES } from '../shared/exit-codes.ts'
import { callOperatorApi } from '../shared/operator-client.ts'
import { connectionOf, withChangeOptions, type ChangeOptions } from '../shared/options.ts'
import { runCommand } from '../shared/run-command.ts'

const KIND_BY_ARGUMENT: Record<string, string> = {
  'data-centre': 'DataCentre',
  vm: 'VirtualMachine',
  'backend-server': 'BackendServer'
}

export function registerDrain (program: Sade): void {
  withChangeOptions(program.command('drain <what> <name>'))
    .describe('Takes a data-centre, vm or backend-server out of service; running requests finish, new ones are routed elsewhere.')
    .example('drain data-centre bag-a --wait')
    .example('drain backend-server runner-7')
    .action(runCommand((what: string, name: string, options: ChangeOptions) => drainOrRestore('drain', what, name, options)))
  withChangeOptions(program.command('restore <what> <name>'))
    .describe('Returns a data-centre, vm or backend-server to service.')
    .example('restore data-centre bag-a --wait')
    .action(runCommand((what: string, name: string, options: ChangeOptions) => drainOrRestore('restore', what, name, options)))
}

async function drainOrRestore (action: 'drain' | 'restore', what: string, name: string, options: ChangeOptions) {
  const kind = KIND_BY_ARGUMENT[what]
  if (kind === undefined) {
    throw new CommandError(`found ${what}; allowed: ${Object.keys(KIND_BY_ARGUMENT).join(', ')}`, EXIT_CODES.usage)
  }
  const accepted = await callOperatorApi<AcceptedObject>(connectionOf(options), { method: 'POST', path: `/${action}`, body: { kind, name } })
  return await reportAccepted(options, [accepted])
}
