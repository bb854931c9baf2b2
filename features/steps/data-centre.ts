import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createBasicView, putBackendServer, putContract, VERSION, type MemoryView } from '../../src/bench/admission-fixture.ts'
import { createRandom } from '../../src/bench/random.ts'
import type { LeaderSummary, VersionSummary } from '../../src/core/admission/types.ts'
import { brandId, type DataCentreId } from '../../src/core/ids/index.ts'
import { chooseDataCentres, type DataCentreRequest } from '../../src/core/routing/data-centre.ts'

interface DataCentreWorld { view: MemoryView, summaries: Map<string, LeaderSummary>, request: DataCentreRequest, ranked: string[], firstChoices: string[] }

const [OWN, NEAR, FAR] = ['own', 'near', 'far'].map(name => brandId<DataCentreId>(name)) as [DataCentreId, DataCentreId, DataCentreId]

function summaryOf (dataCentre: DataCentreId): LeaderSummary {
  const version: VersionSummary = { version: VERSION, freeSlots: 4, warm: 2, cold: 0, queueDelayMs: 0 }
  return {
    dataCentre, leader: brandId('vm-1'), epoch: 1, granting: true, versions: [version], services: [], teamInFlight: [], warmBackendServers: []
  }
}

function chooseNames ({ view, summaries, request }: DataCentreWorld, random = createRandom(1)): string[] {
  const own = { region: brandId<never>('bagmati'), dataCentre: OWN }
  return chooseDataCentres({ request, summaries: [...summaries.values()], view, own, random }).map(({ dataCentre }) => dataCentre)
}

function setTeamInFlight ({ summaries }: DataCentreWorld, dataCentre: string, inFlight: number): void {
  summaries.get(dataCentre)!.teamInFlight = [{ team: brandId('team-1'), inFlight }]
}

const SITUATIONS: Record<string, (world: DataCentreWorld) => void> = {
  'nothing is wrong' () {},
  'own is out of service': ({ view }) => view.put('DataCentre', OWN, { region: 'bagmati', state: 'out_of_service' }),
  'own does not serve the version': ({ view }) => putBackendServer(view, 'runner-1', { dataCentre: OWN, versions: [] }),
  'the backend servers of own are leaving': ({ view }) => putBackendServer(view, 'runner-1', { dataCentre: OWN, state: 'leaving' }),
  'own already refused': ({ request }) => { request.exclude = [OWN] },
  'the version is withdrawn': ({ view }) => view.put('Version', VERSION, { ...view.get('Version', VERSION)!, state: 'withdrawn' }),
  'own has no free slot': ({ summaries }) => { summaries.get(OWN)!.versions[0]!.freeSlots = 0 },
  'own and near have a queue of one second': ({ summaries }) => {
    for (const name of [OWN, NEAR]) summaries.get(name)!.versions[0]!.queueDelayMs = 1000
  },
  'the leader of own grants no permits': ({ summaries }) => { summaries.get(OWN)!.granting = false },
  'own has sent no recent summary': ({ summaries }) => { summaries.delete(OWN) },
  'the team has used its share of own': world => setTeamInFlight(world, OWN, 5),
  'the team has used its whole limit': world => {
    setTeamInFlight(world, OWN, 5)
    setTeamInFlight(world, NEAR, 5)
  }
}

Given('data centre choice between own, near and far with free slots everywhere', function (this: DataCentreWorld) {
  this.view = createBasicView({ dataCentres: [OWN, NEAR] })
  this.view.put('DataCentre', FAR, { region: 'ga-north' })
  putContract(this.view, 'team-1', { maxConcurrent: 10 });
  [OWN, NEAR, FAR].forEach((dataCentre, i) => putBackendServer(this.view, `runner-${i + 1}`, { dataCentre }))
  this.summaries = new Map([OWN, NEAR, FAR].map(name => [name, summaryOf(name)]))
  this.request = { team: brandId('team-1'), version: VERSION }
})

When('the data centres are ranked while {}', function (this: DataCentreWorld, situation: string) {
  SITUATIONS[situation]!(this)
  this.ranked = chooseNames(this)
})

When('the data centres are ranked {int} times with seed {int} while {int} of {int} backend servers of own are warm', function (this: DataCentreWorld, times: number, seed: number, warm: number, total: number) {
  Object.assign(this.summaries.get(OWN)!.versions[0]!, { warm, cold: total - warm })
  const random = createRandom(seed)
  this.firstChoices = Array.from({ length: times }, () => chooseNames(this, random)[0]!)
})

Then('the data centre order is {string}', function (this: DataCentreWorld, order: string) {
  assert.equal(this.ranked.join(', '), order)
})

Then('own is the first data centre about {int} times', function (this: DataCentreWorld, expected: number) {
  const ownCount = this.firstChoices.filter(name => name === OWN).length
  // Three standard deviations of the binomial distribution with 2000 draws.
  assert.ok(Math.abs(ownCount - expected) < 60, `found ${ownCount}`)
})
