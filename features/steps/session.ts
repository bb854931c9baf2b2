import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createMemoryObjectApi, type MemoryObjectApi } from '../../src/bench/memory-object-api.ts'
import { createMemoryConfig, type MemoryConfig } from '../../src/bench/memory-config.ts'
import { createRandom } from '../../src/bench/random.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type ModelId, type SessionId, type TeamId, type VersionId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics, type Metrics } from '../../src/core/metrics/index.ts'
import { chooseByHash } from '../../src/core/session/choice.ts'
import { createSessions, type Sessions, type SessionVersion } from '../../src/core/session/index.ts'
import { signTokens } from '../../src/core/session/token.ts'

const SEED = 20261204
const TEAM = brandId<TeamId>('kits')
const MODEL = brandId<ModelId>('kit')
const KEY = 'present-key-0123456789'
const PREVIOUS_KEY = 'previous-key-0123456789'

interface Vm { config: MemoryConfig, sessions: Sessions, metrics: Metrics, excluded: Set<string> }

interface SessionWorld {
  clock: ManualClock
  objectApi: MemoryObjectApi
  vms: Vm[]
  firstChoices: Map<string, SessionVersion>
  resolved?: SessionVersion
}

function setVersion ({ config }: Vm, version: string, weight: string): void {
  if (weight === 'none') return
  config.set('Version', version, { model: MODEL, weight: Number(weight), inputMicrosPerToken: 1, outputMicrosPerToken: 1 })
}

function startSessions (world: SessionWorld, { config, metrics }: Pick<Vm, 'config' | 'metrics'>): Sessions {
  const random = createRandom(SEED + world.vms.length)
  return createSessions({
    objectApi: world.objectApi, view: config.view, tokenKeys: () => [KEY, PREVIOUS_KEY], random, clock: world.clock, metrics, log: silentLog
  })
}

function addVm (world: SessionWorld, v1: string, v2: string): void {
  const vm = { config: createMemoryConfig(), metrics: createMetrics(), excluded: new Set<string>() }
  setVersion(vm as Vm, 'v1', v1)
  setVersion(vm as Vm, 'v2', v2)
  world.vms.push({ ...vm, sessions: startSessions(world, vm) })
}

function candidatesOf ({ config, excluded }: Vm): { version: VersionId, weight: number }[] {
  const active = config.view.list('Version').filter(({ name, spec }) => spec.state === 'active' && !excluded.has(name))
  return active.map(({ name, spec }) => ({ version: name as VersionId, weight: spec.weight }))
}

type Identification = 'a session id' | 'a token' | 'both'

function resolveSession (world: SessionWorld, vm: Vm, number: number, identification: Identification): Promise<SessionVersion> {
  const session = identification === 'a token' ? undefined : brandId<SessionId>(`session-${number}`)
  const token = identification === 'a session id' ? undefined : world.firstChoices.get(String(number))?.token
  return vm.sessions.resolve({ team: TEAM, model: MODEL, session, token, candidates: candidatesOf(vm) })
}

const range = (from: number, to: number) => Array.from({ length: to - from + 1 }, (_, index) => from + index)

async function beginSessions (world: SessionWorld, from: number, to: number, identification: Identification, vms = world.vms): Promise<void> {
  for (const number of range(from, to)) {
    const vm = vms[number % vms.length]!
    world.firstChoices.set(String(number), await resolveSession(world, vm, number, identification))
  }
}

async function assertVersions (world: SessionWorld, from: number, to: number, identification: Identification, expected: (number: number) => string): Promise<void> {
  for (const vm of world.vms) {
    for (const number of range(from, to)) {
      const { version } = await resolveSession(world, vm, number, identification)
      assert.equal(version, expected(number), `session ${number}, seed ${SEED}`)
    }
  }
}

const firstVersion = (world: SessionWorld) => (number: number) => world.firstChoices.get(String(number))!.version

Given(/^session affinity on (\d+) VMs with versions v1 at (\S+) and v2 at (\S+)$/, function (this: SessionWorld, count: string, v1: string, v2: string) {
  console.log(`session seed ${SEED}`)
  this.clock = createManualClock()
  this.objectApi = createMemoryObjectApi()
  this.vms = []
  this.firstChoices = new Map()
  for (let index = 0; index < Number(count); index++) addVm(this, v1, v2)
})

