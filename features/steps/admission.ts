import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { DATA_CENTRE, permitRequest, putBackendServer, putContract, VERSION } from '../../src/bench/admission-fixture.ts'
import { PROBE_TIMEOUT_MS } from '../../src/core/admission/constants.ts'
import { createPrefixIndex, type PrefixIndex } from '../../src/core/admission/prefix-index.ts'
import type { PermitRequest, Priority } from '../../src/core/admission/types.ts'
import { brandId, type DataCentreId, type TeamId, type VmId } from '../../src/core/ids/index.ts'
import {
  addEngine, submitRequest, coldOverloads, createHarness, finish, startScheduler, expectPermit, RAMP_MS, expectRefusal, TAKEOVER_WAIT_MS, VM,
  type AdmissionHarness, type SubmittedRequest, type EngineSetup
} from './admission-harness.ts'
import { runInterleavings } from './admission-interleavings.ts'

interface AdmissionWorld {
  harness: AdmissionHarness
  harnesses: AdmissionHarness[]
  running: SubmittedRequest[]
  batch: SubmittedRequest[]
  overloads: number
  prefixIndex: PrefixIndex
}

const STEP_MS = 1

async function createServers (world: AdmissionWorld, count: number, state: string, setup: EngineSetup): Promise<void> {
  world.harness = createHarness()
  for (let i = 1; i <= count; i++) addEngine(world.harness, `runner-${i}`, setup)
  if (state === 'warm') for (const engine of world.harness.engines.values()) engine.warmUp()
  await world.harness.clock.advance(TAKEOVER_WAIT_MS + RAMP_MS)
}

async function submitMany (harness: AdmissionHarness, count: number, fields: Partial<PermitRequest> = {}): Promise<SubmittedRequest[]> {
  const batch = Array.from({ length: count }, () => submitRequest(harness, fields))
  await harness.clock.advance(STEP_MS)
  return batch
}

function lastSubmitted ({ harness }: AdmissionWorld): SubmittedRequest {
  return harness.submitted.at(-1)!
}

Given('the scheduler manages {int} {word} backend server(s) with {int} slots and a cold allowance of {int}', async function (this: AdmissionWorld, count: number, state: string, slots: number, coldAllowance: number) {
  await createServers(this, count, state, { slots, coldAllowance })
})

Given('the scheduler manages {int} {word} backend server(s) with {int} slots, a cold allowance of {int} and reports that lag {int} ms', async function (this: AdmissionWorld, count: number, state: string, slots: number, coldAllowance: number, reportLagMs: number) {
  await createServers(this, count, state, { slots, coldAllowance, reportLagMs })
})

Given('the scheduler has {int} running request(s)', async function (this: AdmissionWorld, count: number) {
  this.running = await submitMany(this.harness, count)
  for (const submitted of this.running) expectPermit(submitted)
})

Given('the scheduler has a queued request', async function (this: AdmissionWorld) {
  submitRequest(this.harness, {}, brandId<VmId>('vm-2'))
  await this.harness.clock.advance(STEP_MS)
  assert.equal(lastSubmitted(this).answer, undefined)
})

Given('the scheduler has contracts of weight {int} for team-1 and {int} for team-2', function (this: AdmissionWorld, first: number, second: number) {
  putContract(this.harness.view, 'team-1', { weight: first, maxConcurrent: 1000 })
  putContract(this.harness.view, 'team-2', { weight: second, maxConcurrent: 1000 })
})

Given('the scheduler has a limit of {int} concurrent requests for team-1', function (this: AdmissionWorld, maxConcurrent: number) {
  putContract(this.harness.view, 'team-1', { maxConcurrent })
})

Given('the scheduler has measured that a request takes {int} ms', async function (this: AdmissionWorld, ms: number) {
  const [submitted] = await submitMany(this.harness, 1)
  await this.harness.clock.advance(ms - STEP_MS)
  finish(this.harness, submitted!)
})

Given('the health probes of the scheduler take {int} ms', function (this: AdmissionWorld, ms: number) {
  this.harness.probeDelayMs = ms / 2
})

Given('the health probes of the scheduler time out', function (this: AdmissionWorld) {
  this.harness.probeDelayMs = PROBE_TIMEOUT_MS / 2
  this.harness.probesTimeOut = true
})

Given('the scheduler has a queue limit of {int}', async function (this: AdmissionWorld, maxQueue: number) {
  startScheduler(this.harness, { maxQueue })
  await this.harness.clock.advance(TAKEOVER_WAIT_MS + RAMP_MS)
})

