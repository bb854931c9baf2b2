import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createRolloutSimulation, GOOD_BEHAVIOUR, type Behaviour, type Simulation } from '../../src/bench/rollout-simulation.ts'
import type { Rollout } from '../../src/core/config/types.ts'
import { createSequentialTest, logLikelihoodRatio, upperRate } from '../../src/core/rollout/sequential-test.ts'
import { createRolloutController } from '../../src/core/rollout/index.ts'
import { emptyTally } from '../../src/core/rollout/tally.ts'
import { silentLog } from '../../src/core/logging/index.ts'

const SEED = 20261204

interface RolloutWorld { simulation: Simulation }

const BAD: Behaviour = { ...GOOD_BEHAVIOUR, failureShare: 0.2 }

const BEHAVIOURS: Record<string, (version: 'from' | 'to', atMs: number) => Behaviour> = {
  'fails one in five requests': version => version === 'to' ? BAD : GOOD_BEHAVIOUR,
  'fails one in five requests after 200 s': (version, atMs) => version === 'to' && atMs > 200_000 ? BAD : GOOD_BEHAVIOUR,
  'is three times as slow': version => version === 'to' ? { ...GOOD_BEHAVIOUR, firstTokenMs: 600 } : GOOD_BEHAVIOUR,
  'is rated 0.2 lower': version => version === 'to' ? { ...GOOD_BEHAVIOUR, rating: 0.65 } : GOOD_BEHAVIOUR,
  'is as good as the old one': () => GOOD_BEHAVIOUR,
  'fails together with the old one in the last stage': (_, atMs) => atMs > 270_000 && atMs < 330_000 ? BAD : GOOD_BEHAVIOUR,
  'fails as often as the old one in an outage': (_, atMs) => atMs % 200_000 > 150_000 ? { ...BAD, firstTokenMs: 900 } : GOOD_BEHAVIOUR
}

function reachedStage (simulation: Simulation, stage: number, applied: boolean): (rollout: Rollout) => boolean {
  return rollout => rollout.stage === stage && (rollout.appliedStage === stage) === applied && simulation.rollout().state === 'running'
}

function setRollout (simulation: Simulation, changes: Partial<Rollout>): void {
  simulation.config.set('Rollout', 'roll', { ...simulation.rollout(), ...changes })
}

function setVersion ({ config }: Simulation, name: string, changes: object): void {
  config.set('Version', name, { ...config.view.get('Version', name)!, ...changes })
}

Given(/^rollout of a version that (.+)$/, function (this: RolloutWorld, behaviour: string) {
  console.log(`rollout seed ${SEED}`)
  this.simulation = createRolloutSimulation({ seed: SEED, behaviour: BEHAVIOURS[behaviour]!, rollout: { stages: [0.05, 0.2, 0.5, 1] } })
})

When('rollout runs for up to {int} s', async function (this: RolloutWorld, seconds: number) {
  await this.simulation.run(seconds, rollout => ['done', 'rolled_back', 'paused'].includes(rollout.state))
})

When(/^rollout runs until (.+)$/, async function (this: RolloutWorld, moment: string) {
  const { simulation } = this
  const isStopped = (rollout: Rollout) => rollout.state === 'stopped'
  const untilStopped = moment === 'it is stopped' || moment.startsWith('only the old')
  await simulation.run(7200, untilStopped ? isStopped : reachedStage(simulation, 2, false))
  if (moment.startsWith('only the old')) setVersion(simulation, 'from', { weight: 1 })
  if (moment.includes('one version only')) setVersion(simulation, 'to', { weight: 0.5 })
})

When('rollout controller crashes and another VM takes over', function (this: RolloutWorld) {
  this.simulation.region.kill('vm-0')
  this.simulation.region.setMemberState('vm-0', 'dead')
  this.simulation.setController('vm-1')
})

/** The operator's write is stored after the controller has read the rollout and before the controller writes it. */
When(/^rollout operator (.+) while the controller decides$/, async function (this: RolloutWorld, change: string) {
  const { simulation } = this
  // Lets the controller write the weights of the stage first, so that the operator changes a stage in progress.
  await simulation.run(5)
  const changes: Record<string, () => void> = {
    'pauses it': () => setRollout(simulation, { state: 'paused' }),
    'pauses and resumes it': () => {
      setRollout(simulation, { state: 'paused' })
      setRollout(simulation, { state: 'running' })
    },
    'stops it': () => setRollout(simulation, { state: 'stopped', reason: 'operator' }),
    'sets the weight of the new version to 0.3': () => setVersion(simulation, 'to', { weight: 0.3 }),
    'withdraws the new version': () => setVersion(simulation, 'to', { state: 'withdrawn' }),
    'withdraws the old version and stops it': () => {
      setVersion(simulation, 'from', { state: 'withdrawn' })
      setRollout(simulation, { state: 'stopped', reason: 'operator' })
    }
  }
  const { change: write } = simulation.config
  let operatorWrote = false
  simulation.config.change = async request => {
    if (!operatorWrote) {
      operatorWrote = true
      changes[change]!()
    }
    return write(request)
  }
  await simulation.run(600, () => operatorWrote)
  assert.ok(operatorWrote, 'the controller did not write')
})

