import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { createReadPace, type PacedReading, type ReadPace } from '../../src/core/resource-limits/index.ts'

interface Sender { reading: PacedReading, reads: number }

interface PaceWorld {
  clock: ManualClock
  pace: ReadPace
  senders: Sender[]
  stepsPerRead: number
  sound: Sender
  /** Those that may be read, in the order in which they were resumed. */
  readable: Set<Sender>
  turns: (() => void)[]
}

function openSender ({ pace, readable }: PaceWorld): Sender {
  const sender: Sender = { reading: undefined as never, reads: 0 }
  readable.add(sender)
  sender.reading = pace.open({ pause () { readable.delete(sender) }, resume () { readable.add(sender) } })
  return sender
}

/** One turn of the event loop: each connection that is not paused is read once. Returns the steps of the turn. */
function runTurn ({ readable, sound, stepsPerRead, turns }: PaceWorld): number {
  let steps = 0
  for (const sender of [...readable]) {
    if (sender === sound || !readable.has(sender)) continue
    sender.reads++
    steps += stepsPerRead
    sender.reading.count(stepsPerRead)
  }
  for (const run of turns.splice(0)) run()
  return steps
}

/** Runs turns of 1 ms for a time; returns their steps. */
async function runFor (world: PaceWorld, ms: number): Promise<number> {
  let steps = 0
  for (let passedMs = 0; passedMs < ms; passedMs++) {
    await world.clock.advance(1)
    steps += runTurn(world)
  }
  return steps
}

Given(/^(\d+) connections that bring (\d+) steps (?:at each read|in each turn)$/, async function (this: PaceWorld, count: string, steps: string) {
  this.clock = createManualClock()
  this.turns = []
  this.readable = new Set()
  this.pace = createReadPace({ clock: this.clock, afterTurn: run => { this.turns.push(run) } })
  this.stepsPerRead = Number(steps)
  this.senders = Array.from({ length: Number(count) }, () => openSender(this))
  // All become readable at once.
  for (let turn = 0; turn < Number(count); turn++) runTurn(this)
})

When(/^a connection brings (\d+) steps once$/, function (this: PaceWorld, steps: string) {
  this.sound = openSender(this)
  this.sound.reading.count(Number(steps))
  for (const run of this.turns.splice(0)) run()
  assert.ok(!this.readable.has(this.sound))
})

Then(/^it is read again after at most (\d+) ms$/, async function (this: PaceWorld, maxMs: string) {
  await runFor(this, Number(maxMs))
  assert.ok(this.readable.has(this.sound))
})

Then(/^the (\d+) connections bring at most (\d+) steps in the next (\d+) s$/, async function (this: PaceWorld, _count: string, maxSteps: string, seconds: string) {
  const steps = await runFor(this, 1000 * Number(seconds))
  assert.ok(steps <= Number(maxSteps), `${steps} steps`)
})

Then(/^each is read in (\d+) of (\d+) turns at least, and no turn brings more than (\d+) steps$/, function (this: PaceWorld, minReads: string, turns: string, maxSteps: string) {
  const before = this.senders.map(({ reads }) => reads)
  for (let turn = 0; turn < Number(turns); turn++) assert.ok(runTurn(this) <= Number(maxSteps))
  const fewest = Math.min(...this.senders.map(({ reads }, index) => reads - before[index]!))
  assert.ok(fewest >= Number(minReads), `${fewest} reads`)
})
