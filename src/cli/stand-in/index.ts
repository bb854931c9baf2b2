/** `lacewingstage stand-in`: runs one stand-in for an external system as a separate process, for tests and trials. */
import type { Sade } from 'sade'
import { runCommand } from '../shared/run-command.ts'
import { CommandError } from '../shared/command-error.ts'
import { EXIT_CODES } from '../shared/exit-codes.ts'
import { waitForStopSignal } from '../shared/signals.ts'
import { STAND_INS } from './stand-ins.ts'

interface StandInOptions {
  port: number
  host: string
  options: string
}

export function registerStandIn (program: Sade): void {
  program
    .command('stand-in <kind>')
    .describe('Runs a stand-in for an external system on loopback; prints one JSON line when it is ready.')
    .option('--host', 'Loopback address to listen on', '127.0.0.1')
    .option('--port', 'Port; 0 chooses a free one', 0)
    .option('--options', 'JSON object with options of the stand-in', '{}')
    .example('stand-in object-api --port 7500')
    .example('stand-in engine --options \'{"versions":["kit-small-v1"],"slots":8}\'')
    .action(runCommand(runStandIn))
}

async function runStandIn (kind: string, { host, port, options }: StandInOptions): Promise<void> {
  const start = STAND_INS.get(kind)
  if (!start) {
    throw new CommandError(`unknown stand-in ${kind}; allowed: ${[...STAND_INS.keys()].join(', ')}`, EXIT_CODES.usage)
  }
  const running = await start({ host, port, ...parseOptions(options) })
  process.stdout.write(JSON.stringify({ ready: kind, ...running.details }) + '\n')
  await waitForStopSignal()
  await running.close()
}

function parseOptions (text: string): object {
  try {
    return JSON.parse(text) as object
  } catch {
    throw new CommandError(`--options: found ${text}; allowed: a JSON object`, EXIT_CODES.usage)
  }
}