Given('the schedulers of {int} data centres have no summaries of each other and a team limit of {int}', async function (this: AdmissionWorld, count: number, maxConcurrent: number) {
  const dataCentres = [DATA_CENTRE, ...Array.from({ length: count - 1 }, (_, i) => brandId<DataCentreId>(`other-${i}`))]
  this.harnesses = dataCentres.map(() => createHarness({ dataCentres, maxConcurrent }))
  for (const harness of this.harnesses) {
    dataCentres.slice(1).forEach((dataCentre, i) => putBackendServer(harness.view, `far-${i}`, { dataCentre }))
    addEngine(harness, 'runner-1', { slots: 100, coldAllowance: 100 })
    await harness.clock.advance(TAKEOVER_WAIT_MS)
  }
})

When('the scheduler gets requests from {int} VM(s) for {int} permit(s) each', async function (this: AdmissionWorld, vms: number, permitsPerVm: number) {
  for (let i = 0; i < vms * permitsPerVm; i++) submitRequest(this.harness, {}, brandId<VmId>(`vm-${i % vms}`))
  await this.harness.clock.advance(STEP_MS)
})

When('the backend servers of the scheduler become warm', async function (this: AdmissionWorld) {
  for (const engine of this.harness.engines.values()) engine.warmUp()
  await this.harness.clock.advance(RAMP_MS)
})

When('the backend server of the scheduler {} without notice', function (this: AdmissionWorld, event: string) {
  const engine = this.harness.engines.get('runner-1')!
  if (event.startsWith('restarts')) engine.restart()
  else engine.turnCold()
  if (event === 'restarts and reports warm') engine.warmUp()
})

When('the scheduler detects this by {}', async function (this: AdmissionWorld, sign: string) {
  const [first, ...others] = this.running
  if (sign === 'lost connections') for (const submitted of this.running) finish(this.harness, submitted, 'crashed')
  if (sign === 'a late first byte') {
    this.harness.scheduler.recordFirstByte({ id: expectPermit(others[0]!).id, instance: this.harness.engines.get('runner-1')!.instance }, VM)
    finish(this.harness, first!)
  }
  if (sign === 'a first byte') {
    const latest = this.harness.grants.at(-1)!
    this.harness.scheduler.recordFirstByte({ id: expectPermit(latest).id, instance: this.harness.engines.get('runner-1')!.instance }, latest.vm)
  }
  await this.harness.clock.advance(RAMP_MS)
})

When('a running request of the scheduler loses its connection', function (this: AdmissionWorld) {
  finish(this.harness, this.running[0]!, 'crashed')
})

When('the scheduler gets the first bytes of {int} running requests, one every 400 ms', async function (this: AdmissionWorld, count: number) {
  const { instance } = this.harness.engines.get('runner-1')!
  for (const submitted of this.running.slice(0, count)) {
    await this.harness.clock.advance(400)
    this.harness.scheduler.recordFirstByte({ id: expectPermit(submitted).id, instance }, VM)
  }
})

When('the scheduler gets a first byte from the previous instance', function (this: AdmissionWorld) {
  const { address } = this.harness.engines.get('runner-1')!
  this.harness.scheduler.recordFirstByte({ id: expectPermit(this.running[0]!).id, instance: `${address}#1` }, VM)
})

When('the scheduler grants {int} requests in groups of {int}, each after the previous one has ended', async function (this: AdmissionWorld, count: number, groupSize: number) {
  for (let done = 0; done < count; done += groupSize) {
    const batch = await submitMany(this.harness, groupSize)
    await this.harness.clock.advance(500)
    // The failed request triggers a probe at once, while the lagging report still counts all requests of the group.
    batch.forEach((submitted, i) => finish(this.harness, submitted, i === groupSize - 1 ? 'failed' : 'completed'))
  }
  await this.harness.clock.advance(2500)
})

When('the scheduler of a new leader takes over with one registered permit whose request never started', function (this: AdmissionWorld) {
  const { id, backendServer } = expectPermit(this.running[0]!)
  this.harness.engines.get(backendServer)!.end(id)
  startScheduler(this.harness)
  this.harness.scheduler.sync({
    vm: VM, boot: brandId('boot-of-vm-1'), held: [{ id, backendServer, team: brandId('team-1'), fingerprint: 'void', suspect: false, firstByteSeen: false }]
  })
})

When('the permit whose request never started is released as not sent', function (this: AdmissionWorld) {
  this.harness.scheduler.release({ id: expectPermit(this.running[0]!).id, outcome: 'not_sent' }, VM)
})

