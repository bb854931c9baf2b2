import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '../../src/core/clock/index.ts'
import { ObjectApiError, PeerError } from '../../src/core/errors/index.ts'
import { createFeedRelay, type FeedRelay } from '../../src/core/feed-relay/index.ts'
import { MAX_ROOT_FOLLOWERS } from '../../src/core/feed-relay/constants.ts'
import { chooseRelays } from '../../src/core/feed-relay/relay-choice.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import type { ObjectStore } from '../../src/core/object-feed/index.ts'
import { createMemoryStore, type MemoryStore } from '../support/memory-store.ts'
import { placeVm, placeVms } from '../support/vms.ts'

const KIND = 'things'
const VM_KIND = 'vms'
/** Kinds without changes, as a VM follows several. */
export const IDLE_KINDS = ['orders', 'evacuations', 'quarantines']
/** Time within which the VMs of a mass start begin to call the store. */
export const START_SPREAD_MS = 1000
export const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

export interface RelayVm {
  relay: FeedRelay
  names: Set<string>
  knownVms: Set<string>
  /** Objects of which it has got a change of the content. */
  changed: Set<string>
  recoveries: number
  confirmedMs: number
  storeCallsMs: number[]
  /** Times of the polls that it sent to others and that may be held. */
  pollsMs: number[]
  isCutOff: boolean
  /** State of the links to this VM. */
  link: 'open' | 'dead' | 'silent'
}

export interface RelayWorld {
  store: MemoryStore
  /** Metrics of all VMs. */
  metrics: Metrics
  /** Kinds without changes, and the waits for changes of these and of the VMs, in milliseconds. */
  idle: { kinds: readonly string[], waitMs: number, vmWaitMs: number, vmCoalesceMs: number }
  /** Time between two confirmations of the followed kind. */
  confirmMs: number
  vms: Map<VmId, RelayVm>
  faultyVms: Set<RelayVm>
  largestResponseBytes: number
  callsBeforeRestore: number
  outage: { fromMs: number, toMs: number }
  outageConfirmations: number
  /** Time at which the latest call that the store answered was sent. */
  latestAnsweredCallMs: number
  /** Number of confirmations that are newer than `latestAnsweredCallMs`. */
  prematureConfirmations: number
  choices: Map<VmId, ReturnType<typeof chooseRelays>>
}

After({ tags: '@feed-relay' }, function (this: Partial<RelayWorld>) {
  for (const { relay } of this.vms?.values() ?? []) relay.stop()
})

