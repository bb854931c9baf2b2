/** `lacewingstage serve`: runs one VM until it receives a stop signal. */
import type { Sade } from 'sade'
import { readSettings } from '../../core/settings/index.ts'
import { startVm } from '../../core/vm/index.ts'
import { runCommand } from '../shared/run-command.ts'
import { CommandError } from '../shared/command-error.ts'
import { EXIT_CODES } from '../shared/exit-codes.ts'
import { waitForStopSignal } from '../shared/signals.ts'

interface ServeOptions { settings?: string }

export function registerServe (program: Sade): void {
  program
    .command('serve')
    .describe('Runs one VM. SIGTERM stops it gracefully; SIGHUP reloads the keys from the settings file.')
    .option('--settings', 'Settings file of this VM (TOML)')
    .example('serve --settings vm-1.toml')
    .action(runCommand(serve))
}

async function serve ({ settings: file }: ServeOptions): Promise<void> {
  if (file === undefined) throw new CommandError('--settings: found nothing; allowed: the path of a TOML file', EXIT_CODES.usage)
  const vm = await startVm(readSettings(file))
  const stopped = waitForStopSignal()
  process.on('SIGHUP', () => vm.reloadKeys(() => readSettings(file)))
  process.stdout.write(JSON.stringify({ ready: 'vm', vm: vm.identity.vm, url: vm.callerUrl }) + '\n')
  await stopped
  await vm.shutDown()
}