When('rollout controller loses its role between two writes', async function (this: RolloutWorld) {
  const { config, clock, metrics } = this.simulation
  this.simulation.setController('none')
  let writes = 0
  const controller = createRolloutController({
    config: { view: config.view, change: request => { writes++; return config.change(request) } },
    isController: () => writes < 1,
    outcomes: { total: () => undefined },
    clock,
    metrics,
    log: silentLog
  })
  await controller.tick()
})

Then('rollout has one version at the weight of stage 2 and records stage 1 as applied', function (this: RolloutWorld) {
  const { config, rollout } = this.simulation
  assert.deepEqual([config.view.get('Version', 'to')!.weight, config.view.get('Version', 'from')!.weight], [0.5, 0.8])
  assert.equal(rollout().appliedStage, 1)
})

Then(/^rollout state is "(\w+)"(?: because of "(\w+)")?$/, function (this: RolloutWorld, state: string, reason: string | undefined) {
  const rollout = this.simulation.rollout()
  assert.equal(rollout.state, state, `${rollout.reason}, stage ${rollout.stage}, seed ${SEED}`)
  if (reason) assert.ok(rollout.reason?.includes(reason), rollout.reason)
})

Then('rollout reverted a stage', function (this: RolloutWorld) {
  assert.ok(this.simulation.metrics.value('rollout_steps', 'went_back') >= 1)
})

Then(/^rollout weights are (\d) for the old version and (\d) for the (withdrawn new one|new one)$/, function (this: RolloutWorld, from: string, to: string, newVersion: string) {
  const { view } = this.simulation.config
  assert.equal(view.get('Version', 'from')!.weight, Number(from))
  assert.equal(view.get('Version', 'to')!.weight, Number(to))
  assert.equal(view.get('Version', 'to')!.state, newVersion.startsWith('withdrawn') ? 'withdrawn' : 'active')
})

Then('rollout evidence is not positive without a difference and grows with each event', function () {
  console.log(`rollout property seed ${SEED}`)
  const rate = fc.double({ min: 0.001, max: 0.9, noNaN: true })
  fc.assert(fc.property(fc.nat(500), fc.nat(500), rate.filter(value => value < 0.69), fc.double({ min: 0.01, max: 0.3, noNaN: true }), (events, nonEvents, baseline, rise) => {
    const trials = events + nonEvents
    const evidence = logLikelihoodRatio({ events, trials }, baseline, rise)
    assert.ok(logLikelihoodRatio({ events: events + 1, trials: trials + 1 }, baseline, rise) > evidence)
    assert.ok(logLikelihoodRatio({ events, trials: trials + 1 }, baseline, rise) < evidence)
    assert.ok(logLikelihoodRatio({ events: baseline * trials, trials }, baseline, rise) <= 1e-9)
    assert.ok(upperRate({ events, trials }) > 0 && upperRate({ events, trials }) <= 1)
  }), { seed: SEED })
})

/**
 * Returns a function that adds a period to a sequential test and returns whether the test then finds the new version
 * worse or suspect. In a period each version serves a number of requests and fails a share of them.
 */
function createPeriodTest (): (requests: number, failedFrom: number, failedTo: number) => boolean {
  const sequentialTest = createSequentialTest()
  const total = { from: emptyTally(), to: emptyTally() }
  return (requests, failedFrom, failedTo) => {
    total.from = { ...total.from, requests: total.from.requests + requests, failures: total.from.failures + requests * failedFrom }
    total.to = { ...total.to, requests: total.to.requests + requests, failures: total.to.failures + requests * failedTo }
    const { worse, suspect } = sequentialTest.update(structuredClone(total))
    return worse !== undefined || suspect !== undefined
  }
}

Then('rollout evidence stops within {int} requests a version that degrades after {int} good ones', function (limit: number, good: number) {
  const isWorse = createPeriodTest()
  for (let served = 0; served < good; served += 100) assert.equal(isWorse(100, 0.01, 0.01), false)
  let badRequests = 10
  while (!isWorse(10, 0.01, 0.2)) badRequests += 10
  assert.ok(badRequests <= limit, `stopped after ${badRequests} requests`)
})

Then('rollout evidence stays below the limit when both versions begin to fail nine in ten requests', function () {
  const isWorse = createPeriodTest()
  for (let period = 0; period < 200; period++) assert.equal(isWorse(20, 0.01, 0.01), false)
  for (let period = 0; period < 50; period++) assert.equal(isWorse(20, 0.9, 0.9), false, `period ${period}`)
})
