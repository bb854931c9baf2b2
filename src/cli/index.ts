/** Command line of lacewingstage. Each command registers itself; runCommand turns errors into messages and exit codes. */
import sade from 'sade'
import { registerBench } from './bench/index.ts'
import { registerConfig, type CommandFormats } from './config/index.ts'
import { registerContract } from './contract/index.ts'
import { registerDev } from './dev/index.ts'
import { registerDrain } from './drain/index.ts'
import { registerExplain } from './explain/index.ts'
import { registerServe } from './serve/index.ts'
import { registerStandIn } from './stand-in/index.ts'
import { registerStatus } from './status/index.ts'
import { registerVersion } from './version/index.ts'

const PROGRAM_VERSION = '0.1.0'

const REGISTER_FUNCTIONS = [
  registerServe, registerDev, registerConfig, registerContract, registerVersion, registerDrain, registerStatus,
  registerExplain, registerBench, registerStandIn
]

/** Parses the arguments and runs the command. */
export async function run (argv: string[], formats: CommandFormats): Promise<void> {
  const program = sade('lacewingstage').version(PROGRAM_VERSION)
  for (const register of REGISTER_FUNCTIONS) register(program, formats)
  program.parse(argv)
}
