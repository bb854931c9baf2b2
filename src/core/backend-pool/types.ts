/** Interface of the pool of backend servers. */
import type { BackendServerId, DataCentreId, ServiceId, VersionId } from '../ids/index.ts'

/** What a backend server says of itself. */
export interface BackendEntry {
  id: BackendServerId
  service: ServiceId
  /** `IP:PORT`. */
  address: string
  dataCentre: DataCentreId
  version: VersionId
  /** Requests that it runs at once. */
  slots: number
  leaving: boolean
  /** How much longer it bears little load after its start, in milliseconds. */
  coldLeftMs: number
  /** Wall-clock start of its process; a later one means a restart under the same id. */
  startedWallMs: number | undefined
}

/** One backend server with what this VM knows of it. */
export interface Backend {
  entry: BackendEntry
  /** Requests of this VM that it runs or queues. */
  inFlight: number
  /** Load of these requests, in requests to the largest model; prompts count until their first event. */
  load: number
  /** Moving share of failed requests, 0 to 1. */
  failureRate: number
  /** Monotonic time of the last bytes that this VM received from it. */
  lastHeardMs: number
  /** Consecutive failures to connect. */
  connectFailures: number
  /** Monotonic time until which it gets no requests of this VM. */
  suspendedUntilMs: number
  /** Monotonic times of the requests that this VM sent in the last second. */
  recentSends: number[]
  /** Whether its entry is missing while entries may still come back. */
  isMissing: boolean
  /** Called when the backend server is known to be gone, for each request in flight. */
  onGone: Set<() => void>
}
