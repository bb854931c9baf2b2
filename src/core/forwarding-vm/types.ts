/** Settings of a forwarding VM, and the interface of the adapter to its platform. */
import type { IncomingMessage, Server } from 'node:http'
import type { BackendEntry } from '../backend-pool/types.ts'
import type { Codec } from '../forwarding/exchange.ts'
import type { CallerRequest, TrafficConfig } from '../forwarding/types.ts'
import type { StoredObject } from '../object-feed/types.ts'
import type { RolloutOrder } from '../version-trial/types.ts'
import type { DataCentreId, RegionId, VmId } from '../ids/index.ts'

export interface ForwardingVmSettings {
  vm: VmId
  dataCentre: DataCentreId
  region: RegionId
  /** This and the other addresses have the form `IP:PORT`. */
  callerAddress: string
  readinessAddress: string
  directoryAddress: string
  peerAddress: string
  metricsAddress: string
  storeAddress: string
  /** Time that the store's history of changes covers. */
  storeHistoryMs: number
  /** Period at which backend servers renew their entries. */
  backendHeartbeatMs: number
  /** Time after the end of a fault from which on a VM must keep to its limits again. */
  contactMs: number
  /** Time after which a leaving backend server must receive no more requests. */
  backendDrainMs: number
  /** Time between SIGTERM and SIGKILL. */
  stopGraceMs: number
  /** Time after which a withdrawn key must no longer work. */
  keyWithdrawalMs: number
  /** Whether a withdrawn key must be refused even while the store cannot be reached. */
  strictKeyWithdrawal: boolean
  /** Retries that all VMs together may send to a service in a window, as a share of its requests. */
  retryShare: number
  retryWindowMs: number
  /** Retries that are allowed in a window in addition to the share. */
  retrySlack: number
  /** Largest share of a service's requests that a version on trial may receive, and the requests allowed in addition. */
  trialShare: number
  trialSlack: number
  /** Factor applied to a service's rate limit for a cold backend server, and the requests per second allowed in addition. */
  coldOvershoot: number
  coldSlack: number
  /** Maximum time between two requests of one session. */
  sessionMs: number
  /** Maximum time for which callers may cache the addresses of the directory. */
  maxAddressTtlMs: number
  /** Memory of the VM; default: DEFAULT_MEMORY_BYTES. */
  memoryBytes?: number | undefined
  /** Descriptors that the process may open; default: DEFAULT_MAX_DESCRIPTORS. */
  maxDescriptors?: number | undefined
  /** Whether teams get fair shares of a service that is short of capacity. Default: false. */
  fairShares?: boolean
}

/** Names and formats of the platform's objects and headers. */
export interface PlatformAdapter extends Codec {
  decodeCallerRequest(method: string, target: string, headers: IncomingMessage['headers'], raw: string[]): CallerRequest
  kinds: { config: string, backendServers: string, rollouts: string, evacuations: string }
  configName: string
  decodeConfig(spec: unknown): TrafficConfig
  decodeBackend(object: StoredObject): BackendEntry | undefined
  decodeRollout(object: StoredObject): RolloutOrder | undefined
  encodeRolloutStatus(order: RolloutOrder, state: NonNullable<RolloutOrder['state']>): unknown
  /** Creates the server for the platform's readiness checks; it listens on an address of its own. */
  serveReadiness(isReady: () => boolean): Server
  /** Creates the server for callers' address lookups; it listens on an address of its own. */
  serveDirectory(addresses: (dataCentre: string) => { addresses: string[], ttlS: number }): Server
}
