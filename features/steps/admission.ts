import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { DATA_CENTRE, permitRequest, putBackendServer, putContract, VERSION } from '../../src/bench/admission-fixture.ts'
import { PROBE_TIMEOUT_MS } from '../../src/core/admission/constants.ts'
import { createPrefixIndex, type PrefixIndex } from '../../src/core/admission/prefix-index.ts'
import type { PermitRequest, Priority } from '../../src/core/admission/types.ts'
import { brandId, type DataCentreId, type TeamId, type VmId } from '../../src/core/ids/index.ts'
import {
  addEngine, ask, coldOverloads, createStand, finish, lead, permitOf, RAMP_MS, refusalOf, SETTLE_MS, VM,
  type AdmissionStand, type Asked, type EngineSetup
} from './admission-stand.ts'
import { runInterleavings } from './admission-interleavings.ts'

interface World {
  stand: AdmissionStand
  stands: AdmissionStand[]
  running: Asked[]
  batch: Asked[]
  overloads: number
  prefixes: PrefixIndex
}

const SETTLE_STEP_MS = 1

async function leadServers (world: World, count: number, state: string, setup: EngineSetup): Promise<void> {
  world.stand = createStand()
  for (let i = 1; i <= count; i++) addEngine(world.stand, `runner-${i}`, setup)
  if (state === 'warm') for (const engine of world.stand.engines.values()) engine.warmUp()
  await world.stand.clock.advance(SETTLE_MS + RAMP_MS)
}

async function askMany (stand: AdmissionStand, count: number, fields: Partial<PermitRequest> = {}): Promise<Asked[]> {
  const batch = Array.from({ length: count }, () => ask(stand, fields))
  await stand.clock.advance(SETTLE_STEP_MS)
  return batch
}

function lastAsked ({ stand }: World): Asked {
  return stand.asked.at(-1)!
}

Given('admission leads {int} {word} backend servers with {int} slots and an allowance of {int}', async function (this: World, count: number, state: string, slots: number, coldAllowance: number) {
  await leadServers(this, count, state, { slots, coldAllowance })
})

Given('admission leads {int} {word} backend servers with {int} slots, an allowance of {int} and reports that lag {int} ms', async function (this: World, count: number, state: string, slots: number, coldAllowance: number, reportLagMs: number) {
  await leadServers(this, count, state, { slots, coldAllowance, reportLagMs })
})

Given('admission has {int} requests running', async function (this: World, count: number) {
  this.running = await askMany(this.stand, count)
  for (const asked of this.running) permitOf(asked)
})

Given('admission has a queued request', async function (this: World) {
  ask(this.stand, {}, brandId<VmId>('vm-2'))
  await this.stand.clock.advance(SETTLE_STEP_MS)
  assert.equal(lastAsked(this).answer, undefined)
})

Given('admission has contracts of weight {int} for team-1 and {int} for team-2', function (this: World, first: number, second: number) {
  putContract(this.stand.view, 'team-1', { weight: first, maxConcurrent: 1000 })
  putContract(this.stand.view, 'team-2', { weight: second, maxConcurrent: 1000 })
})

Given('admission has a limit of {int} for team-1', function (this: World, maxConcurrent: number) {
  putContract(this.stand.view, 'team-1', { maxConcurrent })
})

Given('admission has learned that a request takes {int} ms', async function (this: World, ms: number) {
  const [asked] = await askMany(this.stand, 1)
  await this.stand.clock.advance(ms - SETTLE_STEP_MS)
  finish(this.stand, asked!)
})

Given('admission has probes that take {int} ms', function (this: World, ms: number) {
  this.stand.probeDelayMs = ms / 2
})

Given('admission has probes that time out', function (this: World) {
  this.stand.probeDelayMs = PROBE_TIMEOUT_MS / 2
  this.stand.probesTimeOut = true
})

Given('admission has a queue bound of {int}', async function (this: World, maxQueue: number) {
  lead(this.stand, { maxQueue })
  await this.stand.clock.advance(SETTLE_MS + RAMP_MS)
})

