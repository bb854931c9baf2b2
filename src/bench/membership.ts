/**
 * Measures the membership at increasing group sizes: control traffic, CPU and heap per member, and the time until all
 * members have detected that one of them was killed or froze. All members run in this process and communicate over
 * loopback sockets with the default periods.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { systemClock } from '../core/clock/index.ts'
import { brandId, randomId, type BootId, type DataCentreId, type RegionId, type VmId } from '../core/ids/index.ts'
import { silentLog } from '../core/logging/index.ts'
import { createMembership, type Membership, type Seed } from '../core/membership/index.ts'
import { createMetrics } from '../core/metrics/index.ts'
import { createPeerLinks, type PeerLinks } from '../core/peer/index.ts'
import type { Benchmark } from './types.ts'
import { createRandom } from './random.ts'

const SIZES = [4, 8, 16, 32, 64]
const QUICK_SIZES = [4, 8]
const SHARED_KEYS = ['benchmark-shared-key']
const DATA_CENTRES = 4

interface GroupMember {
  seed: Seed
  links: PeerLinks
  membership: Membership
}

interface Group {
  members: GroupMember[]
  random: () => number
}

interface Cost { sent: number, received: number, cpuPercent: number, heapKb: number }

type FailureInjector = (member: GroupMember) => Promise<void>

export const membershipBenchmark: Benchmark = {
  name: 'membership',
  summary: 'control traffic, CPU, heap and detection time of the membership by group size',
  async run ({ seeds, quick }) {
    const sizes = quick ? QUICK_SIZES : SIZES
    const measureMs = quick ? 3000 : 15_000
    const failures = quick ? 1 : 3
    const baseHeapKb = heapKb()
    const costs: Cost[] = []
    const rows: (string | number)[][] = []
    for (const size of sizes) {
      const group = await startGroup(size, seeds[0] ?? 1)
      // The gossip about the joins takes about a second per member.
      await systemClock.sleep(Math.max(4000, size * 1000))
      const cost = await measureCost(group, measureMs, baseHeapKb)
      const killed = await measureDetection(group, kill, failures)
      const frozen = await measureDetection(group, freeze, failures)
      await Promise.all(group.members.map(stopMember))
      costs.push(cost)
      rows.push([
        size, Math.round(cost.sent), Math.round(cost.received), cost.cpuPercent.toFixed(3), Math.round(cost.heapKb),
        formatMedianAndMax(killed), formatMedianAndMax(frozen)
      ])
    }
    return {
      title: 'Membership by group size',
      columns: ['members', 'sent B/s', 'received B/s', 'CPU % of a core', 'heap KB', 'killed: known to all, s', 'frozen: known to all, s'],
      rows,
      notes: [
        `Increase with each additional member: ${slopeText(sizes, costs)}.`,
        'Traffic, CPU and heap are per member. All members share this process, so heap is a share of one heap after garbage collection and excludes the kernel\'s socket buffers.',
        'Traffic counts message bytes without WebSocket, TCP and IP headers (about 60 bytes per message) and without a configuration payload.',
        `Before the measurement of ${measureMs / 1000} s, all pairs of members were connected and the gossip about the joins had one second per member to spread. Detection times are the median and the longest of ${failures}.`,
        `Seed ${seeds[0] ?? 1}. Bounds: 3.6% of a core, 64 MB and 5 KB/s for all control work of a VM.`
      ]
    }
  }
}

async function startGroup (size: number, seed: number): Promise<Group> {
  const group: Group = { members: [], random: createRandom(seed) }
  for (let i = 0; i < size; i++) group.members.push(await startMember(group, brandId<VmId>(`vm-${String(i + 1).padStart(3, '0')}`)))
  await waitUntil(() => group.members.every(({ membership }) => membership.members().length === size))
  for (const [i, member] of group.members.entries()) {
    await Promise.all(group.members.slice(i + 1).map(other => member.links.request(other.seed.vm, 'config.pull', null, { timeoutMs: 10_000 })))
  }
  return group
}

async function startMember (group: Group, vm: VmId): Promise<GroupMember> {
  const metrics = createMetrics()
  const index = group.members.length
  const identity = {
    vm,
    boot: randomId<BootId>('boot'),
    region: brandId<RegionId>('bagmati'),
    dataCentre: brandId<DataCentreId>(`bag-${index % DATA_CENTRES}`)
  }
  const links = createPeerLinks({ identity, address: '127.0.0.1:0', sharedKeys: SHARED_KEYS, clock: systemClock, metrics, log: silentLog })
  links.handle('config.pull', () => null)
  const peerAddress = `127.0.0.1:${await links.listen()}`
  const membership = createMembership({
    identity,
    peerAddress,
    callerUrl: 'http://127.0.0.1:10000',
    peers: links,
    seeds: group.members.map(member => member.seed).filter(seed => seed.vm !== vm).slice(0, 3),
    lastObjectApiContact: () => systemClock.now(),
    clock: systemClock,
    metrics,
    log: silentLog,
    random: group.random
  })
  await membership.start()
  return { seed: { vm, peerAddress }, links, membership }
}

async function stopMember ({ membership, links }: GroupMember): Promise<void> {
  await membership.stop()
  await links.close()
}

async function measureCost ({ members }: Group, measureMs: number, baseHeapKb: number): Promise<Cost> {
  const before = totalTraffic(members)
  const cpuBefore = process.cpuUsage()
  const startMs = systemClock.now()
  await systemClock.sleep(measureMs)
  const seconds = (systemClock.now() - startMs) / 1000
  const { user, system } = process.cpuUsage(cpuBefore)
  const after = totalTraffic(members)
  return {
    sent: (after.sentBytes - before.sentBytes) / seconds / members.length,
    received: (after.receivedBytes - before.receivedBytes) / seconds / members.length,
    cpuPercent: (user + system) / 10_000 / seconds / members.length,
    heapKb: (heapKb() - baseHeapKb) / members.length
  }
}

function totalTraffic (members: readonly GroupMember[]): { sentBytes: number, receivedBytes: number } {
  const sum = { sentBytes: 0, receivedBytes: 0 }
  for (const { links } of members) {
    const { sentBytes, receivedBytes } = links.traffic()
    sum.sentBytes += sentBytes
    sum.receivedBytes += receivedBytes
  }
  return sum
}

/** Resets and refuses connections, as after a process has been killed. */
const kill: FailureInjector = stopMember