export function addVm (world: RelayWorld, id: VmId, { isRestart = false } = {}): void {
  const { store } = world
  const callStore = async <Result> (run: () => Promise<Result>): Promise<Result> => {
    const sentMs = systemClock.now()
    vm.storeCallsMs.push(sentMs)
    if (vm.isCutOff) throw new ObjectApiError('object_api_unavailable')
    const result = await run()
    if (vm.isCutOff) throw new ObjectApiError('object_api_unavailable')
    world.latestAnsweredCallMs = Math.max(world.latestAnsweredCallMs, sentMs)
    return result
  }
  const source: Pick<ObjectStore, 'list' | 'watch' | 'get'> = {
    list: kind => callStore(() => store.list(kind)),
    watch: (kind, after, waitMs) => callStore(() => store.watch(kind, after, waitMs)),
    get: (kind, name) => callStore(() => store.get(kind, name))
  }
  const relay = createFeedRelay({
    self: placeVm(id),
    store: source,
    relistMs: 5000,
    confirmationKind: KIND,
    vmKind: VM_KIND,
    isRestart: () => isRestart && vm.knownVms.has(id),
    liveVms: () => placeVms([...world.vms].filter(([name, { link }]) => link !== 'dead' && vm.knownVms.has(name)).map(([name]) => name)),
    async poll (to, poll, timeoutMs) {
      const target = world.vms.get(to)!
      if (poll.holdMs > 0) vm.pollsMs.push(systemClock.now())
      if (target.link === 'dead') throw new PeerError('peer_unreachable')
      if (target.link === 'silent') {
        await sleep(timeoutMs)
        throw new PeerError('peer_timeout')
      }
      // Peers exchange serialized messages, not object references.
      const response = JSON.stringify(await target.relay.answerPoll(structuredClone(poll)))
      world.largestResponseBytes = Math.max(world.largestResponseBytes, response.length)
      return JSON.parse(response)
    },
    clock: systemClock,
    log: silentLog,
    metrics: world.metrics,
    random: Math.random
  })
  const vm: RelayVm = { relay, names: new Set(), knownVms: new Set(), changed: new Set(), recoveries: 0, confirmedMs: -Infinity, storeCallsMs: [], pollsMs: [], isCutOff: false, link: 'open' }
  world.vms.set(id, vm)
  store.put(VM_KIND, id, {})
  relay.follow({
    kind: VM_KIND,
    waitMs: world.idle.vmWaitMs,
    coalesceMs: world.idle.vmCoalesceMs,
    onSnapshot (objects) { vm.knownVms = new Set(objects.map(({ name }) => name)) },
    onChange ({ object, deleted }) { if (!deleted) vm.knownVms.add(object.name) }
  })
  for (const kind of world.idle.kinds) relay.follow({ kind, waitMs: world.idle.waitMs, onSnapshot () {}, onChange () {} })
  relay.follow({
    kind: KIND,
    waitMs: world.confirmMs,
    onSnapshot (objects) { vm.names = new Set(objects.map(({ name }) => name)) },
    onChange ({ object, deleted }) {
      if (deleted) vm.names.delete(object.name)
      else vm.names.add(object.name)
      if ((object.spec as { changed?: boolean } | undefined)?.changed) vm.changed.add(object.name)
    },
    onStoreRecovered () { vm.recoveries++ },
    onConfirmed ({ monotonicMs }) {
      if (monotonicMs > world.latestAnsweredCallMs + 5) world.prematureConfirmations++
      // The send time counts, because a call that was sent before the outage may return during it.
      if (world.outage && monotonicMs > world.outage.fromMs + 5 && monotonicMs < world.outage.toMs - 5) world.outageConfirmations++
      vm.confirmedMs = Math.max(vm.confirmedMs, monotonicMs)
    }
  })
  relay.start()
}

/** The VMs that the others poll. */
function relaysOf (world: RelayWorld): RelayVm[] {
  const placed = placeVms([...world.vms.keys()])
  const polled = new Set(placed.flatMap(vm => chooseRelays(placed, vm).sources))
  return [...polled].map(name => world.vms.get(name)!)
}

async function waitForNames (vms: readonly RelayVm[], names: string, withinMs: number): Promise<void> {
  const expected = names.split(', ').sort().join(', ')
  const currentNames = () => vms.map(vm => [...vm.names].sort().join(', '))
  const endMs = systemClock.now() + withinMs
  while (currentNames().some(text => text !== expected) && systemClock.now() < endMs) await sleep(10)
  assert.deepEqual([...new Set(currentNames())], [expected])
}

export function startWorld (world: RelayWorld, names: string): void {
  Object.assign(world, { store: createMemoryStore(), metrics: createMetrics(), idle: { kinds: IDLE_KINDS, waitMs: 1000, vmWaitMs: 1000, vmCoalesceMs: 300 }, vms: new Map(), faultyVms: new Set(), largestResponseBytes: 0, confirmMs: 300, outageConfirmations: 0, latestAnsweredCallMs: -Infinity, prematureConfirmations: 0 })
  for (const name of names.split(', ')) world.store.put(KIND, name, {})
}

Given(/^(\d+) VMs that follow a kind with the objects ([a-z, ]+?)(?:, which the store confirms every (\d+) ms)?$/, async function (this: RelayWorld, count: string, names: string, confirmMs: string | undefined) {
  startWorld(this, names)
  if (confirmMs) this.confirmMs = Number(confirmMs)
  for (let i = 0; i < Number(count); i++) addVm(this, brandId<VmId>(`vm-${i}`))
  await sleep(1200)
})

When(/^(\d+) ms pass in the fleet$/, { timeout: 10_000 }, async function (ms: string) { await sleep(Number(ms)) })

When('c is stored and a is removed', function (this: RelayWorld) {
  this.store.put(KIND, 'c', {})
  this.store.remove(KIND, 'a')
})

When(/^the store is restored to before (.*) (?:is|are) (stored|removed)$/, async function (this: RelayWorld, names: string, change: string) {
  const restore = this.store.copy()
  for (const name of names.split(', ')) {
    if (change === 'stored') this.store.put(KIND, name, {})
    else this.store.remove(KIND, name)
  }
  await sleep(600)
  this.callsBeforeRestore = this.store.calls.length
  restore()
  await sleep(600)
})