Given('admission of {int} data centres that do not hear of each other and a team limit of {int}', async function (this: World, count: number, maxConcurrent: number) {
  const dataCentres = [DATA_CENTRE, ...Array.from({ length: count - 1 }, (_, i) => brandId<DataCentreId>(`other-${i}`))]
  this.stands = dataCentres.map(() => createStand({ dataCentres, maxConcurrent }))
  for (const stand of this.stands) {
    dataCentres.slice(1).forEach((dataCentre, i) => putBackendServer(stand.view, `far-${i}`, { dataCentre }))
    addEngine(stand, 'runner-1', { slots: 100, coldAllowance: 100 })
    await stand.clock.advance(SETTLE_MS)
  }
})

When('admission is asked by {int} VMs for {int} permits each', async function (this: World, vms: number, each: number) {
  for (let i = 0; i < vms * each; i++) ask(this.stand, {}, brandId<VmId>(`vm-${i % vms}`))
  await this.stand.clock.advance(SETTLE_STEP_MS)
})

When('admission sees the backend servers become warm', async function (this: World) {
  for (const engine of this.stand.engines.values()) engine.warmUp()
  await this.stand.clock.advance(RAMP_MS)
})

When('the admission backend server {} without warning', function (this: World, event: string) {
  const engine = this.stand.engines.get('runner-1')!
  if (event.startsWith('restarts')) engine.restart()
  else engine.turnCold()
  if (event === 'restarts warm') engine.warmUp()
})

When('admission learns of it by {}', async function (this: World, sign: string) {
  const [first, ...others] = this.running
  if (sign === 'lost connections') for (const asked of this.running) finish(this.stand, asked, 'crashed')
  if (sign === 'a late first byte') {
    this.stand.scheduler.firstByte({ id: permitOf(others[0]!).id, instance: this.stand.engines.get('runner-1')!.instance }, VM)
    finish(this.stand, first!)
  }
  if (sign === 'a first byte') {
    const latest = this.stand.grants.at(-1)!
    this.stand.scheduler.firstByte({ id: permitOf(latest).id, instance: this.stand.engines.get('runner-1')!.instance }, latest.vm)
  }
  await this.stand.clock.advance(RAMP_MS)
})

When('admission loses the connection of a running request', function (this: World) {
  finish(this.stand, this.running[0]!, 'crashed')
})

When('admission gets a first byte of {int} running requests, one each 400 ms', async function (this: World, count: number) {
  const { instance } = this.stand.engines.get('runner-1')!
  for (const asked of this.running.slice(0, count)) {
    await this.stand.clock.advance(400)
    this.stand.scheduler.firstByte({ id: permitOf(asked).id, instance }, VM)
  }
})

When('admission gets a first byte of the former instance', function (this: World) {
  const { address } = this.stand.engines.get('runner-1')!
  this.stand.scheduler.firstByte({ id: permitOf(this.running[0]!).id, instance: `${address}#1` }, VM)
})

When('admission starts and ends {int} requests in groups of {int}', async function (this: World, count: number, group: number) {
  for (let done = 0; done < count; done += group) {
    const batch = await askMany(this.stand, group)
    await this.stand.clock.advance(500)
    // A failed request has its backend server probed at once, while the lagging report still counts all of them.
    batch.forEach((asked, i) => finish(this.stand, asked, i === group - 1 ? 'failed' : 'completed'))
  }
  await this.stand.clock.advance(2500)
})

When('admission is taken over by a new leader that is told one permit, which never started', function (this: World) {
  const { id, backendServer } = permitOf(this.running[0]!)
  this.stand.engines.get(backendServer)!.end(id)
  lead(this.stand)
  this.stand.scheduler.sync({
    vm: VM, boot: brandId('boot-of-vm-1'), held: [{ id, backendServer, team: brandId('team-1'), fingerprint: 'void', suspect: false, firstByteSeen: false }]
  })
})

When('admission gets that permit back', function (this: World) {
  this.stand.scheduler.release({ id: permitOf(this.running[0]!).id, outcome: 'not_sent' }, VM)
})

