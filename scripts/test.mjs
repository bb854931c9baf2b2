/**
 * Runs the cucumber suite and closes with `N passed, N failed`. Scenarios listed in KNOWN-RED.txt (one
 * `scenario: NAME` line each) are run and printed, and their failure does not fail the run.
 * Arguments are passed on to cucumber.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs'

const REPORT = 'dist/cucumber.ndjson'
const CUCUMBER = 'node_modules/@cucumber/cucumber/bin/cucumber.js'

function readKnownRed () {
  if (!existsSync('KNOWN-RED.txt')) return new Set()
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  const entries = lines.filter(line => line.startsWith('scenario:'))
  return new Set(entries.map(line => line.slice('scenario:'.length).trim()))
}

function readResults () {
  const names = new Map()
  const scenarioOfCase = new Map()
  const scenarioOfAttempt = new Map()
  const failed = new Map()
  if (!existsSync(REPORT)) return []
  const lines = readFileSync(REPORT, 'utf8').split('\n').filter(Boolean)
  for (const line of lines) {
    const { pickle, testCase, testCaseStarted, testStepFinished } = JSON.parse(line)
    if (pickle) names.set(pickle.id, pickle.name)
    if (testCase) scenarioOfCase.set(testCase.id, testCase.pickleId)
    if (testCaseStarted) {
      scenarioOfAttempt.set(testCaseStarted.id, testCaseStarted.testCaseId)
      failed.set(testCaseStarted.testCaseId, false)
    }
    if (testStepFinished && testStepFinished.testStepResult.status !== 'PASSED') {
      failed.set(scenarioOfAttempt.get(testStepFinished.testCaseStartedId), true)
    }
  }
  return [...failed].map(([caseId, red]) => ({ name: names.get(scenarioOfCase.get(caseId)), red }))
}

mkdirSync('dist', { recursive: true })
// The report of an earlier run must not stand for one that crashed.
rmSync(REPORT, { force: true })
const args = [
  // --exit: a handle that a failed scenario left open must not keep the run from ending.
  CUCUMBER, '--exit', 'features/**/*.feature', 'platform/tests/*.feature', '--import', 'features/**/*.ts', '--import', 'platform/tests/*.ts', '--format', 'progress', '--format', `message:${REPORT}`,
  ...process.argv.slice(2)
]
const env = { ...process.env, NODE_OPTIONS: '--import tsx' }
const run = spawnSync(process.execPath, args, { stdio: 'inherit', env })

const knownRed = readKnownRed()
const results = readResults()
const unexpected = results.filter(result => result.red && !knownRed.has(result.name))
const expected = results.filter(result => result.red && knownRed.has(result.name))
const passed = results.filter(result => !result.red)
for (const { name } of expected) console.log(`known red: ${name}`)
console.log(`${passed.length} passed, ${unexpected.length} failed`)

const crashed = run.status !== 0 && unexpected.length === 0 && expected.length === 0
process.exitCode = unexpected.length > 0 || passed.length === 0 || crashed ? 1 : 0
