import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type Clock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type BootId, type DataCentreId, type RegionId, type VmId } from '../../src/core/ids/index.ts'
import { createLeaderLease, type LeaderLease } from '../../src/core/lease/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import type { ObjectApi } from '../../src/core/object-api/types.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createJumpingClock, type JumpingClock } from '../support/jumping-clock.ts'
import { createMemoryObjectApi, type MemoryObjectApi, type WriteFault } from '../support/memory-object-api.ts'

const DATA_CENTRE = brandId<DataCentreId>('bag-a')
const OTHER_DATA_CENTRE = brandId<DataCentreId>('bag-b')
const STEP_MS = 25

interface Candidate {
  lease: LeaderLease
  notifications: string[]
  preferred: boolean
  started: boolean
  /** A paused process runs no timers, but its monotonic clock continues. */
  pause: (paused: boolean) => void
}

interface LeaseWorld {
  clock: ManualClock
  api: MemoryObjectApi
  candidates: Record<string, Candidate>
  /** Holders after each step of the clock. */
  history: { atMs: number, holders: string[] }[]
  renewalSentAt: number
  /** Violations of the rule that a lease has one holder at most, by the reading at which the holder was paused. */
  doubleHolders: string[]
  pausedRuns: number
  takeovers: number
}

function pausableClock (clock: ManualClock): { clock: Clock, pause: (paused: boolean) => void } {
  let paused = false
  const deferred: (() => void)[] = []
  const deferWhilePaused = (run: () => void) => () => {
    if (paused) deferred.push(run)
    else run()
  }
  return {
    clock: { ...clock, every: (ms, run) => clock.every(ms, deferWhilePaused(run)), after: (ms, run) => clock.after(ms, deferWhilePaused(run)) },
    pause (value) {
      paused = value
      if (!paused) for (const run of deferred.splice(0)) run()
    }
  }
}

interface ProcessClock { clock: Clock, pause: (paused: boolean) => void, api: ObjectApi }

function addCandidate (world: LeaseWorld, vm: string, dataCentre = DATA_CENTRE, process: ProcessClock = { ...pausableClock(world.clock), api: world.api }): void {
  const { clock, pause, api } = process
  const identity = { vm: brandId<VmId>(vm), boot: brandId<BootId>('boot'), region: brandId<RegionId>('bagmati'), dataCentre }
  const candidate: Candidate = {
    notifications: [],
    preferred: dataCentre === DATA_CENTRE,
    started: false,
    pause,
    lease: createLeaderLease({
      objectApi: api,
      identity,
      dataCentres: () => [DATA_CENTRE],
      observePeriodMs: () => 500,
      isPreferred: centre => centre === DATA_CENTRE && candidate.preferred,
      clock,
      metrics: createMetrics(),
      log: silentLog
    })
  }
  candidate.lease.onAcquired((_, epoch) => candidate.notifications.push(`acquired ${epoch}`))
  candidate.lease.onLost(() => candidate.notifications.push('lost'))
  world.candidates[vm] = candidate
}

function createLeaseWorld (world: LeaseWorld): void {
  world.clock = createManualClock()
  world.api = createMemoryObjectApi({ clock: world.clock })
  world.candidates = {}
  world.history = []
}

/** Returns the candidates whose `isHeld` is true, which a leader checks before each action. */
function holders ({ candidates }: LeaseWorld): string[] {
  return Object.entries(candidates).filter(([, { lease }]) => lease.isHeld(DATA_CENTRE)).map(([vm]) => vm)
}

async function run (world: LeaseWorld, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += STEP_MS) {
    await world.clock.advance(STEP_MS)
    const current = holders(world)
    assert.ok(current.length <= 1, `two holders at ${world.clock.now()} ms`)
    world.history.push({ atMs: world.clock.now(), holders: current })
  }
}

function startCandidates ({ candidates }: LeaseWorld): void {
  for (const candidate of Object.values(candidates)) {
    if (!candidate.started) candidate.lease.start()
    candidate.started = true
  }
}

Given('lease candidates a and b', function (this: LeaseWorld) {
  createLeaseWorld(this)
  addCandidate(this, 'a')
  addCandidate(this, 'b')
})

Given('lease candidates a and b, and b in another data centre', function (this: LeaseWorld) {
  createLeaseWorld(this)
  addCandidate(this, 'a')
  addCandidate(this, 'b', OTHER_DATA_CENTRE)
})

