/**
 * Measures the resource use of one VM in fleets of increasing size, and of a request and a token under load. Every VM is
 * a real `serve` process; the figures in docs/CAPACITY.md are derived from the slopes that this script prints.
 */
import { readFileSync } from 'node:fs'
import { loadavg } from 'node:os'
import { isComplete, sendChat } from '../features/support/fleet-calls.ts'
import { startFleet, type Fleet } from '../features/support/fleet.ts'

const DATA_CENTRES = ['bag-a', 'bag-b', 'bag-c', 'bag-d']
const FLEET_SIZES = (process.env['CAPACITY_SIZES'] ?? '4,8,16,32,64').split(',').map(Number)
const ENGINE_COUNTS = [4, 64]
const LOAD_VMS = 8
/** Half the rate at which the engine stand-ins served the longer answers; a refused request would distort the figures. */
const LOAD_REQUESTS_PER_S = 25
/** Two answer lengths, in tokens, separate the cost of a request from the cost of a token. */
const LOAD_TOKENS = [4, 128]
/** The first requests run before the code is JIT-compiled, and their cost would be attributed to the first answer length. */
const WARM_UP_MS = 15_000
const SETTLE_MS = 10_000
const MEASURE_MS = 15_000
/** The default of the settings; tests use a shorter TTL. */
const LEASE_TTL_MS = 6000
const ENABLED_PARTS = (process.env['CAPACITY_PARTS'] ?? 'vms,backend-servers,load').split(',')
/** Clock ticks per second in /proc/PID/stat; Linux fixes the value at 100 for user space. */
const TICKS_PER_S = 100
/** VMs of a data centre that watch the object API; the same value as in src/core/config/constants.ts. */
const WATCHERS_PER_DATA_CENTRE = 2

interface Sample {
  atMs: number
  cpuS: Map<string, number>
  objectApiCpuS: number
  objectApi: Record<string, number>
  metrics: Map<string, Map<string, number>>
}

/** Mean resource use of one VM. Fields that end in `PerS` are rates per second. */
interface VmCost { cpuPercent: number, memoryMb: number, sentBytesPerS: number, receivedBytesPerS: number }

interface FleetCost {
  all: VmCost
  byRole: Map<string, VmCost>
  seconds: number
  objectApi: { readsPerS: number, writesPerS: number, waitingWatches: number, cpuPercent: number }
  /** Increase per second of each counter that changed, summed over all VMs. */
  countersPerS: Map<string, number>
}

function readCpuS (pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The name in parentheses may contain spaces; user and system time are the 12th and 13th field after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S
}

function readMemoryMb (pid: number): number {
  return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))![1]) / 1024
}

async function readMetrics (url: string): Promise<Map<string, number>> {
  const text = await (await fetch(`${url}/metrics`)).text()
  const lines = text.split('\n').filter(line => line.startsWith('lacewingstage_') && !line.includes('latency'))
  return new Map(lines.map(line => {
    const space = line.lastIndexOf(' ')
    return [line.slice('lacewingstage_'.length, space), Number(line.slice(space + 1))]
  }))
}

async function readObjectApi (fleet: Fleet): Promise<Record<string, number>> {
  return await (await fetch(`${fleet.objectApi.url}/control/counters`)).json() as Record<string, number>
}

/** Reads the metrics outside the interval over which CPU time is measured, because serving them uses CPU time. */
async function takeSample (fleet: Fleet, isFirst: boolean): Promise<Sample> {
  const readAllMetrics = async () => new Map(await Promise.all(fleet.vms.map(async vm => [vm.id, await readMetrics(vm.url)] as const)))
  const initialMetrics = isFirst ? await readAllMetrics() : undefined
  const atMs = performance.now()
  const cpuS = new Map(fleet.vms.map(vm => [vm.id, readCpuS(vm.process.child.pid!)]))
  const objectApiCpuS = readCpuS(fleet.objectApi.process.child.pid!)
  const objectApi = await readObjectApi(fleet)
  return { atMs, cpuS, objectApiCpuS, objectApi, metrics: initialMetrics ?? await readAllMetrics() }
}