/** Keeps connections open and does not answer pings, like a process stopped by SIGSTOP. */
const freeze: FailureInjector = async ({ membership, links }) => {
  links.handle('membership.ping', () => new Promise(() => {}))
  links.handle('membership.ping-req', () => new Promise(() => {}))
  await membership.stop()
}

/**
 * Fails random members one after the other and restarts each one. Returns the sorted times in seconds until all other
 * members consider the failed member dead.
 */
async function measureDetection (group: Group, injectFailure: FailureInjector, count: number): Promise<number[]> {
  const times: number[] = []
  for (let i = 0; i < count; i++) {
    await systemClock.sleep(group.random() * 500)
    const index = Math.floor(group.random() * group.members.length)
    const failedMember = group.members[index]!
    const others = group.members.filter(member => member !== failedMember)
    const startMs = systemClock.now()
    await injectFailure(failedMember)
    await waitUntil(() => others.every(({ membership }) => membership.get(failedMember.seed.vm)?.state === 'dead'))
    times.push((systemClock.now() - startMs) / 1000)
    await stopMember(failedMember)
    group.members[index] = await startMember(group, failedMember.seed.vm)
    await waitUntil(() => group.members.every(({ membership }) => membership.members().length === group.members.length))
  }
  return times.sort((left, right) => left - right)
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await systemClock.sleep(10)
}

function formatMedianAndMax (times: readonly number[]): string {
  return `${times[Math.floor(times.length / 2)]!.toFixed(1)} / ${times.at(-1)!.toFixed(1)}`
}

function heapKb (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return (heapUsed + external) / 1024
}

function slopeText (sizes: readonly number[], costs: readonly Cost[]): string {
  const slopeOf = (read: (cost: Cost, size: number) => number) => slope(sizes, costs.map((cost, i) => read(cost, sizes[i]!)))
  const sent = slopeOf(cost => cost.sent).toFixed(1)
  const heap = slopeOf(cost => cost.heapKb).toFixed(1)
  const cpu = slopeOf((cost, size) => cost.cpuPercent * size).toFixed(3)
  return `${sent} B/s sent and ${heap} KB of heap for every member; ${cpu}% of a core for the whole process`
}

/** Returns the slope of the least-squares regression line. */
function slope (xs: readonly number[], ys: readonly number[]): number {
  const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanX = mean(xs)
  const meanY = mean(ys)
  const covariance = xs.reduce((sum, x, i) => sum + (x - meanX) * (ys[i]! - meanY), 0)
  return covariance / xs.reduce((sum, x) => sum + (x - meanX) ** 2, 0)
}
