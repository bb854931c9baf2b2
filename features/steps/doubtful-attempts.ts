/** Ends of attempts while it is open whether this VM or the backend servers have failed, with the real counts. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createBackendPool, type Backend } from '../../src/core/backend-pool/index.ts'
import { createAttemptObserver, type AttemptObserver } from '../../src/core/forwarding-vm/attempt-observer.ts'
import type { ForwardedRequest } from '../../src/core/forwarding/forward.ts'
import { brandId, type ServiceId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { createPacing, type AttemptEnd, type Pacing } from '../../src/core/pacing/index.ts'
import { createRequestCounter, type RequestCounter } from '../../src/core/version-trial/counts.ts'
import { backendEntry } from '../support/forwarding-vm-harness.ts'
import { serverId, type ReachingVms } from '../support/reaching-vms.ts'

interface AttemptWorld {
  fleet: ReachingVms
  backend: Backend
  pacing: Pacing
  counter: RequestCounter
  observer: AttemptObserver
  served: number
  before: ReturnType<typeof seen>
}

const CHAT = brandId<ServiceId>('chat')

Given(/^a version of chat under trial that usually answers in (\d+) ms$/, async function (this: AttemptWorld, ms: string) {
  const { clock, vms: [vm] } = this.fleet
  const { id: self, reachability } = vm!
  const options = { clock, log: silentLog, metrics: createMetrics() }
  const pool = createBackendPool({ cold: { limit: () => 0, vms: () => [self], self }, ...options })
  pool.apply({ ...backendEntry('127.0.0.1:1', { service: CHAT, slots: 16 }), id: serverId(CHAT, 3) })
  this.backend = pool.get(serverId(CHAT, 3))!
  this.pacing = createPacing({ groupOf: () => 'chat', slotsOf: () => 16, isCold: () => false, serverCount: () => 4, loadOf: () => 0, onRecovered () {}, vms: () => [self], self, ...options })
  this.counter = createRequestCounter(clock)
  this.served = 0
  this.observer = createAttemptObserver({ pool, pacing: this.pacing, trials: { observe: () => this.counter.observe(), beginRun: () => () => {} }, isDoubtful: reachability.isDoubtful, onServed: () => { this.served++ } })
  for (let round = 0; round < USUAL_ROUNDS; round++) await run(this, { end: 'completed', hasEvents: true, ms: Number(ms) })
  this.served = 0
  this.before = seen(this)
})

const FIRST_EVENT_MS = 100
const STREAMS_AT_ONCE = 5
const USUAL_ROUNDS = 8

/** What is known of the version and of the backend server; the samples are those since the last call. */
const seen = ({ counter, backend, pacing }: AttemptWorld) => ({ counts: counter.snapshot(), failureRate: backend.failureRate, ...pacing.report('computing') })

async function run ({ observer, backend, fleet: { clock } }: AttemptWorld, { end, hasEvents, ms }: { end: AttemptEnd, hasEvents: boolean, ms: number }): Promise<void> {
  const forwarded = { service: CHAT, route: { name: 'chat', kind: 'streaming' }, request: { promptTokens: 100 }, body: undefined } as unknown as ForwardedRequest
  const observations = Array.from({ length: STREAMS_AT_ONCE }, () => observer.observe(backend, forwarded, { isFirst: true, model: undefined }))
  await clock.advance(FIRST_EVENT_MS)
  if (hasEvents) for (const { recordEvent } of [...observations, ...observations]) recordEvent()
  await clock.advance(ms - FIRST_EVENT_MS)
  for (const observation of observations) observation.end(end)
}

/** Class and value of each sample. */
function samplesIn (reported: Record<string, readonly number[]> = {}): string[] {
  return Object.values(reported).flatMap(values => values.flatMap((value, index) => index % 2 === 0 ? [`${value} ${values[index + 1]}`] : []))
}

When(/^(\d+) connections of VM 1 fail, and (\d+) ms pass$/, async function (this: AttemptWorld, count: string, ms: string) {
  for (let server = 1; server <= Number(count); server++) this.fleet.vms[0]!.reachability.recordConnection(CHAT, serverId(CHAT, server), false)
  await this.fleet.clock.advance(Number(ms))
})

When(/^5 streams (without an event|with events) end as (\w+) after 2 s$/, async function (this: AttemptWorld, events: string, end: AttemptEnd) {
  await run(this, { end, hasEvents: events === 'with events', ms: 2000 })
})

Then(/^they count against (nobody|the version and the backend server)$/, function (this: AttemptWorld, whom: string) {
  const { counts, failureRate, samples, failures } = seen(this)
  if (whom === 'nobody') {
    const usual = samplesIn(this.before.samples)
    const { firstEvent } = counts.measured
    assert.deepEqual({ requests: counts.requests, failures: counts.failures, gaps: counts.measured.eventGap, slowest: Object.keys(firstEvent), failureRate, reported: failures }, {
      requests: this.before.counts.requests, failures: 0, gaps: this.before.counts.measured.eventGap, slowest: Object.keys(this.before.counts.measured.firstEvent), failureRate: 0, reported: undefined
    })
    // First events that have come as usual are samples, too.
    return assert.deepEqual(samplesIn(samples).filter(sample => !usual.includes(sample)), [])
  }
  assert.equal(counts.failures, 5)
  assert.ok(failureRate > 0.4, `failure rate ${failureRate}`)
  assert.notDeepEqual([samples, failures], [undefined, undefined])
})

Then(/^(\d+) streams count as served$/, function (this: AttemptWorld, count: string) {
  assert.equal(this.served, Number(count))
  assert.equal(seen(this).counts.requests - this.before.counts.requests, Number(count))
})