async function measure (fleet: Fleet): Promise<FleetCost> {
  const roles = await readRoles(fleet)
  const before = await takeSample(fleet, true)
  await sleep(MEASURE_MS)
  const after = await takeSample(fleet, false)
  const seconds = (after.atMs - before.atMs) / 1000
  const costs = fleet.vms.map(vm => ({ role: roles.get(vm.id)!, cost: costOf(vm.id, vm.process.child.pid!) }))

  function costOf (id: string, pid: number): VmCost {
    const rate = (name: string) => ((after.metrics.get(id)!.get(name) ?? 0) - (before.metrics.get(id)!.get(name) ?? 0)) / seconds
    return {
      cpuPercent: 100 * (after.cpuS.get(id)! - before.cpuS.get(id)!) / seconds,
      memoryMb: readMemoryMb(pid),
      sentBytesPerS: rate('peer_sent_bytes'),
      receivedBytesPerS: rate('peer_received_bytes')
    }
  }

  const perS = (name: string) => (after.objectApi[name]! - before.objectApi[name]!) / seconds
  return {
    all: meanCost(costs.map(({ cost }) => cost)),
    byRole: new Map([...new Set(roles.values())].sort().map(role => [role, meanCost(costs.filter(each => each.role === role).map(({ cost }) => cost))])),
    seconds,
    objectApi: {
      readsPerS: perS('reads'),
      writesPerS: perS('writes'),
      waitingWatches: after.objectApi['waitingWatches']!,
      cpuPercent: 100 * (after.objectApiCpuS - before.objectApiCpuS) / seconds
    },
    countersPerS: changedCounters(before, after, seconds)
  }
}

function changedCounters (before: Sample, after: Sample, seconds: number): Map<string, number> {
  const sums = new Map<string, number>()
  for (const [vm, values] of after.metrics) {
    for (const [name, value] of values) {
      const increase = value - (before.metrics.get(vm)!.get(name) ?? 0)
      if (name.includes('_total') && increase !== 0) sums.set(name, (sums.get(name) ?? 0) + increase / seconds)
    }
  }
  return sums
}

/** Returns the role of each VM; a leader that also watches the object API counts as a leader. */
async function readRoles (fleet: Fleet): Promise<Map<string, string>> {
  const answer = await (await fetch(`${fleet.objectApi.url}/apis/lacewingstage.dev/v1/Lease`)).json() as { items: { spec: { holder: string } }[] }
  const leaders = new Set(answer.items.map(({ spec }) => spec.holder))
  const watchers = new Set(fleet.dataCentres.flatMap(dataCentre =>
    fleet.vms.filter(vm => vm.dataCentre === dataCentre).map(vm => vm.id).sort().slice(0, WATCHERS_PER_DATA_CENTRE)))
  return new Map(fleet.vms.map(({ id }) => [id, leaders.has(id) ? 'leader' : watchers.has(id) ? 'watching' : 'plain']))
}

function meanCost (costs: VmCost[]): VmCost {
  const average = (value: (cost: VmCost) => number) => costs.reduce((sum, cost) => sum + value(cost), 0) / costs.length
  return {
    cpuPercent: average(cost => cost.cpuPercent),
    memoryMb: average(cost => cost.memoryMb),
    sentBytesPerS: average(cost => cost.sentBytesPerS),
    receivedBytesPerS: average(cost => cost.receivedBytesPerS)
  }
}

/** Returns the intercept (`base`) and slope of the least-squares line. */
function fitLine (xs: readonly number[], ys: readonly number[]): { base: number, slope: number } {
  const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanX = mean(xs)
  const meanY = mean(ys)
  const slope = xs.reduce((sum, x, index) => sum + (x - meanX) * (ys[index]! - meanY), 0) / xs.reduce((sum, x) => sum + (x - meanX) ** 2, 0)
  return { base: meanY - slope * meanX, slope }
}

