/** Runs the soak with many seeds: `node --import tsx scripts/soak.ts FIRST COUNT [VMS] [evidence|stops|upgrade|downgrade]`. With `evidence`,
 * deadly prompt parts and named limits are added; with `stops`, planned stops, reloads and configurations replace the other faults; with `upgrade` and `downgrade`,
 * all VMs are replaced meanwhile, from the version in production to this one or back. Exits with 1 if a promise was broken. */
import { writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { runSoak, type SoakOptions } from '../platform/tests/soak/soak.ts'

const [first = 1, count = 50, vms = 3] = process.argv.slice(2, 5).map(Number)
const MODES: Record<string, Partial<SoakOptions>> = { usual: {}, evidence: { withEvidence: true }, stops: { withStops: true }, upgrade: { upgrade: 'forwards' }, downgrade: { upgrade: 'back' } }
const mode = process.argv[5] ?? 'usual'
const options = MODES[mode]
if (!options) throw new Error(`unknown mode ${mode}; use one of ${Object.keys(MODES).join(', ')}`)
let brokenSeeds = 0
for (let seed = first; seed < first + count; seed++) {
  const { broken, requests, statuses, servedAfterRecovery, killed, longestPauseMs, vmLog, faults } = await runSoak({ seed, vms, ...options })
  if (broken.length > 0) brokenSeeds++
  console.log(`seed ${seed}: ${requests} requests, statuses ${JSON.stringify(statuses)}, ${Math.round(100 * servedAfterRecovery)} % served after the recovery, ${killed} killed, paused for up to ${longestPauseMs} ms, ${broken.length} broken`)
  if (broken.length === 0) continue
  const logPath = join(tmpdir(), `soak-${mode}-${seed}-${vms}-${process.pid}.log`)
  writeFileSync(logPath, vmLog)
  console.log([...broken.slice(0, 10), `faults: ${faults.join(', ')}`, `log of the VMs: ${logPath}`].map(line => `  ${line}`).join('\n'))
}
console.log(`${count - brokenSeeds} passed, ${brokenSeeds} failed`)
process.exit(brokenSeeds > 0 ? 1 : 0)
