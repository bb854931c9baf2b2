/** Entry point of the command line program. */
import 'reflect-metadata'
import { run } from './cli/index.ts'

void run(process.argv)
