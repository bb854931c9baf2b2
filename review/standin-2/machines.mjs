/** Starts the project's program as the deploy file does, with settings in the form of DEPLOY.md, and ends it again. */
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { get } from 'node:http'

const PROJECT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const READY_TIMEOUT_MS = 20_000

/** Bounds of csw-rake (SYSTEM.md). */
export const BOUNDS = {
  seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, revoke_strict: true, revoke_ms: 5000, retry_budget_ratio: 0.9, retry_window_s: 10, retry_slack: 56, canary_share: 0.15, canary_slack: 30, rollback_ms: 5000, cold_overshoot: 1.5, cold_slack: 5, evacuate_ms: 5000, recover_s: 12, pass_ms: 120, reuse_window_s: 9.4, session_s: 5, ttl_max_s: 5
}

// Ends what the case has started, by the listeners of `exit`.
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => process.exit(2))

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Free ports that follow one another. */
async function findPorts (count) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 12_000)
    const servers = []
    try {
      for (let i = 0; i < count; i++) {
        const server = createServer()
        await new Promise((resolve, reject) => server.once('error', reject).listen(first + i, '127.0.0.1', resolve))
        servers.push(server)
      }
      return first
    } catch {
      // One of them is in use; try others.
    } finally {
      await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
    }
  }
}

export function isReady (address, timeoutMs = 1000) {
  return new Promise(resolve => {
    const request = get(`http://${address}/api/ready`, { agent: false, timeout: timeoutMs }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(false))
  })
}

/** Starts `count` machines in two zones and waits until all are ready. */
export async function startMachines ({ count, storeAddress, memoryMb = 200 }) {
  const directory = mkdtempSync(join(tmpdir(), 'review-2-'))
  const machines = []
  for (let i = 0; i < count; i++) {
    const port = await findPorts(20)
    const listen = { front: `127.0.0.1:${port + 16}`, ready: `127.0.0.1:${port + 17}`, control: `127.0.0.1:${port + 18}`, directory: `127.0.0.1:${port + 19}` }
    const path = join(directory, `boot-${i}.json`)
    writeFileSync(path, JSON.stringify({
      node_name: `front-${i}`,
      role: 'entry',
      machine_class: 'front',
      serves: ['front', 'directory'],
      ip: '127.0.0.1',
      zone: `zone-${i % 2}`,
      region: 'region',
      zones: { 'zone-0': 'region', 'zone-1': 'region' },
      listen,
      internal_ports: [port, port + 15],
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
    machines.push({ name: `front-${i}`, path, front: listen.front, ready: listen.ready, directory: listen.directory, metrics: `127.0.0.1:${port + 1}`, log: '', child: undefined })
  }
  const start = machine => {
    // The command of deploy/system.toml, with the variables that DEPLOY.md names.
    machine.child = spawn(process.execPath, ['--max-semi-space-size=4', 'target/lacewingstage.cjs', 'platform'], {
      cwd: PROJECT, stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: process.env.HOME, LACEWINGSTAGE_BOOT: machine.path }
    })
    machine.child.stdout.on('data', chunk => { machine.log += chunk })
    machine.child.stderr.on('data', chunk => { machine.log += chunk })
  }
  const stopAll = () => {
    for (const { child } of machines) child?.kill('SIGKILL')
    rmSync(directory, { recursive: true, force: true })
  }
  process.once('exit', stopAll)
  for (const machine of machines) start(machine)
  for (const { ready, name } of machines) {
    for (const endMs = Date.now() + READY_TIMEOUT_MS; !await isReady(ready); await sleep(50)) {
      if (Date.now() > endMs) throw new Error(`${name} is not ready`)
    }
  }
  return { machines, start, stopAll }
}
