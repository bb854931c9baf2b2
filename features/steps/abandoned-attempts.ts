/** Steps about attempts that are given up for another backend server, or that go on because there is no other. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { COLD_SAFETY_FACTOR } from '../../src/core/backend-pool/constants.ts'
import { createLimitShares } from '../../src/core/backend-pool/limit-shares.ts'
import { systemClock } from '../../src/core/clock/index.ts'
import { FLEET_KIND } from '../../src/core/fleet/constants.ts'
import { BACKENDS_COALESCE_MS } from '../../src/core/forwarding-vm/constants.ts'
import type { ForwardingVmSettings } from '../../src/core/forwarding-vm/index.ts'
import { brandId, type BackendServerId, type DataCentreId, type VmId } from '../../src/core/ids/index.ts'
import { hashText } from '../../src/core/placement/rendezvous.ts'
import { backendEntry, HARNESS_VM, KINDS, startForwardingVmHarness } from '../support/forwarding-vm-harness.ts'
import { createMemoryStore } from '../support/memory-store.ts'
import { startScriptedBackend, type BackendBehaviour } from '../support/scripted-backend.ts'
import { startWorkerBackends, type WorkerBackends } from '../support/worker-backend.ts'
import { isReady, requestBytes, send, type ForwardingWorld } from './forwarding.ts'

interface AbandonedAttemptWorld extends ForwardingWorld { workerBackends: WorkerBackends }

After({ tags: '@forwarding' }, async function (this: Partial<AbandonedAttemptWorld>) { await this.workerBackends?.close() })

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
/** Requests a second to a cold backend server; fewer than the VMs of the fleets here, so that few of them lend the limit. */
const SMALL_LIMIT = 18

/** Ids of the form `backend-N`, the first one of a backend server whose limit this VM lends and then ones whose limit only the other VMs lend. */
function backendIdsByLender (vms: readonly VmId[]): BackendServerId[] {
  const shares = createLimitShares({ vms: () => vms, self: HARNESS_VM, clock: systemClock })
  const ids = Array.from({ length: 20 }, (_, index) => brandId<BackendServerId>(`backend-${index}`))
  const isLentByThisVm = (id: BackendServerId) => shares.lendersOf(id, SMALL_LIMIT).includes(HARNESS_VM)
  return [ids.find(isLentByThisVm)!, ...ids.filter(id => !isLentByThisVm(id))]
}

Given(/^a forwarding VM among (\d+) that do not answer, which lends the limit of the first of (\d+) backend servers that (.*)$/, { timeout: 10_000 }, async function (this: AbandonedAttemptWorld, others: string, count: string, behaviours: string) {
  const store = createMemoryStore()
  // The names are chosen so that this VM is a lender of one group of backend servers and not of the other.
  const namings = Array.from({ length: 100 }, (_, salt) => Array.from({ length: Number(others) }, (_, index) => brandId<VmId>(`vm-${hashText(`${salt}/${index}`)}`)))
  const names = namings.find(vms => {
    const [first, second] = backendIdsByLender([HARNESS_VM, ...vms])
    return first !== undefined && second !== undefined
  })!
  for (const name of names) store.put(FLEET_KIND, name, { boot: `boot-${name}`, callerAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:1', dataCentre: 'dc-1' })
  this.harness = await startForwardingVmHarness({ store, coldRate: Math.ceil(SMALL_LIMIT / COLD_SAFETY_FACTOR), overrides: { coldOvershoot: 1, coldSlack: 0 } })
  this.backends = []
  const script = { behaviours: behaviours.split(', ') as BackendBehaviour[] }
  for (const id of backendIdsByLender([HARNESS_VM, ...names]).slice(0, Number(count))) {
    const backend = await startScriptedBackend(script)
    this.backends.push(backend)
    store.put(KINDS.backendServers, id, backendEntry(backend.address))
  }
  while (!await isReady(this)) await sleep(5)
  await sleep(2 * BACKENDS_COALESCE_MS + 50)
})

Given(/^a forwarding VM and (\d+) backend servers that send an event each (\d+) ms$/, async function (this: AbandonedAttemptWorld, count: string, gapMs: string) {
  this.workerBackends = await startWorkerBackends(Number(count), { gapMs: Number(gapMs) })
  const store = createMemoryStore()
  this.workerBackends.addresses.forEach((address, index) => store.put(KINDS.backendServers, `backend-${index}`, backendEntry(address)))
  this.harness = await startForwardingVmHarness({ store })
  while (!await isReady(this)) await sleep(5)
})

When(/^a caller sends a request to (\S+) and the process is paused for (\d+) ms after (\d+) ms$/, async function (this: AbandonedAttemptWorld, path: string, pauseMs: string, afterMs: string) {
  const response = send(this, requestBytes(path))
  await sleep(Number(afterMs))
  // Blocks the event loop in its check phase, after which it runs timers before it reads from sockets.
  await new Promise<void>(resolve => setImmediate(() => {
    for (const endMs = performance.now() + Number(pauseMs); performance.now() < endMs;);
    resolve()
  }))
  await response
})

Then(/^the backend servers got (\d+) requests?$/, async function (this: AbandonedAttemptWorld, count: string) {
  assert.equal(await this.workerBackends.countReceived(), Number(count))
})

/** Starts a VM that chooses among equal loads in the order of the behaviours, one data centre each, and `undefined` for a backend server that has ended. */
async function startVmWithOrderedBackends (world: AbandonedAttemptWorld, behaviours: (BackendBehaviour | undefined)[], overrides: Partial<ForwardingVmSettings>): Promise<void> {
  const store = createMemoryStore()
  world.harness = await startForwardingVmHarness({ store, random: () => 0.5, overrides })
  world.backends = await Promise.all(behaviours.map(behaviour => startScriptedBackend({ behaviours: [behaviour ?? 'answer'] })))
  await Promise.all(world.backends.filter((_, index) => behaviours[index] === undefined).map(async backend => await backend.close()))
  world.backends.forEach(({ address }, index) => store.put(KINDS.backendServers, `backend-${index}`, backendEntry(address, { dataCentre: brandId<DataCentreId>(`dc-${index + 1}`) })))
  while (!await isReady(world)) await sleep(5)
  await sleep(2 * BACKENDS_COALESCE_MS + 50)
}

Given(/^a forwarding VM with one retry, a backend server that (\S+), one that refuses connections and one that (\S+)$/, async function (this: AbandonedAttemptWorld, first: BackendBehaviour, last: BackendBehaviour) {
  await startVmWithOrderedBackends(this, [first, undefined, last], { retryShare: 0, retrySlack: 2 })
})

Given(/^a forwarding VM with a backend server that (\S+) and one that refuses connections$/, async function (this: AbandonedAttemptWorld, behaviour: BackendBehaviour) {
  await startVmWithOrderedBackends(this, [behaviour, undefined], {})
})
