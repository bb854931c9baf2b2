/** A small fleet on loopback in one process: an object API stand-in, engine stand-ins, one application stand-in and VMs. */
import { applySample, waitForLeaders } from './apply-sample.ts'
import { findFreePorts } from './free-ports.ts'
import { sampleConfig, SAMPLE_VERSIONS } from './sample-config.ts'
import { parseSettings } from '../../core/settings/index.ts'
import { startVm, type RunningVm } from '../../core/vm/index.ts'
import { startApplication } from '../../standin/application/index.ts'
import { startEngine } from '../../standin/engine/index.ts'
import { startObjectApiServer } from '../../standin/object-api/index.ts'
import { stringify } from 'smol-toml'

export interface DevFleetOptions {
  vms?: number
  engines?: number
  /** Caller port of the first VM; each further VM uses the next port. 0 chooses free ports. */
  portBase?: number
}

export interface DevFleet {
  vms: RunningVm[]
  objectApiUrl: string
  stop(): Promise<void>
}

const REGION = 'bagmati'
const DATA_CENTRES = ['bag-a', 'bag-b']
const DEV_KEY = 'development-only-key'
const ENGINE_FIRST_TOKEN_MS = 20
const ENGINE_TOKEN_DELAY_MS = 5

export async function startDevFleet ({ vms = 4, engines = 4, portBase = 0 }: DevFleetOptions = {}): Promise<DevFleet> {
  const objectApi = await startObjectApiServer({ port: 0 })
  const engineServers = await Promise.all(Array.from({ length: engines }, () => startEngine({
    versions: SAMPLE_VERSIONS, slots: 8, coldAllowance: 2, firstTokenMs: ENGINE_FIRST_TOKEN_MS, tokenDelayMs: ENGINE_TOKEN_DELAY_MS
  })))
  const application = await startApplication({})
  const runningVms = await startVms({ vms, portBase, objectApiUrl: objectApi.url })
  await applySample(runningVms[0]!.callerUrl, sampleConfig({
    region: REGION,
    dataCentres: DATA_CENTRES,
    engines: engineServers.map(({ address }, index) => ({ id: `runner-${index + 1}`, dataCentre: dataCentreOf(index), address })),
    applications: [{ id: 'app-1', dataCentre: dataCentreOf(0), address: application.address }]
  }))
  await Promise.all(runningVms.map(vm => waitForLeaders(vm.callerUrl)))
  return {
    vms: runningVms,
    objectApiUrl: objectApi.url,
    async stop () {
      await Promise.all(runningVms.map(vm => vm.shutDown()))
      await Promise.all([...engineServers, application, objectApi].map(server => server.close()))
    }
  }
}

function dataCentreOf (index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length]!
}

async function startVms ({ vms, portBase, objectApiUrl }: { vms: number, portBase: number, objectApiUrl: string }): Promise<RunningVm[]> {
  const ports = await findFreePorts(2 * vms)
  const addresses = Array.from({ length: vms }, (_, index) => ({
    id: `vm-${index + 1}`,
    callerAddress: `127.0.0.1:${portBase === 0 ? ports[index] : portBase + index}`,
    peerAddress: `127.0.0.1:${ports[vms + index]}`
  }))
  const seeds = addresses.map(({ id: vm, peerAddress }) => ({ vm, peer_address: peerAddress }))
  const startingVms = addresses.map(({ id, callerAddress, peerAddress }, index) => startVm(parseSettings(stringify({
    vm: { id, region: REGION, data_centre: dataCentreOf(index), caller_address: callerAddress, peer_address: peerAddress, seeds },
    object_api: { url: objectApiUrl },
    peer: { shared_keys: [DEV_KEY] },
    sessions: { token_keys: [DEV_KEY] },
    lease: { lease_ttl_ms: 3000 },
    shutdown: { announce_ms: 200 },
    log: { level: 'warn', format: 'pretty' }
  }), `${id}.toml`)))
  const runningVms = await Promise.all(startingVms)
  await Promise.all(runningVms.map(vm => vm.whenReady))
  return runningVms
}
