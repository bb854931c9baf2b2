/** Steps about replacements of running attempts, whose reservation a test delays. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createBackendPool, type Backend, type BackendPool } from '../../src/core/backend-pool/index.ts'
import { createModelChoice } from '../../src/core/cascade/model-choice.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { createByteBudget } from '../../src/core/resource-limits/index.ts'
import type { CallerConnection } from '../../src/core/forwarding/caller-connection.ts'
import { createForwarder, type Forwarder } from '../../src/core/forwarding/forward.ts'
import { createRetryAllowance, type RetryAllowance } from '../../src/core/forwarding/retry-allowance.ts'
import type { Route } from '../../src/core/forwarding/types.ts'
import { brandId, type BackendServerId, type ModelId, type ServiceId, type VmId } from '../../src/core/ids/index.ts'
import { createDecisionLog } from '../../src/core/logging/decision-log.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import type { AttemptEnd } from '../../src/core/pacing/index.ts'
import { createPartQuarantine } from '../../src/core/quarantine/request-parts.ts'
import { adapter, backendEntry, HARNESS_VM, route } from '../support/forwarding-vm-harness.ts'
import { startScriptedBackend, type BackendBehaviour } from '../support/scripted-backend.ts'
import { startSilentListener } from '../support/silent-listener.ts'

interface ReplacementWorld {
  forwarder: Forwarder
  allowance: RetryAllowance
  retries: number
  pool: BackendPool
  backends: Backend[]
  closers: (() => Promise<void>)[]
  text: string
  ends: AttemptEnd[]
  connectFailures: number
}

const SERVICE = brandId<ServiceId>('service')
const DEFAULT_DEADLINE_MS = 2500
/** Short, so that an attempt is late before its connection times out. */
const TARGET_LATENCY_MS = 150

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

After({ tags: '@replacement' }, async function (this: Partial<ReplacementWorld>) {
  for (const close of this.closers ?? []) await close()
})

async function startBackend (behaviour: string): Promise<{ address: string, close(): Promise<void> }> {
  if (behaviour === 'connect-never') return await startSilentListener()
  const backend = await startScriptedBackend({ behaviours: [behaviour === 'refuse' ? 'answer' : behaviour as BackendBehaviour] })
  if (behaviour === 'refuse') await backend.close()
  return { address: backend.address, close: async () => { if (behaviour !== 'refuse') await backend.close() } }
}

Given(/^a forwarder with (\d+) retr(?:y|ies), replacements that take (\d+) ms( by the clock)? and backend servers that (.*)$/, async function (this: ReplacementWorld, retries: string, delayMs: string, byClock: string | null, behaviours: string) {
  this.ends = []
  this.connectFailures = 0
  const metrics = createMetrics()
  const log = createDecisionLog({ vm: HARNESS_VM, clock: systemClock, write: () => true })
  this.pool = createBackendPool({ cold: { limit: () => 0, vms: () => [HARNESS_VM] as readonly VmId[], self: HARNESS_VM }, clock: systemClock, log: silentLog, metrics })
  const servers = await Promise.all(behaviours.split(', ').map(startBackend))
  this.closers = servers.map(server => server.close)
  this.pool.applySnapshot(servers.map(({ address }, index) => ({ ...backendEntry(address), id: brandId<BackendServerId>(`backend-${index}`) })))
  this.backends = [...this.pool.all()]
  this.retries = Number(retries)
  // Only a part of the slack is used, see SAFETY_FACTOR.
  this.allowance = createRetryAllowance({ share: 0, slack: this.retries / 0.8, windowMs: 60_000, vmCount: () => 1, clock: systemClock })
  let aheadMs = 0
  const waiting = [...this.backends]
  const reserveNext = () => this.pool.reserve(waiting.length > 1 ? waiting.shift()! : waiting[0]!, { running: 1, prompt: 0 })
  this.forwarder = createForwarder({
    codec: adapter,
    modelChoice: createModelChoice({
      meanLoad: () => 0, slots: () => undefined, cost: () => undefined, allowance: () => this.allowance.state(), clock: systemClock, random: Math.random
    }),
    reserveCapacity: async () => reserveNext(),
    onCapacityFreed () {},
    async reserveReplacement () {
      if (byClock) aheadMs += Number(delayMs)
      else await sleep(Number(delayMs))
      return reserveNext()
    },
    retryAllowance: () => this.allowance,
    recheckAccess: () => undefined,
    partQuarantine: createPartQuarantine({ clock: systemClock, log, metrics }),
    recordNamedLimit () {},
    recordAvailability () {},
    recordConnection: (_backend, isOpen) => { if (!isOpen) this.connectFailures++ },
    recordMisdirected () {},
    observe: () => ({ recordEvent () {}, end: end => { this.ends.push(end) } }),
    clock: { ...systemClock, now: () => systemClock.now() + aheadMs },
    metrics,
    log,
    random: Math.random
  })
})

