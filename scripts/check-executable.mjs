/** Starts a fleet from the built executable, serves the sample requests once and fails when that fails. */
import { execFileSync } from 'node:child_process'

execFileSync('dist/lacewingstage', ['dev', '--once', '--port-base', '0'], { stdio: 'inherit' })