When('admission is taken over by a new leader that {} the held permits', function (this: World, registration: string) {
  const held = this.stand.grants.map(asked => {
    const { team, fingerprint, suspect } = asked.request
    return { id: permitOf(asked).id, backendServer: permitOf(asked).backendServer, team, fingerprint, suspect }
  })
  lead(this.stand)
  if (registration === 'is told') this.stand.scheduler.sync({ vm: VM, boot: brandId('boot-of-vm-1'), held })
})

When('admission grants a permit, is taken over, and the request starts {int} ms later', async function (this: World, ms: number) {
  const engine = this.stand.engines.get('runner-1')!
  const answer = await this.stand.scheduler.request(permitRequest({ request: 'late' }), VM)
  assert.ok(answer.granted)
  lead(this.stand)
  await this.stand.clock.advance(ms)
  engine.begin(answer.permit.id)
})

When('admission waits until the new leader grants', async function (this: World) {
  await this.stand.clock.advance(SETTLE_MS)
})

When('admission waits {int} ms', async function (this: World, ms: number) {
  await this.stand.clock.advance(ms)
})

When('admission loses its lease during a pause and a running request ends', async function (this: World) {
  this.stand.held = false
  finish(this.stand, this.running[0]!)
  await this.stand.clock.advance(SETTLE_STEP_MS)
})

When('admission learns that the VM with the running request {word}', function (this: World, event: string) {
  const { scheduler } = this.stand
  if (event === 'died') return scheduler.handleMemberDeath(VM)
  for (const boot of ['first', 'second']) scheduler.sync({ vm: VM, boot: brandId(boot), held: [] })
})

When('admission waits {int} ms while the backend server {}', async function (this: World, ms: number, behaviour: string) {
  if (behaviour === 'has dropped the request') this.stand.engines.get('runner-1')!.end(permitOf(this.running[0]!).id)
  await this.stand.clock.advance(ms)
})

When('admission gets a release {}', async function (this: World, order: string) {
  const [first] = this.running
  if (order === 'twice') {
    finish(this.stand, first!)
    finish(this.stand, first!)
  } else if (order === 'from another VM') {
    this.stand.scheduler.release({ id: permitOf(first!).id, outcome: 'completed' }, brandId('vm-9'))
  } else {
    lead(this.stand)
    finish(this.stand, first!)
    const held = this.running.map(asked => ({
      ...asked.request, id: permitOf(asked).id, backendServer: permitOf(asked).backendServer, firstByteSeen: true
    }))
    this.stand.scheduler.sync({ vm: VM, boot: brandId('boot-of-vm-1'), held })
    await this.stand.clock.advance(SETTLE_MS)
  }
})

When('the admission {} is {}', async function (this: World, object: string, change: string) {
  const { view, clock } = this.stand
  if (object === 'version') view.put('Version', VERSION, { ...view.get('Version', VERSION)!, state: change })
  if (object === 'backend server') putBackendServer(view, 'runner-1', { state: 'leaving', coldAllowance: 1 })
  if (object === 'data centre') view.put('DataCentre', DATA_CENTRE, { region: 'bagmati', state: 'out_of_service' })
  await clock.advance(SETTLE_STEP_MS)
})

When('admission is asked with a newer configuration that {}', async function (this: World, arrival: string) {
  const { view, clock } = this.stand
  ask(this.stand, { configRevision: view.revision() + 1 })
  await clock.advance(100)
  assert.equal(lastAsked(this).answer, undefined, 'the leader waits for the configuration')
  if (arrival === 'arrives after 100 ms') putContract(view, 'team-9')
  if (arrival === 'withdraws the version') view.put('Version', VERSION, { ...view.get('Version', VERSION)!, state: 'withdrawn' })
  await clock.advance(1000)
})

When('admission gets {int} requests of each of {string} and grants {int}', async function (this: World, each: number, contenders: string, grants: number) {
  const blockers = await askMany(this.stand, 4)
  const groups = contenders.split(' and ').map(text => text.split(' ') as [string, Priority])
  for (let i = 0; i < each; i++) {
    for (const [team, priority] of groups) ask(this.stand, { team: brandId<TeamId>(team), priority, waitMs: 100_000 })
  }
  this.batch = this.stand.asked.slice(-each * groups.length)
  let running: Asked[] = blockers
  for (let done = 0; done < grants; done += running.length) {
    for (const asked of running) finish(this.stand, asked)
    await this.stand.clock.advance(SETTLE_STEP_MS)
    running = this.stand.grants.slice(-4)
  }
})

