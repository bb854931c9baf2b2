import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createBackendPool, type BackendPool } from '../../src/core/backend-pool/index.ts'
import { DEPARTURE_REPORT_MS } from '../../src/core/backend-pool/constants.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type BackendServerId, type ServiceId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { backendEntry, HARNESS_VM, KINDS } from '../support/forwarding-vm-harness.ts'
import type { ForwardingWorld } from './forwarding.ts'

interface AnnouncementWorld { clock: ManualClock, pools: BackendPool[] }

const SERVICE = brandId<ServiceId>('service')
const ENTRY = { ...backendEntry('127.0.0.1:1', { startedWallMs: 1 }), id: brandId<BackendServerId>('engine') }
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))

const counts = ({ backends }: ForwardingWorld) => backends.map(({ received }) => received.length).sort((a, b) => a - b)

async function writeEntries ({ backends, harness }: ForwardingWorld, startedWallMs?: number): Promise<void> {
  for (const [index, { address }] of backends.entries()) harness.store.put(KINDS.backendServers, `backend-${index}`, backendEntry(address, { startedWallMs }))
  await sleep(500)
}

When('the entries of the backend servers are written again', async function (this: ForwardingWorld) { await writeEntries(this) })
When('the backend servers start anew under their ids', async function (this: ForwardingWorld) { await writeEntries(this, 1000) })

Then(/^one backend server received 1 request and the others (\d+)$/, function (this: ForwardingWorld, others: string) {
  assert.deepEqual(counts(this), [1, Number(others)])
})

Then('each backend server received more than 1 request', function (this: ForwardingWorld) { assert.ok(counts(this)[0]! > 1) })

Given('two VMs with the same backend server', function (this: AnnouncementWorld) {
  this.clock = createManualClock()
  this.pools = [0, 1].map(() => createBackendPool({ cold: { limit: () => 0, vms: () => [HARNESS_VM], self: HARNESS_VM }, clock: this.clock, log: silentLog, metrics: createMetrics() }))
  for (const pool of this.pools) pool.apply(ENTRY)
})

When('one of them gets an answer that announces its departure', function (this: AnnouncementWorld) {
  this.pools[0]!.recordLeaving(this.pools[0]!.eligible(SERVICE)[0]!)
})

When(/^the (first|second) VM learns that it has started anew$/, function (this: AnnouncementWorld, which: string) {
  this.pools[which === 'first' ? 0 : 1]!.apply({ ...ENTRY, startedWallMs: 2 })
})

When('the first VM reports to the second', function (this: AnnouncementWorld) {
  const departures = this.pools[0]!.recentDepartures()
  if (departures) this.pools[1]!.mergeDepartures(departures)
})

When(/^the second VM gets its entry again, after it was removed$/, function (this: AnnouncementWorld) {
  this.pools[1]!.remove(ENTRY.id)
  this.pools[1]!.apply(ENTRY)
})

When('the time of the reports has passed', async function (this: AnnouncementWorld) { await this.clock.advance(DEPARTURE_REPORT_MS) })

When(/^it asks the second VM for pauses of (.*) ms$/, function (this: AnnouncementWorld, pauses: string) {
  const [backend] = this.pools[1]!.eligible(SERVICE)
  for (const pauseMs of pauses.split(' and ')) this.pools[1]!.recordRequestedPause(backend!, Number(pauseMs))
})

Then(/^the second VM (uses|does not use) it(?: after (\d+) ms)?$/, async function (this: AnnouncementWorld, verdict: string, ms: string | null) {
  if (ms) await this.clock.advance(Number(ms))
  assert.equal(this.pools[1]!.eligible(SERVICE).length, verdict === 'uses' ? 1 : 0)
})
