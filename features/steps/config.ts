import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import {
  ConfigConflictError, createConfigController, createConfigReplica, type ConfigController, type ConfigReplica, type InForceReport
} from '../../src/core/config/index.ts'
import type { AcceptedChange, ConfigChange, ConfigRecord } from '../../src/core/config/types.ts'
import { errorMessage, LacewingError } from '../../src/core/errors/index.ts'
import { brandId, type BootId, type DataCentreId, type RegionId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { CONFIG_KINDS, type ConfigKind } from '../../src/core/object-api/types.ts'
import { createMemoryObjectApi, type MemoryObjectApi } from '../support/memory-object-api.ts'
import { createMemberList, createPeerHub } from '../support/vms.ts'

const SEED = 20261204
const REGION = brandId<RegionId>('bagmati')

interface ConfigVm {
  id: VmId
  replica: ConfigReplica
  controller: ConfigController
  ready: boolean
}

interface ConfigWorld {
  clock: ManualClock
  api: MemoryObjectApi
  memberList: ReturnType<typeof createMemberList>
  hub: ReturnType<typeof createPeerHub>
  configVms: Map<string, ConfigVm>
  replica: ConfigReplica
  lastChange: ConfigChange
  results: PromiseSettledResult<AcceptedChange[]>[]
}

function addVm (world: ConfigWorld, name: string): ConfigVm {
  const id = brandId<VmId>(name)
  const dataCentre = brandId<DataCentreId>(`dc-${name[0]}`)
  world.memberList.put(id, dataCentre)
  const replica = createConfigReplica()
  const controller = createConfigController({
    objectApi: world.api,
    replica,
    peers: world.hub.linksOf(id),
    membership: world.memberList.viewOf(id),
    identity: { vm: id, boot: brandId<BootId>('boot'), region: REGION, dataCentre },
    clock: world.clock,
    metrics: createMetrics(),
    log: silentLog,
    random: () => 0.5
  })
  const vm: ConfigVm = { id, replica, controller, ready: false }
  world.configVms.set(name, vm)
  void controller.start().then(() => { vm.ready = true })
  return vm
}

/** Delivers the ping payload of each reachable VM to all others at once; real membership pings one VM at a time. */
function pingAll ({ configVms: vms, hub }: ConfigWorld): void {
  for (const from of vms.values()) {
    for (const to of vms.values()) {
      if (from !== to && !hub.cut.has(from.id) && !hub.cut.has(to.id)) to.controller.onPingPayload(from.id, from.controller.pingPayload())
    }
  }
}

async function pingRounds (world: ConfigWorld, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round++) {
    pingAll(world)
    await world.clock.advance(500)
  }
}

/** Parses `Kind/name key=value ...`. Values are JSON with unquoted strings; each string in `keys` is replaced by its hash. */
function parseChange (text: string, world: ConfigWorld): ConfigChange {
  const [target, ...fields] = text.split(' ')
  const [kind, name] = target!.split('/') as [ConfigKind, string]
  const resourceVersion = [...world.configVms.values()][0]?.replica.entry(kind, name)?.resourceVersion
  if (fields[0] === 'deleted') return { kind, name, spec: null, resourceVersion }
  const spec = Object.fromEntries(fields.map(field => {
    const [key, value] = field.split('=') as [string, string]
    const quoted = value.replace(/[a-z0-9][a-z0-9.:_-]*/g, word => Number.isNaN(Number(word)) ? JSON.stringify(word) : word)
    const parsed = JSON.parse(quoted)
    return [key, key === 'keys' ? (parsed as string[]).map(word => ({ sha256: hashOf(word) })) : parsed]
  }))
  return { kind, name, spec, resourceVersion } as unknown as ConfigChange
}

function hashOf (word: string): string {
  return createHash('sha256').update(word).digest('hex')
}

const INITIAL_CHANGES = [
  'DataCentre/dc-a region=bagmati', 'Model/small tier=0', 'Model/big tier=1', 'Model/spare tier=2',
  ...['small-1', 'small-2', 'big-1'].map(name => `Version/${name} model=${name.split('-')[0]} inputMicrosPerToken=1 outputMicrosPerToken=1`),
  'Contract/team-a team=team-a keys=[a] models=[small] versions=[small-1,small-2] spendLimitMicros=1',
  'Rollout/small-2 model=small from=small-1 to=small-2'
]

function firstVm ({ configVms: vms }: ConfigWorld): ConfigVm {
  return [...vms.values()][0]!
}

async function runPending (world: ConfigWorld): Promise<void> {
  await world.clock.advance(1)
}