Given(/^session affinity (?:knows the versions for|runs for) (\d+) s$/, async function (this: SessionWorld, seconds: string) {
  await this.clock.advance(Number(seconds) * 1000)
})

Given('session affinity on the last VM has versions v1 at {float} and v2 at {float}', function (this: SessionWorld, v1: number, v2: number) {
  setVersion(this.vms.at(-1)!, 'v1', String(v1))
  setVersion(this.vms.at(-1)!, 'v2', String(v2))
})

Given('session affinity cannot reach the object API', function (this: SessionWorld) {
  this.objectApi.setFault(() => 'unavailable')
})

When(/^sessions (\d+) to (\d+) with (a session id|a token|both) begin( on the last VM)?$/, async function (this: SessionWorld, from: string, to: string, identification: Identification, onLastVm: string | undefined) {
  await beginSessions(this, Number(from), Number(to), identification, onLastVm ? this.vms.slice(-1) : this.vms)
})

When('sessions {int} to {int} with a session id begin on all VMs at once', async function (this: SessionWorld, from: number, to: number) {
  for (const number of range(from, to)) {
    const resolutions = await Promise.all(this.vms.map(vm => resolveSession(this, vm, number, 'a session id')))
    assert.equal(new Set(resolutions.map(resolution => resolution.version)).size, 1, `session ${number}, seed ${SEED}`)
    this.firstChoices.set(String(number), resolutions[0]!)
  }
})

When(/^session weights become v1 at (\S+) and v2 at (\S+)( except on the last VM)?$/, function (this: SessionWorld, v1: string, v2: string, exceptLast: string | undefined) {
  for (const vm of exceptLast ? this.vms.slice(0, -1) : this.vms) {
    setVersion(vm, 'v1', v1)
    setVersion(vm, 'v2', v2)
  }
})

When('the session weights of the last VM become v1 at {float} and v2 at {float}', function (this: SessionWorld, v1: number, v2: number) {
  setVersion(this.vms.at(-1)!, 'v1', String(v1))
  setVersion(this.vms.at(-1)!, 'v2', String(v2))
})

When(/^session affinity meets: (.+)$/, async function (this: SessionWorld, event: string) {
  if (event.startsWith('every VM')) {
    for (const vm of this.vms) {
      if (event === 'every VM restarts gracefully') await vm.sessions.stop()
      vm.sessions = startSessions(this, vm)
    }
  }
  if (event === 'the object API is down for 2 s') {
    this.objectApi.setFault(() => 'unavailable')
    this.clock.after(2000, () => this.objectApi.setFault(() => undefined))
  }
})

When(/^a session token for version v2 is presented with (.+)$/, async function (this: SessionWorld, tokenKind: string) {
  const claims = [{ model: MODEL, session: 's', version: brandId<VersionId>('v2') }]
  const validToken = signTokens(claims, TEAM, KEY)
  const [, signature] = signTokens([{ ...claims[0]!, version: brandId<VersionId>('v1') }], TEAM, KEY).split('.')
  const tokens: Record<string, string> = {
    "another team's signature": signTokens(claims, brandId<TeamId>('screens'), KEY),
    'a changed version': `${validToken.split('.')[0]}.${signature}`,
    'an unknown key': signTokens(claims, TEAM, 'unknown-key-0123456789'),
    'no signature': `${validToken.split('.')[0]}.`,
    'other text': '%%%',
    'the previous key': signTokens(claims, TEAM, PREVIOUS_KEY)
  }
  const vm = this.vms[0]!
  this.resolved = await vm.sessions.resolve({ team: TEAM, model: MODEL, token: tokens[tokenKind]!, candidates: candidatesOf(vm) })
})

When('session affinity can reach the object API again for {int} s', async function (this: SessionWorld, seconds: number) {
  this.objectApi.setFault(() => undefined)
  await this.clock.advance(seconds * 1000)
})

When(/^session version v1 is (withdrawn|no longer permitted)$/, function (this: SessionWorld, event: string) {
  for (const vm of this.vms) {
    if (event === 'withdrawn') vm.config.set('Version', 'v1', { model: MODEL, state: 'withdrawn', inputMicrosPerToken: 1, outputMicrosPerToken: 1 })
    else vm.excluded.add('v1')
  }
})

