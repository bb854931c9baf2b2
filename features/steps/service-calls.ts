import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createClaims, type Claims } from '../../src/core/claims/index.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { startApplication, type ApplicationStandIn } from '../../src/standin/application/index.ts'
import { createFakeRegion } from '../support/fakes.ts'
import { createFakeStore } from '../support/fake-store.ts'
import { send, waitUntil } from '../support/gateway-client.ts'
import { addApplication, createSampleView, startGatewayVm, type GatewayVm } from '../support/gateway-vm.ts'

interface ServiceCallResult {
  status: number
  type: string
  run: string
}

interface ServiceWorld {
  store: ReturnType<typeof createFakeStore>
  region: ReturnType<typeof createFakeRegion>
  view: ReturnType<typeof createSampleView>
  serviceVms: Map<string, GatewayVm>
  claims: Claims[]
  runners: Map<string, ApplicationStandIn>
  result: ServiceCallResult
  results: ServiceCallResult[]
}

After({ tags: '@service-calls' }, async function (this: ServiceWorld) {
  for (const vm of this.serviceVms?.values() ?? []) await vm.server.stop({ timeout: 0 })
  for (const runner of this.runners?.values() ?? []) await runner.kill()
  for (const claims of this.claims ?? []) await claims.stop()
})

Given('service calls through the VMs {string} to the runners {string}', async function (this: ServiceWorld, vms: string, runners: string) {
  this.store = createFakeStore()
  this.region = createFakeRegion()
  this.view = createSampleView()
  this.claims = []
  this.runners = new Map()
  this.serviceVms = new Map()
  for (const name of runners.split(', ')) {
    const runner = await startApplication()
    this.runners.set(name, runner)
    addApplication(this.view, name, runner.address)
  }
  for (const vm of vms.split(', ')) this.serviceVms.set(vm, await startVm(this, vm))
})

function startVm ({ view, region, store, claims }: ServiceWorld, vm: string): Promise<GatewayVm> {
  return startGatewayVm({
    view,
    region,
    vm,
    firstByteTimeoutMs: 200,
    idleTimeoutMs: 200,
    claims ({ member: { vm, boot, region, dataCentre }, membership }) {
      const created = createClaims({
        identity: { vm, boot, region, dataCentre }, objectApi: store.objectApi, membership, clock: systemClock, metrics: createMetrics(), log: silentLog
      })
      claims.push(created)
      return created
    }
  })
}

const FAULTS: Record<string, (world: ServiceWorld) => void | Promise<void>> = {
  'nothing fails' () {},
  'a1 is gone': ({ runners }) => runners.get('a1')!.kill(),
  'a2 is gone': ({ runners }) => runners.get('a2')!.kill(),
  async 'all runners are gone' ({ runners }) {
    for (const runner of runners.values()) await runner.kill()
  },
  'a1 crashes before it ran': ({ runners }) => { runners.get('a1')!.state.faults.crashBefore = 1 },
  'a1 crashes after it ran': ({ runners }) => { runners.get('a1')!.state.faults.crashAfter = 1 },
  'a1 loses the answer': ({ runners }) => { runners.get('a1')!.state.faults.loseAnswer = 1 },
  'a1 freezes': ({ runners }) => { runners.get('a1')!.state.faults.frozen = true },
  'the runners are slow' ({ runners }) {
    for (const { state } of runners.values()) state.faults.slowMs = 50
  },
  'the store is down': ({ store }) => { store.fault = 'down' },
  'the claim answer is lost': ({ store }) => { store.nextWrites = ['lost answer'] },
  'the claim write is delayed': ({ store }) => { store.nextWrites = ['delayed write'] },
  'the done claim is not written': ({ store }) => { store.nextWrites = ['none', 'down'] },
  'the permit expires once' ({ serviceVms }) {
    const { permits } = serviceVms.get('vm-1')!
    let checks = 0
    // The first check passes; at the second check, after the claim is written, the permit has expired.
    permits.mayStart = () => ++checks !== 2
  },
  'the bill is lost': ({ serviceVms }) => { serviceVms.get('vm-1')!.billing.fails = true },
  'no bill can be kept': ({ serviceVms }) => { serviceVms.get('vm-1')!.billing.accepts = false }
}