function liveObjects (replica: ConfigReplica): string[] {
  const entries = CONFIG_KINDS.flatMap(kind => replica.list(kind).map(entry => `${kind}/${entry.name}@${entry.resourceVersion}`))
  return entries.sort()
}

function storedObjects ({ api }: ConfigWorld): string[] {
  const objects = CONFIG_KINDS.flatMap(kind => api.store.list(kind))
  return objects.map(({ kind, metadata }) => `${kind}/${metadata.name}@${metadata.resourceVersion}`).sort()
}

Given(/^configuration VMs ([a-z0-9 ]+)$/, async function (this: ConfigWorld, names: string) {
  this.clock = createManualClock()
  this.api = createMemoryObjectApi({ clock: this.clock })
  this.memberList = createMemberList()
  this.hub = createPeerHub()
  this.configVms = new Map()
  for (const name of names.split(' ')) addVm(this, name)
  await runPending(this)
})

Given('the configuration contains models, versions, a contract and a rollout', async function (this: ConfigWorld) {
  await firstVm(this).controller.change(INITIAL_CHANGES.map(text => parseChange(text, this)))
  await runPending(this)
})

async function makeChange (world: ConfigWorld, text: string, vmName: string): Promise<void> {
  world.lastChange = parseChange(text, world)
  world.results = await Promise.allSettled([world.configVms.get(vmName)!.controller.change([world.lastChange])])
  await runPending(world)
}

When('the configuration change {string} is made on {word}', async function (this: ConfigWorld, text: string, vm: string) {
  await makeChange(this, text, vm)
})

function rejectionReason ({ results }: ConfigWorld): unknown {
  const rejected = results.find(result => result.status === 'rejected')
  return rejected && (rejected as PromiseRejectedResult).reason
}

Then('the configuration change is refused with {string}', function (this: ConfigWorld, problem: string) {
  const message = errorMessage(rejectionReason(this))
  assert.ok(message.includes(problem), message)
})

Then('the configuration check of the same change reports the same problems and stores nothing', function (this: ConfigWorld) {
  const { writes } = this.api.state
  const { problems } = firstVm(this).controller.check([this.lastChange])
  assert.ok(problems.length > 0)
  assert.ok(problems.every(problem => errorMessage(rejectionReason(this)).includes(problem.message)))
  assert.equal(this.api.state.writes, writes)
})

Then('the configuration change is accepted', function (this: ConfigWorld) {
  assert.equal(rejectionReason(this), undefined, errorMessage(rejectionReason(this)))
})

When(/^two configuration changes race to (create|update) (\S+) on a1 and a2$/, async function (this: ConfigWorld, _: string, target: string) {
  const changes = [7, 8].map(tier => parseChange(`${target} tier=${tier}`, this))
  this.results = await Promise.allSettled(changes.map((change, index) => [...this.configVms.values()][index]!.controller.change([change])))
  await runPending(this)
})

Then('one configuration change is accepted and the other is refused with its revision', function (this: ConfigWorld) {
  const winners = this.results.filter(result => result.status === 'fulfilled')
  assert.equal(winners.length, 1)
  const error = rejectionReason(this)
  assert.ok(error instanceof ConfigConflictError)
  assert.equal(error.currentRevision, winners[0]!.value[0]!.resourceVersion)
})

Then('the configuration of all VMs is equal to the object API', async function (this: ConfigWorld) {
  await pingRounds(this, 4)
  for (const { replica } of this.configVms.values()) assert.deepEqual(liveObjects(replica), storedObjects(this))
})

When(/^the configuration change "(.*)" on a1 meets (an outage|a lost answer)$/, async function (this: ConfigWorld, text: string, fault: string) {
  if (fault === 'an outage') this.api.state.down = true
  else this.api.failNextWrite('lost answer')
  await makeChange(this, text, 'a1')
  this.api.state.down = false
})

Then('the configuration change ends with {word}', function (this: ConfigWorld, outcome: string) {
  const error = rejectionReason(this)
  assert.ok(error instanceof LacewingError)
  assert.equal(error.kind, outcome)
})

Given('only a1 receives the configuration change of Model\\/big to tier 5, only a2 the deletion of Model\\/spare, and the object API fails', async function (this: ConfigWorld) {
  for (const vm of this.configVms.values()) vm.controller.stop()
  this.hub.state.lostTypes.add('config.push')
  await this.configVms.get('a1')!.controller.change([parseChange('Model/big tier=5', this)])
  await this.configVms.get('a2')!.controller.change([parseChange('Model/spare deleted', this)])
  this.api.state.down = true
})

