import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createManualClock, systemClock } from '../../src/core/clock/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createObjectFeed, createRetryTurns, type ObjectFeed, type ObjectSource } from '../../src/core/object-feed/index.ts'
import { ObjectApiError } from '../../src/core/errors/index.ts'
import { createMemoryStore, type MemoryStore } from '../support/memory-store.ts'

interface FeedWorld {
  store: MemoryStore
  feed: ObjectFeed
  names: Set<string>
  recoveries: number
  confirmationsMs: number[]
  listsFailFromMs: number
  listsBefore: number
}

const KIND = 'things'
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

After({ tags: '@object-feed' }, function (this: Partial<FeedWorld>) { this.feed?.stop() })

Given(/^a feed of a kind with the objects (.*)$/, async function (this: FeedWorld, names: string) {
  this.store = createMemoryStore()
  for (const name of names.split(', ')) this.store.put(KIND, name, {})
  Object.assign(this, { names: new Set(), recoveries: 0, confirmationsMs: [] })
  this.feed = createObjectFeed({
    kind: KIND,
    source: this.store,
    waitMs: 100,
    relistMs: 250,
    onSnapshot: objects => { this.names = new Set(objects.map(({ name }) => name)) },
    onChange: ({ object, deleted }) => { if (deleted) this.names.delete(object.name); else this.names.add(object.name) },
    onStoreRecovered: () => { this.recoveries++ },
    onConfirmed: ({ monotonicMs }) => { this.confirmationsMs.push(monotonicMs) },
    clock: systemClock,
    log: silentLog,
    metrics: createMetrics(),
    random: () => 0.5
  })
  this.feed.start()
  await sleep(20)
})

When(/^the objects b, c are stored and a is removed$/, async function (this: FeedWorld) {
  this.store.put(KIND, 'b', {})
  this.store.put(KIND, 'c', {})
  this.store.remove(KIND, 'a')
  await sleep(20)
})

When('two feeds of one VM start during an outage of 50 ms', async function (this: FeedWorld) {
  const shared = { waitMs: 100, relistMs: 1000, clock: systemClock, log: silentLog, metrics: createMetrics(), random: () => 0.5 }
  const retryTurns = createRetryTurns(shared)
  retryTurns.recordUnknown()
  this.feed.stop()
  this.store.setDown(true)
  const feeds = ['orders', 'rollouts'].map(kind => createObjectFeed({
    ...shared, kind, source: this.store, retryTurns, onSnapshot () {}, onChange () {}, onStoreRecovered: () => { this.recoveries++ }
  }))
  for (const feed of feeds) feed.start()
  await sleep(50)
  this.store.setDown(false)
  await sleep(300)
  for (const feed of feeds) feed.stop()
})

Then('both have reported the recovery of the store, and listed their kinds with 3 calls', function (this: FeedWorld) {
  assert.equal(this.recoveries, 2)
  assert.equal(this.store.calls.filter(call => /^list (orders|rollouts)$/.test(call)).length, 3)
})

When('polls return no changes while b is stored', async function (this: FeedWorld) {
  this.store.setChangesHidden(true)
  this.store.put(KIND, 'b', {})
  await sleep(110)
})

When('the history is dropped', async function (this: FeedWorld) {
  this.store.setChangesHidden(false)
  this.store.dropHistory()
  await sleep(30)
})

When('polls return changes again', async function (this: FeedWorld) {
  this.store.setChangesHidden(false)
  await sleep(110)
})

When('the store is unavailable while b is stored and a is removed', async function (this: FeedWorld) {
  this.store.setDown(true)
  this.store.put(KIND, 'b', {})
  this.store.remove(KIND, 'a')
  await sleep(150)
  this.store.setDown(false)
  await sleep(900)
})

When('the history is dropped while lists fail', async function (this: FeedWorld) {
  const { list } = this.store
  this.store.setChangesHidden(true)
  this.store.put(KIND, 'b', {})
  this.store.list = async () => { throw new ObjectApiError('object_api_unavailable') }
  this.store.dropHistory()
  this.store.setChangesHidden(false)
  await sleep(10)
  this.listsFailFromMs = systemClock.now()
  await sleep(220)
  this.store.list = list
})

When(/^lists are from before the objects b, c for (\d+) ms$/, async function (this: FeedWorld, ms: string) {
  const { list } = this.store
  const older = await list(KIND)
  this.store.put(KIND, 'b', {})
  this.store.put(KIND, 'c', {})
  await sleep(50)
  this.listsBefore = this.store.calls.length
  this.store.list = async kind => {
    await list(kind)
    await sleep(1)
    return older
  }
  await sleep(Number(ms))
  this.store.list = list
})

Then(/^the feed has listed at most (\d+) times meanwhile$/, function (this: FeedWorld, times: string) {
  const lists = this.store.calls.slice(this.listsBefore).filter(call => call === `list ${KIND}`).length
  assert.ok(lists > 0 && lists <= Number(times), `${lists} times`)
})

When(/^(\d+) ms pass in the feed$/, async (ms: string) => { await sleep(Number(ms)) })

Then(/^the feed knows (.*)$/, function (this: FeedWorld, names: string) {
  assert.deepEqual([...this.names].sort(), names.split(', '))
})

Then('the feed has reported the recovery of the store once', function (this: FeedWorld) { assert.equal(this.recoveries, 1) })

Then('no response since then counts as a confirmation', function (this: FeedWorld) {
  assert.ok(this.confirmationsMs.every(atMs => atMs < this.listsFailFromMs))
})

Then(/^the feed has listed at least (\d+) times$/, function (this: FeedWorld, times: string) {
  assert.ok(this.store.calls.filter(call => call === `list ${KIND}`).length >= Number(times))
})

interface ListedWorld { source: ObjectSource, applied: string[] }

const objectAt = (text: string) => {
  const [name, number] = text.split(' at ') as [string, string]
  return { name, revision: { era: 0, number: Number(number) }, spec: {}, status: undefined }
}

Given(/^a store whose list holds a at revision (\d+) and is complete up to revision (\d+)$/, function (this: ListedWorld, listed: string, complete: string) {
  this.source = {
    list: async () => ({ objects: [objectAt(`a at ${listed}`)], revision: { era: 0, number: Number(complete) } }),
    watch: async () => undefined
  }
})

When(/^a feed reads the changes (.*)$/, async function (this: ListedWorld, changes: string) {
  this.applied = []
  const batch = { changes: changes.split(', ').map(text => ({ object: objectAt(text), deleted: false })), revision: { era: 0, number: 13 } }
  const clock = createManualClock()
  this.source.watch = async () => {
    await clock.sleep(10)
    return batch
  }
  const feed = createObjectFeed({
    kind: KIND,
    source: this.source,
    waitMs: 100,
    relistMs: 250,
    onSnapshot () {},
    onChange: ({ object }) => { this.applied.push(`${object.name} at ${object.revision.number}`) },
    clock,
    log: silentLog,
    metrics: createMetrics(),
    random: () => 0
  })
  feed.start()
  await clock.advance(15)
  feed.stop()
})

Then(/^it has applied (.*)$/, function (this: ListedWorld, expected: string) { assert.equal(this.applied.join(', '), expected) })
