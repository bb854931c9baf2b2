import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { ObjectApiError } from '../../src/core/errors/index.ts'
import type { BackendServerId, VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import type { ObjectApi, StoredObject } from '../../src/core/object-api/types.ts'
import { createQuarantine, type Quarantine } from '../../src/core/quarantine/index.ts'
import { startGroup, startMember, type MembershipWorld, type TestMember } from './membership.ts'

interface QuarantineWorld extends MembershipWorld {
  quarantines: Map<string, Quarantine>
  api: { up: boolean, objects: Map<string, StoredObject>, client: ObjectApi }
}

const MAX_ENTRIES = 100

function createQuarantineApi (): QuarantineWorld['api'] {
  const objects = new Map<string, StoredObject>()
  let version = 0
  const api = { up: true, objects, client: undefined as unknown as ObjectApi }

  function call<Result> (operation: () => Result): Promise<Result> {
    return new Promise((resolve, reject) => {
      if (!api.up) reject(new ObjectApiError('object_api_unavailable'))
      else resolve(operation())
    })
  }
  function readObject (name: string, resourceVersion?: number): StoredObject {
    const object = objects.get(name)
    if (!object) throw new ObjectApiError('object_not_found')
    if (resourceVersion !== undefined && object.resourceVersion !== resourceVersion) throw new ObjectApiError('object_conflict')
    return object
  }
  function writeObject (name: string, spec: unknown): StoredObject {
    const object: StoredObject = { kind: 'Quarantine', name, spec, resourceVersion: ++version, writeId: '' }
    objects.set(name, object)
    return object
  }
  api.client = {
    get: (_kind, name) => call(() => readObject(name) as never),
    list: () => call(() => ({ items: [...objects.values()], resourceVersion: version }) as never),
    create: (_kind, name, spec) => call(() => {
      if (objects.has(name)) throw new ObjectApiError('object_exists')
      return writeObject(name, spec) as never
    }),
    update: (_kind, name, spec, resourceVersion) => call(() => {
      readObject(name, resourceVersion)
      return writeObject(name, spec) as never
    }),
    delete: (_kind, name, resourceVersion) => call(() => {
      readObject(name, resourceVersion)
      objects.delete(name)
      return resourceVersion + 1
    }),
    watch: () => { throw new ObjectApiError('object_api_unavailable') }
  }
  return api
}

async function startQuarantine (world: QuarantineWorld, vm: string, member: TestMember): Promise<void> {
  const quarantine = createQuarantine({
    peers: member.links,
    membership: member.membership,
    objectApi: world.api.client,
    maxEntries: MAX_ENTRIES,
    clock: { ...member.clock, wallMs: () => member.clock.now() },
    metrics: member.metrics,
    log: silentLog
  })
  world.quarantines.set(vm, quarantine)
  await quarantine.start()
}

function stateOf (quarantine: Quarantine, fingerprint: string): string {
  if (quarantine.isQuarantined(fingerprint)) return quarantine.remainingMs(fingerprint) > 0 ? 'quarantined' : 'ended'
  return quarantine.isSuspect(fingerprint) ? 'suspect' : 'none'
}

Given('a quarantine on {int} VM(s) with the object API {word}', async function (this: QuarantineWorld, size: number, apiState: string) {
  await startGroup(this, size)
  this.api = createQuarantineApi()
  this.api.up = apiState === 'up'
  this.quarantines = new Map()
  for (const [vm, member] of this.members) await startQuarantine(this, vm, member)
})

/** Reports crashes that are given as `<fingerprint>@<instance> by <reporting VM>`, separated by commas. */
When(/^the quarantine gets the crashes (.*)$/, async function (this: QuarantineWorld, crashes: string) {
  for (const crash of crashes.split(', ')) {
    const [, fingerprint, instance, vm] = /^(\w+)@(\w+) by (\S+)$/.exec(crash)!
    const backendServer = `server-${instance![0]}` as BackendServerId
    this.quarantines.get(vm!)!.reportCrash({ fingerprint: fingerprint!, backendServer, instance: instance! })
    await this.network.clock.advance(10)
  }
})

When(/^the quarantine gets a crash by the message (\w+) at (\S+) by (\S+)$/, async function (this: QuarantineWorld, message: string, instance: string, vm: string) {
  this.quarantines.get(vm)!.parts.recordCrash({ backendServer: `server-${instance[0]}` as BackendServerId, instance }, [message])
  await this.network.clock.advance(10)
})

When(/^(\S+) gets the first token of an answer to the message (\w+)$/, async function (this: QuarantineWorld, vm: string, message: string) {
  this.quarantines.get(vm)!.parts.recordSurvival([message], this.network.clock.now())
  await this.network.clock.advance(10)
})

Then(/^the message (\w+) is (refused|accepted) on all quarantine VMs$/, function (this: QuarantineWorld, message: string, expected: string) {
  for (const [vm, { parts }] of this.quarantines) assert.equal(parts.remainingMs([message]) > 0, expected === 'refused', vm)
})

When('the quarantine gets {int} suspects by {word} with a limit of {int} fingerprints', function (this: QuarantineWorld, count: number, vm: string, limit: number) {
  assert.equal(limit, MAX_ENTRIES)
  for (let i = 0; i < count; i++) {
    this.quarantines.get(vm)!.reportCrash({ fingerprint: `suspect-${i}`, backendServer: 'server-c' as BackendServerId, instance: `c${i}` })
  }
})

When('the quarantine runs for {int} ms', { timeout: 60_000 }, async function (this: QuarantineWorld, ms: number) {
  await this.network.clock.advance(ms)
})

When('the object API of the quarantine is available again', function (this: QuarantineWorld) {
  this.api.up = true
})

When('the quarantine starts on a new VM without peer notifications', async function (this: QuarantineWorld) {
  const member = await startMember(this, 'vm-new', [])
  await startQuarantine(this, 'vm-new', member)
})

When('{word} is disconnected from the other quarantine VMs', function (this: QuarantineWorld, vm: string) {
  for (const other of this.members.keys()) this.network.cutLink(other, vm)
})

When('{word} is reconnected to the other quarantine VMs', function (this: QuarantineWorld, _vm: string) {
  this.network.restoreLinks()
})

When('an operator lifts the quarantine of {word} on {word}', async function (this: QuarantineWorld, fingerprint: string, vm: string) {
  await this.quarantines.get(vm)!.lift(fingerprint)
  await this.network.clock.advance(10)
})

When(/^vm-1 receives a quarantine report that is (.*)$/, async function (this: QuarantineWorld, body: string) {
  this.members.get('vm-2')!.links.notify('vm-1' as VmId, 'quarantine.report', JSON.parse(body))
  await this.network.clock.advance(10)
})

Then('the quarantine state of {word} is {word} on all VMs', function (this: QuarantineWorld, fingerprint: string, state: string) {
  for (const [vm, quarantine] of this.quarantines) assert.equal(stateOf(quarantine, fingerprint), state, vm)
})

Then('the quarantine has {int} stored objects', function (this: QuarantineWorld, count: number) {
  assert.equal(this.api.objects.size, count)
})

Then('the quarantine holds {int} of the suspects', function (this: QuarantineWorld, count: number) {
  const quarantine = this.quarantines.get('vm-1')!
  const remaining = Array.from({ length: 1000 }, (_, i) => quarantine.isSuspect(`suspect-${i}`)).filter(Boolean)
  assert.equal(remaining.length, count)
})

Then('the quarantine report is counted as bad input', function (this: QuarantineWorld) {
  assert.equal(this.members.get('vm-1')!.metrics.value('bad_input', 'quarantine_malformed'), 1)
})