When('the scheduler of a new leader takes over and {} of the held permits', function (this: AdmissionWorld, registration: string) {
  const held = this.harness.grants.map(submitted => {
    const { team, fingerprint, suspect } = submitted.request
    return { id: expectPermit(submitted).id, backendServer: expectPermit(submitted).backendServer, team, fingerprint, suspect }
  })
  startScheduler(this.harness)
  if (registration === 'is told') this.harness.scheduler.sync({ vm: VM, boot: brandId('boot-of-vm-1'), held })
})

When('the scheduler grants a permit, the scheduler of a new leader takes over, and the request starts {int} ms later', async function (this: AdmissionWorld, ms: number) {
  const engine = this.harness.engines.get('runner-1')!
  const answer = await this.harness.scheduler.request(permitRequest({ request: 'late' }), VM)
  assert.ok(answer.granted)
  startScheduler(this.harness)
  await this.harness.clock.advance(ms)
  engine.begin(answer.permit.id)
})

When('the scheduler runs until its takeover wait is over', async function (this: AdmissionWorld) {
  await this.harness.clock.advance(TAKEOVER_WAIT_MS)
})

When('the scheduler runs for {int} ms', async function (this: AdmissionWorld, ms: number) {
  await this.harness.clock.advance(ms)
})

When('the scheduler loses its lease during a pause and a running request ends', async function (this: AdmissionWorld) {
  this.harness.leaseHeld = false
  finish(this.harness, this.running[0]!)
  await this.harness.clock.advance(STEP_MS)
})

When('the scheduler learns that the VM with the running request {word}', function (this: AdmissionWorld, event: string) {
  const { scheduler } = this.harness
  if (event === 'died') return scheduler.handleMemberDeath(VM)
  for (const boot of ['first', 'second']) scheduler.sync({ vm: VM, boot: brandId(boot), held: [] })
})

When('the scheduler runs for {int} ms while the backend server {}', async function (this: AdmissionWorld, ms: number, behaviour: string) {
  if (behaviour === 'has dropped the request') this.harness.engines.get('runner-1')!.end(expectPermit(this.running[0]!).id)
  await this.harness.clock.advance(ms)
})

When('the scheduler gets a release {}', async function (this: AdmissionWorld, order: string) {
  const [first] = this.running
  if (order === 'twice') {
    finish(this.harness, first!)
    finish(this.harness, first!)
  } else if (order === 'from another VM') {
    this.harness.scheduler.release({ id: expectPermit(first!).id, outcome: 'completed' }, brandId('vm-9'))
  } else {
    startScheduler(this.harness)
    finish(this.harness, first!)
    const held = this.running.map(submitted => ({
      ...submitted.request, id: expectPermit(submitted).id, backendServer: expectPermit(submitted).backendServer, firstByteSeen: true
    }))
    this.harness.scheduler.sync({ vm: VM, boot: brandId('boot-of-vm-1'), held })
    await this.harness.clock.advance(TAKEOVER_WAIT_MS)
  }
})

When('the {} of the scheduler is {}', async function (this: AdmissionWorld, object: string, change: string) {
  const { view, clock } = this.harness
  if (object === 'version') view.put('Version', VERSION, { ...view.get('Version', VERSION)!, state: change })
  if (object === 'backend server') putBackendServer(view, 'runner-1', { state: 'leaving', coldAllowance: 1 })
  if (object === 'data centre') view.put('DataCentre', DATA_CENTRE, { region: 'bagmati', state: 'out_of_service' })
  await clock.advance(STEP_MS)
})

When('the scheduler gets a request based on a newer configuration that {}', async function (this: AdmissionWorld, arrival: string) {
  const { view, clock } = this.harness
  submitRequest(this.harness, { configRevision: view.revision() + 1 })
  await clock.advance(100)
  assert.equal(lastSubmitted(this).answer, undefined, 'the request waits for the configuration')
  if (arrival === 'arrives after 100 ms') putContract(view, 'team-9')
  if (arrival === 'withdraws the version') view.put('Version', VERSION, { ...view.get('Version', VERSION)!, state: 'withdrawn' })
  await clock.advance(1000)
})

When('the scheduler gets {int} requests of each of {string} and grants {int}', async function (this: AdmissionWorld, each: number, contenders: string, grants: number) {
  const blockers = await submitMany(this.harness, 4)
  const groups = contenders.split(' and ').map(text => text.split(' ') as [string, Priority])
  for (let i = 0; i < each; i++) {
    for (const [team, priority] of groups) submitRequest(this.harness, { team: brandId<TeamId>(team), priority, waitMs: 100_000 })
  }
  this.batch = this.harness.submitted.slice(-each * groups.length)
  let running: SubmittedRequest[] = blockers
  for (let done = 0; done < grants; done += running.length) {
    for (const submitted of running) finish(this.harness, submitted)
    await this.harness.clock.advance(STEP_MS)
    running = this.harness.grants.slice(-4)
  }
})

