import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { playCrashWorld, type Heads, type Trouble } from '../support/crash-world.ts'

interface CrashWorlds { broken: string[] }

When(/^the seeded fleets (\d+) to (\d+) have (.*) and heads that come (.*)$/, { timeout: 120_000 }, async function (this: CrashWorlds, first: string, last: string, trouble: Trouble, heads: Heads) {
  this.broken = []
  for (let seed = Number(first); seed <= Number(last); seed++) {
    const { brokenRules } = await playCrashWorld({ seed, heads, trouble })
    for (const rule of brokenRules) this.broken.push(`seed ${seed}: ${rule}`)
  }
})

Then('each of them stops the deadly requests and serves the sound ones', function (this: CrashWorlds) {
  assert.deepEqual(this.broken, [])
})
