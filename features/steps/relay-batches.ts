import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { createFeedRelay, type FeedPollResponse, type FeedRelay } from '../../src/core/feed-relay/index.ts'
import { MIN_HOLD_MS, POLL_HOLD_MS } from '../../src/core/feed-relay/constants.ts'
import { createReplica, type Replica } from '../../src/core/feed-relay/replica.ts'
import { chooseRelays } from '../../src/core/feed-relay/relay-choice.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { placeVm, placeVms } from '../support/vms.ts'

interface BatchWorld {
  clock: ManualClock
  relay: FeedRelay
  /** Answers the poll that the relay has open at its source. */
  answerSource(response: FeedPollResponse): void
  received: Set<string>
}

const VM_KIND = 'vms'
const CONFIRMATION_KIND = 'configurations'
const KIND = 'things'
const KINDS = [VM_KIND, CONFIRMATION_KIND, KIND]
const VMS = ['vm-0', 'vm-1', 'vm-2', 'vm-3', 'vm-4'].map(name => brandId<VmId>(name))
const RELAY = VMS.find(vm => !chooseRelays(placeVms(VMS), placeVm(vm)).isRoot)!
const FIRST = { era: 1, number: 1 }
const SECOND = { era: 1, number: 9 }
const thing = (name: string, number: number) => ({ name, revision: { era: 1, number }, spec: {}, status: undefined })
const objectsOf = (kind: string) => (kind === VM_KIND ? VMS : kind === KIND ? ['a'] : []).map(name => thing(name, 1))
/** Response with what changed in one kind, and nothing new in the others. */
const responseWith = (update: object): FeedPollResponse => ({
  heldMs: 0,
  kinds: Object.fromEntries(KINDS.map(kind => [kind, { revision: FIRST, ageMs: 0, ...kind === KIND && update }]))
})

After({ tags: '@feed-relay' }, function (this: Partial<BatchWorld>) { if (this.answerSource) this.relay?.stop() })

Given('a relay that follows another VM', async function (this: BatchWorld) {
  this.clock = createManualClock()
  this.received = new Set()
  this.relay = createFeedRelay({
    self: placeVm(RELAY),
    store: {
      list: async kind => ({ objects: objectsOf(kind), revision: FIRST }),
      watch: async () => await new Promise(() => {}),
      get: async () => undefined
    },
    relistMs: 60_000,
    confirmationKind: CONFIRMATION_KIND,
    vmKind: VM_KIND,
    liveVms: () => placeVms(VMS),
    poll: async (_to, { known }) => {
      const isFirst = known[KIND] === null
      if (isFirst) return { heldMs: 0, kinds: Object.fromEntries(KINDS.map(kind => [kind, { revision: FIRST, ageMs: 0, objects: objectsOf(kind) }])) }
      return await new Promise(resolve => { this.answerSource = resolve })
    },
    clock: this.clock,
    log: silentLog,
    metrics: createMetrics(),
    random: () => 0.5
  })
  for (const kind of KINDS) this.relay.follow({ kind, waitMs: 1000, onSnapshot () {}, onChange () {} })
  this.relay.start()
  await this.clock.advance(200)
})

When(/^its source answers with the removal of a and the objects (.*) at once, while a follower's poll is held$/, async function (this: BatchWorld, names: string) {
  const stored = names.split(', ').map((name, index) => ({ object: thing(name, 3 + index), deleted: false }))
  const changes = [{ object: thing('a', 2), deleted: true }, ...stored]
  const known = Object.fromEntries(KINDS.map(kind => [kind, FIRST]))
  const held = this.relay.answerPoll({ known, holdMs: POLL_HOLD_MS })
  await this.clock.advance(MIN_HOLD_MS + 10)
  this.answerSource(responseWith({ revision: SECOND, changes }))
  await this.clock.advance(POLL_HOLD_MS)
  const first = (await held).kinds![KIND]!
  const next = (await this.relay.answerPoll({ known: { ...known, [KIND]: first.revision }, holdMs: 0 })).kinds![KIND]!
  for (const { object } of [...first.changes ?? [], ...next.changes ?? []]) this.received.add(object.name)
})

Then(/^the follower has got the changes of (.*) with this poll and the next one$/, function (this: BatchWorld, names: string) {
  assert.deepEqual([...this.received].sort(), names.split(', '))
})

interface CopyWorld { copy: Replica }

Given(/^a relay's copy whose (first|later) list of revision 9 holds an object at 12$/, function (this: CopyWorld, which: string) {
  this.copy = createReplica({ kind: KIND, waitMs: 100, onSnapshot () {}, onChange () {} }, createManualClock())
  if (which === 'later') this.copy.applySnapshot([thing('a', 1)], SECOND)
  this.copy.applySnapshot([thing('a', 12)], SECOND)
})

When('the copy reads the change of that object at 12', function (this: CopyWorld) {
  this.copy.applyChange({ object: thing('a', 12), deleted: false }, { era: 1, number: 12 })
})

Then('a follower that has revision 9 gets the object at 12', function (this: CopyWorld) {
  const { objects, changes } = this.copy.updateSince(SECOND)!
  const sent = [...objects ?? [], ...(changes ?? []).map(({ object }) => object)]
  assert.deepEqual(sent.map(({ revision }) => revision.number), [12])
})
