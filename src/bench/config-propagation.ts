/**
 * Measures the time until an accepted configuration change is in force on all of 8 VMs in 4 data centres, with real peer
 * links, membership and the object API stand-in in one process. The distribution paths are measured in combinations:
 * all of them, without the watches, without the push, and repair through the pings alone.
 */
import { systemClock } from '../core/clock/index.ts'
import { createConfigController, createConfigReplica, type ConfigController, type ConfigReplica } from '../core/config/index.ts'
import type { ConfigChange } from '../core/config/types.ts'
import { brandId, randomId, type BootId, type DataCentreId, type RegionId, type VmId } from '../core/ids/index.ts'
import { silentLog } from '../core/logging/index.ts'
import { createMembership, type Membership, type Seed } from '../core/membership/index.ts'
import { createMetrics } from '../core/metrics/index.ts'
import { createObjectApi } from '../core/object-api/index.ts'
import { createPeerLinks, type PeerLinks } from '../core/peer/index.ts'
import { startObjectApiServer } from '../standin/object-api/index.ts'
import { createRandom } from './random.ts'
import type { Benchmark, BenchmarkOptions, BenchmarkTable } from './types.ts'

const VMS = 8
const DATA_CENTRES = 4
const CHANGES = 100
const QUICK_CHANGES = 10
/** Maximum pause between changes; random pauses spread the changes over the ping period. */
const MAX_PAUSE_MS = 300
const CONVERGENCE_TIMEOUT_MS = 30_000
const SHARED_KEYS = ['benchmark-shared-key']
/** Bounds from docs/design.md. */
const P99_BOUND_MS = 3000
const WORST_BOUND_MS = 9000

interface Mode {
  name: string
  push: boolean
  watch: boolean
}

const MODES: Mode[] = [
  { name: 'push, watches and pings', push: true, watch: true },
  { name: 'push and pings', push: true, watch: false },
  { name: 'watches and pings', push: false, watch: true },
  { name: 'pings alone', push: false, watch: false }
]

interface Vm {
  replica: ConfigReplica
  controller: ConfigController
  membership: Membership
  peers: PeerLinks
}

interface Sample {
  /** From the acceptance until the change is in force on the last VM, in milliseconds. */
  propagationMs: number
  /** From the operator's call to the acceptance, in milliseconds. */
  acceptanceMs: number
}

export const configPropagation: Benchmark = {
  name: 'config-propagation',
  summary: 'time until an accepted configuration change is in force on all VMs',
  async run (options: BenchmarkOptions): Promise<BenchmarkTable> {
    const rows: BenchmarkTable['rows'] = []
    const results = []
    for (const mode of MODES) {
      const result = await measureMode(mode, options)
      results.push(result)
      rows.push(rowOf(mode, result))
    }
    const propagationTimes = results[0]!.samples.map(sample => sample.propagationMs)
    const isMet = quantile(propagationTimes, 0.99) <= P99_BOUND_MS && Math.max(...propagationTimes) <= WORST_BOUND_MS
    return {
      title: `Configuration propagation, ${VMS} VMs in ${DATA_CENTRES} data centres`,
      columns: ['distribution', 'changes', 'accepted p50 ms', 'in force p50 ms', 'p99 ms', 'worst ms', 'object API calls per change'],
      rows,
      notes: [
        `bound: p99 at most ${P99_BOUND_MS} ms and worst at most ${WORST_BOUND_MS} ms with all distribution paths: ${isMet ? 'met' : 'missed'}`,
        `seeds: ${options.seeds.join(', ')}; all VMs and the object API stand-in share one process and thread`,
        'in force is the time from the acceptance until the change is in force on the last VM; calls include lists and reopened watches, but not watches that stay open'
      ]
    }
  }
}

interface ModeResult {
  samples: Sample[]
  callsPerChange: number
}

function rowOf (mode: Mode, { samples, callsPerChange }: ModeResult): (string | number)[] {
  const propagation = samples.map(sample => sample.propagationMs)
  const acceptance = samples.map(sample => sample.acceptanceMs)
  return [
    mode.name, samples.length, round(quantile(acceptance, 0.5)), round(quantile(propagation, 0.5)), round(quantile(propagation, 0.99)),
    round(Math.max(...propagation)), round(callsPerChange)
  ]
}

