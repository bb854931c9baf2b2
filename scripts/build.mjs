/**
 * Bundles src/main.ts into dist/lacewingstage.cjs. --executable also packs the bundle and a copy of the running
 * Node.js into the single file dist/lacewingstage. --out FILE writes the bundle to FILE instead.
 */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs'
import { dirname } from 'node:path'
import { build } from 'esbuild'

const outIndex = process.argv.indexOf('--out')
const BUNDLE = outIndex === -1 ? 'dist/lacewingstage.cjs' : process.argv[outIndex + 1]
const EXECUTABLE = 'dist/lacewingstage'
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

mkdirSync(dirname(BUNDLE), { recursive: true })
await build({
  entryPoints: ['src/main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // The native addon of msgpackr is optional and cannot be loaded from a single-file executable.
  external: ['msgpackr-extract'],
  banner: { js: '#!/usr/bin/env node' },
  logLevel: 'warning'
})

if (process.argv.includes('--executable')) {
  const seaConfig = {
    main: BUNDLE,
    output: 'dist/sea.blob',
    disableExperimentalSEAWarning: true
  }
  writeFileSync('dist/sea.json', JSON.stringify(seaConfig))
  execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' })
  copyFileSync(process.execPath, EXECUTABLE)
  chmodSync(EXECUTABLE, 0o755)
  const postject = 'node_modules/postject/dist/cli.js'
  const args = [postject, EXECUTABLE, 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', SEA_FUSE]
  execFileSync(process.execPath, args, { stdio: 'inherit' })
}