function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

async function measureIdle (vms: number, engines = DATA_CENTRES.length): Promise<FleetCost> {
  const fleet = await startFleet({ vms, dataCentres: DATA_CENTRES, engines, applications: 0, leaseTtlMs: LEASE_TTL_MS })
  try {
    await sleep(SETTLE_MS)
    return await measure(fleet)
  } finally {
    await fleet.stop()
  }
}

interface LoadCost { cost: FleetCost, sent: number, complete: number, statuses: Map<number, number> }

/** Sends requests to the VMs in turn at a fixed rate, independent of the responses. */
async function measureLoad (fleet: Fleet, maxTokens: number, warmUpMs: number): Promise<LoadCost> {
  let sent = 0
  let complete = 0
  const statuses = new Map<number, number>()
  const pendingCalls = new Set<Promise<void>>()
  const startedMs = performance.now()
  const timer = setInterval(() => {
    const dueRequests = (performance.now() - startedMs) * LOAD_REQUESTS_PER_S / 1000
    while (sent < dueRequests) {
      const vm = fleet.vms[sent % fleet.vms.length]!
      const call = sendChat(vm, { prompt: `question ${sent += 1}`, stream: true, maxTokens }).then(answer => {
        if (isComplete(answer)) complete += 1
        statuses.set(answer.status, (statuses.get(answer.status) ?? 0) + 1)
      }).finally(() => pendingCalls.delete(call))
      pendingCalls.add(call)
    }
  }, 10)
  await sleep(warmUpMs)
  const cost = await measure(fleet)
  clearInterval(timer)
  await Promise.all(pendingCalls)
  return { cost, sent, complete, statuses }
}

function printRow (cells: (string | number)[]): void {
  console.log(`| ${cells.map(cell => typeof cell === 'number' ? String(Number(cell.toPrecision(3))) : cell).join(' | ')} |`)
}

const costCells = ({ cpuPercent, memoryMb, sentBytesPerS, receivedBytesPerS }: VmCost) => [cpuPercent, memoryMb, sentBytesPerS, receivedBytesPerS]

async function runIdle (): Promise<void> {
  const costs: FleetCost[] = []
  printRow(['VMs', 'role', 'CPU % of a core', 'resident MB', 'sent B/s', 'received B/s', 'reads/s', 'writes/s', 'waiting watches', 'object API CPU %', 'load average'])
  for (const vms of FLEET_SIZES) {
    const cost = await measureIdle(vms)
    costs.push(cost)
    const { readsPerS, writesPerS, waitingWatches, cpuPercent } = cost.objectApi
    printRow([vms, 'all', ...costCells(cost.all), readsPerS, writesPerS, waitingWatches, cpuPercent, loadavg()[0]!])
    for (const [role, roleCost] of cost.byRole) printRow([vms, role, ...costCells(roleCost)])
  }
  if (FLEET_SIZES.length < 2) return
  printSlope('all', FLEET_SIZES, costs.map(cost => cost.all))
  for (const role of ['leader', 'watching', 'plain']) {
    const measured = costs.map((cost, index) => ({ vms: FLEET_SIZES[index]!, cost: cost.byRole.get(role) })).filter(({ cost }) => cost !== undefined)
    if (measured.length > 1) printSlope(role, measured.map(({ vms }) => vms), measured.map(({ cost }) => cost!))
  }
  printFit('object API reads/s', FLEET_SIZES, costs.map(cost => cost.objectApi.readsPerS))
  printFit('object API writes/s', FLEET_SIZES, costs.map(cost => cost.objectApi.writesPerS))
}

