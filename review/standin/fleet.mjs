/** Starts the machines with the command of the deploy file, with settings like those that DEPLOY.md shows. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** The bounds of sites/himal-kits.toml. */
export const BOUNDS = {
  seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, revoke_strict: true, revoke_ms: 5000, retry_budget_ratio: 0.9, retry_window_s: 10, retry_slack: 58, canary_share: 0.15, canary_slack: 30, rollback_ms: 5000, cold_overshoot: 1.5, cold_slack: 5, evacuate_ms: 5000, recover_s: 12, pass_ms: 120, reuse_window_s: 10, session_s: 5, ttl_max_s: 5
}
const ZONES = ['bag-a', 'bag-b', 'bag-c', 'bag-d']
const REGION = 'bagmati'
const START_TIMEOUT_MS = 20_000

/** An error of the script itself means that the case could not run. */
process.on('uncaughtException', error => {
  console.error(error)
  process.exit(2)
})

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

function listenOn (port) {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}

/** Below the range from which the system chooses ports for others, so that none is taken between this and the start. */
const FIRST_PORT = 12_000
const PORT_RANGE = 18_000

/** Ports that are free now: two in a row for the traffic between machines, and four more. */
async function findPorts () {
  for (;;) {
    const first = FIRST_PORT + Math.floor(Math.random() * PORT_RANGE)
    const held = []
    try {
      for (let i = 0; i < 6; i++) held.push(await listenOn(first + i))
      return { internal: first, ports: [first + 2, first + 3, first + 4, first + 5] }
    } catch {
      // One of the ports is taken.
    } finally {
      for (const server of held) server.close()
    }
  }
}

function runCommand () {
  const deployFile = readFileSync('deploy/system.toml', 'utf8')
  return /^run = "(.*)"$/m.exec(deployFile)[1].split(' ')
}

/** Starts `count` machines and resolves once all of them are ready. */
export async function startFleet ({ count, storeAddress, heartbeatMs = 1200, bounds = BOUNDS }) {
  const directory = mkdtempSync(join(tmpdir(), 'review-'))
  const [command, ...args] = runCommand()
  const machines = []
  for (let i = 0; i < count; i++) {
    const { internal, ports } = await findPorts()
    const [front, ready, control, directoryAddress] = ports.map(port => `127.0.0.1:${port}`)
    const zone = ZONES[i % ZONES.length]
    const name = `front-${zone}-${i + 1}`
    const settingsPath = join(directory, `${name}.json`)
    writeFileSync(settingsPath, JSON.stringify({
      node_name: name,
      role: 'entry',
      machine_class: 'front',
      serves: ['front', 'directory'],
      ip: '127.0.0.1',
      zone,
      region: REGION,
      zones: Object.fromEntries(ZONES.map(each => [each, REGION])),
      listen: { front, ready, control, directory: directoryAddress },
      internal_ports: [internal, internal + 1],
      seed_nodes: [],
      bootstrap: true,
      loss_counts: false,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
      data_dir: null,
      discovery: 'platform',
      entry: 'directory',
      heartbeat_ms: heartbeatMs,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'places', 'platform', 'rollout'],
      fault_tolerance: { machines: 2, zones: 1, regions: 0 },
      bounds,
      platform: { address: storeAddress, form: 'objects', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1_048_576, ttl_min_ms: 1000 }
    }))
    machines.push({ name, front, ready, settingsPath, child: undefined, log: [] })
  }

  function start (machine) {
    const child = spawn(command, args, { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: process.env.HOME, LACEWINGSTAGE_BOOT: machine.settingsPath } })
    machine.child = child
    for (const stream of [child.stdout, child.stderr]) stream.on('data', chunk => machine.log.push(String(chunk)))
  }

  async function isReady ({ ready }) {
    return await fetch(`http://${ready}/api/ready`, { signal: AbortSignal.timeout(1000) }).then(({ status }) => status === 200, () => false)
  }

  async function waitUntilReady (machine) {
    for (const endMs = performance.now() + START_TIMEOUT_MS; !await isReady(machine); await sleep(50)) {
      if (performance.now() > endMs || machine.child.exitCode !== null) throw new Error(`${machine.name} is not ready: ${machine.log.join('').slice(-2000)}`)
    }
  }

  const stop = () => {
    for (const { child } of machines) child?.kill('SIGKILL')
    rmSync(directory, { recursive: true, force: true })
  }
  process.once('exit', stop)
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => process.exit(2))
  for (const machine of machines) start(machine)
  await Promise.all(machines.map(waitUntilReady))
  const unable = machines.find(({ log }) => log.join('').includes('EADDRINUSE'))
  if (unable) throw new Error(`${unable.name} found a port taken`)
  return { machines, start, waitUntilReady, stop }
}
