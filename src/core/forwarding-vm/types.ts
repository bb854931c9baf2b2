/** Settings of a VM that forwards callers' requests, and what an adapter to its platform provides. */
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
  /** Addresses are `IP:PORT`. */
  callerAddress: string
  readinessAddress: string
  directoryAddress: string
  peerAddress: string
  metricsAddress: string
  storeAddress: string
  /** How far the store's history of changes goes back. */
  storeHistoryMs: number
  /** Period in which backend servers renew their entries. */
  backendHeartbeatMs: number
  /** Time without a fault after which bounds hold for a VM. */
  contactMs: number
  /** Time after which a leaving backend server must get no more work. */
  backendDrainMs: number
  /** Time between SIGTERM and SIGKILL. */
  stopGraceMs: number
  /** Time after which a withdrawn key must no longer work. */
  keyWithdrawalMs: number
  /** Whether a withdrawn key must be refused also while the store cannot be reached. */
  strictKeyWithdrawal: boolean
  /** Retries that all VMs together may send to a service, as a share of its requests in the window. */
  retryShare: number
  retryWindowMs: number
  /** Retries in a window beyond the share. */
  retrySlack: number
  /** Largest share of a service's requests for a version on trial, and the requests beyond the share. */
  trialShare: number
  trialSlack: number
  /** Factor and addend of the requests a second that a cold backend server may get at most. */
  coldOvershoot: number
  coldSlack: number
  /** Longest pause between two requests of one session. */
  sessionMs: number
  longestAddressTtlMs: number
}

/** What the platform's adapter provides: names and formats of its objects and headers. */
export interface PlatformAdapter extends Codec {
  decodeCallerRequest(method: string, target: string, headers: IncomingMessage['headers'], raw: string[]): CallerRequest
  kinds: { config: string, backendServers: string, rollouts: string, evacuations: string }
  configName: string
  decodeConfig(spec: unknown): TrafficConfig
  decodeBackend(object: StoredObject): BackendEntry | undefined
  decodeRollout(object: StoredObject): RolloutOrder | undefined
  encodeRolloutStatus(order: RolloutOrder, state: NonNullable<RolloutOrder['state']>): unknown
  /** Serves the calls that the platform and callers make besides requests. */
  serveReadiness(isReady: () => boolean): Server
  serveDirectory(addresses: (dataCentre: string) => { addresses: string[], ttlS: number }): Server
}
