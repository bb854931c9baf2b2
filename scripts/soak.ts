/** Runs the soak with many seeds: `node --import tsx scripts/soak.ts FIRST COUNT [VMS] [evidence]`. With `evidence`,
 * deadly prompt parts and named limits are added. Exits with 1 if a promise was broken. */
import { runSoak } from '../platform/tests/soak/soak.ts'

const [first = 1, count = 50, vms = 3] = process.argv.slice(2, 5).map(Number)
const withEvidence = process.argv[5] === 'evidence'
let brokenSeeds = 0
for (let seed = first; seed < first + count; seed++) {
  const { broken, requests, statuses, servedAfterRecovery, faults } = await runSoak({ seed, vms, withEvidence })
  if (broken.length > 0) brokenSeeds++
  console.log(`seed ${seed}: ${requests} requests, statuses ${JSON.stringify(statuses)}, ${Math.round(100 * servedAfterRecovery)} % served after the recovery, ${broken.length} broken`)
  if (broken.length > 0) console.log([...broken.slice(0, 10), `faults: ${faults.join(', ')}`].map(line => `  ${line}`).join('\n'))
}
console.log(`${count - brokenSeeds} passed, ${brokenSeeds} failed`)
process.exit(brokenSeeds > 0 ? 1 : 0)