When('the store is restored to before c is stored and a is changed at once', async function (this: RelayWorld) {
  const restore = this.store.copy()
  this.store.put(KIND, 'c', {})
  await sleep(600)
  restore()
  this.store.put(KIND, 'a', { changed: true })
  await sleep(1500)
})

Then('every VM has got the change of a', function (this: RelayWorld) {
  assert.ok([...this.vms.values()].every(({ changed }) => changed.has('a')))
})

When(/^the objects (.*) are stored$/, function (this: RelayWorld, names: string) { for (const name of names.split(', ')) this.store.put(KIND, name, {}) })

Then(/^the store was listed at most (\d+) times since the restore$/, function (this: RelayWorld, times: string) {
  const lists = this.store.calls.slice(this.callsBeforeRestore).filter(call => call === `list ${KIND}`).length
  assert.ok(lists <= Number(times), `${lists} times`)
})

When(/^(a relay|both relays|all relays) (dies|does not answer any more|do not answer any more|is cut off from the store|are cut off from the store)$/, function (this: RelayWorld, selection: string, fault: string) {
  for (const vm of relaysOf(this).slice(0, selection === 'a relay' ? 1 : undefined)) {
    this.faultyVms.add(vm)
    if (fault === 'dies') {
      vm.link = 'dead'
      vm.relay.stop()
    } else if (fault.endsWith('not answer any more')) vm.link = 'silent'
    else vm.isCutOff = true
  }
})

When('the lists of the VMs fail from now on', function (this: RelayWorld) { this.store.setListDown(VM_KIND, true) })

When(/^the store is away for (\d+) ms$/, { timeout: 10_000 }, async function (this: RelayWorld, ms: string) {
  this.outage = { fromMs: systemClock.now(), toMs: systemClock.now() + Number(ms) }
  this.store.setDown(true)
  await sleep(Number(ms))
  this.store.setDown(false)
})

When(/^an object large of (\d+) bytes is stored$/, function (this: RelayWorld, bytes: string) {
  this.store.put(KIND, 'large', { text: 'x'.repeat(Number(bytes)) })
})

When('another VM joins', function (this: RelayWorld) { addVm(this, brandId<VmId>('vm-late')) })

Then(/^(\d+) VMs have called the store in the last (\d+) ms$/, function (this: RelayWorld, count: string, ms: string) {
  const since = systemClock.now() - Number(ms)
  assert.equal([...this.vms.values()].filter(({ storeCallsMs }) => storeCallsMs.some(calledMs => calledMs > since)).length, Number(count))
})

Then(/^every VM knows ([a-z, ]+?)(?: within (\d+) ms)?$/, async function (this: RelayWorld, names: string, ms: string | undefined) {
  await waitForNames([...this.vms.values()], names, Number(ms ?? 0))
})

Then(/^every other VM knows ([a-z, ]+) within (\d+) ms$/, async function (this: RelayWorld, names: string, ms: string) {
  await waitForNames([...this.vms.values()].filter(vm => !this.faultyVms.has(vm)), names, Number(ms))
})

Then(/^the relay that is cut off answers polls with ([a-z, ]+)$/, async function (this: RelayWorld, names: string) {
  const [cutOff] = this.faultyVms
  const { kinds } = await cutOff!.relay.answerPoll({ known: {}, holdMs: 0 })
  assert.deepEqual(kinds?.[KIND]?.objects?.map(({ name }) => name).sort(), names.split(', '))
})

Then('no VM has a confirmation from within the outage', function (this: RelayWorld) { assert.equal(this.outageConfirmations, 0) })

Then('no confirmation is newer than the latest call that the store answered', function (this: RelayWorld) { assert.equal(this.prematureConfirmations, 0) })

Then('every VM has been notified once of the recovery of the store', function (this: RelayWorld) {
  assert.deepEqual([...this.vms.values()].map(({ recoveries }) => recoveries), [...this.vms].map(() => 1))
})

Then(/^no answer of a relay was larger than (\d+) bytes$/, function (this: RelayWorld, bytes: string) {
  assert.ok(this.largestResponseBytes <= Number(bytes), `${this.largestResponseBytes} bytes`)
})