When('the scheduler gets requests that may wait {int}, {int} and {int} ms', async function (this: AdmissionWorld, first: number, second: number, third: number) {
  this.batch = [first, second, third].map(waitMs => submitRequest(this.harness, { waitMs }))
  await this.harness.clock.advance(STEP_MS)
})

When('the scheduler gets {int} requests that may wait {int} ms', async function (this: AdmissionWorld, count: number, waitMs: number) {
  this.batch = await submitMany(this.harness, count, { waitMs })
})

When('the scheduler grants {int} first attempts and gets {int} retries', async function (this: AdmissionWorld, first: number, retries: number) {
  await submitMany(this.harness, first, { waitMs: 1000 })
  for (const submitted of this.harness.grants) finish(this.harness, submitted)
  this.batch = await submitMany(this.harness, retries, { isRetry: true })
})

When('the scheduler gets {int} {} requests with the same prompt prefix', async function (this: AdmissionWorld, count: number, kind: string) {
  for (let i = 0; i < count; i++) {
    const fingerprint = kind.startsWith('identical') ? 'same' : `other-${i}`
    if (kind === 'reported suspect') this.harness.suspects.add(fingerprint)
    const prefixHashes = kind === 'identical short' ? [] : ['prefix']
    const suspect = kind.endsWith(' suspect') && kind !== 'reported suspect'
    const { answer } = (await submitMany(this.harness, 1, { fingerprint, suspect, prefixHashes, estimatedTokens: 1000 }))[0]!
    if (!answer?.granted) continue
    const { id, backendServer } = answer.permit
    this.harness.scheduler.recordFirstByte({ id, instance: this.harness.engines.get(backendServer)!.instance }, VM)
  }
})

const HASHES = ['4', '3', '2', '1']

/** Cache events received after the one with sequence number 10. */
const CACHE_EVENTS: Record<string, { sequence: number, stored?: string[], removed?: string[] }[]> = {
  nothing: [],
  'the removal of the longest prefix': [{ sequence: 11, removed: ['4'] }],
  'a gap': [{ sequence: 13 }],
  'a gap and the prefix again': [{ sequence: 13, stored: HASHES }],
  'an older event with the removal of everything': [{ sequence: 9, removed: HASHES }]
}

Given('a prefix index of a backend server to which a prompt of 4 blocks was sent', function (this: AdmissionWorld) {
  this.prefixIndex = createPrefixIndex()
  this.prefixIndex.apply({ backendServer: brandId('runner-1'), instance: 'a', sequence: 10, stored: [], removed: [] })
  this.prefixIndex.recordSent(brandId('runner-1'), HASHES)
})

When('the prefix index is notified of {}', function (this: AdmissionWorld, events: string) {
  for (const event of CACHE_EVENTS[events]!) {
    this.prefixIndex.apply({ backendServer: brandId('runner-1'), instance: 'a', stored: [], removed: [], ...event })
  }
})

Then('the prefix index expects {float} of the prompt in the cache', function (this: AdmissionWorld, share: number) {
  assert.equal(this.prefixIndex.cachedShare(brandId('runner-1'), HASHES), share)
})

When('the scheduler gets a quarantined request', async function (this: AdmissionWorld) {
  this.harness.quarantined.add('bad')
  await submitMany(this.harness, 1, { fingerprint: 'bad' })
})

When('the scheduler of each data centre gets {int} requests', async function (this: AdmissionWorld, count: number) {
  for (const harness of this.harnesses) await submitMany(harness, count)
})

When('the scheduler gets {int} requests of team-1 and {int} of team-2', async function (this: AdmissionWorld, first: number, second: number) {
  this.batch = await submitMany(this.harness, first, { team: brandId('team-1') })
  await submitMany(this.harness, second, { team: brandId('team-2') })
})

When('the scheduler runs random interleavings with seed {int}', { timeout: 120_000 }, async function (this: AdmissionWorld, seed: number) {
  this.overloads = await runInterleavings(seed)
})

Then('the scheduler has granted {int} permit(s)', function (this: AdmissionWorld, count: number) {
  assert.equal(this.harness.grants.length, count)
})

Then('the scheduler has counted a cold start with the reason {word}', function (this: AdmissionWorld, reason: string) {
  assert.equal(this.harness.metrics.value('cold_starts', reason), 1)
})