Given('the object API of the configuration fails and a1 is unreachable', function (this: ConfigWorld) {
  this.api.state.down = true
  this.hub.cut.add(this.configVms.get('a1')!.id)
})

When('the configuration VM a3 starts', async function (this: ConfigWorld) {
  addVm(this, 'a3')
  await this.clock.advance(5000)
})

Then('the configuration of a3 is ready with Model\\/big tier 5 and without Model\\/spare', function (this: ConfigWorld) {
  const { ready, replica } = this.configVms.get('a3')!
  assert.ok(ready)
  assert.equal(replica.get('Model', 'big')?.tier, 5)
  assert.equal(replica.get('Model', 'spare'), undefined)
  assert.ok(replica.get('Contract', 'team-a'))
})

Then('the configuration of a3 is not ready and refuses changes', async function (this: ConfigWorld) {
  const { ready, controller } = this.configVms.get('a3')!
  assert.equal(ready, false)
  await assert.rejects(controller.change([parseChange('Model/new tier=1', this)]), { kind: 'vm_not_ready' })
})

When('the object API of the configuration is available again', async function (this: ConfigWorld) {
  this.api.state.down = false
  await this.clock.advance(5000)
})

Then('the configuration of a3 is ready', function (this: ConfigWorld) {
  assert.ok(this.configVms.get('a3')!.ready)
})

When('the configuration pushes are lost and a1 changes Model\\/big and a2 deletes Model\\/spare', async function (this: ConfigWorld) {
  for (const vm of this.configVms.values()) vm.controller.stop()
  this.hub.state.lostTypes.add('config.push')
  await this.configVms.get('a1')!.controller.change([parseChange('Model/big tier=5', this)])
  await this.configVms.get('a2')!.controller.change([parseChange('Model/spare deleted', this)])
})

When(/^the configuration is repaired by (.+)$/, async function (this: ConfigWorld, repair: string) {
  if (repair === 'pings alone') this.api.state.down = true
  else for (const { controller } of this.configVms.values()) void controller.start()
  await pingRounds(this, 3)
})

When('the configuration VM a4 is unreachable while Model\\/spare is deleted and its tombstone is dropped', async function (this: ConfigWorld) {
  this.hub.cut.add(this.configVms.get('a4')!.id)
  await makeChange(this, 'Model/spare deleted', 'a1')
  // A new watch starts with bookmarks, which mark the replicas of watching VMs as complete; pings mark the others.
  this.api.cutWatches()
  await pingRounds(this, 2)
  for (const name of ['a1', 'a2', 'a3']) assert.equal(this.configVms.get(name)!.replica.record('Model', 'spare'), undefined, name)
  assert.ok(this.configVms.get('a4')!.replica.get('Model', 'spare'))
})

When('the object API of the configuration fails and a4 becomes reachable again', function (this: ConfigWorld) {
  this.api.state.down = true
  this.hub.cut.clear()
})

function watchingVms ({ configVms: vms }: ConfigWorld): string {
  return [...vms].filter(([, { controller }]) => controller.isWatching()).map(([name]) => name).join(' ')
}

Then(/^the configuration is watched by ([a-z0-9 ]+)$/, async function (this: ConfigWorld, expected: string) {
  await runPending(this)
  assert.equal(watchingVms(this), expected)
  assert.equal(this.api.waitingWatches(), expected.split(' ').length)
})

When(/^the configuration VM (\w+) (leaves|dies)$/, async function (this: ConfigWorld, name: string, departure: string) {
  const { id, controller } = this.configVms.get(name)!
  if (departure === 'dies') controller.stop()
  this.memberList.setState(id, departure === 'dies' ? 'dead' : 'leaving')
  await runPending(this)
})

async function changeDirectly ({ api, configVms: vms }: ConfigWorld, name: string, spec: object | null): Promise<void> {
  const { resourceVersion } = [...vms.values()][0]!.replica.entry('Model', name)!
  if (spec === null) await api.delete('Model', name, resourceVersion)
  else await api.update('Model', name, spec, resourceVersion)
}

When('the configuration watch is interrupted while another client updates Model\\/big and deletes Model\\/spare, and history is compacted', async function (this: ConfigWorld) {
  this.api.cutWatches()
  await changeDirectly(this, 'big', { tier: 9, contextTokens: 1 })
  await changeDirectly(this, 'spare', null)
  this.api.store.compact()
  await this.clock.advance(5000)
})

When('another client updates Model\\/big in the object API of the configuration', async function (this: ConfigWorld) {
  await changeDirectly(this, 'big', { tier: 9, contextTokens: 1 })
  await runPending(this)
  // Checked before any ping, so that only the watch and the push of a watching VM can have delivered the change.
  for (const { replica } of this.configVms.values()) assert.deepEqual(liveObjects(replica), storedObjects(this))
})

