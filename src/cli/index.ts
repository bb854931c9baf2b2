/** Command line of lacewingstage: declares the commands and turns errors into messages and exit codes. */
import sade from 'sade'

const VERSION = '0.1.0'

/** Parses the arguments and runs the command. */
export async function run (argv: string[]): Promise<void> {
  const program = sade('lacewingstage').version(VERSION)
  program.parse(argv)
}