async function measureMode (mode: Mode, { seeds, quick }: BenchmarkOptions): Promise<ModeResult> {
  const samples: Sample[] = []
  let calls = 0
  for (const seed of seeds) {
    const objectApiServer = await startObjectApiServer({ port: 0 })
    const random = createRandom(seed)
    const vms = await startVms(objectApiServer.url, mode, random)
    const countCalls = () => objectApiServer.control.counters().reads + objectApiServer.control.counters().writes
    await warmUp(vms)
    const before = countCalls()
    samples.push(...await measureChanges(vms, quick ? QUICK_CHANGES : CHANGES, random))
    calls += countCalls() - before
    await stopVms(vms)
    await objectApiServer.close()
  }
  return { samples, callsPerChange: calls / samples.length }
}

async function startVms (url: string, { push, watch }: Mode, random: () => number): Promise<Vm[]> {
  const seeds: Seed[] = []
  const vms: Vm[] = []
  for (let index = 0; index < VMS; index++) {
    const identity = {
      vm: brandId<VmId>(`vm-${index}`),
      boot: randomId<BootId>('boot'),
      region: brandId<RegionId>('bagmati'),
      dataCentre: brandId<DataCentreId>(`dc-${index % DATA_CENTRES}`)
    }
    const common = { identity, clock: systemClock, metrics: createMetrics(), log: silentLog, random }
    const peers = createPeerLinks({ ...common, address: '127.0.0.1:0', sharedKeys: SHARED_KEYS })
    const peerAddress = `127.0.0.1:${await peers.listen()}`
    const objectApi = createObjectApi({ ...common, url })
    const replica = createConfigReplica()
    // The controller and the membership refer to each other; pings start only after both have been created.
    const membership = createMembership({
      ...common,
      peers,
      peerAddress,
      callerUrl: '',
      seeds: [...seeds],
      lastObjectApiContact: () => objectApi.lastContact(),
      pingPayload: () => controller.pingPayload(),
      onPingPayload: (payload, from) => controller.onPingPayload(from, payload)
    })
    const controller = createConfigController({ ...common, objectApi, replica, peers, membership, push, watch })
    seeds.push({ vm: identity.vm, peerAddress })
    vms.push({ replica, controller, membership, peers })
    await membership.start()
    await controller.start()
  }
  return vms
}

/** Waits until the membership is complete and all VMs have a first object, then gives the watches time to open. */
async function warmUp (vms: Vm[]): Promise<void> {
  await waitUntil(() => vms.every(({ membership }) => membership.available().length === VMS))
  await vms[0]!.controller.change([modelChange(vms[0]!, 0)])
  await waitUntil(() => vms.every(({ replica }) => replica.get('Model', 'm') !== undefined))
  await systemClock.sleep(MAX_PAUSE_MS)
}

function modelChange ({ replica }: Vm, tier: number): ConfigChange {
  return { kind: 'Model', name: 'm', spec: { tier, contextTokens: 8192 }, resourceVersion: replica.entry('Model', 'm')?.resourceVersion }
}

async function measureChanges (vms: Vm[], changes: number, random: () => number): Promise<Sample[]> {
  const samples: Sample[] = []
  for (let index = 1; index <= changes; index++) {
    samples.push(await measureChange(vms, vms[Math.floor(random() * vms.length)]!, index))
    await systemClock.sleep(random() * MAX_PAUSE_MS)
  }
  return samples
}

async function measureChange (vms: Vm[], origin: Vm, tier: number): Promise<Sample> {
  let pendingVms = vms.length
  let lastAppliedAt = 0
  const unsubscribers = vms.map(({ replica }) => replica.onChange(records => {
    if (!records.some(record => record.spec !== null && (record.spec as { tier?: number }).tier === tier)) return
    pendingVms -= 1
    lastAppliedAt = systemClock.now()
  }))
  const calledAt = systemClock.now()
  await origin.controller.change([modelChange(origin, tier)])
  const acceptedAt = systemClock.now()
  await waitUntil(() => pendingVms === 0)
  for (const unsubscribe of unsubscribers) unsubscribe()
  return { propagationMs: Math.max(0, lastAppliedAt - acceptedAt), acceptanceMs: acceptedAt - calledAt }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  const deadline = systemClock.now() + CONVERGENCE_TIMEOUT_MS
  while (!condition()) {
    if (systemClock.now() > deadline) throw new Error(`the VMs did not converge within ${CONVERGENCE_TIMEOUT_MS} ms`)
    await systemClock.sleep(1)
  }
}

async function stopVms (vms: Vm[]): Promise<void> {
  for (const { controller } of vms) controller.stop()
  await Promise.all(vms.map(({ membership }) => membership.stop()))
  await Promise.all(vms.map(({ peers }) => peers.close()))
}

function quantile (values: number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)]!
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
