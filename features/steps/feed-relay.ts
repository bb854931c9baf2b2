import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '../../src/core/clock/index.ts'
import { ObjectApiError, PeerError } from '../../src/core/errors/index.ts'
import { createFeedRelay, type FeedRelay } from '../../src/core/feed-relay/index.ts'
import { chooseRelays } from '../../src/core/feed-relay/relay-choice.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { ObjectStore } from '../../src/core/object-feed/index.ts'
import { createMemoryStore, type MemoryStore } from '../support/memory-store.ts'

const KIND = 'things'
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

interface RelayVm {
  relay: FeedRelay
  names: Set<string>
  /** Objects of which it has got a change of the content. */
  changed: Set<string>
  recoveries: number
  confirmedMs: number
  storeCallsMs: number[]
  isCutOff: boolean
  /** State of the links to this VM. */
  link: 'open' | 'dead' | 'silent'
}

interface RelayWorld {
  store: MemoryStore
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

function addVm (world: RelayWorld, id: VmId): void {
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
    self: id,
    store: source,
    relistMs: 5000,
    confirmationKind: KIND,
    liveVms: () => [...world.vms].filter(([, { link }]) => link !== 'dead').map(([name]) => name),
    async poll (to, poll, timeoutMs) {
      const target = world.vms.get(to)!
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
    metrics: createMetrics(),
    random: Math.random
  })
  const vm: RelayVm = { relay, names: new Set(), changed: new Set(), recoveries: 0, confirmedMs: -Infinity, storeCallsMs: [], isCutOff: false, link: 'open' }
  world.vms.set(id, vm)
  relay.follow({
    kind: KIND,
    waitMs: 300,
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

function relaysOf (world: RelayWorld): RelayVm[] {
  const names = [...world.vms.keys()]
  return names.filter(name => chooseRelays(names, name).isRelay).map(name => world.vms.get(name)!)
}

async function waitForNames (vms: readonly RelayVm[], names: string, withinMs: number): Promise<void> {
  const expected = names.split(', ').sort().join(', ')
  const currentNames = () => vms.map(vm => [...vm.names].sort().join(', '))
  const endMs = systemClock.now() + withinMs
  while (currentNames().some(text => text !== expected) && systemClock.now() < endMs) await sleep(10)
  assert.deepEqual([...new Set(currentNames())], [expected])
}

Given(/^(\d+) VMs that follow a kind with the objects (.*)$/, async function (this: RelayWorld, count: string, names: string) {
  Object.assign(this, { store: createMemoryStore(), vms: new Map(), faultyVms: new Set(), largestResponseBytes: 0, outageConfirmations: 0, latestAnsweredCallMs: -Infinity, prematureConfirmations: 0 })
  for (const name of names.split(', ')) this.store.put(KIND, name, {})
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
  this.choices = new Map(names.map(name => [name, chooseRelays(names, name)]))
})

Then(/^(\d+) VMs are relays and none of them is asked by more than (\d+) VMs$/, function (this: RelayWorld, relays: string, max: string) {
  const followers = [...this.choices.values()].filter(({ isRelay }) => !isRelay)
  assert.equal(this.choices.size - followers.length, Number(relays))
  const pollsPerRelay = new Map<VmId, number>()
  for (const { relays: [first] } of followers) pollsPerRelay.set(first!, (pollsPerRelay.get(first!) ?? 0) + 1)
  assert.ok(Math.max(0, ...pollsPerRelay.values()) <= Number(max), JSON.stringify([...pollsPerRelay]))
})