Given('the lease candidates ran for {int} ms', async function (this: LeaseWorld, ms: number) {
  startCandidates(this)
  await run(this, ms)
  assert.deepEqual(holders(this), ['a'])
})

Given('the lease acquisition of a meets a lost answer', function (this: LeaseWorld) {
  this.api.failNextWrite('lost answer')
})

When('the lease candidates run for {int} ms', async function (this: LeaseWorld, ms: number) {
  startCandidates(this)
  await run(this, ms)
})

When('the lease holder a is paused for {int} ms', async function (this: LeaseWorld, ms: number) {
  this.candidates.a!.pause(true)
  await run(this, ms)
  this.candidates.a!.pause(false)
  await run(this, STEP_MS)
})

Then('the lease had no holder for at least {int} ms before b acquired it', function (this: LeaseWorld, ms: number) {
  const acquiredAt = this.history.find(entry => entry.holders[0] === 'b')!.atMs
  const lastHeldByA = this.history.findLast(entry => entry.holders[0] === 'a')!.atMs
  assert.ok(acquiredAt - lastHeldByA >= ms, `only ${acquiredAt - lastHeldByA} ms`)
})

const WRITE_FAULTS: Record<string, WriteFault> = {
  'a lost answer': 'lost answer', 'a write that lands later': 'delayed write', 'a lost request': 'lost write', 'a slow answer': 'slow answer'
}

When(/^the lease renewal of a meets (a lost answer|a write that lands later|a lost request|a slow answer)$/, async function (this: LeaseWorld, fault: string) {
  this.api.failNextWrite(WRITE_FAULTS[fault]!)
  await run(this, 2200)
  // Performs the delayed write while the next renewal with the same precondition is in flight.
  this.api.performDelayed()
})

When('the object API of the lease is down for {int} ms', async function (this: LeaseWorld, ms: number) {
  this.api.state.down = true
  await run(this, ms)
  assert.deepEqual(holders(this), [])
  this.api.state.down = false
})

async function runUntilWrite (world: LeaseWorld): Promise<void> {
  const { writes } = world.api.state
  while (world.api.state.writes === writes) await run(world, STEP_MS)
}

When('the lease renewal of a meets {} and the object API then goes down', async function (this: LeaseWorld, fault: string) {
  const isLate = fault === 'a write that takes effect before the next attempt'
  this.api.failNextWrite(isLate ? 'delayed write' : 'slow answer')
  await runUntilWrite(this)
  this.renewalSentAt = this.clock.now()
  if (isLate) {
    await run(this, 200)
    this.api.performDelayed()
    await runUntilWrite(this)
  }
  this.api.state.down = true
  await run(this, 10_000)
})

Then('the lease of a ends {int} ms after this renewal was sent', function (this: LeaseWorld, ms: number) {
  const lastHeldByA = this.history.findLast(entry => entry.holders[0] === 'a')!.atMs
  const heldFor = lastHeldByA - this.renewalSentAt
  assert.ok(heldFor <= ms && heldFor >= ms - 2 * STEP_MS - 125, `held for ${heldFor} ms`)
})

When('the lease holder a shuts down', async function (this: LeaseWorld) {
  await this.candidates.a!.lease.release()
})

When('the lease holder a shuts down and b becomes preferred', async function (this: LeaseWorld) {
  await this.candidates.a!.lease.release()
  this.candidates.a!.preferred = false
  this.candidates.b!.preferred = true
})

When('the lease candidate a starts again and b stops being preferred', function (this: LeaseWorld) {
  addCandidate(this, 'a')
  this.candidates.b!.preferred = false
  startCandidates(this)
})

When('the lease holder a observes epoch {int}', function (this: LeaseWorld, epoch: number) {
  this.candidates.a!.lease.observe({ dataCentre: DATA_CENTRE, holder: brandId<VmId>('c'), epoch })
})

Then('the lease is held by {word} alone with epoch {int}', function (this: LeaseWorld, vm: string, epoch: number) {
  assert.deepEqual(holders(this), [vm])
  assert.equal(this.candidates[vm]!.lease.heldEpoch(DATA_CENTRE), epoch)
})

Then('the lease has one holder with epoch {int}', function (this: LeaseWorld, epoch: number) {
  const [holder, ...others] = holders(this)
  assert.equal(others.length, 0)
  assert.equal(this.candidates[holder!]!.lease.heldEpoch(DATA_CENTRE), epoch)
})

