/** Starts the project's program as VMs, in the way of the deploy file and with the settings of a small deployment. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Recorder } from './record.ts'
import { sleep } from './record.ts'

/** The words of the line `run` of the deploy file. */
const RUN = ['--max-semi-space-size=4', 'target/lacewingstage.cjs', 'platform']
const { execPath: RUNTIME, env: { PATH, HOME } } = process
const READY_TIMEOUT_MS = 25_000
export const BOUNDS = {
  seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, revoke_strict: true, revoke_ms: 5000, retry_budget_ratio: 0.9, retry_window_s: 10, retry_slack: 56, canary_share: 0.15, canary_slack: 30, rollback_ms: 5000, cold_overshoot: 1.5, cold_slack: 5, evacuate_ms: 5000, recover_s: 12, pass_ms: 120, reuse_window_s: 9.4, session_s: 5, ttl_max_s: 5
}

/** Finds a port whose next `count - 1` ports are free at the address, too. */
export async function findPort (host: string, count = 1): Promise<number> {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 12_000)
    const checks = await Promise.all(Array.from({ length: count }, (_, index) => isFree(host, first + index)))
    if (checks.every(Boolean)) return first
  }
}

function isFree (host: string, port: number): Promise<boolean> {
  const server = createServer()
  return new Promise(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

export interface Vm {
  name: string
  host: string
  /** Port for consumers. */
  port: number
  log: string[]
  pid(): number
  isReady(): Promise<boolean>
  signal(signal: NodeJS.Signals): void
  /** Exit code or signal of the process, once it has ended. */
  ended(): Promise<string>
  /** Starts the process again after its end, as the platform does. */
  restart(): void
}

export interface FleetOptions {
  storeAddress: string
  recorder: Recorder
  onEnd: (end: () => void) => void
  memoryMb?: number
}

/** Starts VMs named vm-1 and so on, and resolves when all are ready. */
export async function startVms (count: number, options: FleetOptions): Promise<Vm[]> {
  const folder = mkdtempSync(join(tmpdir(), 'review-3-'))
  options.onEnd(() => rmSync(folder, { recursive: true, force: true }))
  const vms = await Promise.all(Array.from({ length: count }, (_, index) => startVm(index + 1, folder, options)))
  for (const vm of vms) await waitUntilReady(vm)
  options.recorder.record('all VMs are ready', { count })
  return vms
}

export async function waitUntilReady (vm: Vm): Promise<void> {
  for (const endMs = performance.now() + READY_TIMEOUT_MS; !await vm.isReady(); await sleep(50)) {
    if (performance.now() > endMs) throw new Error(`${vm.name} is not ready: ${vm.log.slice(-3).join(' ')}`)
  }
}

async function startVm (number: number, folder: string, { storeAddress, recorder, onEnd, memoryMb = 200 }: FleetOptions): Promise<Vm> {
  const host = `127.0.0.${10 + number}`
  const name = `vm-${number}`
  const base = await findPort(host, 24)
  const [front, ready, directory, control] = [base, base + 1, base + 2, base + 3]
  const path = join(folder, `${name}.json`)
  writeFileSync(path, JSON.stringify({
    node_name: name,
    role: 'entry',
    machine_class: 'front',
    serves: ['front', 'directory'],
    ip: host,
    zone: `zone-${1 + number % 2}`,
    region: 'region',
    zones: { 'zone-1': 'region', 'zone-2': 'region' },
    listen: { front: `${host}:${front}`, ready: `${host}:${ready}`, control: `${host}:${control}`, directory: `${host}:${directory}` },
    internal_ports: [base + 8, base + 23],
    seed_nodes: [],
    bootstrap: true,
    loss_counts: false,
    limits: { cpu_share: 0.675, cores: 1, memory_mb: memoryMb, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
    data_dir: null,
    discovery: 'platform',
    entry: 'directory',
    heartbeat_ms: 1200,
    contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'places', 'platform', 'rollout'],
    fault_tolerance: { machines: 2, zones: 1, regions: 0 },
    bounds: BOUNDS,
    platform: { address: storeAddress, form: 'objects', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1_048_576, ttl_min_ms: 1000 }
  }))
  const log: string[] = []
  let child: ChildProcess
  let ended: Promise<string>

  function launch (): void {
    const process = spawn(RUNTIME, RUN, { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH, HOME, LACEWINGSTAGE_BOOT: path } })
    for (const stream of [process.stdout, process.stderr]) stream.on('data', chunk => log.push(...String(chunk).split('\n').filter(Boolean)))
    ended = new Promise(resolve => process.once('exit', (code, signal) => {
      recorder.record('VM has ended', { name, code, signal })
      resolve(String(code ?? signal))
    }))
    child = process
  }

  launch()
  onEnd(() => { child.kill('SIGKILL') })
  recorder.record('VM starts', { name, front: `${host}:${front}` })
  return {
    name,
    host,
    port: front,
    log,
    pid: () => child.pid!,
    isReady: () => fetch(`http://${host}:${ready}/api/ready`, { signal: AbortSignal.timeout(1000) }).then(({ status }) => status === 200, () => false),
    signal (signal) {
      recorder.record('signal', { name, signal })
      child.kill(signal)
    },
    ended: () => ended,
    restart () {
      recorder.record('VM starts again', { name })
      launch()
    }
  }
}