Then(/^sessions (\d+) to (\d+) with (a session id|a token|both) keep their versions on every VM$/, async function (this: SessionWorld, from: string, to: string, identification: Identification) {
  await assertVersions(this, Number(from), Number(to), identification, firstVersion(this))
})

Then(/^sessions (\d+) to (\d+) with a session id have version (v1|v2) on (every|the first) VM$/, async function (this: SessionWorld, from: string, to: string, version: string, scope: string) {
  const vms = scope === 'every' ? this.vms : this.vms.slice(0, 1)
  await assertVersions({ ...this, vms }, Number(from), Number(to), 'a session id', () => version)
})

Then('sessions {int} to {int} used both versions', async function (this: SessionWorld, from: number, to: number) {
  if (!this.firstChoices.has(String(from))) await beginSessions(this, from, to, 'a session id')
  assert.equal(new Set(range(from, to).map(firstVersion(this))).size, 2, `seed ${SEED}`)
})

Then('the session has version {word} and the number of rejected tokens is {int}', function (this: SessionWorld, version: string, count: number) {
  assert.equal(this.resolved?.version, version)
  assert.equal(this.vms[0]!.metrics.value('bad_input', 'session_token'), count)
})

Then('a session token keeps the versions of two models', async function (this: SessionWorld) {
  const [vm] = this.vms as [Vm]
  const other = brandId<ModelId>('other')
  const first = await vm.sessions.resolve({ team: TEAM, model: MODEL, candidates: candidatesOf(vm) })
  const candidates = [{ version: brandId<VersionId>('o1'), weight: 1 }, { version: brandId<VersionId>('o2'), weight: 1 }]
  const second = await vm.sessions.resolve({ team: TEAM, model: other, token: first.token!, candidates })
  const tokenRequest = { team: TEAM, token: second.token! }
  const againFirst = await vm.sessions.resolve({ ...tokenRequest, model: MODEL, candidates: candidatesOf(vm).reverse() })
  const againSecond = await vm.sessions.resolve({ ...tokenRequest, model: other, candidates })
  assert.deepEqual([againFirst.version, againFirst.source], [first.version, 'token'])
  assert.deepEqual([againSecond.version, againSecond.source], [second.version, 'token'])
})

Then(/^sessions (\d+) to (\d+) with (a session id|a token) moved from v1 to v2 and stay there$/, async function (this: SessionWorld, from: string, to: string, identification: Identification) {
  for (const number of range(Number(from), Number(to))) {
    const moved = await resolveSession(this, this.vms[0]!, number, identification)
    assert.deepEqual([moved.version, moved.movedFrom], ['v2', 'v1'])
  }
  for (const vm of this.vms) setVersion(vm, 'v3', '5')
  await assertVersions(this, Number(from), Number(to), identification, () => 'v2')
})

Then('session choices follow the weights and change only in favour of the version whose weight grows', function () {
  console.log(`session property seed ${SEED}`)
  const weight = fc.double({ min: 0.01, max: 10, noNaN: true })
  fc.assert(fc.property(fc.string(), weight, weight, fc.double({ min: 1, max: 5, noNaN: true }), (key, first, second, factor) => {
    const v1 = brandId<VersionId>('v1')
    const v2 = brandId<VersionId>('v2')
    const before = chooseByHash(key, [{ version: v1, weight: first }, { version: v2, weight: second }])
    const after = chooseByHash(key, [{ version: v2, weight: second * factor }, { version: v1, weight: first }])
    assert.ok(after === before || after === v2)
    assert.equal(chooseByHash(key, [{ version: v1, weight: 0 }, { version: v2, weight: second }]), v2)
  }), { seed: SEED })
  const keys = range(1, 4000).map(String)
  const candidates = [{ version: brandId<VersionId>('v1'), weight: 3 }, { version: brandId<VersionId>('v2'), weight: 1 }]
  const share = keys.filter(key => chooseByHash(key, candidates) === 'v2').length / keys.length
  assert.ok(Math.abs(share - 0.25) < 0.03, `share ${share}`)
})
