import assert from 'node:assert/strict'
import { server as createServer } from '@hapi/hapi'
import { Given, Then, When } from '@cucumber/cucumber'
import type { ConfigView } from '../../src/core/config/types.ts'
import { createEntryPoints, registerEntryPointRoutes, type EntryPoints } from '../../src/core/entry-points/index.ts'
import { createExplain, type Explain, type ExplainTrace } from '../../src/core/explain/index.ts'
import type { BootId, DataCentreId, RegionId, RequestId, TeamId, VmId } from '../../src/core/ids/index.ts'
import type { Member, Membership, MemberState } from '../../src/core/membership/index.ts'
import { startGroup, type MembershipWorld } from './membership.ts'

interface EntryPointsWorld extends MembershipWorld {
  states: Map<string, MemberState>
  configuredStates: Map<string, string>
  isAcceptingRequests: boolean
  entryPoints: EntryPoints
  explainByVm: Map<string, Explain>
}

function member (vm: string, state: MemberState): Member {
  return {
    vm: vm as VmId,
    boot: 'boot' as BootId,
    region: 'r' as RegionId,
    dataCentre: `dc-${vm[3]}` as DataCentreId,
    peerAddress: '',
    callerUrl: `http://${vm}`,
    incarnation: 0,
    state
  }
}

Given('entry points of vm-a1 in dc-a, vm-a2 in dc-a and vm-b1 in dc-b', function (this: EntryPointsWorld) {
  this.states = new Map([['vm-a1', 'live'], ['vm-a2', 'live'], ['vm-b1', 'live']])
  this.configuredStates = new Map()
  this.isAcceptingRequests = true
  const available = () => [...this.states].filter(([, state]) => state === 'live' || state === 'suspect').map(([vm, state]) => member(vm, state))
  const get = (_kind: string, name: string) => this.configuredStates.has(name) ? { state: this.configuredStates.get(name) } : undefined
  this.entryPoints = createEntryPoints({
    membership: { available } as unknown as Membership,
    view: { get } as unknown as ConfigView,
    identity: member('vm-a1', 'live'),
    isAcceptingRequests: () => this.isAcceptingRequests,
    maxAgeS: 7
  })
})

When(/^the entry points change so that (.*)$/, function (this: EntryPointsWorld, change: string) {
  const [, vm, state] = /^(\S+) is (\w+)$/.exec(change) ?? []
  if (vm) this.states.set(vm, state as MemberState)
  if (change === 'operators take dc-a out') this.configuredStates.set('dc-a', 'out_of_service')
  if (change === 'operators take vm-a2 out') this.configuredStates.set('vm-a2', 'leaving')
  if (change === 'vm-a1 itself takes no work') this.isAcceptingRequests = false
})

Then(/^the entry points for a caller in (\S+|no dc) are (.*) and then (.*)$/, function (this: EntryPointsWorld, caller: string, first: string, second: string) {
  for (const expected of [first, second]) {
    const list = this.entryPoints.list({ dataCentre: caller === 'no dc' ? undefined : caller as DataCentreId })
    assert.equal(list.entry_points.map(({ vm }) => vm).join(', '), expected)
  }
})

Then('GET of the entry points by a caller in {word} answers 200 with {word} first and max-age {int}', async function (this: EntryPointsWorld, dataCentre: string, vm: string, maxAge: number) {
  const server = createServer()
  registerEntryPointRoutes(server, this.entryPoints)
  const response = await server.inject(`/v1/entry-points?data_centre=${dataCentre}`)
  assert.equal(response.statusCode, 200)
  assert.equal(response.headers['cache-control'], `max-age=${maxAge}`)
  const { entry_points: [entry], max_age_s: maxAgeS } = JSON.parse(response.payload) as { entry_points: unknown[], max_age_s: number }
  assert.deepEqual(entry, { vm, url: `http://${vm}`, data_centre: dataCentre })
  assert.equal(maxAgeS, maxAge)
})

Given('an explain store for at most {int} traces on each of {int} VMs', async function (this: EntryPointsWorld, maxTraces: number, size: number) {
  await startGroup(this, size)
  this.explainByVm = new Map()
  for (const [vm, { links, membership, clock }] of this.members) {
    this.explainByVm.set(vm, createExplain({ peers: links, membership, clock, maxTraces }))
  }
})

When('explain records {int} requests with {int} steps each on {word}', function (this: EntryPointsWorld, requests: number, steps: number, vm: string) {
  const explain = this.explainByVm.get(vm)!
  for (let r = 1; r <= requests; r++) {
    explain.begin(`req-${r}` as RequestId, 'team-1' as TeamId)
    for (let s = 1; s <= steps; s++) explain.add(`req-${r}` as RequestId, 'version', `step ${s}`)
    explain.setCost(`req-${r}` as RequestId, 12)
  }
})

async function findTrace (world: EntryPointsWorld, vm: string, request: string): Promise<ExplainTrace | undefined> {
  const found = world.explainByVm.get(vm)!.find(request as RequestId)
  await world.network.clock.advance(2000)
  return await found
}

Then('explain on {word} finds {word} with {int} steps, the last one being step {int}', async function (this: EntryPointsWorld, vm: string, request: string, steps: number, last: number) {
  const trace = await findTrace(this, vm, request)
  assert.equal(trace?.steps.length, steps)
  assert.equal(trace?.steps.at(-1)?.text, `step ${last}`)
  assert.equal(trace?.costMicros, 12)
})

Then('explain on {word} finds nothing for {word}', async function (this: EntryPointsWorld, vm: string, request: string) {
  assert.equal(await findTrace(this, vm, request), undefined)
})

Then('explain on {word} finds {word} while {word} does not answer', async function (this: EntryPointsWorld, vm: string, request: string, silent: string) {
  this.members.get(silent)!.pause()
  assert.equal((await findTrace(this, vm, request))?.request, request)
})
