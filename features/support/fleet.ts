/**
 * Starts a small fleet of real processes on loopback: object API, engines, applications and VMs. Each VM reaches the
 * object API through its own fault proxy, so that tests can cut, delay or freeze that connection.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { applySample, waitForLeaders } from '../../src/cli/dev/apply-sample.ts'
import { findFreePorts } from '../../src/cli/dev/free-ports.ts'
import { sampleConfig, SAMPLE_OPERATOR_KEY, SAMPLE_TEAM_KEY, SAMPLE_VERSIONS } from '../../src/cli/dev/sample-config.ts'
import { startFaultProxy, type FaultProxy } from '../../src/standin/fault-proxy/index.ts'
import { startProcess, type RunningProcess } from './processes.ts'

export interface FleetOptions {
  /** VMs are assigned to the data centres round robin. */
  vms?: number
  dataCentres?: string[]
  engines?: number
  applications?: number
  /** Options of every engine stand-in. */
  engineOptions?: Record<string, unknown>
  /** Options of every application stand-in. */
  applicationOptions?: Record<string, unknown>
  leaseTtlMs?: number
}

export interface FleetVm {
  id: string
  dataCentre: string
  url: string
  peerAddress: string
  process: RunningProcess
  /** Fault proxy between the VM and the object API. */
  objectApiProxy: FaultProxy
}

export interface FleetBackendServer {
  id: string
  dataCentre: string
  address: string
  process: RunningProcess
}

export interface Fleet {
  objectApi: { url: string, process: RunningProcess }
  vms: FleetVm[]
  engines: FleetBackendServer[]
  applications: FleetBackendServer[]
  dataCentres: string[]
  /** Starts another VM, or a new process of the VM with this id. */
  startVm(id?: string): Promise<FleetVm>
  stop(): Promise<void>
}

export { SAMPLE_OPERATOR_KEY, SAMPLE_TEAM_KEY, SAMPLE_VERSIONS }

const REGION = 'bagmati'
const POLL_MS = 50
const WAIT_TIMEOUT_MS = 30_000
const PEER_KEY = 'peer-key-for-tests-0123456789'
const TOKEN_KEY = 'token-key-for-tests-0123456789'

export async function startFleet (options: FleetOptions = {}): Promise<Fleet> {
  const { vms = 3, dataCentres = ['bag-a', 'bag-b'], engines = 4, applications = 2, leaseTtlMs = 2000 } = options
  const directory = mkdtempSync(join(tmpdir(), 'lacewingstage-'))
  const objectApiProcess = await startStandIn('object-api', {})
  const objectApi = { url: String(objectApiProcess.details['url']), process: objectApiProcess }

  const engineServers = await startBackendServers('engine', engines, dataCentres, {
    versions: SAMPLE_VERSIONS, slots: 8, coldAllowance: 2, coldMs: 0, coldRequests: 0, firstTokenMs: 5, tokenDelayMs: 2, ...options.engineOptions
  })
  const applicationServers = await startBackendServers('application', applications, dataCentres, { ...options.applicationOptions })

  // Includes the addresses of two more VMs that a test can start later.
  const ports = await findFreePorts(2 * (vms + 2))
  const addresses = Array.from({ length: vms + 2 }, (_, index) => ({
    id: `vm-${index + 1}`,
    dataCentre: dataCentres[index % dataCentres.length]!,
    callerAddress: `127.0.0.1:${ports[2 * index]}`,
    peerAddress: `127.0.0.1:${ports[2 * index + 1]}`
  }))

  const fleet: Fleet = {
    objectApi, vms: [], engines: engineServers, applications: applicationServers, dataCentres, startVm, stop
  }

  async function startVm (id?: string): Promise<FleetVm> {
    const vmAddress = addresses.find(address => id === undefined ? !fleet.vms.some(vm => vm.id === address.id) : address.id === id)
    if (!vmAddress) throw new Error('no free address for another VM')
    const objectApiProxy = await startFaultProxy({ target: new URL(objectApi.url).host })
    const file = join(directory, `${vmAddress.id}.toml`)
    const seeds = addresses.slice(0, vms).map(({ id: vm, peerAddress }) => ({ vm, peer_address: peerAddress }))
    writeFileSync(file, stringify({
      vm: { id: vmAddress.id, region: REGION, data_centre: vmAddress.dataCentre, caller_address: vmAddress.callerAddress, peer_address: vmAddress.peerAddress, seeds },
      object_api: { url: `http://${objectApiProxy.address}`, timeout_ms: 1000 },
      peer: { shared_keys: [PEER_KEY] },
      sessions: { token_keys: [TOKEN_KEY] },
      lease: { lease_ttl_ms: leaseTtlMs, clock_margin_ms: 200 },
      admission: { permit_start_ms: 500, load_report_lag_ms: 300 },
      shutdown: { announce_ms: 500 }
    }))
    const process = await startProcess(['serve', '--settings', file])
    const vm = { id: vmAddress.id, dataCentre: vmAddress.dataCentre, url: `http://${vmAddress.callerAddress}`, peerAddress: vmAddress.peerAddress, process, objectApiProxy }
    fleet.vms = [...fleet.vms.filter(other => other.id !== vm.id), vm]
    return vm
  }

  async function stop (): Promise<void> {
    const processes = [...fleet.vms.map(vm => vm.process), ...engineServers.map(server => server.process), ...applicationServers.map(server => server.process), objectApiProcess]
    await Promise.all(processes.map(process => process.kill()))
    await Promise.all(fleet.vms.map(vm => vm.objectApiProxy.close()))
    rmSync(directory, { recursive: true })
  }

  await Promise.all(addresses.slice(0, vms).map(({ id }) => startVm(id)))
  fleet.vms.sort((a, b) => a.id.localeCompare(b.id))
  await applyConfiguration(fleet)
  return fleet
}

/** Polls until the condition holds and throws on a timeout, which fails the test. */
export async function waitUntil (condition: () => Promise<boolean>, description: string): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS
  while (!await condition()) {
    if (Date.now() > deadline) throw new Error(`timed out: ${description}`)
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}

function startStandIn (kind: string, options: Record<string, unknown>): Promise<RunningProcess> {
  return startProcess(['stand-in', kind, '--options', JSON.stringify(options)])
}

async function startBackendServers (kind: string, count: number, dataCentres: string[], options: Record<string, unknown>): Promise<FleetBackendServer[]> {
  const starting = Array.from({ length: count }, async (_, index) => {
    const id = `${kind}-${index + 1}`
    const process = await startStandIn(kind, { ...options, instance: id })
    return { id, dataCentre: dataCentres[index % dataCentres.length]!, address: String(process.details['address']), process }
  })
  return await Promise.all(starting)
}

/** Applies the sample configuration through the first VM and waits until every VM has a leader for each data centre. */
async function applyConfiguration (fleet: Fleet): Promise<void> {
  const { dataCentres, engines, applications } = fleet
  await waitUntil(async () => (await Promise.all(fleet.vms.map(isConfigured))).every(Boolean), 'every VM has loaded its configuration')
  await applySample(fleet.vms[0]!.url, sampleConfig({ region: REGION, dataCentres, engines, applications }))
  await Promise.all(fleet.vms.map(vm => waitForLeaders(vm.url)))
}

/** Whether the VM has loaded its configuration; until then it refuses to check changes. */
async function isConfigured ({ url }: FleetVm): Promise<boolean> {
  const response = await fetch(`${url}/operator/v1/check`, {
    method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify({ changes: [{ kind: 'Operator', name: 'admin', spec: { keys: [] } }] })
  })
  return response.ok
}
