/**
 * Runs the cucumber suite and prints `N passed, N failed` at the end. Scenarios listed in KNOWN-RED.txt (one
 * `scenario: NAME` line each) are run, and their failures are printed but do not fail the run.
 * Arguments are passed to cucumber.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs'

const REPORT = 'dist/cucumber.ndjson'
const CUCUMBER = 'node_modules/@cucumber/cucumber/bin/cucumber.js'

function readKnownFailures () {
  if (!existsSync('KNOWN-RED.txt')) return new Set()
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  const entries = lines.filter(line => line.startsWith('scenario:'))
  return new Set(entries.map(line => line.slice('scenario:'.length).trim()))
}

function readResults () {
  const names = new Map()
  const scenarioOfTestCase = new Map()
  const testCaseOfAttempt = new Map()
  const failed = new Map()
  if (!existsSync(REPORT)) return []
  const lines = readFileSync(REPORT, 'utf8').split('\n').filter(Boolean)
  for (const line of lines) {
    const { pickle, testCase, testCaseStarted, testStepFinished } = JSON.parse(line)
    if (pickle) names.set(pickle.id, pickle.name)
    if (testCase) scenarioOfTestCase.set(testCase.id, testCase.pickleId)
    if (testCaseStarted) {
      testCaseOfAttempt.set(testCaseStarted.id, testCaseStarted.testCaseId)
      failed.set(testCaseStarted.testCaseId, false)
    }
    if (testStepFinished && testStepFinished.testStepResult.status !== 'PASSED') {
      failed.set(testCaseOfAttempt.get(testStepFinished.testCaseStartedId), true)
    }
  }
  return [...failed].map(([caseId, isFailed]) => ({ name: names.get(scenarioOfTestCase.get(caseId)), isFailed }))
}

mkdirSync('dist', { recursive: true })
// Removes the report of an earlier run, which would otherwise be read as the result of a run that crashed.
rmSync(REPORT, { force: true })
const args = [
  // --exit ends the run even when a failed scenario left a handle open.
  CUCUMBER, '--exit', 'features/**/*.feature', 'platform/tests/*.feature', '--import', 'features/**/*.ts', '--import', 'platform/tests/*.ts', '--format', 'progress', '--format', `message:${REPORT}`,
  ...process.argv.slice(2)
]
const env = { ...process.env, NODE_OPTIONS: '--import tsx' }
const run = spawnSync(process.execPath, args, { stdio: 'inherit', env })

const knownFailures = readKnownFailures()
const results = readResults()
const unexpected = results.filter(result => result.isFailed && !knownFailures.has(result.name))
const expected = results.filter(result => result.isFailed && knownFailures.has(result.name))
const passed = results.filter(result => !result.isFailed)
for (const { name } of expected) console.log(`known red: ${name}`)
console.log(`${passed.length} passed, ${unexpected.length} failed`)

const crashed = run.status !== 0 && unexpected.length === 0 && expected.length === 0
process.exitCode = unexpected.length > 0 || passed.length === 0 || crashed ? 1 : 0
