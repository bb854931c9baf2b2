import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createBackendPool, type BackendPool } from '../../src/core/backend-pool/index.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type BackendServerId, type ServiceId, type VmId } from '../../src/core/ids/index.ts'
import type { LoadExchange } from '../../src/core/load-exchange/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { backendEntry } from '../support/forwarding-vm-harness.ts'
import { startConnectedExchange } from '../support/load-exchange.ts'

interface LimitWorld {
  clock: ManualClock
  vms: { pool: BackendPool, exchange: LoadExchange }[]
  joining: number
  sentMs: number[]
}

const BACKEND = brandId<BackendServerId>('engine')
const SERVICE = brandId<ServiceId>('service')
const STEP_MS = 50
const MAX_SENDS_PER_STEP = 3

/** Adds a VM; the others divide limits by the larger number as soon as it is registered. */
function addVms (world: LimitWorld, count: number, names: VmId[]): void {
  const { clock } = world
  for (let i = 0; i < count; i++) {
    const self = brandId<VmId>(`vm-${world.vms.length}`)
    names.push(self)
    const pool = createBackendPool({ cold: { limit: () => 0, vms: () => names, self }, clock, log: silentLog, metrics: createMetrics() })
    pool.apply({ ...backendEntry('127.0.0.1:1'), id: BACKEND })
    const exchange = startConnectedExchange({
      self,
      names,
      exchangeOf: vm => world.vms[names.indexOf(vm)]!.exchange,
      recentEvidence: () => ({ limits: pool.namedLimits.report() }),
      onEvidence: ({ limits }) => { if (limits) pool.namedLimits.merge(limits) },
      clock
    })
    world.vms.push({ pool, exchange })
  }
}

/** Runs the VMs; each sends as many requests as its share of the limit permits, once it knows of a limit. */
async function run (world: LimitWorld, durationMs: number): Promise<void> {
  for (let ms = 0; ms < durationMs; ms += STEP_MS) {
    for (const { pool } of world.vms) {
      const [backend] = pool.eligible(SERVICE)
      for (let sends = 0; sends < MAX_SENDS_PER_STEP && pool.namedLimits.get(BACKEND) && pool.rateWaitMs(backend!) === 0; sends++) {
        pool.reserve(backend!, { running: 1, prompt: 0 })
        world.sentMs.push(world.clock.now())
      }
    }
    await world.clock.advance(STEP_MS)
  }
}

Given(/^(\d+) VMs that send to a backend server as often as they may, and (\d+) more after 6 s$/, function (this: LimitWorld, count: string, joining: string) {
  this.clock = createManualClock()
  this.vms = []
  this.sentMs = []
  this.joining = Number(joining)
  const names: VmId[] = []
  addVms(this, Number(count), names)
  this.clock.after(6000, () => addVms(this, this.joining, names))
})

When(/^one of them gets an answer that names a limit of (\S+) requests a second$/, async function (this: LimitWorld, rate: string) {
  this.vms[0]!.pool.namedLimits.record(BACKEND, Number(rate))
  await run(this, 16_000)
})

When('one of them gets an answer that names no limit', async function (this: LimitWorld) {
  this.vms.at(-1)!.pool.namedLimits.record(BACKEND, undefined)
  await this.clock.advance(2000)
})

When('the entry of the backend server is removed, later at each VM', async function (this: LimitWorld) {
  for (const { pool } of this.vms) {
    pool.remove(BACKEND)
    await this.clock.advance(300)
  }
  await this.clock.advance(10_000)
})

Then(/^from 2 s later on the backend server gets at least (\d+) and at most (\d+) requests in any 4 s$/, function (this: LimitWorld, min: string, max: string) {
  const counts = Array.from({ length: (12_000 - 2000) / STEP_MS }, (_, index) => 2000 + index * STEP_MS)
    .map(startMs => this.sentMs.filter(ms => ms >= startMs && ms < startMs + 4000).length)
  assert.ok(Math.min(...counts) >= Number(min) && Math.max(...counts) <= Number(max), `${Math.min(...counts)} to ${Math.max(...counts)} requests`)
})

Then('none of them has a limit for the backend server', function (this: LimitWorld) {
  assert.deepEqual(this.vms.filter(({ pool }) => pool.namedLimits.get(BACKEND)), [])
})