Given(/^(\d+) VMs that choose their relays$/, function (this: RelayWorld, count: string) {
  const names = Array.from({ length: Number(count) }, (_, index) => brandId<VmId>(`vm-${index}`))
  this.choices = new Map(placeVms(names).map(placed => [placed.vm, chooseRelays(placeVms(names), placed)]))
})

const followersOf = ({ choices }: RelayWorld) => [...choices].filter(([, { isRoot }]) => !isRoot).map(([vm, { sources }]) => ({ vm, sources }))

Then(/^(\d+) VMs follow the store and (\d+) relays poll those, and none is asked by more than (\d+) VMs$/, function (this: RelayWorld, roots: string, relays: string, max: string) {
  const followers = followersOf(this)
  assert.equal(this.choices.size - followers.length, Number(roots))
  const pollsPerRelay = new Map<VmId, number>()
  for (const { sources: [first] } of followers) pollsPerRelay.set(first!, (pollsPerRelay.get(first!) ?? 0) + 1)
  assert.equal(followers.filter(({ vm }) => pollsPerRelay.has(vm)).length, Number(relays))
  assert.ok(Math.max(0, ...pollsPerRelay.values()) <= Number(max), JSON.stringify([...pollsPerRelay]))
})

Then('every VM of a large fleet that is no relay polls one in its own data centre first', function (this: RelayWorld) {
  const polled = new Set(followersOf(this).map(({ sources: [first] }) => first))
  for (const { vm, sources: [first] } of followersOf(this).filter(({ vm }) => !polled.has(vm))) {
    if (followersOf(this).length > MAX_ROOT_FOLLOWERS) assert.equal(placeVm(first!).dataCentre, placeVm(vm).dataCentre)
  }
})

Then(/^no VM has polled more often than every (\d+) ms since its start$/, function (this: RelayWorld, ms: string) {
  const followers = [...this.vms.values()].filter(({ pollsMs }) => pollsMs.length > 1)
  assert.ok(followers.length > 0)
  for (const { pollsMs } of followers) {
    const meanMs = (pollsMs.at(-1)! - pollsMs[0]!) / (pollsMs.length - 1)
    assert.ok(meanMs >= Number(ms), `every ${Math.round(meanMs)} ms`)
  }
})

Given(/^(\d+) VMs that (start|restart) together with the objects (.*)$/, { timeout: 20_000 }, async function (this: RelayWorld, count: string, kind: string, names: string) {
  startWorld(this, names)
  for (let i = 0; i < Number(count); i++) {
    addVm(this, brandId<VmId>(`vm-${i}`), { isRestart: kind === 'restart' })
    await sleep(START_SPREAD_MS / Number(count))
  }
})

Given(/^(\d+) VMs that restart together while (no link answers|the store refuses a third of them), with the objects (.*)$/, { timeout: 20_000 }, async function (this: RelayWorld, count: string, fault: string, names: string) {
  startWorld(this, names)
  const ids = Array.from({ length: Number(count) }, (_, index) => brandId<VmId>(`vm-${index}`))
  for (const [index, id] of ids.entries()) {
    addVm(this, id, { isRestart: true })
    const vm = this.vms.get(id)!
    if (fault === 'no link answers') vm.link = 'silent'
    else if (index % 3 === 2) {
      vm.isCutOff = true
      // The others have made contact, as they have read the entry of its earlier process.
      vm.knownVms = new Set(ids)
    }
    await sleep(START_SPREAD_MS / ids.length)
  }
})

Then(/^the VMs have made at most ([\d.]+) calls to the store each, and (\d+) for the whole fleet besides$/, function (this: RelayWorld, perVm: string, besides: string) {
  const calls = [...this.vms.values()].reduce((sum, { storeCallsMs }) => sum + storeCallsMs.length, 0)
  assert.ok(calls <= Number(perVm) * this.vms.size + Number(besides), `${calls} calls`)
})

Then(/^no VM's confirmation gets older than (\d+) ms within (\d+) ms$/, { timeout: 20_000 }, async function (this: RelayWorld, maxMs: string, ms: string) {
  let oldestMs = 0
  for (const endMs = systemClock.now() + Number(ms); systemClock.now() < endMs; await sleep(20)) {
    oldestMs = Math.max(oldestMs, ...[...this.vms.values()].map(({ confirmedMs }) => systemClock.now() - confirmedMs))
  }
  assert.ok(oldestMs <= Number(maxMs), `${Math.round(oldestMs)} ms`)
})