When('another client writes Model\\/big with {} to the object API of the configuration', async function (this: ConfigWorld, spec: string) {
  await changeDirectly(this, 'big', JSON.parse(spec))
  await runPending(this)
})

Then('the configuration of every VM has Model\\/big with {int} and reports {int} invalid objects', function (this: ConfigWorld, tier: number, invalid: number) {
  for (const { replica } of this.configVms.values()) {
    assert.deepEqual(replica.get('Model', 'big'), { tier, contextTokens: 8192 })
    assert.equal(replica.invalidObjects().length, invalid)
  }
})

When('the configuration VM a3 is unreachable and a1 changes Model\\/big', async function (this: ConfigWorld) {
  this.hub.cut.add(this.configVms.get('a3')!.id)
  await makeChange(this, 'Model/big tier=5', 'a1')
})

Then('the configuration revision is in force on a1 a2 and missing on a3', async function (this: ConfigWorld) {
  const [result] = this.results as PromiseFulfilledResult<AcceptedChange[]>[]
  const { inForce, missing } = await waitInForce(this, result!.value.at(-1)!.resourceVersion)
  assert.deepEqual({ inForce, missing }, { inForce: ['a1', 'a2'], missing: ['a3'] })
})

async function waitInForce (world: ConfigWorld, revision: number): Promise<InForceReport> {
  const waiting = firstVm(world).controller.waitInForce(revision, 1000)
  await world.clock.advance(1500)
  return await waiting
}

When('the configuration push of the first of two changes to a3 is lost', async function (this: ConfigWorld) {
  const { id } = this.configVms.get('a3')!
  this.hub.cut.add(id)
  await makeChange(this, 'Model/big tier=5', 'a1')
  this.hub.cut.delete(id)
  await makeChange(this, 'Model/spare tier=6', 'a1')
})

Then('the configuration revision after the newest one is in force on no VM', async function (this: ConfigWorld) {
  const { inForce } = await waitInForce(this, firstVm(this).replica.revision() + 1)
  assert.deepEqual(inForce, [])
})

function record (name: string, resourceVersion: number, deleted = false): ConfigRecord {
  const spec = deleted ? null : { tier: resourceVersion, contextTokens: 1 }
  return { kind: 'Model', name, spec, resourceVersion, writeId: '', deleted } as ConfigRecord
}

Given('a configuration replica with Model\\/m at 10 and Model\\/gone deleted at 20', function (this: ConfigWorld) {
  this.replica = createConfigReplica()
  this.replica.apply([record('m', 10), record('gone', 20, true)])
})

When(/^the configuration replica is (?:incomplete|complete to (\d+)) and receives (\w+) of (\d+)$/, function (this: ConfigWorld, completeTo: string | null, name: string, version: string) {
  if (completeTo) this.replica.markComplete(Number(completeTo))
  assert.deepEqual(this.replica.apply([record(name, Number(version))]), [])
})

Then('the configuration replica has Model\\/m at 10 and no Model\\/gone', function (this: ConfigWorld) {
  assert.deepEqual(liveObjects(this.replica), ['Model/m@10'])
})

Then('configuration replicas converge after {int} random orders of writes and deletions', function (runs: number) {
  console.log(`config seed ${SEED}`)
  const write = fc.record({ name: fc.constantFrom('a', 'b', 'c'), deleted: fc.boolean() })
  const history = fc.array(write, { minLength: 1, maxLength: 12 })
  fc.assert(fc.property(history, fc.array(fc.nat(), { minLength: 24, maxLength: 24 }), (writes, order) => {
    const records = writes.map(({ name, deleted }, index) => record(name, index + 1, deleted))
    const expected = createConfigReplica()
    expected.apply(records)
    // Every record arrives at least once, some more often, in an arbitrary order.
    const shuffled = [...records, ...order.map(index => records[index % records.length]!)]
      .map((item, index) => ({ item, rank: order[index % order.length]! })).sort((left, right) => left.rank - right.rank)
    const replica = createConfigReplica()
    const lastApplied = new Map<string, number>()
    for (const { item } of shuffled) {
      for (const applied of replica.apply([item])) {
        assert.ok(applied.resourceVersion > (lastApplied.get(applied.name) ?? 0))
        lastApplied.set(applied.name, applied.resourceVersion)
      }
    }
    assert.deepEqual(replica.digest(), expected.digest())
    assert.deepEqual(liveObjects(replica), liveObjects(expected))
  }), { seed: SEED, numRuns: runs })
})
