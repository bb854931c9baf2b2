import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { createManualClock, longestElapsedMs, type ManualClock } from '../../src/core/clock/index.ts'
import { PeerError } from '../../src/core/errors/index.ts'
import { createFeedRelay, type FeedPoll, type FeedPollResponse, type FeedRelay } from '../../src/core/feed-relay/index.ts'
import { chooseRelays } from '../../src/core/feed-relay/relay-choice.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { ObjectStore } from '../../src/core/object-feed/index.ts'
import { createJumpingClock, type JumpingClock } from '../support/jumping-clock.ts'
import { placeVm, placeVms } from '../support/vms.ts'

const KIND = 'things'
const VM_KIND = 'vms'
const STORE_DELAY_MS = 5
const REVISION = { era: 1, number: 1 }
const VMS = placeVms(['vm-0', 'vm-1', 'vm-2'].map(name => brandId<VmId>(name)))
const FOLLOWER = VMS.find(placed => !chooseRelays(VMS, placed).isRoot)!
const FOLLOWED = chooseRelays(VMS, FOLLOWER).sources[0]!

interface PauseOptions { paused: VmId, pauseMs: number, runMs: number, isMonotonicStopped: boolean }

interface RelayPauseWorld {
  pausedRuns: number
  confirmations: number
  /** Confirmations that are newer than the latest call that the store answered, by the reading at which the VM was paused. */
  tooNew: string[]
}

interface Fleet {
  world: ManualClock
  processes: Map<VmId, JumpingClock>
  relays: Map<VmId, FeedRelay>
  /** Time of the world at which the latest call of each VM that the store answered was sent. */
  latestAnsweredMs: Map<VmId, number>
}

const latestAnsweredMs = (fleet: Fleet, vm: VmId) => fleet.latestAnsweredMs.get(vm) ?? -Infinity

/** The store confirms that nothing has changed. */
function storeOf (fleet: Fleet, vm: VmId, process: JumpingClock): Pick<ObjectStore, 'list' | 'watch' | 'get'> {
  const { world } = fleet
  const call = async <Result> (waitMs: number, result: Result): Promise<Result> => {
    await process.caughtUp()
    const sentMs = world.now()
    await world.sleep(waitMs + STORE_DELAY_MS)
    fleet.latestAnsweredMs.set(vm, Math.max(latestAnsweredMs(fleet, vm), sentMs))
    await process.caughtUp()
    return result
  }
  return {
    list: kind => call(0, { objects: kind === VM_KIND ? VMS.map(({ vm }) => ({ name: vm, revision: REVISION, spec: {}, status: undefined })) : [], revision: REVISION }),
    watch: (_kind, _after, waitMs) => call(waitMs, { changes: [], revision: REVISION }),
    get: () => call(0, undefined)
  }
}

function addVm (fleet: Fleet, vm: VmId, process: JumpingClock, onConfirmed: (wallMs: number) => void): void {
  const { clock } = process
  const { world } = fleet

  async function respond (poll: FeedPoll): Promise<FeedPollResponse> {
    const target = fleet.processes.get(FOLLOWED)!
    await target.caughtUp()
    const response = await fleet.relays.get(FOLLOWED)!.answerPoll(poll)
    await target.caughtUp()
    return response
  }

  const relay = createFeedRelay({
    self: placeVm(vm),
    store: storeOf(fleet, vm, process),
    relistMs: 5000,
    confirmationKind: KIND,
    vmKind: VM_KIND,
    liveVms: () => VMS,
    async poll (to, poll, timeoutMs) {
      if (to !== FOLLOWED) throw new PeerError('peer_unreachable')
      await process.caughtUp()
      const timeout = world.sleep(timeoutMs).then(() => { throw new PeerError('peer_timeout') })
      const response = await Promise.race([respond(poll), timeout])
      await process.caughtUp()
      return response
    },
    clock,
    log: silentLog,
    metrics: createMetrics(),
    random: () => 0.5
  })
  fleet.relays.set(vm, relay)
  relay.follow({ kind: VM_KIND, waitMs: 1000, onSnapshot () {}, onChange () {} })
  relay.follow({ kind: KIND, waitMs: 300, onSnapshot () {}, onChange () {}, onConfirmed (sent) { process.uncounted(() => onConfirmed(clock.wallMs() - longestElapsedMs(clock, sent))) } })
  relay.start()
}

/** Returns whether the VM has been paused. */
async function runWithPause (record: RelayPauseWorld, atReading: number, { paused, pauseMs, runMs, isMonotonicStopped }: PauseOptions): Promise<boolean> {
  const world = createManualClock({ startMs: 100_000, wallStartMs: 100_000 })
  const fleet: Fleet = { world, processes: new Map(), relays: new Map(), latestAnsweredMs: new Map() }
  for (const { vm } of VMS) {
    const process = createJumpingClock({ world, atReading: vm === paused ? atReading : Infinity, pauseMs, isMonotonicStopped })
    fleet.processes.set(vm, process)
    addVm(fleet, vm, process, wallMs => {
      record.confirmations++
      const sources = vm === FOLLOWER.vm ? [vm, FOLLOWED] : [vm]
      const boundMs = Math.max(...sources.map(source => latestAnsweredMs(fleet, source)))
      if (wallMs > boundMs) record.tooNew.push(`reading ${atReading}: ${vm} by ${wallMs - boundMs} ms`)
    })
  }
  const process = fleet.processes.get(paused)!
  await world.advance(runMs)
  const hasJumped = process.hasJumped()
  if (hasJumped) await world.advance(pauseMs + runMs / 2)
  for (const relay of fleet.relays.values()) relay.stop()
  return hasJumped
}

When(/^a (relay|VM that polls it) is paused for (\d+) ms at each of its readings of the clock in (\d+) ms, which (runs|stops) meanwhile$/, { timeout: 120_000 }, async function (this: RelayPauseWorld, role: string, pauseMs: string, runMs: string, clock: string) {
  Object.assign(this, { pausedRuns: 0, confirmations: 0, tooNew: [] })
  const options = { paused: role === 'relay' ? FOLLOWED : FOLLOWER.vm, pauseMs: Number(pauseMs), runMs: Number(runMs), isMonotonicStopped: clock === 'stops' }
  while (await runWithPause(this, this.pausedRuns + 1, options)) this.pausedRuns++
})

Then('no VM takes a confirmation of the store for newer than the latest call behind it that the store has answered', function (this: RelayPauseWorld) {
  assert.ok(this.pausedRuns > 30 && this.confirmations > 10 * this.pausedRuns, `${this.pausedRuns} runs, ${this.confirmations} confirmations`)
  assert.deepEqual(this.tooNew, [])
})