Then('the lease has no holder', function (this: LeaseWorld) {
  assert.deepEqual(holders(this), [])
})

Then('the lease listeners of a received {string}', function (this: LeaseWorld, expected: string) {
  assert.equal(this.candidates.a!.notifications.join(', '), expected)
})

Then('the lease candidate a keeps epoch {int} after an older announcement', function (this: LeaseWorld, epoch: number) {
  const { lease } = this.candidates.a!
  lease.observe({ dataCentre: DATA_CENTRE, holder: brandId<VmId>('old'), epoch: epoch - 1 })
  assert.equal(lease.leader(DATA_CENTRE)!.epoch, epoch)
})

Given('the lease candidate b is not preferred', function (this: LeaseWorld) {
  this.candidates.b!.preferred = false
})

Then('the lease candidate b has a as leader and has read the object API at least {int} times', function (this: LeaseWorld, reads: number) {
  assert.equal(this.candidates.b!.lease.leader(DATA_CENTRE)!.holder, 'a')
  // Candidate a renews by writes and reads only once, before it acquires the lease.
  assert.ok(this.api.state.reads - 1 >= reads, `${this.api.state.reads - 1} reads`)
})

/** Calls of a process that is ahead of the world are sent, and their answers read, when the world has caught up. */
function callsOf ({ api }: LeaseWorld, process: JumpingClock): ObjectApi {
  const inOrder = async <Result> (call: () => Promise<Result>): Promise<Result> => {
    await process.caughtUp()
    const outcome = await call().then(result => () => result, (error: unknown) => () => { throw error })
    await process.caughtUp()
    return outcome()
  }
  return {
    ...api,
    get: (kind, name) => inOrder(() => api.get(kind, name)),
    create: (kind, name, spec) => inOrder(() => api.create(kind, name, spec)),
    update: (kind, name, spec, version) => inOrder(() => api.update(kind, name, spec, version))
  }
}

/** Returns whether the candidate has been paused. */
async function runWithPause (world: LeaseWorld, atReading: number, { pauseMs, runMs, isMonotonicStopped }: { pauseMs: number, runMs: number, isMonotonicStopped: boolean }): Promise<boolean> {
  createLeaseWorld(world)
  const process = createJumpingClock({ world: world.clock, atReading, pauseMs, isMonotonicStopped })
  addCandidate(world, 'a', DATA_CENTRE, { clock: process.clock, pause () {}, api: callsOf(world, process) })
  startCandidates(world)
  await world.clock.advance(JUMP_STEP_MS)
  addCandidate(world, 'b')
  startCandidates(world)
  const isHeld = (vm: string) => process.uncounted(() => world.candidates[vm]!.lease.isHeld(DATA_CENTRE))
  let heldByA = false
  let heldByB = false
  let doubleMs = 0
  for (let ms = 0; ms < (process.hasJumped() ? runMs + pauseMs : runMs); ms += JUMP_STEP_MS) {
    await world.clock.advance(JUMP_STEP_MS)
    heldByA ||= isHeld('a')
    heldByB ||= heldByA && isHeld('b')
    if (!process.isAhead() && isHeld('a') && isHeld('b')) doubleMs += JUMP_STEP_MS
  }
  if (doubleMs > 0) world.doubleHolders.push(`reading ${atReading}: ${doubleMs} ms`)
  if (heldByB) world.takeovers++
  return process.hasJumped()
}

const JUMP_STEP_MS = 125

When(/^a lease candidate is paused for (\d+) ms at each of its readings of the clock in (\d+) ms, which (runs|stops) meanwhile$/, { timeout: 60_000 }, async function (this: LeaseWorld, pauseMs: string, runMs: string, clock: string) {
  Object.assign(this, { doubleHolders: [], pausedRuns: 0, takeovers: 0 })
  const options = { pauseMs: Number(pauseMs), runMs: Number(runMs), isMonotonicStopped: clock === 'stops' }
  while (await runWithPause(this, this.pausedRuns + 1, options)) this.pausedRuns++
})

Then('the lease had one holder at most at any time, and it passed from a to b in most of the runs', function (this: LeaseWorld) {
  assert.deepEqual(this.doubleHolders, [])
  assert.ok(this.pausedRuns > 100, `${this.pausedRuns} runs`)
  assert.ok(this.takeovers > this.pausedRuns / 2, `${this.takeovers} takeovers in ${this.pausedRuns} runs`)
})