When('admission gets requests that may wait {int}, {int} and {int} ms', async function (this: World, first: number, second: number, third: number) {
  this.batch = [first, second, third].map(waitMs => ask(this.stand, { waitMs }))
  await this.stand.clock.advance(SETTLE_STEP_MS)
})

When('admission gets {int} requests that may wait {int} ms', async function (this: World, count: number, waitMs: number) {
  this.batch = await askMany(this.stand, count, { waitMs })
})

When('admission grants {int} first attempts and is asked for {int} retries', async function (this: World, first: number, retries: number) {
  await askMany(this.stand, first, { waitMs: 1000 })
  for (const asked of this.stand.grants) finish(this.stand, asked)
  this.batch = await askMany(this.stand, retries, { isRetry: true })
})

When('admission gets {int} {} requests with the same prompt prefix', async function (this: World, count: number, kind: string) {
  for (let i = 0; i < count; i++) {
    const fingerprint = kind.startsWith('identical') ? 'same' : `other-${i}`
    if (kind === 'reported suspect') this.stand.suspects.add(fingerprint)
    const prefixHashes = kind === 'identical short' ? [] : ['prefix']
    const suspect = kind.endsWith(' suspect') && kind !== 'reported suspect'
    const { answer } = (await askMany(this.stand, 1, { fingerprint, suspect, prefixHashes, estimatedTokens: 1000 }))[0]!
    if (!answer?.granted) continue
    const { id, backendServer } = answer.permit
    this.stand.scheduler.firstByte({ id, instance: this.stand.engines.get(backendServer)!.instance }, VM)
  }
})

const HASHES = ['4', '3', '2', '1']

/** Cache events after the one with sequence number 10. */
const CACHE_EVENTS: Record<string, { sequence: number, stored?: string[], removed?: string[] }[]> = {
  nothing: [],
  'the removal of the longest prefix': [{ sequence: 11, removed: ['4'] }],
  'a gap': [{ sequence: 13 }],
  'a gap and the prefix again': [{ sequence: 13, stored: HASHES }],
  'an older event with the removal of everything': [{ sequence: 9, removed: HASHES }]
}

Given('admission has sent a prompt of 4 blocks to a backend server', function (this: World) {
  this.prefixes = createPrefixIndex()
  this.prefixes.apply({ backendServer: brandId('runner-1'), instance: 'a', sequence: 10, stored: [], removed: [] })
  this.prefixes.recordSent(brandId('runner-1'), HASHES)
})

When('admission hears of {}', function (this: World, events: string) {
  for (const event of CACHE_EVENTS[events]!) {
    this.prefixes.apply({ backendServer: brandId('runner-1'), instance: 'a', stored: [], removed: [], ...event })
  }
})

Then('admission expects {float} of the prompt in the cache', function (this: World, share: number) {
  assert.equal(this.prefixes.cachedShare(brandId('runner-1'), HASHES), share)
})

When('admission gets a quarantined request', async function (this: World) {
  this.stand.quarantined.add('bad')
  await askMany(this.stand, 1, { fingerprint: 'bad' })
})

When('admission of each data centre is asked for {int} permits', async function (this: World, count: number) {
  for (const stand of this.stands) await askMany(stand, count)
})

When('admission queues {int} requests of team-1 and {int} of team-2', async function (this: World, first: number, second: number) {
  this.batch = await askMany(this.stand, first, { team: brandId('team-1') })
  await askMany(this.stand, second, { team: brandId('team-2') })
})

When('admission runs random interleavings with seed {int}', { timeout: 120_000 }, async function (this: World, seed: number) {
  this.overloads = await runInterleavings(seed)
})

Then('admission has granted {int} permits', function (this: World, count: number) {
  assert.equal(this.stand.grants.length, count)
})

Then('admission has counted a cold start by {word}', function (this: World, reason: string) {
  assert.equal(this.stand.metrics.value('cold_starts', reason), 1)
})