/** Collects the status and the body of the response, and "cut" or an error's status. */
function collectingCaller (world: ReplacementWorld): CallerConnection {
  let hasStarted = false
  world.text = ''
  const budget = createByteBudget({ totalBytes: Infinity, reserveBytes: 0, clock: systemClock })
  return {
    claim: budget.open({ connection: world, address: undefined, team: undefined }),
    sendResponse (status, _headers, body) { world.text += `${status} ${Buffer.concat(body.blocks).toString()}` },
    startResponse (status) {
      hasStarted = true
      world.text += `${status}`
    },
    hasStarted: () => hasStarted,
    write (bytes) {
      for (const event of bytes.toString().split('\n\n').slice(0, -1)) world.text += ` ${/^id: (\d+)$/m.exec(event)?.[1]}`
      return true
    },
    onDrain () {},
    end () { world.text += ' end' },
    fail ({ httpStatus }) { world.text += hasStarted ? ' cut' : `${httpStatus}` },
    onDisconnect () {}
  }
}

async function forward (world: ReplacementWorld, kind: Route['kind'], { models = [], deadlineMs = DEFAULT_DEADLINE_MS }: { models?: ModelId[], deadlineMs?: number } = {}): Promise<void> {
  const path = kind === 'streaming' ? '/stream/1' : '/read/1'
  const raw = ['x-test-id', 'request-1']
  const request = adapter.decodeCallerRequest('POST', path, { 'x-test-id': 'request-1', 'x-test-wait-ms': String(deadlineMs), host: 'desk.example' }, raw)
  await world.forwarder.forward({
    request, route: route(path, kind, { models, targetLatencyMs: TARGET_LATENCY_MS }), service: SERVICE, team: undefined, body: undefined, receivedMs: systemClock.now(), caller: collectingCaller(world)
  })
}

When('it forwards a stream', async function (this: ReplacementWorld) { await forward(this, 'streaming') })

When('it forwards an idempotent request', async function (this: ReplacementWorld) { await forward(this, 'idempotent') })

When(/^it forwards an idempotent request with a deadline of (\d+) ms$/, async function (this: ReplacementWorld, deadlineMs: string) {
  await forward(this, 'idempotent', { deadlineMs: Number(deadlineMs) })
})

When(/^it forwards (a stream|an idempotent request) with a choice of models and a deadline of (\d+) ms$/, async function (this: ReplacementWorld, request: string, deadlineMs: string) {
  await forward(this, request === 'a stream' ? 'streaming' : 'idempotent', { models: [brandId<ModelId>('small'), brandId<ModelId>('large')], deadlineMs: Number(deadlineMs) })
})

Then(/^the caller of the forwarder gets (\d+) with the events (.*) and the end$/, function (this: ReplacementWorld, status: string, events: string) {
  assert.equal(this.text, `${status} ${events.replaceAll(',', '')} end`)
})

Then(/^the caller of the forwarder gets (\d+) with (\w+)$/, function (this: ReplacementWorld, status: string, body: string) {
  assert.equal(this.text, `${status} ${body}`)
})

Then(/^(\d+) connections are recorded as failed$/, function (this: ReplacementWorld, count: string) { assert.equal(this.connectFailures, Number(count)) })

Then(/^its attempts are observed as (.*)$/, function (this: ReplacementWorld, ends: string) { assert.equal(this.ends.join(', '), ends) })

Then('the caller of the forwarder gets 200 1 2 cut', function (this: ReplacementWorld) { assert.equal(this.text, '200 1 2 cut') })

Then(/^the caller of the forwarder gets (\d+)$/, function (this: ReplacementWorld, status: number) { assert.equal(this.text, `${status}`) })

Then(/^(no|\d+) retry is used up and no capacity is taken$/, async function (this: ReplacementWorld, used: string) {
  // A reservation that is not needed any more is returned when it is there.
  await sleep(500)
  let left = 0
  while (this.allowance.tryTake()) left++
  assert.equal(this.retries - left, used === 'no' ? 0 : Number(used))
  assertNoCapacityTaken(this)
})

Then('no capacity is taken', async function (this: ReplacementWorld) {
  await sleep(500)
  assertNoCapacityTaken(this)
})

function assertNoCapacityTaken ({ backends }: ReplacementWorld): void {
  assert.deepEqual(backends.map(({ inFlight }) => inFlight), backends.map(() => 0))
}