Given('the service fault {string}', async function (this: ServiceWorld, fault: string) {
  await FAULTS[fault]!(this)
})

async function sendBooking (vm: GatewayVm, key: string, { body = '{"order":1}', signal }: { body?: string, signal?: AbortSignal } = {}): Promise<ServiceCallResult> {
  return readResult(await send(vm.url, { path: '/v1/services/order-desk/dispatches', body, headers: { 'idempotency-key': key }, signal }))
}

async function readResult (response: Response): Promise<ServiceCallResult> {
  const { error } = await response.json() as { error?: { type: string, run: string } }
  return { status: response.status, type: error?.type ?? 'none', run: error?.run ?? 'none' }
}

function countRuns ({ runners }: ServiceWorld, key: string): number {
  return [...runners.values()].reduce((sum, runner) => sum + (runner.state.runs.get(key) ?? 0), 0)
}

When('a service booking with the key {string} is sent to {string}', async function (this: ServiceWorld, key: string, vm: string) {
  this.result = await sendBooking(this.serviceVms.get(vm)!, key)
  this.store.performDelayed()
})

When('a service booking with the key {string} and another body is sent to {string}', async function (this: ServiceWorld, key: string, vm: string) {
  this.result = await sendBooking(this.serviceVms.get(vm)!, key, { body: '{"order":2}' })
})

When('service bookings with the key {string} are sent to all VMs at once', async function (this: ServiceWorld, key: string) {
  this.results = await Promise.all([...this.serviceVms.values()].map(vm => sendBooking(vm, key)))
})

When('a service caller sends a booking with the key {string} and disconnects', async function (this: ServiceWorld, key: string) {
  const caller = new AbortController()
  const sent = assert.rejects(sendBooking(this.serviceVms.get('vm-1')!, key, { signal: caller.signal }))
  await waitUntil(() => [...this.runners.values()].some(runner => runner.state.received > 0))
  caller.abort()
  await sent
  await waitUntil(() => this.serviceVms.get('vm-1')!.gateway.running() === 0)
})

When('a service booking with the key {string} is in progress on {string} and that VM dies', async function (this: ServiceWorld, key: string, vm: string) {
  void sendBooking(this.serviceVms.get(vm)!, key).catch(() => {})
  await waitUntil(() => this.store.objects.size > 0)
  this.region.kill(brandId<VmId>(vm))
})

When('a service read is sent to {string}', async function (this: ServiceWorld, vm: string) {
  const { url } = this.serviceVms.get(vm)!
  const response = await fetch(`${url}/v1/services/order-desk/status`, { headers: { authorization: 'Bearer key-of-school' } })
  this.result = await readResult(response)
})

Then('the service answer is {int} with {string} and run {string}', function (this: ServiceWorld, status: number, type: string, run: string) {
  assert.deepEqual(this.result, { status, type, run })
})

Then('the service answers are {string}', function (this: ServiceWorld, statuses: string) {
  assert.equal(this.results.map(answer => answer.status).sort().join(', '), statuses)
})

Then('the service booking {string} ran {int} time(s)', function (this: ServiceWorld, key: string, count: number) {
  assert.equal(countRuns(this, key), count)
})

Then('the service permits were released as {string}', function (this: ServiceWorld, outcomes: string) {
  assert.equal(this.serviceVms.get('vm-1')!.permits.releases.map(release => release.outcome).join(', '), outcomes)
})

Then('the service calls hold no permit and no budget reservation', function (this: ServiceWorld) {
  for (const { permits, budget } of this.serviceVms.values()) {
    assert.equal(permits.client.heldCount(), 0)
    assert.equal(budget.open, 0)
  }
})