Then('the scheduler has overloaded no cold backend server', function (this: AdmissionWorld) {
  assert.equal(coldOverloads(this.harness), 0)
})

Then('the scheduler has overloaded cold backend servers {int} times', function (this: AdmissionWorld, count: number) {
  assert.equal(coldOverloads(this.harness), count)
})

Then('the scheduler has overloaded no cold backend server in any of them', function (this: AdmissionWorld) {
  assert.equal(this.overloads, 0)
})

Then('the scheduler counts {int} backend server(s) as warm', function (this: AdmissionWorld, count: number) {
  assert.equal(this.harness.scheduler.summary().versions[0]!.warm, count)
})

Then('the summary of the scheduler shows {int} free slots', function (this: AdmissionWorld, count: number) {
  assert.equal(this.harness.scheduler.summary().versions[0]!.freeSlots, count)
})

Then('the scheduler refused the last request with {string} and a retry time of {int} ms', function (this: AdmissionWorld, reason: string, ms: number) {
  const refusal = expectRefusal(lastSubmitted(this))
  assert.deepEqual([refusal.reason, refusal.retryAfterMs], [reason, ms])
  assert.equal(this.harness.metrics.value('permits_refused', reason) > 0, true)
})

Then('the scheduler {word} the last request', function (this: AdmissionWorld, outcome: string) {
  assert.equal(lastSubmitted(this).answer?.granted, outcome === 'granted')
})

Then('the scheduler granted about {int} of the first and {int} of the second', function (this: AdmissionWorld, first: number, second: number) {
  const groups = [this.batch.filter((_, i) => i % 2 === 0), this.batch.filter((_, i) => i % 2 === 1)]
  const counts = groups.map(group => group.filter(({ answer }) => answer?.granted).length)
  const message = `granted ${counts.join(' and ')}`
  assert.ok(Math.abs(counts[0]! - first) <= 1 && Math.abs(counts[1]! - second) <= 1, message)
})

Then('the scheduler grants them in the order {int}, {int}, {int}', async function (this: AdmissionWorld, first: number, second: number, third: number) {
  let running = this.running[0]!
  for (const waitMs of [first, second, third]) {
    finish(this.harness, running)
    await this.harness.clock.advance(STEP_MS)
    running = this.batch.find(submitted => submitted.request.waitMs === waitMs)!
    expectPermit(running)
  }
})

Then('the scheduler refused {int} of them at once', function (this: AdmissionWorld, count: number) {
  const refused = this.batch.filter(({ answer }) => answer && !answer.granted)
  assert.equal(refused.length, count)
  for (const submitted of refused) assert.equal(expectRefusal(submitted).reason, 'deadline')
})

Then('the scheduler grants a request that is repeated after the longest retry time', async function (this: AdmissionWorld) {
  const refused = this.batch.filter(({ answer }) => answer && !answer.granted)
  const retryAfterMs = Math.max(...refused.map(submitted => expectRefusal(submitted).retryAfterMs))
  for (let waited = 0; waited < retryAfterMs; waited += 1000) {
    await this.harness.clock.advance(1000)
    for (const submitted of this.harness.grants.slice(-4)) finish(this.harness, submitted)
  }
  const again = submitRequest(this.harness, { waitMs: 2000 })
  for (let turn = 0; turn < 2; turn++) {
    await this.harness.clock.advance(1000)
    for (const submitted of this.harness.grants.slice(-4)) finish(this.harness, submitted)
  }
  await this.harness.clock.advance(STEP_MS)
  expectPermit(again)
})

Then('the scheduler has granted {int} retries and counted the others as refused with {string}', function (this: AdmissionWorld, count: number, reason: string) {
  const retries = this.batch.filter(({ answer }) => answer?.granted).length
  assert.equal(retries, count)
  assert.equal(this.harness.metrics.value('permits_refused', reason), this.batch.length - count)
})

Then('the scheduler has distributed them over {int} backend servers', function (this: AdmissionWorld, count: number) {
  assert.equal(new Set(this.harness.grants.map(submitted => expectPermit(submitted).backendServer)).size, count)
})

Then('the schedulers of all data centres have granted {int} permits together', function (this: AdmissionWorld, count: number) {
  assert.equal(this.harnesses.reduce((sum, harness) => sum + harness.grants.length, 0), count)
})

Then('the scheduler refused request {int} of team-1 with {string}', function (this: AdmissionWorld, position: number, reason: string) {
  assert.equal(expectRefusal(this.batch[position - 1]!).reason, reason)
})