Then('admission has overloaded no cold backend server', function (this: World) {
  assert.equal(coldOverloads(this.stand), 0)
})

Then('admission has overloaded cold backend servers {int} times', function (this: World, count: number) {
  assert.equal(coldOverloads(this.stand), count)
})

Then('admission has overloaded no cold backend server in any of them', function (this: World) {
  assert.equal(this.overloads, 0)
})

Then('admission counts {int} backend servers as warm', function (this: World, count: number) {
  assert.equal(this.stand.scheduler.summary().versions[0]!.warm, count)
})

Then('the admission summary shows {int} free slots', function (this: World, count: number) {
  assert.equal(this.stand.scheduler.summary().versions[0]!.freeSlots, count)
})

Then('admission refused the last request with {string} and {int} ms to wait', function (this: World, reason: string, ms: number) {
  const refusal = refusalOf(lastAsked(this))
  assert.deepEqual([refusal.reason, refusal.retryAfterMs], [reason, ms])
  assert.equal(this.stand.metrics.value('permits_refused', reason) > 0, true)
})

Then('admission {word} the last request', function (this: World, outcome: string) {
  assert.equal(lastAsked(this).answer?.granted, outcome === 'granted')
})

Then('admission granted about {int} of the first and {int} of the second', function (this: World, first: number, second: number) {
  const groups = [this.batch.filter((_, i) => i % 2 === 0), this.batch.filter((_, i) => i % 2 === 1)]
  const counts = groups.map(group => group.filter(({ answer }) => answer?.granted).length)
  const message = `granted ${counts.join(' and ')}`
  assert.ok(Math.abs(counts[0]! - first) <= 1 && Math.abs(counts[1]! - second) <= 1, message)
})

Then('admission grants them in the order {int}, {int}, {int}', async function (this: World, first: number, second: number, third: number) {
  let running = this.running[0]!
  for (const waitMs of [first, second, third]) {
    finish(this.stand, running)
    await this.stand.clock.advance(SETTLE_STEP_MS)
    running = this.batch.find(asked => asked.request.waitMs === waitMs)!
    permitOf(running)
  }
})

Then('admission refused {int} of them at once', function (this: World, count: number) {
  const refused = this.batch.filter(({ answer }) => answer && !answer.granted)
  assert.equal(refused.length, count)
  for (const asked of refused) assert.equal(refusalOf(asked).reason, 'deadline')
})

Then('admission grants a request that comes back after the longest time it was told', async function (this: World) {
  const refused = this.batch.filter(({ answer }) => answer && !answer.granted)
  const retryAfterMs = Math.max(...refused.map(asked => refusalOf(asked).retryAfterMs))
  for (let waited = 0; waited < retryAfterMs; waited += 1000) {
    await this.stand.clock.advance(1000)
    for (const asked of this.stand.grants.slice(-4)) finish(this.stand, asked)
  }
  const again = ask(this.stand, { waitMs: 2000 })
  for (let turn = 0; turn < 2; turn++) {
    await this.stand.clock.advance(1000)
    for (const asked of this.stand.grants.slice(-4)) finish(this.stand, asked)
  }
  await this.stand.clock.advance(SETTLE_STEP_MS)
  permitOf(again)
})

Then('admission has granted {int} retries and counted the others as {string}', function (this: World, count: number, reason: string) {
  const retries = this.batch.filter(({ answer }) => answer?.granted).length
  assert.equal(retries, count)
  assert.equal(this.stand.metrics.value('permits_refused', reason), this.batch.length - count)
})

Then('admission has sent them to {int} backend servers', function (this: World, count: number) {
  assert.equal(new Set(this.stand.grants.map(asked => permitOf(asked).backendServer)).size, count)
})

Then('admission of all data centres has granted {int} permits', function (this: World, count: number) {
  assert.equal(this.stands.reduce((sum, stand) => sum + stand.grants.length, 0), count)
})

Then('admission refused request {int} of team-1 with {string}', function (this: World, position: number, reason: string) {
  assert.equal(refusalOf(this.batch[position - 1]!).reason, reason)
})
