/** Runs `dev --once` from the built executable; fails when the fleet does not start or a sample request returns an unexpected status. */
import { execFileSync } from 'node:child_process'

execFileSync('dist/lacewingstage', ['dev', '--once', '--port-base', '0'], { stdio: 'inherit' })
