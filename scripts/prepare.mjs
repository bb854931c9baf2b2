/**
 * Runs before start, test, bench and capacity: installs the locked dependencies when they are missing and rebuilds
 * the bundle, so that the documented commands work on a fresh clone.
 */
import { execFileSync } from 'node:child_process'
import { existsSync } from 'node:fs'

if (!existsSync('node_modules/.package-lock.json')) {
  execFileSync('npm', ['ci'], { stdio: 'inherit' })
}
execFileSync(process.execPath, ['scripts/build.mjs'], { stdio: 'inherit' })
