/** Counts the calls to the store in the phases of a day, with the kinds and waits of the product. */
import assert from 'node:assert/strict'
import { Then, When, type DataTable } from '@cucumber/cucumber'
import { CONFIG_POLL_WAIT_MS, FEED_POLL_WAIT_MS } from '../../src/core/forwarding-vm/constants.ts'
import { chooseRelays } from '../../src/core/feed-relay/relay-choice.ts'
import { FLEET_COALESCE_MS, FLEET_POLL_WAIT_MS } from '../../src/core/fleet/constants.ts'
import { brandId, type VmId } from '../../src/core/ids/index.ts'
import { placeVm, placeVms } from '../support/vms.ts'
import { addVm, IDLE_KINDS, sleep, startWorld, START_SPREAD_MS, type RelayWorld } from './feed-relay.ts'

interface CallsWorld extends RelayWorld { phases: Map<string, { calls: number, text: string }>, log(text: string): void }

async function startVms (world: RelayWorld, ids: readonly VmId[], isRestart: boolean): Promise<void> {
  for (const id of ids) {
    addVm(world, id, { isRestart })
    await sleep(START_SPREAD_MS / ids.length)
  }
  await sleep(3000)
}

When(/^(\d+) VMs go through the phases of a day$/, { timeout: 60_000 }, async function (this: CallsWorld, count: string) {
  startWorld(this, 'a, b')
  this.confirmMs = CONFIG_POLL_WAIT_MS
  this.idle = { kinds: [...IDLE_KINDS, 'rollouts'], waitMs: FEED_POLL_WAIT_MS, vmWaitMs: FLEET_POLL_WAIT_MS, vmCoalesceMs: FLEET_COALESCE_MS }
  this.phases = new Map()
  const ids = Array.from({ length: Number(count) }, (_, index) => brandId<VmId>(`vm-${index}`))
  const isRoot = (vm: VmId) => chooseRelays(placeVms(ids), placeVm(vm)).isRoot
  const rootsFirst = [...ids.filter(isRoot), ...ids.filter(vm => !isRoot(vm))]
  const runPhase = async (name: string, run: () => Promise<unknown>) => {
    const before = new Map(this.metrics.storeCalls().map(({ count, ...call }) => [Object.values(call).join(' '), count]))
    await run()
    const added = this.metrics.storeCalls().map(({ count, ...call }) => ({ text: Object.values(call).join(' '), calls: count - (before.get(Object.values(call).join(' ')) ?? 0) }))
    const largest = added.filter(({ calls }) => calls > 0).sort((left, right) => right.calls - left.calls)
    const calls = largest.reduce((sum, { calls }) => sum + calls, 0)
    const text = `${count} VMs, ${name}: ${calls} calls: ${largest.map(({ text, calls }) => `${text} ${calls}`).join(', ')}`
    this.phases.set(name, { calls, text })
    this.log(text)
  }
  await runPhase('start', async () => await startVms(this, ids, false))
  await runPhase('calm', async () => await sleep(3000))
  await runPhase('outage', async () => {
    this.store.setDown(true)
    await sleep(4000)
    this.store.setDown(false)
    await sleep(2000)
  })
  await runPhase('a third refused', async () => {
    // The first of the roots is among them.
    const refused = rootsFirst.filter((_, index) => index % 3 === 0).map(vm => this.vms.get(vm)!)
    for (const vm of refused) vm.isCutOff = true
    await sleep(4000)
    for (const vm of refused) vm.isCutOff = false
    await sleep(2000)
  })
  await runPhase('power loss', async () => {
    for (const { relay } of this.vms.values()) relay.stop()
    this.vms.clear()
    await sleep(500)
    await startVms(this, ids, true)
  })
})

Then('the calls to the store in each phase are at most', function (this: CallsWorld, table: DataTable) {
  for (const { phase, 'each VM': each, besides } of table.hashes()) {
    const { calls, text } = this.phases.get(phase!)!
    assert.ok(calls <= Number(each) * this.vms.size + Number(besides), text)
  }
  assert.equal(this.phases.size, table.hashes().length)
})