function printSlope (role: string, xs: number[], costs: VmCost[]): void {
  printFit(`${role}: CPU % of a core`, xs, costs.map(cost => cost.cpuPercent))
  printFit(`${role}: resident MB`, xs, costs.map(cost => cost.memoryMb))
  printFit(`${role}: sent B/s`, xs, costs.map(cost => cost.sentBytesPerS))
  printFit(`${role}: received B/s`, xs, costs.map(cost => cost.receivedBytesPerS))
}

function printFit (name: string, xs: number[], ys: number[]): void {
  const { base, slope } = fitLine(xs, ys)
  console.log(`${name}: ${base.toPrecision(3)} + ${slope.toPrecision(3)} x`)
}

/** Starts one VM in each data centre, so that every VM is a leader that probes its share of the backend servers. */
async function runBackendServers (): Promise<void> {
  const leaders: VmCost[] = []
  for (const engines of ENGINE_COUNTS) {
    const { all } = await measureIdle(DATA_CENTRES.length, engines)
    leaders.push(all)
    printRow([`leader of ${engines / DATA_CENTRES.length} backend servers`, ...costCells(all), loadavg()[0]!])
  }
  printSlope('leader, per backend server', ENGINE_COUNTS.map(engines => engines / DATA_CENTRES.length), leaders)
}

async function runLoad (): Promise<void> {
  const fleet = await startFleet({ vms: LOAD_VMS, dataCentres: DATA_CENTRES, engines: 8, applications: 0, leaseTtlMs: LEASE_TTL_MS, engineOptions: { answerTokens: Math.max(...LOAD_TOKENS) } })
  try {
    await sleep(SETTLE_MS)
    const idle = await measure(fleet)
    const loads: { tokens: number, cpuMsPerRequest: number }[] = []
    for (const tokens of LOAD_TOKENS) {
      const { cost, sent, complete, statuses } = await measureLoad(fleet, tokens, loads.length === 0 ? WARM_UP_MS : WARM_UP_MS / 3)
      const cpuMsPerRequest = 10 * LOAD_VMS * (cost.all.cpuPercent - idle.all.cpuPercent) / LOAD_REQUESTS_PER_S
      loads.push({ tokens, cpuMsPerRequest })
      console.log(`${tokens} tokens: ${sent} sent, ${complete} complete, statuses ${JSON.stringify([...statuses])}, load average ${loadavg()[0]!.toFixed(1)}`)
      console.log(`  per request: ${cpuMsPerRequest.toFixed(2)} ms CPU, ${(cost.objectApi.writesPerS / LOAD_REQUESTS_PER_S).toFixed(3)} writes, ${(cost.objectApi.readsPerS / LOAD_REQUESTS_PER_S).toFixed(3)} reads, ${(LOAD_VMS * (cost.all.sentBytesPerS - idle.all.sentBytesPerS) / LOAD_REQUESTS_PER_S).toFixed(0)} peer bytes sent`)
      printRow(['all', ...costCells(cost.all)])
      for (const [role, roleCost] of cost.byRole) printRow([role, ...costCells(roleCost)])
      console.log(`  ${[...cost.countersPerS].map(([name, perS]) => `${name} ${perS.toFixed(2)}/s`).join(', ')}`)
    }
    const { base, slope } = fitLine(loads.map(({ tokens }) => tokens), loads.map(({ cpuMsPerRequest }) => cpuMsPerRequest))
    console.log(`CPU of all VMs: ${base.toFixed(2)} ms per request + ${slope.toFixed(3)} ms per token`)
  } finally {
    await fleet.stop()
  }
}

// Without these handlers, an interrupted run would leave its child processes running.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1))
console.log(`${new Date().toISOString()}, load average ${loadavg().map(value => value.toFixed(1)).join(' ')}, ${MEASURE_MS / 1000} s each`)
if (ENABLED_PARTS.includes('vms')) await runIdle()
if (ENABLED_PARTS.includes('backend-servers')) await runBackendServers()
if (ENABLED_PARTS.includes('load')) await runLoad()
// Sockets have been observed to stay open after the fleet stopped, which kept this process alive.
process.exit(0)
