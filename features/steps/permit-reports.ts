import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createPermitReports, type PermitReports } from '../../src/core/admission/permit-reports.ts'
import { createManualClock, type ManualClock } from '../../src/core/clock/index.ts'
import { brandId, type DataCentreId, type PermitId } from '../../src/core/ids/index.ts'

interface ReportsWorld {
  clock: ManualClock
  reports: PermitReports
  received: string[]
}

const DATA_CENTRE = brandId<DataCentreId>('bag-a')

Given('permit reports to a leader that takes {int} ms to answer', function (this: ReportsWorld, ms: number) {
  this.clock = createManualClock()
  this.received = []
  this.reports = createPermitReports({
    currentEpoch: () => 1,
    send: async (_dataCentre, { releases }) => {
      this.received.push(releases.map(({ id }) => id).join(' '))
      await this.clock.sleep(ms)
      return { accepted: true }
    }
  })
})

When('the permit reports {string}, {string} and {string} are added, the last two while the first is in flight', async function (this: ReportsWorld, first: string, second: string, third: string) {
  for (const id of [first, second, third]) {
    this.reports.add(DATA_CENTRE, 1, { releases: [{ id: brandId<PermitId>(id), outcome: 'completed' }] })
    await this.clock.advance(1)
  }
  await this.clock.advance(100)
})

Then('the permit reports reached the leader as {string} and {string}', function (this: ReportsWorld, first: string, second: string) {
  assert.deepEqual(this.received, [first, second])
  assert.equal(this.reports.pending(), 0)
})
